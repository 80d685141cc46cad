package aqsite

import (
	"context"
	"runtime"
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqcancel"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Guards against UNASKED: a leader without proof of its leadership confirmed a cancellation, so that the next leader was not told
// of it.
func TestLeaderWithoutProofConfirmsNoCancellation(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	n.current = l
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	l.applyEvents(eventsAfter(t, store, l.leadKeyRevision))
	clock.Advance(proofLimit)
	if l.mayOrder() || l.mayPoll() {
		t.Fatal("the leader may still order or find out that a majority follows it")
	}
	if err := n.Cancel(context.Background(), testJob().ID); err != nil {
		t.Fatalf("cancel: %v", err)
	}
	if left := n.untold.Jobs(n.clock.Elapsed()); len(left) != 1 {
		t.Errorf("%v are to be told to a leader, want the cancelled job", left)
	}
}

// Guards against starts that are held up: the limit of starts that were dropped with their agent's call stayed, and limited the next
// ones.
func TestLimitOfDroppedStartsEndsWithThem(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	m := addMember(l, "a1", true)
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	start := func(attempt aqdecider.Attempt, until time.Duration) {
		l.agents.dispatch([]aqdecider.Order{aqdecider.Start{
			Worker: "w1",
			Run: aqdecider.RunID{
				Task:    aqjob.TaskID{Job: "j"},
				Attempt: attempt,
			},
		}}, startLimit{
			limited: true,
			until:   until,
		})
	}
	start(1, time.Second)
	l.agents.reassignWorkersOf(m)
	start(2, time.Hour)
	call, ok := l.agents.takeOrders(m)
	if !ok || len(call.Orders) != 1 || call.Starts == nil {
		t.Fatalf("orders %+v (%v), want the second start", call, ok)
	}
	if until := m.answeredAt + call.Starts.Within; until != time.Hour {
		t.Errorf("the second start may be sent until %s, want %s", until, time.Hour)
	}
}

// limitedLeader returns a leader with a limit, a member whose last answer is number 7, and a job that its worker has room for.
func limitedLeader(t *testing.T, store *fakeStore) (*leader, *member, aqclock.Instant) {
	t.Helper()
	n, clock := testNode(t, store)
	n.settings.CancelWithin = 5 * time.Second
	l := lead(t, n, store)
	l.cancellations.update(func(k *aqcancel.Knowledge) { k.Read(clock.Elapsed()) })
	m := addMember(l, "a1", true)
	m.answered, m.answeredAt = 7, clock.Elapsed()
	w := aqdecider.Worker{
		ID:          "w1",
		Service:     testJob().Queue.Service,
		Capacity:    aqtype.Resources{MilliCPU: 8000, Memory: 8000},
		Incarnation: 1,
	}
	l.agents.addWorker(w)
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(w)
		d.MarkPersisted(d.FleetIDs())
		d.WorkerReported("w1", aqdecider.WorkerReport{Incarnation: 1, Complete: true, Sent: 1})
		d.AddJob(testJob(), nil, 0, false)
	})
	return l, m, clock
}

// A call limits its starts by the knowledge of the oldest round in it, counted from the agent's last answer.
func TestCallCarriesTheLimitOfItsOldestRound(t *testing.T) {
	l, m, clock := limitedLeader(t, newFakeStore())
	limit := 5*time.Second - aqagent.OrderTimeout
	known := clock.Elapsed()
	clock.Advance(time.Second)
	l.dispatchRound()
	l.cancellations.update(func(k *aqcancel.Knowledge) { k.Read(clock.Elapsed()) })
	second := testJob()
	second.ID = "5c0e7a21d94b36f9"
	l.decide(func(d *aqdecider.Decider) { d.AddJob(second, nil, 0, false) })
	l.dispatchRound()
	m.answered, m.answeredAt = 8, clock.Elapsed()
	l.recordProof(clock.Elapsed())
	call, ok := l.agents.takeOrders(m)
	if !ok || len(call.Orders) != 2 || call.Starts == nil {
		t.Fatalf("orders %+v (%v), want two starts", call, ok)
	}
	if until := m.answeredAt + call.Starts.Within; until != known+limit || call.Starts.Answer != 8 {
		t.Errorf("%+v, until %s after the first knowledge, want %s", *call.Starts, until-known, limit)
	}
	clock.Advance(limit)
	third := testJob()
	third.ID = "5c0e7a21d94b36fa"
	l.decide(func(d *aqdecider.Decider) { d.AddJob(third, nil, 0, false) })
	l.dispatchRound()
	l.recordProof(clock.Elapsed())
	if call, ok := l.agents.takeOrders(m); !ok || len(call.Orders) > 0 {
		t.Errorf("orders %+v (%v) on outdated knowledge, want none", call.Orders, ok)
	}
}

// slowStore advances the clock while it carries out a call.
type slowStore struct {
	*fakeStore
	advance func()
}

func (s slowStore) Commit(ctx context.Context, txn aqstore.Txn) (aqstore.Revision, error) {
	s.advance()
	return s.fakeStore.Commit(ctx, txn)
}

func (s slowStore) Range(ctx context.Context, prefix string) ([]aqstore.Item, aqstore.Revision, error) {
	s.advance()
	return s.fakeStore.Range(ctx, prefix)
}

// What a probe or a read says of cancellations holds for the time at which it was sent.
func TestKnowledgeCountsFromWhenACallWasSent(t *testing.T) {
	for _, test := range []struct {
		name  string
		learn func(*testing.T, *Node, *leader)
	}{
		{name: "read", learn: func(t *testing.T, _ *Node, l *leader) {
			if err := l.readCancellations(context.Background()); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "probe", learn: func(_ *testing.T, n *Node, l *leader) {
			n.check(context.Background())
			l.watchDelivered(1000)
		}},
	} {
		store := newFakeStore()
		l, _, clock := limitedLeader(t, store)
		n := l.node
		n.current = l
		n.leadRevision.set(l.leadKeyRevision)
		clock.Advance(time.Second)
		sent := clock.Elapsed()
		n.store = slowStore{
			fakeStore: store,
			advance:   func() { clock.Advance(time.Second) },
		}
		test.learn(t, n, l)
		if limit, want := l.cancellations.startLimit(), sent+5*time.Second-aqagent.OrderTimeout; limit.until != want {
			t.Errorf("%s: starts until %s after it was sent, want %s", test.name, limit.until-sent, want-sent)
		}
	}
}

// A leader that begins its term knows the cancellations as of the read of the jobs.
func TestRecoveryBeginsTheKnowledgeOfCancellations(t *testing.T) {
	store := newFakeStore()
	n, clock := limitedNode(t, store)
	l := newTerm(t, n, store)
	if limit, want := l.cancellations.startLimit(), clock.Elapsed()+5*time.Second-aqagent.OrderTimeout; limit.until != want {
		t.Errorf("starts until %s, want %s", limit.until, want)
	}
	if l.starts() == 0 {
		t.Error("nothing is started")
	}
}

// A cancellation that no leader has confirmed is told to the next one.
func TestNextLeaderIsToldOfAnUnconfirmedCancellation(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	if err := n.Cancel(context.Background(), testJob().ID); err != nil {
		t.Fatalf("cancel: %v", err)
	}
	l := lead(t, n, store)
	l.recovered = true
	n.current = l
	began := n.clock.Elapsed()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.untoldLoop(ctx)
	}()
	for len(n.untold.Jobs(n.clock.Elapsed())) > 0 {
		runtime.Gosched()
	}
	cancel()
	<-done
	if took := n.clock.Elapsed() - began; took > untoldKept/2 {
		t.Errorf("it took %s", took)
	}
	l.decide(func(d *aqdecider.Decider) {
		if d.Cancel(testJob().ID) {
			t.Error("the leader does not know of the cancellation")
		}
	})
}
