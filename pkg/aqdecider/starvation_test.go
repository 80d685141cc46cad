package aqdecider

import (
	"math"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// maxIdleWait is how long a task may wait while workers have room for it, by the users' rules.
const maxIdleWait = 3 * time.Second

// maxOverTarget is how long fillers may keep a serving task over its target, by the users'
// rules.
const maxOverTarget = 4 * time.Second

// runFor runs rounds for a time and reports each worker's runs every half second.
func (h *harness) runFor(span time.Duration, measure func(aqtype.WorkerID, RunReport) RunReport) {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		h.advance(step)
		if (passed+step)%(500*time.Millisecond) == 0 {
			for id, runs := range h.running {
				for run, report := range runs {
					runs[run] = measure(id, report)
				}
				h.report(id)
			}
		}
		h.tick()
	}
}

// ready reports every run as one that is ready or makes progress.
func ready(_ aqtype.WorkerID, r RunReport) RunReport {
	r.Percent = 100
	return r
}

func (h *harness) hasStarted(job int) bool {
	for _, s := range h.started {
		if s.Run.Task.Job == testJob(job).ID {
			return true
		}
	}
	return false
}

// lastStart returns the last start of a job.
func (h *harness) lastStart(job int) Start {
	h.t.Helper()
	for i := len(h.started) - 1; i >= 0; i-- {
		if h.started[i].Run.Task.Job == testJob(job).ID {
			return h.started[i]
		}
	}
	h.t.Fatalf("job %d has not started", job)
	return Start{}
}

// suspectedHarness has one worker with a lasting task, on which tasks of two jobs have failed.
func suspectedHarness(t *testing.T) *harness {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000))
	lasting := tasks(1, 1000)
	lasting.Perpetual = true
	h.d.AddJob(testJob(1, lasting), nil, 0, false)
	h.tick()
	for n := range 2 {
		h.d.AddJob(testJob(2+n, tasks(1, 1000)), nil, 0, false)
		h.tick()
		h.end(1+n, h.lastStart(2+n), EndFailed)
		h.d.Cancel(testJob(2 + n).ID)
	}
	return h
}

func TestSuspectedWorkerWithLastingTasksIsUsedAgain(t *testing.T) {
	for _, test := range []struct {
		name  string
		group func() aqjob.Group
	}{
		{name: "finite", group: func() aqjob.Group { return tasks(1, 1000) }},
		{name: "perpetual", group: func() aqjob.Group {
			g := tasks(1, 1000)
			g.Perpetual = true
			return g
		}},
		{name: "gang", group: func() aqjob.Group {
			g := tasks(1, 1000)
			g.Gang = true
			return g
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := suspectedHarness(t)
			h.d.AddJob(testJob(4, test.group()), nil, 0, false)
			h.runFor(maxIdleWait, ready)
			if !h.hasStarted(4) {
				t.Fatal("the suspected worker got no task")
			}
		})
	}
}

func TestSuspectedWorkerGetsOneTaskAtATime(t *testing.T) {
	h := suspectedHarness(t)
	before := len(h.started)
	h.d.AddJob(testJob(4, tasks(5, 1000)), nil, 0, false)
	h.runFor(maxIdleWait, func(_ aqtype.WorkerID, r RunReport) RunReport { return r })
	if got := len(h.started) - before; got != 1 {
		t.Fatalf("%d of 5 tasks started before the first has ended", got)
	}
	h.end(3, h.lastStart(4), EndDone)
	h.tick()
	if got := len(h.started) - before; got != 5 {
		t.Fatalf("%d of 5 tasks started after a success", got)
	}
}

func TestSuspectedWorkerIsClearedByALastingTask(t *testing.T) {
	h := suspectedHarness(t)
	lasting := tasks(4, 1000)
	lasting.Perpetual = true
	h.d.AddJob(testJob(4, lasting), nil, 0, false)
	h.runFor(2*maxIdleWait, ready)
	if got := h.startsByWorker()["w1"]; got != 3+4 {
		t.Fatalf("%d starts, want all 4 lasting tasks", got)
	}
}

// harmfulFillerHarness has workers with a serving task each, and a model that has learned
// from a slow worker that fillers of one image harm it.
func harmfulFillerHarness(t *testing.T) *harness {
	h := newHarness(t, poolWorker("w1", "r1-1", 64000), poolWorker("w2", "r1-1", 64000), poolWorker("w3", "r1-2", 64000))
	serving := tasks(3, 20000)
	serving.Perpetual, serving.Image, serving.TailTarget = true, "serving", 18*time.Millisecond
	serving.AntiAffinity = 1
	h.d.AddJob(testJob(1, serving), nil, 0, false)
	h.runFor(time.Second, ready)
	h.d.AddJob(testJob(2, fillers(1)), nil, 0, false)
	h.tick()
	slow := h.lastStart(2)
	h.runFor(4*time.Second, func(id aqtype.WorkerID, r RunReport) RunReport {
		tail := 6 * time.Millisecond
		if id == slow.Worker {
			tail = 60 * time.Millisecond
		}
		return servingOrFiller(r, slow, tail)
	})
	h.end(1, slow, EndDone)
	return h
}

// fillerCPU is the size of the fillers in these tests.
const fillerCPU = 8000

func fillers(count int) aqjob.Group {
	g := tasks(count, fillerCPU)
	g.Filler, g.Image, g.Checkpointing = true, "filler", true
	return g
}

// servingOrFiller completes a report: a filler's usage, or a serving task's tail latency.
func servingOrFiller(r RunReport, filler Start, tail time.Duration) RunReport {
	if r.Run.Task.Job == filler.Run.Task.Job {
		r.Percent++
		r.Usage = fillerCPU
		return r
	}
	r.Percent = 100
	r.Tail = tail
	return r
}

func TestFillerThatIsSaidToHarmAllWorkersStarts(t *testing.T) {
	h := harmfulFillerHarness(t)
	h.d.AddJob(testJob(3, fillers(2)), nil, 0, false)
	h.runFor(maxIdleWait, func(_ aqtype.WorkerID, r RunReport) RunReport {
		if r.Run.Task.Job == testJob(3).ID {
			r.Percent++
			return r
		}
		r.Percent, r.Tail = 100, 6*time.Millisecond
		return r
	})
	if !h.hasStarted(3) {
		t.Fatal("no worker got the filler, though each has room for it")
	}
	run := RunID{
		Task:    aqjob.TaskID{Job: testJob(3).ID},
		Attempt: 1,
	}
	if paces := h.pacesOf(run); len(paces) == 0 || paces[0] != reducedPace {
		t.Fatalf("paces %v, want %d first", paces, reducedPace)
	}
}

// pacesOf lists the paces that a run was given.
func (h *harness) pacesOf(run RunID) []int {
	var paces []int
	for _, p := range h.paced {
		if p.Run == run {
			paces = append(paces, p.Percent)
		}
	}
	return paces
}

func TestFillerThatHarmsAllWorkersKeepsThemUnderTheirTargets(t *testing.T) {
	h := harmfulFillerHarness(t)
	h.d.AddJob(testJob(3, fillers(20)), nil, 0, false)
	const harm = 8.0
	over := map[aqtype.WorkerID]time.Duration{}
	longest := time.Duration(0)
	h.runFor(20*time.Second, func(id aqtype.WorkerID, r RunReport) RunReport {
		if r.Run.Task.Job == testJob(3).ID {
			r.Percent++
			r.Usage = aqtype.MilliCPU(fillerCPU * h.pace(r.Run) / fullPace)
			return r
		}
		used := 0
		for run := range h.running[id] {
			if run.Task.Job == testJob(3).ID {
				used += fillerCPU * h.pace(run) / fullPace
			}
		}
		r.Percent, r.Tail = 100, time.Duration(6*math.Exp(harm*float64(used)/64000)*float64(time.Millisecond))
		if r.Tail < 18*time.Millisecond {
			over[id] = 0
		} else {
			over[id] += 500 * time.Millisecond
		}
		longest = max(longest, over[id])
		return r
	})
	if !h.hasStarted(3) || longest >= maxOverTarget {
		t.Fatalf("%d starts, a worker over its target for %s", len(h.started), longest)
	}
}

// pace returns the pace of a run in percent.
func (h *harness) pace(run RunID) int {
	if paces := h.pacesOf(run); len(paces) > 0 {
		return paces[len(paces)-1]
	}
	return fullPace
}

func TestSuspendedFillerIsResumedByTheNextLeader(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 64000))
	h.d.AddJob(testJob(1, fillers(1)), nil, 0, true)
	run := RunID{
		Task:    aqjob.TaskID{Job: testJob(1).ID},
		Attempt: 1,
	}
	// The earlier leader has suspended the run.
	h.running["w1"][run] = RunReport{Run: run, Percent: 36}
	h.report("w1")
	h.runFor(2*maxIdleWait, func(_ aqtype.WorkerID, r RunReport) RunReport {
		if len(h.paced) > 0 {
			r.Percent++
		}
		return r
	})
	if len(h.stopped) > 0 {
		t.Fatalf("stopped %v", h.stopped)
	}
	if len(h.paced) == 0 || h.paced[len(h.paced)-1].Percent != fullPace {
		t.Fatalf("paced %v, want full speed in the end", h.paced)
	}
}

func TestRunThatStandsStillIsStopped(t *testing.T) {
	for _, test := range []struct {
		name  string
		group func() aqjob.Group
		// within is the time from the start in which a run must be found to stand still.
		within time.Duration
	}{
		{name: "finite", group: func() aqjob.Group { return tasks(1, 1000) }, within: minStuckTime + maxIdleWait},
		{name: "perpetual", group: func() aqjob.Group {
			g := tasks(1, 1000)
			g.Perpetual = true
			return g
		}, within: readyTimeout + maxIdleWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 10000))
			h.d.AddJob(testJob(1, test.group()), nil, 0, false)
			h.runFor(test.within, func(_ aqtype.WorkerID, r RunReport) RunReport { return r })
			if len(h.stopped) != 1 {
				t.Fatalf("stopped %v", h.stopped)
			}
		})
	}
}
