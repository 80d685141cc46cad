package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// lateStore carries out the writes of submissions only when deliver is called.
type lateStore struct {
	*fakeStore
	late []aqstore.Txn
	// onLate is called with each late write.
	onLate func()
}

func newLateStore() *lateStore {
	s := &lateStore{fakeStore: newFakeStore()}
	s.fault = func(txn aqstore.Txn) (error, bool) {
		if len(txn.Puts) == 1 && txn.Puts[0].Key == jobKey(testJob().ID) {
			s.late = append(s.late, txn)
			s.onLate()
			return aqstore.ErrUnknown, false
		}
		return nil, false
	}
	return s
}

func (s *lateStore) deliver(t *testing.T) {
	t.Helper()
	s.fault = nil
	for i, txn := range s.late {
		_, err := s.Commit(context.Background(), txn)
		var conflict *aqstore.ConflictError
		if i == 0 && err != nil || i > 0 && !errors.As(err, &conflict) {
			t.Fatalf("late write %d: %v", i, err)
		}
	}
}

// submitInDoubt submits the test job, whose writes the store does not answer.
func submitInDoubt(t *testing.T, n *Node, store *lateStore) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	store.onLate = cancel
	if err := n.Submit(ctx, testJob()); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("submit: %v, want ErrOutcomeUnknown", err)
	}
}

// Guards against UNASKED: a job whose cancellation was acknowledged while its submission was still on its way to
// the store ran when the submission arrived there.
func TestCancellationCoversASubmissionInDoubt(t *testing.T) {
	for _, nextLeader := range []bool{false, true} {
		store := newLateStore()
		n, _ := testNode(t, store)
		l := lead(t, n, store.fakeStore)
		submitInDoubt(t, n, store)
		if err := n.Cancel(context.Background(), testJob().ID); !errors.Is(err, ErrNoJob) {
			t.Fatalf("cancel: %v, want ErrNoJob", err)
		}
		if !nextLeader {
			l.applyEvents(eventsAfter(t, store.fakeStore, l.leadKeyRevision))
		}
		store.deliver(t)
		if nextLeader {
			l = lead(t, n, store.fakeStore)
			items, _, err := store.Range(context.Background(), inPrefix)
			if err != nil {
				t.Fatal(err)
			}
			l.decide(func(d *aqdecider.Decider) { l.addJobs(d, items, nil) })
		} else {
			l.applyEvents(eventsAfter(t, store.fakeStore, l.leadKeyRevision))
		}
		l.recovered = true
		l.storeRound(context.Background())
		if state, known, _ := l.state(testJob().ID); !known || state != aqjob.StateCancelled {
			t.Errorf("next leader %v: the job is %q (known: %v), want cancelled", nextLeader, state, known)
		}
	}
}

// Guards against UNASKED: while its watch was stalled, the leader started a job that another process reported,
// though the cancellation, whose notification was lost, was stored.
func TestNotifiedJobIsAddedWithItsCancellation(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	n.current = nil
	if err := n.Cancel(context.Background(), testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Fatalf("cancel: %v, want ErrNoJob", err)
	}
	value, err := aqjob.Encode(testJob())
	if err != nil {
		t.Fatal(err)
	}
	l.handleNotify(notifyCall{
		Job:     testJob().ID,
		Value:   value,
		Created: 99,
	})
	clock.Advance(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	store.fault = func(aqstore.Txn) (error, bool) {
		cancel()
		return nil, false
	}
	l.notifiedJobsLoop(ctx)
	if l.lost != nil {
		t.Fatalf("leadership lost: %v", l.lost)
	}
	store.fault = nil
	l.recovered = true
	l.storeRound(context.Background())
	if state, known, _ := l.state(testJob().ID); !known || state != aqjob.StateCancelled {
		t.Fatalf("the job is %q (known: %v), want cancelled", state, known)
	}
}

// eventsAfter returns the changes of jobs and cancellations after a revision.
func eventsAfter(t *testing.T, store *fakeStore, revision aqstore.Revision) []aqstore.Event {
	t.Helper()
	items, _, err := store.Range(context.Background(), inPrefix)
	if err != nil {
		t.Fatal(err)
	}
	var events []aqstore.Event
	for _, item := range items {
		if item.ModRevision > revision {
			events = append(events, aqstore.Event{Item: item})
		}
	}
	return events
}

// Guards against UNASKED: a cancellation whose write took effect and was not answered was acknowledged by the next try, and the
// leader was not told of it.
func TestLeaderIsToldOfACancellationWhoseWriteWasNotAnswered(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	n.current = l
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	l.applyEvents(eventsAfter(t, store, l.leadKeyRevision))
	answered := false
	store.fault = func(txn aqstore.Txn) (error, bool) {
		if answered || len(txn.Puts) != 1 || txn.Puts[0].Key != cancelKey(testJob().ID) {
			return nil, false
		}
		answered = true
		return aqstore.ErrUnknown, true
	}
	if err := n.Cancel(context.Background(), testJob().ID); err != nil {
		t.Fatalf("cancel: %v", err)
	}
	var state aqjob.State
	l.storeRound(context.Background())
	l.decide(func(d *aqdecider.Decider) { state, _ = d.State(testJob().ID) })
	if state != aqjob.StateCancelled {
		t.Errorf("the leader knows the job as %q after the acknowledgement, want cancelled", state)
	}
}

// The answer to a cancellation depends on the job alone, once the cancellation is stored.
func TestCancellationIsAnsweredOnceItIsStored(t *testing.T) {
	store := newFakeStore()
	failures := 2
	store.fault = func(aqstore.Txn) (error, bool) {
		if failures > 0 {
			failures--
			return aqstore.ErrRefused, false
		}
		return nil, false
	}
	n, _ := testNode(t, store)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.Cancel(ctx, testJob().ID); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("a cancellation that is not stored: %v, want ErrOutcomeUnknown", err)
	}
	if err := n.Cancel(context.Background(), testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Fatalf("cancel of no job: %v, want ErrNoJob", err)
	}
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	if err := n.Cancel(context.Background(), testJob().ID); err != nil {
		t.Fatalf("cancel of a stored job: %v", err)
	}
}

// Stored cancellations are deleted after the retention period, so that those of jobs that never come do not
// accumulate.
func TestExpiredCancellationIsDeleted(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	if err := n.Cancel(context.Background(), testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Fatalf("cancel: %v, want ErrNoJob", err)
	}
	l.applyEvents(eventsAfter(t, store, l.leadKeyRevision))
	stored := func() bool {
		l.decide(func(d *aqdecider.Decider) { d.Tick() })
		l.storeRound(context.Background())
		_, err := store.Get(context.Background(), cancelKey(testJob().ID))
		return err == nil
	}
	clock.Advance(n.settings.Decider.Retention)
	if !stored() {
		t.Fatal("the cancellation is deleted within the retention period")
	}
	clock.Advance(time.Millisecond)
	if stored() {
		t.Fatal("the cancellation is kept after the retention period")
	}
}

// Guards against UNASKED: a leader that may have been replaced confirmed a cancellation, and nobody told the next one.
func TestOnlyACurrentLeaderConfirmsACancellation(t *testing.T) {
	for _, current := range []bool{true, false} {
		store := newFakeStore()
		n, clock := testNode(t, store)
		l := lead(t, n, store)
		n.current = l
		l.recovered = true
		if !current {
			clock.Advance(proofLimit)
		}
		if err := n.Cancel(context.Background(), testJob().ID); !errors.Is(err, ErrNoJob) {
			t.Fatalf("cancel: %v, want ErrNoJob", err)
		}
		if untold := len(n.untold.Jobs(n.clock.Elapsed())); (untold == 0) != current {
			t.Errorf("current leader %v: %d cancellations are told again", current, untold)
		}
		if l.decide(func(d *aqdecider.Decider) {
			if d.Cancel(testJob().ID) {
				t.Errorf("current leader %v: it does not know of the cancellation", current)
			}
		}); l.lost != nil {
			t.Fatal(l.lost)
		}
	}
}
