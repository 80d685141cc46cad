package aqdecider

import (
	"testing"
	"time"
)

// Guards against a suspended filler that never runs again: the serving task beside it is expected
// to be near its target even alone, and what the filler does to it is learned only while it runs.
func TestSuspendedFillerBesideABusyServingTaskRunsAgain(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000))
	serving := tasks(1, 2000)
	serving.Perpetual, serving.Image, serving.TailTarget = true, "serving", 10*time.Millisecond
	filler := tasks(1, 1000)
	filler.Filler, filler.Image = true, "filler"
	h.d.AddJob(testJob(1, serving), nil, 0, false)
	h.tick()
	report := func(tail time.Duration) {
		for id := range h.running["w1"] {
			r := RunReport{Run: id, Percent: 100, Tail: tail}
			if id.Task.Job == testJob(2).ID {
				r = RunReport{Run: id, Percent: 10}
			}
			h.running["w1"][id] = r
		}
		h.report("w1")
		h.tick()
		h.advance(700 * time.Millisecond)
	}
	const nearTarget = 6200 * time.Microsecond
	for range 200 {
		report(nearTarget)
	}
	h.d.AddJob(testJob(2, filler), nil, 0, false)
	for range 6 {
		report(nearTarget)
	}
	if len(h.started) != 2 {
		t.Fatalf("started %v", h.started)
	}
	for range 6 {
		report(20 * time.Millisecond)
	}
	if last := h.paced[len(h.paced)-1]; last.Percent != 0 {
		t.Fatalf("paced %v", h.paced)
	}
	for range 200 {
		report(nearTarget)
	}
	if last := h.paced[len(h.paced)-1]; last.Percent == 0 {
		t.Fatal("the filler is suspended for 140 s beside a serving task at 0.62 of its target")
	}
}
