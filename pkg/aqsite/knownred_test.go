//go:build knownred

package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// Guards against UNASKED: a leader whose watch delivered nothing and whose notification was lost started tasks of a
// cancelled job for as long as that lasted.
func TestNothingIsStartedOnOutdatedKnowledgeOfCancellations(t *testing.T) {
	store := newFakeStore()
	n, clock := evacuatingNode(t, store)
	n.settings.EvacuateWithin = 0
	n.catalog.EvacuationKey = nil
	n.settings.CancelWithin = 5 * time.Second
	l := newTerm(t, n, store)
	store.rangeFault = func(string) error { return aqstore.ErrUnknown }
	write(t, store, aqstore.Txn{Puts: []aqstore.Put{{Key: cancelKey(testJob().ID), Value: []byte{}}}})
	for range 50 {
		n.check(context.Background())
		clock.Advance(100 * time.Millisecond)
	}
	if l.lost != nil || !l.mayOrder() {
		t.Fatalf("the term has ended: %v", l.lost)
	}
	if l.starts() > 0 {
		t.Error("a task is started 5 s after the cancellation of its job was stored")
	}
}

// Guards against UNASKED: a cancellation whose write took effect and was not answered was acknowledged by the next try, and the
// leader was not told of it.
func TestLeaderIsToldOfACancellationWhoseWriteWasNotAnswered(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
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
