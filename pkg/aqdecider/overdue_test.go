package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqtype"
)

// calm reports serving tasks well under target and fillers with progress.
func calm(_ aqtype.WorkerID, r RunReport) RunReport {
	if r.Run.Task.Job == testJob(1).ID {
		r.Percent, r.Tail = 100, 6*time.Millisecond
		return r
	}
	if r.Percent < 99 {
		r.Percent++
	}
	return r
}

func TestNothingStartsOfAJobThatHasJustFailed(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 64000))
	gone := poolWorker("w2", "r1-1", 64000)
	h.d.AwaitReports([]aqtype.WorkerID{gone.ID}, h.now.Add(5*time.Second))
	h.d.AddJob(testJob(3, fillers(2)), nil, 0, true)
	j := h.d.jobs[testJob(3).ID]
	tk := j.occurrences[0].groups[0].tasks[0]
	// As restored from the store: two crashes, one of them isolated, and a trial on w2.
	tk.history.Add(aqcrash.Crash{Instance: aqcrash.Instance{Worker: "a", Incarnation: 1}})
	tk.history.Add(aqcrash.Crash{Instance: aqcrash.Instance{Worker: "b", Incarnation: 1}, Isolated: true})
	tk.history.Trial = &aqcrash.Instance{Worker: gone.ID, Incarnation: 1}
	h.runFor(10*time.Second, calm)
	if j.state.Final() && len(h.started) > 0 {
		t.Fatal("a task of the failed job was started and runs on")
	}
}

func TestForbiddenFillerStartsBesideOtherFillers(t *testing.T) {
	h := harmfulFillerHarness(t)
	other := fillers(3)
	other.Image, other.AntiAffinity, other.Size.MilliCPU = "other", 1, 4000
	other.Estimate = 100 * time.Second
	h.d.AddJob(testJob(4, other), nil, 0, false)
	h.runFor(time.Second, calm)
	if n := len(h.startsByWorker()); n != 3 {
		t.Fatalf("setup: %v", h.startsByWorker())
	}
	big := fillers(1)
	big.Size.MilliCPU = 16000
	h.d.AddJob(testJob(3, big), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	if !h.hasStarted(3) {
		g := h.d.jobs[testJob(3).ID].occurrences[0].groups[0]
		for _, w := range h.d.fleet {
			t.Logf("%s: %s fillers %v score %.2f", w.info.ID, h.d.fillerObstacle(g, w, fullPace), w.currentLoad().fillers, h.d.worstLogTail(w, g.filler(reducedPace)))
		}
		t.Fatalf("a filler waits for longer than 3 s: every worker has another filler; explain: %s", h.d.waitReason(g))
	}
}

func TestHarmlessFillersStartBesideBusyServingTasks(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 64000), poolWorker("w2", "r1-1", 64000), poolWorker("w3", "r1-2", 64000))
	serving := tasks(3, 20000)
	serving.Perpetual, serving.Image, serving.TailTarget, serving.AntiAffinity = true, "serving", 20*time.Millisecond, 1
	h.d.AddJob(testJob(1, serving), nil, 0, false)
	measure := func(_ aqtype.WorkerID, r RunReport) RunReport {
		if r.Run.Task.Job == testJob(1).ID {
			r.Percent, r.Tail = 100, 14*time.Millisecond
			return r
		}
		r.Percent = min(99, r.Percent+1)
		r.Usage = aqtype.MilliCPU(fillerCPU * h.pace(r.Run) / fullPace)
		return r
	}
	h.runFor(30*time.Second, measure)
	for n := range 8 {
		g := fillers(1)
		g.Estimate = 200 * time.Second
		h.d.AddJob(testJob(10+n, g), nil, 0, false)
	}
	h.runFor(30*time.Second, measure)
	started := 0
	for n := range 8 {
		if h.hasStarted(10 + n) {
			started++
		} else if n == 7 {
			t.Log(h.d.waitReason(h.d.jobs[testJob(17).ID].occurrences[0].groups[0]))
		}
	}
	if started < 8 {
		t.Fatalf("%d of 8 jobs of one harmless filler have started within 30 s", started)
	}
}

func TestFillerLargerThanTheLeftoverStarts(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000), poolWorker("w2", "r1-1", 10000), poolWorker("w3", "r1-1", 10000))
	serving := tasks(3, 8000)
	serving.Perpetual, serving.Image, serving.TailTarget, serving.AntiAffinity = true, "serving", 18*time.Millisecond, 1
	h.d.AddJob(testJob(1, serving), nil, 0, false)
	h.runFor(time.Second, calm)
	h.d.AddJob(testJob(3, fillers(1)), nil, 0, false) // 8.0 cores > 1.15 * 6.0
	h.runFor(busyPatience/2, calm)
	if h.hasStarted(3) {
		t.Fatal("started at once beside serving tasks that use most of the workers")
	}
	h.runFor(busyPatience/2+maxIdleWait, calm)
	if !h.hasStarted(3) {
		g := h.d.jobs[testJob(3).ID].occurrences[0].groups[0]
		t.Fatalf("waits for longer than 13 s: %s", h.d.waitReason(g))
	}
}

func TestSearchesForOverdueFillersReachEveryGroup(t *testing.T) {
	h := harmfulFillerHarness(t)
	// 40 groups that no worker can take rank before the one that could be started slowly.
	for n := range 40 {
		g := fillers(1)
		g.Constraint = "b"
		h.d.AddJob(testJob(100+n, g), nil, 0, false)
	}
	h.runFor(time.Second, calm)
	h.d.AddJob(testJob(3, fillers(1)), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	if !h.hasStarted(3) {
		t.Fatal("the searches of 40 groups that fit nowhere leave none for this one in 30 s")
	}
}

func TestGangOfForbiddenFillersStarts(t *testing.T) {
	h := harmfulFillerHarness(t)
	g := fillers(2)
	g.Gang = true
	h.d.AddJob(testJob(3, g), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	if !h.hasStarted(3) {
		t.Fatal("gang of fillers waits for longer than 3 s beside three workers with room")
	}
}

func TestSuspectedForbiddenFillerStarts(t *testing.T) {
	h := harmfulFillerHarness(t)
	h.d.AddJob(testJob(3, fillers(1)), nil, 0, false)
	j := h.d.jobs[testJob(3).ID]
	tk := j.occurrences[0].groups[0].tasks[0]
	tk.history.Add(aqcrash.Crash{Instance: aqcrash.Instance{Worker: "gone", Incarnation: 1}})
	tk.history.Add(aqcrash.Crash{Instance: aqcrash.Instance{Worker: "gone2", Incarnation: 1}})
	if !tk.history.Suspected() {
		t.Skip("not suspected by one crash")
	}
	h.runFor(30*time.Second, func(id aqtype.WorkerID, r RunReport) RunReport {
		h.d.jobs[testJob(3).ID].stored = 1 << 60
		return calm(id, r)
	})
	if !h.hasStarted(3) {
		t.Fatal("a suspected filler waits for longer than 3 s beside three workers with room")
	}
}

func TestProgressOfALongProbeClearsItsWorker(t *testing.T) {
	h := suspectedHarness(t)
	long := tasks(1, 1000)
	long.Estimate = 60 * time.Second
	h.d.AddJob(testJob(4, long), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	if !h.hasStarted(4) {
		t.Fatal("setup")
	}
	h.d.AddJob(testJob(5, tasks(1, 1000)), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	if !h.hasStarted(5) {
		t.Fatal("a task waits for longer than 3 s for the end of a probe that makes progress, 1 of 10 cores in use")
	}
}

func TestSuspendedProbeDoesNotCloseItsWorker(t *testing.T) {
	h := suspectedHarness(t)
	f := fillers(1)
	f.Size.MilliCPU = 1000
	h.d.AddJob(testJob(4, f), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	r := h.lastStart(4)
	h.d.setPace(h.d.workers["w1"].runs[r.Run], 0, 1)
	h.d.workers["w1"].runs[r.Run].paceAt = h.now.Add(time.Hour) // stays suspended: its neighbour stays at 0.7
	lasting := tasks(1, 1000)
	lasting.Perpetual = true
	h.d.AddJob(testJob(20, lasting), nil, 0, false)
	h.runFor(60*time.Second, ready)
	if !h.hasStarted(20) {
		t.Fatal("a lasting task waits for 60 s behind a suspended probe")
	}
}

func TestGangStartsOnASuspectedWorker(t *testing.T) {
	h := suspectedHarness(t)
	g := tasks(2, 1000)
	g.Gang = true
	h.d.AddJob(testJob(4, g), nil, 0, false)
	h.runFor(maxIdleWait, calm)
	if !h.hasStarted(4) {
		t.Fatal("a gang of two waits for longer than 3 s for one suspected worker with room for nine")
	}
}

func TestLateReportsOfASlowRunDoNotStopIt(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.tick()
	s := h.lastStart(1)
	for n := range 20 {
		h.advance(1100 * time.Millisecond)
		h.d.WorkerReported("w1", WorkerReport{
			Incarnation: 1, Complete: true, Sent: h.nextTime(),
			Clock:   time.Duration(n) * 300 * time.Millisecond,
			Running: []RunReport{{Run: s.Run, Percent: n / 3}},
		})
		h.tick()
	}
	if len(h.stopped) > 0 {
		t.Fatalf("stopped %v", h.stopped)
	}
}

func TestWorkerIsTriedAgainAfterAFailedProbe(t *testing.T) {
	for _, reason := range []EndReason{EndFailed, EndStopped} {
		h := suspectedHarness(t)
		h.d.AddJob(testJob(4, tasks(1, 1000)), nil, 0, false)
		h.runFor(maxIdleWait, calm)
		h.end(3, h.lastStart(4), reason)
		h.d.AddJob(testJob(5, tasks(1, 1000)), nil, 0, false)
		h.d.Cancel(testJob(4).ID)
		h.runFor(2*maxProbation, calm)
		if !h.hasStarted(5) {
			t.Fatalf("no try after a probe that ended as %s", reason)
		}
	}
}

func TestHaltedRunWithRareReportsIsStopped(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.tick()
	for range 30 {
		for range 21 {
			h.advance(100 * time.Millisecond)
			h.tick()
		}
		h.report("w1")
		h.tick()
	}
	if len(h.stopped) == 0 {
		t.Fatal("a run without progress for 63 s is not stopped")
	}
}

func TestSlowStartIsNotSpedUpBeforeItIsMeasured(t *testing.T) {
	h := harmfulFillerHarness(t)
	h.d.AddJob(testJob(3, fillers(1)), nil, 0, false)
	// Withhold the answer of the start for 1 s.
	var start *Start
	for i := 0; i < 40 && start == nil; i++ {
		h.advance(100 * time.Millisecond)
		for id := range h.running {
			for run, r := range h.running[id] {
				h.running[id][run] = calm(id, r)
			}
			if i%5 == 0 {
				h.report(id)
			}
		}
		for _, o := range h.d.Tick() {
			if s, ok := o.(Start); ok {
				start = &s
			}
		}
	}
	if start == nil {
		t.Fatal("setup")
	}
	for i := range 12 {
		h.advance(100 * time.Millisecond)
		if i%5 == 0 {
			for id := range h.running {
				h.report(id)
			}
		}
		h.d.Tick()
	}
	h.running[start.Worker][start.Run] = RunReport{Run: start.Run}
	h.d.StartAnswered(start.Worker, 1, start.Run, OutcomeAccepted, h.nextTime())
	var paces []int
	for range 3 {
		h.advance(50 * time.Millisecond)
		for _, o := range h.d.Tick() {
			if p, ok := o.(Pace); ok {
				paces = append(paces, p.Percent)
			}
		}
	}
	if len(paces) != 1 {
		t.Fatal("sped up before any measurement with the filler")
	}
}
