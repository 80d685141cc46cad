package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// evacuatingNode returns a node of a site whose operators evacuate zones. Worker w1 is in zone a.
func evacuatingNode(t *testing.T, store *fakeStore) (*Node, *aqclock.Fake) {
	t.Helper()
	n, clock := testNode(t, store)
	n.settings.EvacuateWithin = 5 * time.Second
	n.catalog.EvacuationPrefix = "evacuate/"
	n.catalog.EvacuationKey = func(zone aqtype.Zone) string { return "evacuate/" + string(zone) }
	n.routes.apply(&Config{Version: 1})
	listWorkers(t, n, store, "w1")
	decodeWorker := n.catalog.DecodeWorker
	n.catalog.DecodeWorker = func(item aqstore.Item) (aqdecider.Worker, error) {
		w, err := decodeWorker(item)
		w.Zone = "a"
		return w, err
	}
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	// Neither the sessions nor the loops that recovery starts may advance the clock.
	options := n.agentOptions()
	options.Clock = aqclock.NewFake()
	n.agent = aqagent.New(options)
	n.clock = clock.Fake
	return n, clock.Fake
}

// limitedNode returns the same node of a site that limits starts after cancellations instead.
func limitedNode(t *testing.T, store *fakeStore) (*Node, *aqclock.Fake) {
	t.Helper()
	n, clock := evacuatingNode(t, store)
	n.settings.EvacuateWithin, n.settings.CancelWithin = 0, 5*time.Second
	n.catalog.EvacuationKey = nil
	return n, clock
}

// retryClock is a fake clock on which the pauses after failed calls end at once and advance it. The waits of the loops
// that recovery starts do not.
type retryClock struct{ *aqclock.Fake }

// After implements aqclock.Clock.
func (c retryClock) After(d time.Duration) <-chan time.Time {
	if d == retryPause {
		c.Advance(d)
		d = 0
	}
	return c.Fake.After(d)
}

// newTerm makes a node the leader, which recovers.
func newTerm(t *testing.T, n *Node, store *fakeStore) *leader {
	t.Helper()
	value, err := aqjob.Encode(aqagent.LeadRecord{Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	revision, err := store.Commit(context.Background(), aqstore.Txn{Puts: []aqstore.Put{{Key: leadKey, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	l := n.newLeader(revision, aqagent.LeadRecord{Node: "n1"}, n.clock.Elapsed())
	n.current = l
	n.leadRevision.set(revision)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if _, _, err := l.recover(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.lose(errors.New("end of the test")) })
	l.decide(func(d *aqdecider.Decider) {
		d.WorkerReported("w1", aqdecider.WorkerReport{Incarnation: 1, Complete: true, Sent: 1})
	})
	return l
}

// starts counts the starts of one round of decisions, without giving the orders.
func (l *leader) starts() (count int) {
	l.decide(func(d *aqdecider.Decider) {
		d.SetZones(l.zoneConditions())
		l.holdStarts(d)
		for _, o := range d.Tick() {
			if _, isStart := o.(aqdecider.Start); isStart {
				count++
			}
		}
	})
	return count
}

func write(t *testing.T, store *fakeStore, txn aqstore.Txn) {
	t.Helper()
	if _, err := store.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// A new leader knows the evacuations before it decides anything, and waits for as long as it cannot read them.
func TestNextLeaderReadsTheEvacuationsFirst(t *testing.T) {
	for _, evacuated := range []bool{true, false} {
		store := newFakeStore()
		n, clock := evacuatingNode(t, store)
		n.clock = retryClock{Fake: clock}
		if evacuated {
			write(t, store, aqstore.Txn{Puts: []aqstore.Put{{Key: "evacuate/a", Value: []byte("{}")}}})
		}
		failures := 0
		store.rangeFault = func(prefix string) error {
			if prefix != n.catalog.EvacuationPrefix || failures >= 3 {
				return nil
			}
			failures++
			if l := n.leading(); l.hasRecovered() || l.starts() > 0 {
				t.Error("the leader decides before it knows the evacuations")
			}
			return aqstore.ErrUnknown
		}
		l := newTerm(t, n, store)
		if failures != 3 {
			t.Fatalf("the evacuations were read after %d failures", failures)
		}
		if started := l.starts() > 0; started == evacuated {
			t.Errorf("evacuated: %v, started: %v", evacuated, started)
		}
	}
}

// The leader's checks find an evacuation and its end without a watch, and report them to the agents.
func TestChecksFindEvacuations(t *testing.T) {
	store := newFakeStore()
	n, clock := evacuatingNode(t, store)
	l := newTerm(t, n, store)
	reads := 0
	store.rangeFault = func(prefix string) error {
		if prefix == n.catalog.EvacuationPrefix {
			reads++
		}
		return nil
	}
	condition := func() aqevacuation.Condition {
		leaders := l.zoneConditions()["a"]
		agents := aqevacuation.FromReport(l.evacuationReport(), 0).Condition("a", 0)
		if agents != leaders && (agents != aqevacuation.Open || leaders != aqevacuation.Reopening) {
			t.Errorf("the agents are told %s, the leader knows %s", agents, leaders)
		}
		return leaders
	}
	for _, step := range []struct {
		name  string
		txn   aqstore.Txn
		want  aqevacuation.Condition
		reads int
	}{
		{name: "none", want: aqevacuation.Open},
		{name: "evacuated", txn: aqstore.Txn{Puts: []aqstore.Put{{Key: "evacuate/a"}}}, want: aqevacuation.Evacuated, reads: 1},
		{name: "the same again", txn: aqstore.Txn{Puts: []aqstore.Put{{Key: "evacuate/a"}}}, want: aqevacuation.Evacuated, reads: 2},
		{name: "unchanged", want: aqevacuation.Evacuated, reads: 2},
		{name: "taken back", txn: aqstore.Txn{Deletes: []string{"evacuate/a"}}, want: aqevacuation.Reopening, reads: 3},
		{name: "a second later", want: aqevacuation.Open, reads: 3},
		{name: "a zone without workers", txn: aqstore.Txn{Puts: []aqstore.Put{{Key: "evacuate/z"}}}, want: aqevacuation.Open, reads: 3},
	} {
		if len(step.txn.Puts)+len(step.txn.Deletes) > 0 {
			write(t, store, step.txn)
		}
		clock.Advance(time.Second)
		n.check(context.Background())
		if got := condition(); got != step.want || reads != step.reads {
			t.Errorf("%s: %s after %d reads, want %s after %d", step.name, got, reads, step.want, step.reads)
		}
		if l.lost != nil {
			t.Fatalf("%s: %v", step.name, l.lost)
		}
	}
}

// A leader that the store does not serve closes the zones before the bound, and opens them with the first check that passes.
func TestZonesCloseWithoutTheStore(t *testing.T) {
	store := newFakeStore()
	n, clock := evacuatingNode(t, store)
	l := newTerm(t, n, store)
	store.fault = func(aqstore.Txn) (error, bool) { return aqstore.ErrUnknown, false }
	n.check(context.Background())
	clock.Advance(5*time.Second - aqagent.OrderTimeout - time.Millisecond)
	n.check(context.Background())
	if got := l.zoneConditions()["a"]; got != aqevacuation.Open {
		t.Fatalf("the zone is %s before the limit", got)
	}
	clock.Advance(time.Millisecond)
	if got := l.zoneConditions()["a"]; got != aqevacuation.Unverified || l.starts() > 0 {
		t.Fatalf("the zone is %s", got)
	}
	store.fault = nil
	n.check(context.Background())
	if got := l.zoneConditions()["a"]; got != aqevacuation.Reopening || l.starts() > 0 {
		t.Fatalf("the zone is %s while the agents may not know", got)
	}
	clock.Advance(aqagent.PollWait + tellMargin)
	if got := l.zoneConditions()["a"]; got != aqevacuation.Open || l.starts() == 0 {
		t.Fatalf("the zone is %s after a check", got)
	}
}

// Where nobody evacuates zones, nothing is read and no zone is closed.
func TestEvacuationsAreInert(t *testing.T) {
	store := newFakeStore()
	n, clock := evacuatingNode(t, store)
	n.settings.EvacuateWithin = 0
	n.catalog.EvacuationKey = nil
	write(t, store, aqstore.Txn{Puts: []aqstore.Put{{Key: "evacuate/a"}}})
	store.rangeFault = func(prefix string) error {
		if prefix == n.catalog.EvacuationPrefix {
			t.Error("the evacuations are read")
		}
		return nil
	}
	l := newTerm(t, n, store)
	clock.Advance(time.Minute)
	n.check(context.Background())
	if l.evacuationReport() != nil || l.starts() == 0 {
		t.Errorf("report %+v, want none and the job started", l.evacuationReport())
	}
}
