package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// setCapacity applies an entry of w1 in service discovery with another capacity.
func (h *harness) setCapacity(cpu aqtype.MilliCPU) {
	h.d.UpdateWorker(poolWorker("w1", "r1-1", cpu))
}

// A worker whose capacity shrinks under running work keeps the work and gets nothing new
// until it fits; when the capacity grows again, waiting tasks start.
func TestShrunkWorkerGetsNothingUntilItFits(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(6, 1000)), nil, 0, false)
	h.tick()
	h.report("w1")
	h.setCapacity(4000)
	h.d.AddJob(testJob(2, tasks(4, 1000)), nil, 0, false)
	h.advance(time.Second)
	h.tick()
	if len(h.started) != 6 || len(h.stopped) != 0 {
		t.Fatalf("%d started, %d stopped on a worker that is over its capacity", len(h.started), len(h.stopped))
	}
	for n := range 3 {
		h.end(n+1, h.started[n], EndDone)
	}
	h.tick()
	if len(h.started) != 7 {
		t.Fatalf("%d starts with room for one task, want 7", len(h.started))
	}
	h.setCapacity(8000)
	h.tick()
	if len(h.started) != 10 {
		t.Fatalf("%d starts after the capacity has grown, want 10", len(h.started))
	}
}

// Guards against LIMIT: a start that was ordered before the worker's capacity shrank, and
// has not been carried out yet, would bring the worker over it.
func TestShrunkWorkerGetsNoEarlierStarts(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(2, 2000)), nil, 0, false)
	h.tick()
	h.report("w1")
	h.d.AddJob(testJob(2, tasks(2, 2000)), nil, 0, false)
	waiting := h.d.Tick()
	if len(waiting) != 2 {
		t.Fatalf("%d orders, want 2", len(waiting))
	}
	h.setCapacity(6000)
	h.tick()
	if len(h.stopped) != 1 || h.stopped[0].Run.Task.Job != testJob(2).ID {
		t.Fatalf("stopped %v, want one of the starts that have not been carried out", h.stopped)
	}
}

// Perpetual tasks leave a worker that stays over its capacity, within their disruption
// budget and only for workers with room.
func TestPerpetualTasksLeaveAShrunkWorker(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	perpetual := tasks(4, 2000)
	perpetual.Perpetual = true
	h.d.AddJob(testJob(1, perpetual), nil, 0, false)
	h.tick()
	h.advance(2 * time.Second)
	h.tick()
	settled := func() {
		for id := range h.running["w1"] {
			h.running["w1"][id] = RunReport{Run: id, Percent: 100}
		}
		h.report("w1")
		h.tick()
	}
	settled()
	if len(h.running["w1"]) != 4 {
		t.Fatalf("%d runs, want 4", len(h.running["w1"]))
	}
	h.setCapacity(4000)
	for range 10 {
		h.advance(500 * time.Millisecond)
		settled()
	}
	if len(h.stopped) != 0 {
		t.Fatalf("stopped %v without another worker", h.stopped)
	}
	other := poolWorker("w2", "r1-1", 8000)
	h.running["w2"] = map[RunID]RunReport{}
	h.d.UpdateWorker(other)
	h.d.MarkPersisted(h.d.FleetIDs())
	h.d.WorkerReported("w2", WorkerReport{Incarnation: 1, Complete: true, Sent: h.nextTime()})
	for range 4 {
		h.advance(500 * time.Millisecond)
		settled()
	}
	if len(h.stopped) != 1 {
		t.Fatalf("stopped %v, want one at a time", h.stopped)
	}
}

// Capacities that shrink and grow under any load are kept, through changes of the leader
// and crashes, and all work ends.
func TestCapacitiesThatShrinkAndGrow(t *testing.T) {
	for seed := range int64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newCrashWorld(t, seed, 6)
			c.sameID = seed%2 == 0
			c.unknownRate = 0.05
			c.heldRate = 0.3
			c.crashLoad()
			for n := range 120 {
				if n < 40 {
					c.submit(testJob(1000+n, tasks(1+c.random.Intn(6), aqtype.MilliCPU(500*(1+c.random.Intn(4))))))
				}
				all := c.sorted()
				c.resize(all[c.random.Intn(len(all))])
				if n%30 == 29 {
					c.loseLeader()
				}
				for range 6 {
					c.step()
				}
			}
			for _, w := range c.sorted() {
				w.entry.Capacity.MilliCPU = crashCPU
			}
			for n := range 40 {
				c.expectState(testJob(1000+n).ID, aqjob.StateCompleted)
			}
		})
	}
}
