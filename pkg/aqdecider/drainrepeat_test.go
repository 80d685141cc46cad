package aqdecider

import (
	"slices"
	"testing"
	"time"
)

// Guards against DRAIN: a start that had not been answered was repeated through the next agent, long after its worker had been
// listed as draining.
func TestStartIsNotRepeatedOnADrainingWorker(t *testing.T) {
	for _, draining := range []bool{false, true} {
		w := poolWorker("w1", "r1-1", 8000)
		h := newHarness(t, w)
		h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
		// Nobody answers the start.
		if starts := countStarts(h.d.Tick()); starts != 1 {
			t.Fatalf("%d starts, want 1", starts)
		}
		w.Draining, w.Remaining = draining, time.Minute
		h.d.UpdateWorker(w)
		h.advance(6 * time.Second)
		h.d.WorkerReassigned("w1")
		orders := h.d.Tick()
		if repeated := countStarts(orders) > 0; repeated == draining {
			t.Errorf("draining %v: start repeated: %v", draining, repeated)
		}
		if stopped := hasStop(orders); stopped != draining {
			t.Errorf("draining %v: order to stop: %v", draining, stopped)
		}
		// The task is not placed elsewhere before the worker has stopped it.
		other := poolWorker("w2", "r1-1", 8000)
		h.d.UpdateWorker(other)
		h.d.MarkPersisted(h.d.FleetIDs())
		h.d.WorkerReported("w2", WorkerReport{Incarnation: 1, Complete: true, Sent: h.nextTime()})
		if starts := countStarts(h.d.Tick()); starts > 0 {
			t.Errorf("draining %v: the task is started elsewhere as well", draining)
		}
	}
}

func countStarts(orders []Order) (count int) {
	for _, o := range orders {
		if _, isStart := o.(Start); isStart {
			count++
		}
	}
	return count
}

func hasStop(orders []Order) bool {
	return slices.ContainsFunc(orders, func(o Order) bool {
		_, isStop := o.(Stop)
		return isStop
	})
}

// Guards against DRAIN: a start that waited at an agent was sent seconds after its worker had been listed as draining.
func TestWaitingStartIsTakenBackFromADrainingWorker(t *testing.T) {
	for _, test := range []struct {
		name     string
		draining bool
		answered bool
		want     bool
	}{
		{name: "not draining"},
		{name: "running", draining: true, answered: true},
		{name: "not answered", draining: true, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := poolWorker("w1", "r1-1", 8000)
			h := newHarness(t, w)
			h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
			orders := h.d.Tick()
			if countStarts(orders) != 1 {
				t.Fatalf("orders %+v, want a start", orders)
			}
			if start := orders[0].(Start); test.answered {
				h.d.StartAnswered("w1", 1, start.Run, OutcomeAccepted, h.nextTime())
			}
			w.Draining, w.Remaining = test.draining, time.Minute
			stopped := false
			for range 8 {
				h.d.UpdateWorker(w)
				stopped = hasStop(h.d.Tick()) || stopped
				h.advance(200 * time.Millisecond)
			}
			if stopped != test.want {
				t.Errorf("stopped: %v, want %v", stopped, test.want)
			}
		})
	}
}
