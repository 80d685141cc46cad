package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

func testJob() *aqjob.Job {
	return &aqjob.Job{
		ID:     "5c0e7a21d94b36f8",
		Queue:  aqjob.Queue{ID: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Target: time.Second},
		Groups: []aqjob.Group{{Count: 1, Size: aqtype.Resources{MilliCPU: 100, Memory: 10}}},
	}
}

// Lost answers and refusals of the store: Submit returns ErrNotAccepted only when the
// job is certainly not stored.
func TestSubmissionUnderStoreFaults(t *testing.T) {
	for _, test := range []struct {
		name string
		// faults are the errors of the first commits. applied is set when those commits
		// take effect nevertheless.
		faults  []error
		applied bool
		want    error
		stored  bool
	}{
		{name: "stored", want: nil, stored: true},
		{name: "refused", faults: []error{aqstore.ErrRefused}, want: ErrNotAccepted},
		{name: "answer lost, stored", faults: []error{aqstore.ErrUnknown}, applied: true, want: nil, stored: true},
		{name: "answer lost, not stored", faults: []error{aqstore.ErrUnknown}, want: nil, stored: true},
		{name: "answer lost, then refused", faults: []error{aqstore.ErrUnknown, aqstore.ErrRefused}, want: nil, stored: true},
	} {
		store := newFakeStore()
		next := 0
		store.fault = func(aqstore.Txn) (error, bool) {
			if next >= len(test.faults) {
				return nil, false
			}
			next++
			return test.faults[next-1], test.applied
		}
		n, _ := testNode(t, store)
		err := n.Submit(context.Background(), testJob())
		if !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
		if _, err := store.Get(context.Background(), jobKey(testJob().ID)); (err == nil) != test.stored {
			t.Errorf("%s: stored is %v", test.name, err == nil)
		}
	}
}

// A submission whose outcome is still unknown at the submitter's deadline returns
// ErrOutcomeUnknown and not a refusal.
func TestSubmissionInDoubt(t *testing.T) {
	store := newFakeStore()
	ctx, cancel := context.WithCancel(context.Background())
	store.fault = func(aqstore.Txn) (error, bool) {
		if store.commits > 3 {
			cancel()
		}
		return aqstore.ErrUnknown, false
	}
	n, _ := testNode(t, store)
	if err := n.Submit(ctx, testJob()); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("submit: %v, want ErrOutcomeUnknown", err)
	}
}

func TestStateFromTheStore(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	ctx := context.Background()
	if _, err := n.State(ctx, testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Fatalf("state of no job: %v", err)
	}
	if err := n.Cancel(ctx, testJob().ID); !errors.Is(err, ErrNoJob) {
		t.Fatalf("cancel of no job: %v", err)
	}
	if err := n.Submit(ctx, testJob()); err != nil {
		t.Fatal(err)
	}
	if state, err := n.State(ctx, testJob().ID); err != nil || state != aqjob.StateQueued {
		t.Fatalf("state of a stored job: %s, %v, want queued", state, err)
	}
	value, err := aqjob.Encode(&aqjob.Progress{State: aqjob.StateCompleted})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(ctx, aqstore.Txn{
		Puts: []aqstore.Put{{Key: progressKey(testJob().ID), Value: value}},
	}); err != nil {
		t.Fatal(err)
	}
	if state, err := n.State(ctx, testJob().ID); err != nil || state != aqjob.StateCompleted {
		t.Fatalf("state of a job with stored progress: %s, %v, want completed", state, err)
	}
}

// A configuration of a lower or equal version is not applied, and the route with the
// longest prefix wins.
func TestRoutes(t *testing.T) {
	var r routes
	if _, _, configured := r.lookup("h", "/p/x"); configured {
		t.Fatal("configured without a configuration")
	}
	newer := &Config{Version: 9, Routes: []Route{
		{Host: "h", Prefix: "/p/", Queue: aqjob.Queue{ID: "short"}},
		{Host: "h", Prefix: "/p/q/", Queue: aqjob.Queue{ID: "long"}},
	}}
	if !r.apply(newer) || r.apply(&Config{Version: 8}) || r.apply(&Config{Version: 9}) {
		t.Fatal("an older or equal version was applied, or the newer one was not")
	}
	if route, found, _ := r.lookup("h", "/p/q/x"); !found || route.Queue.ID != "long" {
		t.Fatalf("route %v, found %v, want queue long", route, found)
	}
	if _, found, _ := r.lookup("other", "/p/x"); found {
		t.Fatal("found a route of another host")
	}
}

// A process that the store does not serve stores a job through the leader, whose address
// it has learned from the leader's poll.
func TestSubmissionThroughTheLeader(t *testing.T) {
	store := newFakeStore()
	leaderNode, _ := testNode(t, store)
	leaderNode.current = lead(t, leaderNode, store)
	address, err := aqstandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	if err := leaderNode.server.Start(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(leaderNode.server.Stop)
	failingStore := newFakeStore()
	failingStore.fault = func(aqstore.Txn) (error, bool) { return aqstore.ErrUnknown, false }
	n, _ := testNode(t, failingStore)
	n.learnLeader(aqagent.LeadRecord{Node: "leader", Address: address}, 9)
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Get(context.Background(), jobKey(testJob().ID)); err != nil {
		t.Fatalf("the leader has not stored the job: %v", err)
	}
	if n.learnLeader(aqagent.LeadRecord{Node: "old", Address: "127.0.0.1:1"}, 8); n.leaderAddress() != address {
		t.Fatal("a poll of an earlier leader replaced the newer leader")
	}
}
