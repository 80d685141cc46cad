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
	n, clock := limitedNode(t, store)
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

// Guards against UNASKED: a watch on a connection that had fallen silent was given up after 11.5 s, though something is written below
// its prefix all the time.
func TestBusyWatchesAreNotHeldForLong(t *testing.T) {
	store := newFakeStore()
	n, _ := evacuatingNode(t, store)
	l := newTerm(t, n, store)
	waits := map[string]time.Duration{}
	for _, watch := range []func(context.Context, aqstore.Revision){l.watchJobs, l.watchWorkers} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store.onWatch = func(prefix string, wait time.Duration) {
			waits[prefix] = wait
			cancel()
		}
		watch(ctx, 1)
	}
	for _, prefix := range []string{inPrefix, n.catalog.WorkerPrefix} {
		if wait, watched := waits[prefix]; !watched || wait > time.Second {
			t.Errorf("the watch of %s is held for %s (watched: %v), want 1s at most", prefix, wait, watched)
		}
	}
}
