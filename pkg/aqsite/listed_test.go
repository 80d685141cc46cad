package aqsite

import (
	"encoding/json"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// listingLeader returns a leader whose entries of workers are encoded workers.
func listingLeader(t *testing.T) (l *leader, list func(revision aqstore.Revision, w aqdecider.Worker)) {
	t.Helper()
	store := newFakeStore()
	n, _ := testNode(t, store)
	n.catalog.WorkerIDOf = func(key string) string { return key }
	n.catalog.DecodeWorker = func(item aqstore.Item) (w aqdecider.Worker, err error) {
		return w, json.Unmarshal(item.Value, &w)
	}
	l = lead(t, n, store)
	addMember(l, "a1", true)
	return l, func(revision aqstore.Revision, w aqdecider.Worker) {
		value, err := json.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		l.applyWorkerEvent(aqstore.Event{Item: entry(string(w.ID), revision, string(value))})
	}
}

func TestAgentLearnsOfTheTrueStartAfterAFalseOne(t *testing.T) {
	l, list := listingLeader(t)
	list(5, aqdecider.Worker{ID: "w1", Incarnation: 1000})
	list(6, aqdecider.Worker{ID: "w1", Incarnation: 2000})
	list(7, aqdecider.Worker{ID: "w1", Incarnation: 1000})
	assigned := l.agents.members["a1"].pending.Assign
	if len(assigned) != 3 || assigned[2].Worker.Incarnation != 1000 {
		t.Fatalf("assignments %+v", assigned)
	}
}

func TestWorkerThatStartsInTheFutureKeepsItsRuns(t *testing.T) {
	l, list := listingLeader(t)
	now := l.node.clock.Now()
	w := aqdecider.Worker{
		ID:          "w1",
		Incarnation: aqdecider.Incarnation(now.UnixMilli()),
		Capacity:    aqtype.Resources{MilliCPU: 1000, Memory: 1000},
		Service:     testJob().Queue.Service,
	}
	list(5, w)
	l.decide(func(d *aqdecider.Decider) {
		d.MarkPersisted(d.FleetIDs())
		d.WorkerReported("w1", aqdecider.WorkerReport{Incarnation: w.Incarnation, Complete: true, Sent: 1})
		d.AddJob(testJob(), nil, 0, false)
		if orders := d.Tick(); len(orders) != 1 {
			t.Fatalf("orders %+v", orders)
		}
	})
	odd := w
	odd.Incarnation = aqdecider.Incarnation(now.Add(2 * time.Hour).UnixMilli())
	list(6, odd)
	list(7, w)
	l.decide(func(d *aqdecider.Decider) {
		for _, o := range d.Tick() {
			if _, isStop := o.(aqdecider.Stop); isStop {
				t.Errorf("order %+v", o)
			}
		}
	})
}
