package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// A worker whose lease has ended gets a new assignment: an order that still waits
// at its agent must not be carried out when the worker answers again.
func TestLapseTakesQueuedOrdersBack(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	m := &member{
		record:   nodeRecord{Name: "a1", Processors: 1},
		up:       true,
		enlisted: true,
		ctx:      context.Background(),
		wake:     make(chan struct{}, 1),
		posts:    map[aqtype.WorkerID]*post{},
		busy:     make(chan struct{}, 1),
	}
	l.crew.add(m)
	l.crew.place(aqdecider.Worker{ID: "w1", Life: 1})
	before := l.crew.posts["w1"].serial
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	l.crew.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: run}})
	m.pending = ordersCall{}
	l.decide(func(d *aqdecider.Decider) {
		d.ListWorker(aqdecider.Worker{ID: "w1", Life: 1})
		l.crew.unheard(d, "w1", silent{LapseIn: time.Second})
	})
	clock.Advance(2 * time.Second)
	l.decide(l.crew.lapse)
	if after := l.crew.posts["w1"].serial; after <= before {
		t.Fatalf("the assignment is still number %d", after)
	}
	if len(m.pending.Drop) != 1 || len(m.pending.Assign) != 1 {
		t.Fatalf("the agent is told %+v", m.pending)
	}
	if l.crew.current(m, eventWire{Worker: "w1", Serial: before}) {
		t.Fatal("events of the ended assignment are taken")
	}
}
