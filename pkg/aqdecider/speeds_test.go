package aqdecider

import (
	"math"
	"testing"
	"time"

	"acaciaquay/internal/site/aqspeed"
	"acaciaquay/pkg/aqjob"
)

// newMeasuredHarness returns a harness in which many tasks with an estimate of ten seconds have taken a second, and one
// has made a fifth of its progress in that time.
func newMeasuredHarness(t *testing.T) (h *harness, last Start) {
	t.Helper()
	h = newHarness(t, poolWorker("w1", "r1-1", 80000))
	h.report("w1")
	group := tasks(60, 1000)
	group.Estimate = 10 * time.Second
	job := testJob(1, group)
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	h.advance(time.Second)
	last = h.started[59]
	h.running["w1"][last.Run] = RunReport{Run: last.Run, Percent: 20}
	for i, s := range h.started[:59] {
		h.end(i+1, s, EndDone)
	}
	return h, last
}

// advanceRun lets a run advance by some percent a step, and returns after how many steps it is ordered to stop, zero
// if it is not.
func (h *harness) advanceRun(s Start, percent, steps int) int {
	for step := 1; step <= steps; step++ {
		h.advance(400 * time.Millisecond)
		report := h.running[s.Worker][s.Run]
		report.Percent += percent
		h.running[s.Worker][s.Run] = report
		h.report(s.Worker)
		h.tick()
		if len(h.stopped) > 0 {
			return step
		}
	}
	return 0
}

// The measured durations tell a task that stands still from a slow one sooner than the estimate does.
func TestStillTaskIsStoppedByMeasuredDurations(t *testing.T) {
	h, last := newMeasuredHarness(t)
	if steps := h.advanceRun(last, 1, 20); steps != 0 {
		t.Fatalf("a slow task was stopped after %d steps", steps)
	}
	if steps := h.advanceRun(last, 0, 20); steps != 4 {
		t.Fatalf("stopped after %d steps of 400 ms without progress, want 4", steps)
	}
	h, last = newMeasuredHarness(t)
	h.d.times = map[aqjob.QueueID]*queueTimes{}
	if steps := h.advanceRun(last, 0, 20); steps != 13 {
		t.Fatalf("stopped after %d steps of 400 ms where nothing is measured, want 13", steps)
	}
}

// A new leader starts with the speeds that the earlier one has measured.
func TestSpeedsOfAnEarlierLeader(t *testing.T) {
	h, last := newMeasuredHarness(t)
	h.advanceRun(last, 1, 10)
	slow := h.d.slowdownOf(h.d.task(last.Run.Task).group, h.d.workers["w1"])
	if slow == aqspeed.Usual {
		t.Fatal("nothing was measured")
	}
	stored, err := h.d.EncodeSpeeds()
	if err != nil {
		t.Fatal(err)
	}
	n := newHarness(t, poolWorker("w1", "r1-1", 80000))
	n.advance(h.now.Sub(n.now))
	if err := n.d.RestoreSpeeds(stored, 0); err != nil {
		t.Fatal(err)
	}
	n.d.AddJob(testJob(1, tasks(60, 1000)), nil, 0, false)
	if got := n.d.slowdownOf(n.d.task(last.Run.Task).group, n.d.workers["w1"]); math.Abs(float64(got-slow)) > 1e-9 {
		t.Fatalf("slowdown %v, want %v", got, slow)
	}
	if err := n.d.RestoreSpeeds([]byte("?"), 0); err == nil {
		t.Fatal("malformed speeds were restored")
	}
}

// A start that is carried out late does not make its worker slow.
func TestLateStartDoesNotCountAsSlow(t *testing.T) {
	h, _ := newMeasuredHarness(t)
	h.d.AddJob(testJob(2, tasks(1, 1000)), nil, 0, false)
	var late RunID
	for _, o := range h.d.Tick() {
		if start, ok := o.(Start); ok {
			late = start.Run
		}
	}
	h.advance(5 * time.Second)
	h.running["w1"][late] = RunReport{Run: late, Percent: 10}
	h.report("w1")
	r := h.d.task(late.Task).run
	h.advance(500 * time.Millisecond)
	h.running["w1"][late] = RunReport{Run: late, Percent: 60}
	h.report("w1")
	if whole := r.wholeUntil(r.measuredAt); whole != time.Second {
		t.Fatalf("the task is expected to take %s, want 1s", whole)
	}
	h.end(60, Start{Worker: "w1", Run: late}, EndDone)
	if took := h.d.queueTimes(testQueue).byEstimate.Quantile(1, time.Second); took > time.Second {
		t.Fatalf("a task has taken %s", took)
	}
}
