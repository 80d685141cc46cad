package aqsite

import (
	"context"
	"testing"
	"time"

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
