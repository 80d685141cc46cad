package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqbacklog"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// flooded is an estimate by which testJob is of no use any more when it begins.
func flooded(age time.Duration) aqbacklog.Estimate {
	return aqbacklog.Estimate{
		Known: true,
		Age:   age,
		Waits: []aqbacklog.Wait{{Lane: aqbacklog.Lane{Service: "s"}, Time: time.Minute}},
	}
}

// A rejection is true: no job is stored, also by a write of an earlier attempt that arrives later; a later attempt
// is accepted once the backlog is gone; and a job that may be stored is not rejected.
func TestRejection(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	n, clock := testNode(t, store)
	n.backlog.set(flooded(0), n.clock.Elapsed())
	for range 2 {
		var rejected *RejectedError
		if err := n.Submit(ctx, testJob()); !errors.As(err, &rejected) || !errors.Is(err, ErrNotAccepted) ||
			rejected.ReturnAfter < time.Second {
			t.Fatalf("submit with a backlog: %v", err)
		}
	}
	if _, err := n.State(ctx, testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Errorf("state of a rejected job: %v", err)
	}
	if err := n.Cancel(ctx, testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Errorf("cancel of a rejected job: %v", err)
	}
	value, err := aqjob.Encode(testJob())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.createDirect(ctx, jobKey(testJob().ID), value); err == nil {
		t.Error("a delayed write of an earlier attempt has stored the job")
	}
	aqclock.Sleep(ctx, clock, 10*time.Second)
	for range 2 {
		if err := n.Submit(ctx, testJob()); err != nil {
			t.Fatalf("submit after the backlog: %v", err)
		}
	}
	if state, err := n.State(ctx, testJob().ID); err != nil || state != aqjob.StateQueued {
		t.Errorf("state of the accepted job: %s, %v", state, err)
	}
	n.backlog.set(flooded(0), n.clock.Elapsed())
	if err := n.Submit(ctx, testJob()); err != nil {
		t.Errorf("a job that is stored was rejected: %v", err)
	}
}

// A job is accepted while the estimate is missing or old, and when the store does not take the mark of the
// rejection.
func TestJobIsAcceptedWithoutCertainty(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault error
		set   func(*Node)
	}{
		{name: "no estimate", set: func(*Node) {}},
		{name: "old estimate", set: func(n *Node) { n.backlog.set(flooded(3*time.Second), n.clock.Elapsed()) }},
		{name: "the leader knows nothing", set: func(n *Node) {
			n.backlog.set(flooded(3*time.Second), n.clock.Elapsed())
			n.backlog.set(aqbacklog.Estimate{}, n.clock.Elapsed())
		}},
		{name: "refused mark", fault: aqstore.ErrRefused, set: func(n *Node) { n.backlog.set(flooded(0), n.clock.Elapsed()) }},
		{name: "lost mark", fault: aqstore.ErrUnknown, set: func(n *Node) { n.backlog.set(flooded(0), n.clock.Elapsed()) }},
	} {
		for _, applied := range []bool{false, true} {
			store := newFakeStore()
			faults := 1
			store.fault = func(aqstore.Txn) (error, bool) {
				faults--
				if faults < 0 {
					return nil, false
				}
				return test.fault, applied && errors.Is(test.fault, aqstore.ErrUnknown)
			}
			n, _ := testNode(t, store)
			test.set(n)
			if err := n.Submit(context.Background(), testJob()); err != nil {
				t.Errorf("%s: %v", test.name, err)
			}
			if item, err := store.Get(context.Background(), jobKey(testJob().ID)); err != nil || isRejected(item) {
				t.Errorf("%s: the job is not stored: %v", test.name, err)
			}
		}
	}
}

// Processes take the estimate from the polls of the leader that they follow only.
func TestBacklogReachesOtherProcesses(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	l.recovered = true
	if e := l.tellBacklog(); e.Known {
		t.Errorf("a leader that has not estimated tells %+v", e)
	}
	l.backlog.set(flooded(0), n.clock.Elapsed())
	if e := l.tellBacklog(); !e.Known || len(e.Waits) != 1 {
		t.Errorf("the leader tells %+v", e)
	}
	other, _ := testNode(t, store)
	ctx := context.Background()
	call := aqagent.PollCall{Agent: "n1", Fence: 9, Backlog: l.tellBacklog()}
	answer, err := other.agent.Poll(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	if e := other.backlog.at(other.clock.Elapsed()); e.Known {
		t.Error("a process without a permit of the leader has taken its estimate")
	}
	call.AckedAnswer = answer.Number
	if _, err := other.agent.Poll(ctx, call); err != nil {
		t.Fatal(err)
	}
	var rejected *RejectedError
	if err := other.Submit(ctx, testJob()); !errors.As(err, &rejected) {
		t.Errorf("submit at a process that the leader has told: %v", err)
	}
}
