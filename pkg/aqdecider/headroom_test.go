package aqdecider

import (
	"testing"
	"time"
)

// Guards against LOST: a perpetual task that waits, with a place for it, for as long as a job waits
// that no worker can take.
func TestImpossibleJobHoldsBackNoPerpetualTask(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 1500))
	h.d.AddJob(testJob(1, tasks(1, 9000)), nil, 0, false)
	perpetual := tasks(1, 1000)
	perpetual.Perpetual = true
	h.d.AddJob(testJob(2, perpetual), nil, 0, false)
	for range 100 {
		h.tick()
		h.advance(100 * time.Millisecond)
	}
	if len(h.started) != 1 {
		t.Fatalf("%d starts in 10 s, want that of the perpetual task", len(h.started))
	}
}
