package aqdecider

import (
	"slices"
	"testing"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

var copyWorkers = []aqtype.WorkerID{"w1", "w2", "w3", "w4"}

// reportAll makes every worker report.
func (h *harness) reportAll() { h.reportWorkers(copyWorkers) }

func (h *harness) reportWorkers(ids []aqtype.WorkerID) {
	for _, id := range ids {
		h.report(id)
	}
}

// newLateHarness returns a harness in which three tasks of a speculative group have ended after half a second, and
// the last has made a tenth of its progress after a second. change changes the job first.
func newLateHarness(t *testing.T, change func(*aqjob.Job)) (h *harness, late Start) {
	t.Helper()
	h = newHarness(t)
	for _, id := range copyWorkers {
		h.running[id] = map[RunID]RunReport{}
		h.d.UpdateWorker(poolWorker(string(id), "r1-1", 1000))
	}
	h.d.MarkPersisted(copyWorkers)
	h.reportAll()
	group := tasks(4, 1000)
	group.Speculative = true
	job := testJob(1, group)
	job.AcceptedAt = h.now.UnixMilli()
	change(job)
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	h.advance(500 * time.Millisecond)
	for _, s := range h.started[1:] {
		h.end(1, s, EndDone)
	}
	late = h.started[0]
	h.advance(500 * time.Millisecond)
	h.running[late.Worker][late.Run] = RunReport{Run: late.Run, Percent: 10}
	h.reportAll()
	h.tick()
	return h, late
}

// newCopyHarness returns a harness with a late run and its copy.
func newCopyHarness(t *testing.T) (h *harness, late, second Start) {
	t.Helper()
	h, late = newLateHarness(t, func(*aqjob.Job) {})
	if len(h.started) != 5 {
		t.Fatalf("%d starts, want one copy", len(h.started)-4)
	}
	return h, late, h.started[4]
}

func TestLateTaskGetsOneCopy(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*aqjob.Job)
		want   int
	}{
		{name: "speculative", change: func(*aqjob.Job) {}, want: 1},
		{name: "not speculative", change: func(j *aqjob.Job) { j.Groups[0].Speculative = false }},
		{name: "gang", change: func(j *aqjob.Job) { j.Groups[0].Gang = true }},
		{name: "perpetual", change: func(j *aqjob.Job) { j.Groups[0].Perpetual = true }},
		{name: "last attempt", change: func(j *aqjob.Job) { j.Queue.MaxAttempts = 1 }},
		{name: "in time", change: func(j *aqjob.Job) { j.Queue.Target = time.Minute }},
	} {
		h, late := newLateHarness(t, test.change)
		h.startsAfter(300 * time.Millisecond)
		copies := 0
		for _, s := range h.started {
			if s.Run.Task != late.Run.Task || s.Run == late.Run {
				continue
			}
			copies++
			if s.Worker == late.Worker || s.Run.Attempt <= late.Run.Attempt {
				t.Errorf("%s: the copy is %+v beside %+v", test.name, s, late)
			}
		}
		if copies != test.want {
			t.Errorf("%s: %d copies, want %d", test.name, copies, test.want)
		}
	}
}

// Work that waits for room comes first, unless it has waited for so long that no worker may suit it.
func TestCopyLeavesRoomToWaitingWork(t *testing.T) {
	h, late := newLateHarness(t, func(j *aqjob.Job) { j.Queue.Target = 20 * time.Second })
	h.advance(5 * time.Second)
	h.running[late.Worker][late.Run] = RunReport{Run: late.Run, Percent: 20}
	h.reportAll()
	waiting := tasks(3, 1000)
	waiting.Constraint = "r1-2"
	h.d.AddJob(testJob(2, waiting), nil, 0, false)
	if starts := h.startsAfter(2 * time.Second); starts != 4 {
		t.Fatalf("%d copies were started though other work waits", starts-4)
	}
	if starts := h.startsAfter(waitCounted); starts != 5 {
		t.Fatalf("%d copies were started, want 1", starts-4)
	}
}

// The first success counts, whichever run has it and whatever the other reports later.
func TestFirstSuccessOfTwoRunsCounts(t *testing.T) {
	for _, test := range []struct {
		name      string
		copyFirst bool
		other     EndReason
	}{
		{name: "the copy, the run is stopped", copyFirst: true, other: EndStopped},
		{name: "the copy, the run fails", copyFirst: true, other: EndFailed},
		{name: "the run, the copy is stopped", other: EndStopped},
		{name: "both in one round", other: EndDone},
	} {
		h, late, second := newCopyHarness(t)
		first, other := late, second
		if test.copyFirst {
			first, other = second, late
		}
		h.end(2, first, EndDone)
		if test.other != EndDone {
			h.tick()
			if !slices.ContainsFunc(h.stopped, func(s Stop) bool { return s.Run == other.Run }) {
				t.Errorf("%s: the other run is not stopped", test.name)
			}
		}
		h.end(2, other, test.other)
		if h.startsAfter(time.Second) != 5 {
			t.Errorf("%s: the task was started again", test.name)
		}
		if state, _ := h.d.State(testJob(1).ID); state != aqjob.StateCompleted {
			t.Errorf("%s: the job is %s", test.name, state)
		}
		if won := h.d.options.Metrics.Value(aqmetric.CopiesWon); (won == 1) != test.copyFirst {
			t.Errorf("%s: %d copies have won", test.name, won)
		}
	}
}

// A run that ends otherwise leaves the task to the one that goes on.
func TestOtherRunGoesOn(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(h *harness, late Start)
	}{
		{name: "stopped", lose: func(h *harness, late Start) { h.end(2, late, EndStopped) }},
		{name: "failed", lose: func(h *harness, late Start) { h.end(2, late, EndFailed) }},
		{
			name: "worker restarts",
			lose: func(h *harness, late Start) {
				restarted := poolWorker(string(late.Worker), "r1-1", 1000)
				restarted.Incarnation = 2
				h.d.UpdateWorker(restarted)
			},
		},
		{
			name: "lease expires",
			lose: func(h *harness, late Start) {
				h.d.WorkerUnresponsive(late.Worker)
				h.d.LeaseExpired(late.Worker)
			},
		},
	} {
		h, late, second := newCopyHarness(t)
		test.lose(h, late)
		if starts := h.startsAfter(500 * time.Millisecond); starts != 5 {
			t.Errorf("%s: %d starts beside the copy", test.name, starts-5)
		}
		h.end(2, second, EndDone)
		h.startsAfter(time.Second)
		if state, _ := h.d.State(testJob(1).ID); state != aqjob.StateCompleted {
			t.Errorf("%s: the job is %s", test.name, state)
		}
	}
}

// A task that is suspected of crashing its workers, or runs alone for that, gets no copy.
func TestSuspectedTaskGetsNoCopy(t *testing.T) {
	crashes := []aqcrash.Crash{
		{Instance: aqcrash.Instance{Worker: "w8", Incarnation: 1}, Seen: time.Second},
		{Instance: aqcrash.Instance{Worker: "w9", Incarnation: 1}, Seen: time.Second},
	}
	for _, test := range []struct {
		name    string
		history aqcrash.History
		want    int
	}{
		{name: "none", want: 1},
		{name: "suspected", history: aqcrash.History{Crashes: crashes}},
		{name: "on trial", history: aqcrash.History{Trial: &aqcrash.Instance{Worker: "w9", Incarnation: 1}}},
	} {
		h, late := newLateHarness(t, func(j *aqjob.Job) { j.Queue.Target = 20 * time.Second })
		h.d.task(late.Run.Task).history = test.history
		h.advance(5 * time.Second)
		h.running[late.Worker][late.Run] = RunReport{Run: late.Run, Percent: 20}
		h.reportAll()
		if starts := h.startsAfter(time.Second); starts != 4+test.want {
			t.Errorf("%s: %d copies, want %d", test.name, starts-4, test.want)
		}
	}
}

// Failures of both runs count, and a task without an attempt in reserve gets no copy.
func TestFailuresOfCopiesCount(t *testing.T) {
	h, late, second := newCopyHarness(t)
	h.end(2, late, EndFailed)
	if h.startsAfter(time.Second) != 5 {
		t.Fatal("a copy was started beside the last attempt")
	}
	h.end(2, second, EndFailed)
	if h.startsAfter(time.Second) != 5 {
		t.Fatal("a third attempt was started")
	}
	if state, _ := h.d.State(testJob(1).ID); state != aqjob.StateFailed {
		t.Fatalf("the job is %s", state)
	}
}

// The next leader keeps both runs of a task that may have copies, and one of any other.
func TestNextLeaderKeepsBothRuns(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		h, late, second := newCopyHarness(t)
		n := h.next(copyWorkers, poolWorker("w9", "r1-1", 4000))
		n.d.SetQueues([]aqjob.Queue{testJob(1).Queue})
		group := tasks(4, 1000)
		group.Speculative = speculative
		progress := h.d.jobs[testJob(1).ID].progress()
		n.d.AddJob(testJob(1, group), progress, 1, true)
		for _, id := range copyWorkers {
			n.running[id] = h.running[id]
			n.d.UpdateWorker(poolWorker(string(id), "r1-1", 1000))
			n.report(id)
		}
		n.d.MarkPersisted(append([]aqtype.WorkerID{"w9"}, copyWorkers...))
		n.tick()
		if stops := len(n.stopped); (stops == 0) != speculative || len(n.started) != 0 {
			t.Fatalf("speculative %v: %d stops and %d starts", speculative, stops, len(n.started))
		}
		if !speculative {
			continue
		}
		n.end(2, second, EndDone)
		n.tick()
		if len(n.stopped) != 1 || n.stopped[0].Run != late.Run {
			t.Fatalf("stopped %v, want the other run", n.stopped)
		}
		n.end(2, late, EndDone)
		n.startsAfter(time.Second)
		if state, _ := n.d.State(testJob(1).ID); state != aqjob.StateCompleted || len(n.started) != 0 {
			t.Fatalf("the job is %s after %d starts", state, len(n.started))
		}
	}
}

// Two runs of a task on one worker are not a run and its copy: one of them is stopped.
func TestNextLeaderKeepsOneRunOnAWorker(t *testing.T) {
	h, late, second := newCopyHarness(t)
	n := h.next([]aqtype.WorkerID{late.Worker}, poolWorker("w9", "r1-1", 4000))
	group := tasks(4, 1000)
	group.Speculative = true
	n.d.AddJob(testJob(1, group), h.d.jobs[testJob(1).ID].progress(), 1, true)
	n.running[late.Worker] = map[RunID]RunReport{
		late.Run:   {Run: late.Run},
		second.Run: {Run: second.Run},
	}
	n.d.UpdateWorker(poolWorker(string(late.Worker), "r1-1", 4000))
	n.report(late.Worker)
	n.tick()
	if len(n.stopped) != 1 || len(n.started) != 0 || n.d.task(late.Run.Task).copy != nil {
		t.Fatalf("stopped %v, started %v, want one stop", n.stopped, n.started)
	}
}

// While a worker of an earlier term has not reported, it may run the task.
func TestNoCopyBeforeAllWorkersHaveReported(t *testing.T) {
	h, _ := newLateHarness(t, func(j *aqjob.Job) { j.Queue.Target = 20 * time.Second })
	h.d.AwaitReports([]aqtype.WorkerID{"unheard"}, h.now.Add(leasesEnd))
	h.advance(5 * time.Second)
	h.running[h.started[0].Worker][h.started[0].Run] = RunReport{Run: h.started[0].Run, Percent: 20}
	h.reportAll()
	h.tick()
	if len(h.started) != 4 {
		t.Fatal("a copy was started")
	}
	h.d.LimitReportWait(h.now)
	h.startsAfter(200 * time.Millisecond)
	if len(h.started) != 5 {
		t.Fatal("no copy was started once no worker is awaited")
	}
}

// A worker whose agent is replaced is unreachable for a moment. Its tasks get copies only if it stays so.
func TestReplacedAgentCausesNoCopy(t *testing.T) {
	h, late := newLateHarness(t, func(j *aqjob.Job) { j.Queue.Target = 20 * time.Second })
	h.d.WorkerReassigned(late.Worker)
	if starts := h.startsAfter(silenceTimeout); starts != 4 {
		t.Fatalf("%d copies were started while an agent is replaced", starts-4)
	}
	if starts := h.startsAfter(500 * time.Millisecond); starts != 5 {
		t.Fatalf("%d copies were started, want 1", starts-4)
	}
}

// Every reason for which no copy is started has its counter.
func TestEveryVerdictIsCounted(t *testing.T) {
	for _, verdict := range aqspeculation.Verdicts {
		if !slices.Contains(aqmetric.CopyDeclineReasons, aqmetric.CopyDeclineReason(verdict)) {
			t.Errorf("no counter for %s", verdict)
		}
	}
}
