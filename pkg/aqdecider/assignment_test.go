package aqdecider

import (
	"testing"
	"time"
)

// Guards against TWICE: a start that waited to be sent when its worker's lease expired was sent in the
// worker's next assignment, though the run was lost and its task placed elsewhere.
func TestOrdersOfALostRunAreNotSent(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(*harness, RunID)
	}{
		{name: "first start", before: func(*harness, RunID) {}},
		{
			name: "repeated start",
			before: func(h *harness, _ RunID) {
				h.d.Tick()
				h.d.WorkerReassigned("w1")
			},
		},
		{
			name: "pace",
			before: func(h *harness, run RunID) {
				h.d.workers["w1"].runs[run].pace = reducedPace
				h.d.StartAnswered("w1", 1, run, OutcomeAccepted, h.nextTime())
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000))
			h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
			h.d.plan()
			if len(h.d.orders) != 1 {
				t.Fatalf("%d orders, want a start", len(h.d.orders))
			}
			lost := h.d.orders[0].(Start).Run
			test.before(h, lost)
			h.advance(time.Second)
			h.d.LeaseExpired("w1")
			for _, o := range h.d.Tick() {
				t.Errorf("%T of a lost run: %+v", o, o)
			}
		})
	}
}

// An order that waits when its worker is given to another agent is sent once.
func TestWaitingOrdersAreNotDoubledByANewAssignment(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.d.plan()
	h.d.WorkerReassigned("w1")
	if orders := h.d.Tick(); len(orders) != 1 {
		t.Errorf("orders %v, want one start", orders)
	}
}

// Guards against a filler that stays slow for good: an order to run at full pace that waited when its worker
// was given to another agent was dropped and not repeated.
func TestFullPaceIsRepeatedInANewAssignment(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	filler := tasks(1, 1000)
	filler.Filler = true
	h.d.AddJob(testJob(1, filler), nil, 0, false)
	h.tick()
	if len(h.started) != 1 {
		t.Fatalf("%d starts, want 1", len(h.started))
	}
	r := h.d.workers["w1"].runs[h.started[0].Run]
	h.d.setPace(r, reducedPace, 1)
	h.d.Tick()
	h.d.setPace(r, fullPace, 0)
	h.d.WorkerReassigned("w1")
	h.tick()
	if len(h.paced) != 1 || h.paced[0].Percent != fullPace {
		t.Errorf("paces %v, want one to %d", h.paced, fullPace)
	}
}
