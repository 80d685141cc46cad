package aqdecider

import (
	"testing"
	"time"
)

// Guards against runs that are lost with a draining worker: its entry was applied again, and the
// time that it says is left counted from then.
func TestEntryThatIsAppliedAgainDoesNotProlongTheDrain(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.tick()
	leaving := poolWorker("w1", "r1-1", 8000)
	leaving.Draining = true
	leaving.Remaining = 2 * time.Second
	for range 3 {
		h.d.UpdateWorker(leaving)
		h.tick()
		h.advance(time.Second)
	}
	h.d.UpdateWorker(leaving)
	h.tick()
	if len(h.stopped) != 1 {
		t.Fatal("3 s after a worker said that it leaves in 2 s, its run is not stopped")
	}
}

// A new incarnation under the same id drains anew.
func TestNextIncarnationDrainsAnew(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	leaving := poolWorker("w1", "r1-1", 8000)
	leaving.Draining = true
	leaving.Remaining = time.Second
	h.d.UpdateWorker(leaving)
	h.advance(10 * time.Second)
	h.d.WorkerReported("w1", WorkerReport{Incarnation: 2, Complete: true, Sent: h.nextTime()})
	leaving.Incarnation = 2
	leaving.Remaining = 5 * time.Second
	h.d.UpdateWorker(leaving)
	if got, want := h.d.workers["w1"].leavesAt, h.now.Add(5*time.Second); !got.Equal(want) {
		t.Fatalf("leaves at %v, want %v", got, want)
	}
}
