package aqsite

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// The leader decides again, once a delayed start can have no effect any more, on a run that the end of a lease of an
// earlier incarnation has left.
func TestRunOfARestartedWorkerIsGivenUpLater(t *testing.T) {
	l, clock, a1, _ := newEventRig(t)
	entry := aqdecider.Worker{
		ID:          "w1",
		Service:     "s",
		Labels:      []string{"a", "r1-1"},
		Capacity:    aqtype.Resources{MilliCPU: 1000, Memory: 1000},
		Incarnation: 1,
	}
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(entry)
		d.AddJob(&aqjob.Job{
			ID:     "0000000000000001",
			Queue:  aqjob.Queue{ID: "q", Service: "s", MaxAttempts: 2, Stretch: 2},
			Groups: []aqjob.Group{{Count: 1, Size: aqtype.Resources{MilliCPU: 1000, Memory: 10}, Estimate: time.Second}},
		}, nil, 0, false)
	})
	applyEvent(l, a1, aqagent.EventWire{Report: wholeReport()})
	l.decide(func(d *aqdecider.Decider) {
		if orders := d.Tick(); len(orders) != 1 {
			t.Fatalf("%d orders, want a start", len(orders))
		}
	})
	applyEvent(l, a1, aqagent.EventWire{Unresponsive: &aqagent.Unresponsive{ExpiresIn: time.Second}})
	entry.Incarnation = 2
	l.decide(func(d *aqdecider.Decider) { d.UpdateWorker(entry) })
	l.agents.addWorker(entry)
	occupied := func() (occupied bool) {
		clock.Advance(time.Millisecond)
		l.decide(l.agents.expireLeases)
		l.decide(func(d *aqdecider.Decider) { occupied = d.Occupied("w1") })
		return occupied
	}
	clock.Advance(time.Second)
	if !occupied() {
		t.Fatal("the run is given up with the lease of the earlier incarnation")
	}
	deadline := l.agents.assignments["w1"].leaseExpiresAt
	if deadline.IsZero() {
		t.Fatal("nothing makes the leader decide again")
	}
	clock.Advance(deadline.Sub(clock.Now()))
	if occupied() {
		t.Fatal("the run is held for good")
	}
}
