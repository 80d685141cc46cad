package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Guards against TWICE: a worker restarted just before a change of the leader, and a call to its earlier incarnation gave it
// the longest lease. The next leader, which did not reach it, waited for the leases only that agents renew.
func TestNextLeaderAwaitsStrayLeases(t *testing.T) {
	renewed := aqagent.MaxLeaseSpan(5 * time.Second)
	longest := aqagent.MaxLeaseSpan(testLeaseMax)
	for _, test := range []struct {
		name string
		// restarts is set if the earlier leader has learned of a restart, ago is how long before the next term.
		restarts bool
		ago      time.Duration
		want     time.Duration
	}{
		{name: "no restart", want: renewed},
		{name: "restart", restarts: true, want: longest},
		{name: "restart long before", restarts: true, ago: longest, want: renewed},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, clock := testNode(t, store)
			n.settings.Decider.LeaseMax = longest
			first := lead(t, n, store)
			gone := aqdecider.Worker{ID: "gone", Incarnation: 1}
			first.decide(func(d *aqdecider.Decider) {
				d.UpdateWorker(gone)
				d.WorkerReported(gone.ID, aqdecider.WorkerReport{Incarnation: 1, Complete: true, Sent: 1})
			})
			if test.restarts {
				gone.Incarnation = 2
				first.decide(func(d *aqdecider.Decider) {
					d.UpdateWorker(gone)
					d.WorkerReported(gone.ID, aqdecider.WorkerReport{Incarnation: 2, Complete: true, Sent: 2, Settled: true})
				})
			}
			clock.Advance(test.ago)
			first.decide(func(d *aqdecider.Decider) { d.Tick() })
			if err := first.storeFleet(context.Background()); err != nil {
				t.Fatal(err)
			}
			item, err := store.Get(context.Background(), fleetKey)
			if err != nil {
				t.Fatal(err)
			}
			var record fleetRecord
			if err := decode(item.Value, &record); err != nil {
				t.Fatal(err)
			}
			record.Workers = append(record.Workers, "sound")
			k := takeOver(t, n, store, clock, record, func(*aqclock.Fake) {})
			k.l.acknowledged(agentRecord("n2"))
			k.l.acknowledged(agentRecord("n3"))
			k.wantStart(test.want)
		})
	}
}

// Nothing is started on a restarted worker before the stored list says that it has restarted.
func TestRestartIsStoredBeforeStarts(t *testing.T) {
	r := newRestartRig(t)
	r.worker.restart()
	r.list()
	r.heartbeats(4)
	condition := func() (condition string) {
		r.leader.decide(func(d *aqdecider.Decider) { condition = d.ViewWorkers()[0].Condition })
		return condition
	}
	if got := condition(); got != "Unstored" {
		t.Fatalf("the worker is %s before the stored list names its restart", got)
	}
	if err := r.leader.storeFleet(context.Background()); err != nil {
		t.Fatal(err)
	}
	var record fleetRecord
	item, err := r.leader.node.store.Get(context.Background(), fleetKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := decode(item.Value, &record); err != nil {
		t.Fatal(err)
	}
	if len(record.Restarted) != 1 || condition() != "Usable" {
		t.Fatalf("restarted workers %v, the worker is %s", record.Restarted, condition())
	}
}

// A worker that was removed and returns in a later incarnation may have a stray lease as well.
func TestReplacedWorkerMayHaveAStrayLease(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	listWorkers(t, n, store)
	incarnation := aqdecider.Incarnation(1)
	decodeWorker := n.catalog.DecodeWorker
	n.catalog.DecodeWorker = func(item aqstore.Item) (aqdecider.Worker, error) {
		w, err := decodeWorker(item)
		w.Incarnation = incarnation
		return w, err
	}
	l := lead(t, n, store)
	addMember(l, "a1", true)
	entry := aqstore.Item{
		Key:         n.catalog.WorkerPrefix + "w1",
		Value:       []byte("w1"),
		ModRevision: 10,
	}
	list := func() []aqtype.WorkerID {
		var restarted []aqtype.WorkerID
		l.decide(func(d *aqdecider.Decider) {
			l.applyListedWorker(d, entry)
			restarted = d.RestartedIDs()
		})
		return restarted
	}
	if restarted := list(); len(restarted) != 0 {
		t.Fatalf("restarted workers %v, want none", restarted)
	}
	l.decide(func(d *aqdecider.Decider) { d.DelistWorker("w1") })
	l.removeUnknownWorkers()
	incarnation = 2
	if restarted := list(); len(restarted) != 1 {
		t.Fatalf("restarted workers %v, want w1", restarted)
	}
}
