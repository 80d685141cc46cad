//go:build knownred

package aqsite

import (
	"context"
	"runtime"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// Guards against DRAIN: a leader whose reads and watch of the workers fail, while it is served otherwise, starts tasks on a worker
// for as long as that lasts, though the worker has been listed as draining.
func TestNothingIsStartedOnOutdatedKnowledgeOfDrains(t *testing.T) {
	store := newFakeStore()
	n, clock := limitedNode(t, store)
	decodeWorker := n.catalog.DecodeWorker
	n.catalog.DecodeWorker = func(item aqstore.Item) (aqdecider.Worker, error) {
		w, err := decodeWorker(item)
		w.ID = "w1"
		w.Draining = string(item.Value) == "draining"
		return w, err
	}
	l := newTerm(t, n, store)
	store.rangeFault = func(prefix string) error {
		if prefix == n.catalog.WorkerPrefix {
			return aqstore.ErrUnknown
		}
		return nil
	}
	write(t, store, aqstore.Txn{Puts: []aqstore.Put{{Key: n.catalog.WorkerPrefix + "w1", Value: []byte("draining")}}})
	for range 200 {
		n.check(context.Background())
		// The watch of jobs and cancellations delivers.
		l.applyEvents([]aqstore.Event{{Item: store.items[probeKey]}})
		clock.Advance(100 * time.Millisecond)
	}
	if l.lost != nil || !l.mayOrder() {
		t.Fatalf("the term has ended: %v", l.lost)
	}
	if l.starts() > 0 {
		t.Error("a task is started on a worker 20 s after it was listed as draining")
	}
}

// Guards against LOST: an accepted job whose notification was lost waits for as long as the store's watches deliver nothing, though
// the store serves everything else.
func TestJobIsFoundThoughItsNotificationIsLostAndTheWatchIsStalled(t *testing.T) {
	store := newFakeStore()
	n, clock := limitedNode(t, store)
	l := newTerm(t, n, store)
	job := testJob()
	job.ID = "00000000000000aa"
	value, err := aqjob.Encode(job)
	if err != nil {
		t.Fatal(err)
	}
	write(t, store, aqstore.Txn{Puts: []aqstore.Put{{Key: jobKey(job.ID), Value: value}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, loop := range []func(context.Context){l.resyncLoop, l.cancellationsLoop, l.notifiedJobsLoop} {
		l.spawn("loop", func() { loop(ctx) })
	}
	known := false
	for range 600 {
		n.check(context.Background())
		clock.Advance(100 * time.Millisecond)
		for range 20 {
			runtime.Gosched()
		}
		l.decide(func(d *aqdecider.Decider) { _, known = d.State(job.ID) })
	}
	if l.lost != nil {
		t.Fatalf("the term has ended: %v", l.lost)
	}
	if !known {
		t.Error("the leader does not know of the job a minute after it was accepted")
	}
}

// Guards against UNASKED and TWICE: a notification that is delayed for longer than ended jobs and their cancellations are kept adds
// its job again.
func TestDeletedJobIsNotAddedByALateNotification(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	item := store.items[jobKey(testJob().ID)]
	l.applyEvents(eventsAfter(t, store, l.leadKeyRevision))
	n.current = l
	if err := n.Cancel(context.Background(), testJob().ID); err != nil {
		t.Fatalf("cancel: %v", err)
	}
	l.storeRound(context.Background())
	for range 3 {
		clock.Advance(n.settings.Decider.Retention + time.Second)
		l.decide(func(d *aqdecider.Decider) { d.Tick() })
		l.storeRound(context.Background())
	}
	for _, key := range []string{jobKey(testJob().ID), cancelKey(testJob().ID)} {
		if _, kept := store.items[key]; kept {
			t.Fatalf("%s is kept", key)
		}
	}
	if _, err := l.prove(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	l.handleNotify(notifyCall{
		Job:     testJob().ID,
		Value:   item.Value,
		Created: item.ModRevision,
	})
	clock.Advance(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	store.fault = func(aqstore.Txn) (error, bool) {
		cancel()
		return nil, false
	}
	l.notifiedJobsLoop(ctx)
	known := false
	l.decide(func(d *aqdecider.Decider) { _, known = d.State(testJob().ID) })
	if known {
		t.Error("a job that was cancelled and deleted is added again")
	}
}
