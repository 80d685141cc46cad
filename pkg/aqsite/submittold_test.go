package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
)

// Guards against LOST: a job whose write took effect and was not answered was accepted by the next try, and the leader, whose
// watch was stalled, was not told of it.
func TestLeaderIsToldOfAJobWhoseWriteWasNotAnswered(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	n.current = l
	unanswered := 0
	store.fault = func(txn aqstore.Txn) (error, bool) {
		if unanswered > 0 || len(txn.Puts) != 1 || txn.Puts[0].Key != jobKey(testJob().ID) {
			return nil, false
		}
		unanswered++
		return aqstore.ErrUnknown, true
	}
	if err := n.Submit(context.Background(), testJob()); err != nil || unanswered != 1 {
		t.Fatalf("submit: %v, %d writes without an answer", err, unanswered)
	}
	clock.Advance(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	store.fault = func(aqstore.Txn) (error, bool) {
		cancel()
		return nil, false
	}
	if len(l.overdueJobs()) > 0 {
		l.notifiedJobsLoop(ctx)
	}
	if l.lost != nil {
		t.Fatalf("leadership lost: %v", l.lost)
	}
	known := false
	l.decide(func(d *aqdecider.Decider) { _, known = d.State(testJob().ID) })
	if !known {
		t.Error("the leader does not know of the accepted job")
	}
}
