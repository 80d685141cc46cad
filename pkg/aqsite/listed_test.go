package aqsite

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
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

func TestEntryThatNobodyAnswersForDoesNotHoldBackTheNextLeader(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	n.routes.apply(&Config{Version: 1})
	listWorkers(t, n, store, "sound", "odd")
	n.catalog.WorkerIDOf = func(key string) string { return strings.TrimPrefix(key, n.catalog.WorkerPrefix) }
	// The sessions and loops must not advance the clock.
	n.clock = clock.Fake
	n.agent = aqagent.New(n.agentOptions())
	soundReports := func(l *leader) {
		l.decide(func(d *aqdecider.Decider) {
			d.WorkerReported("sound", aqdecider.WorkerReport{Incarnation: 1, Complete: true, Sent: 1})
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := lead(t, n, store)
	if _, _, err := first.recover(ctx); err != nil {
		t.Fatal(err)
	}
	soundReports(first)
	clock.Advance(time.Minute)
	first.decide(func(d *aqdecider.Decider) {
		d.Tick()
		if !d.Dirty() {
			t.Error("the list of workers is not stored again")
		}
	})
	if err := first.storeFleet(ctx); err != nil {
		t.Fatal(err)
	}
	first.lose(errors.New("next leader"))
	if err := n.Submit(ctx, testJob()); err != nil {
		t.Fatal(err)
	}
	next := lead(t, n, store)
	if _, _, err := next.recover(ctx); err != nil {
		t.Fatal(err)
	}
	defer next.lose(errors.New("end of the test"))
	soundReports(next)
	next.decide(func(d *aqdecider.Decider) {
		if orders := d.Tick(); len(orders) != 1 {
			t.Errorf("orders %+v, want a start on the sound worker", orders)
		}
	})
}
