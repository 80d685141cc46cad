package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
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
