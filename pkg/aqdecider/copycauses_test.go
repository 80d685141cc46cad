package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// A worker that gets another agent, or leaves one heartbeat unanswered, runs its tasks on. One that stays silent may not.
func TestSilentWorkerIsACauseForCopies(t *testing.T) {
	const silenceSteps = int(silenceTimeout / (100 * time.Millisecond))
	for _, test := range []struct {
		name   string
		change func(*Decider, aqtype.WorkerID)
	}{
		{name: "reassigned", change: (*Decider).WorkerReassigned},
		{name: "heartbeat unanswered", change: (*Decider).WorkerUnresponsive},
	} {
		h, silent := newHealthyHarness(t)
		test.change(h.d, silent.Worker)
		others := func(id aqtype.WorkerID) bool { return id != silent.Worker }
		if starts := h.advanceOthers(silenceSteps, others); starts != 4 {
			t.Errorf("%s: %d copies of a healthy run", test.name, starts-4)
		}
		if starts := h.advanceOthers(5, others); starts != 5 {
			t.Errorf("%s: %d copies of a run of a silent worker, want 1", test.name, starts-4)
		}
	}
}

// newHealthyHarness returns a harness in which one task of four has ended after a second, and the others have
// advanced as usual. The job would not meet its objective if one of them stood still.
func newHealthyHarness(t *testing.T) (h *harness, first Start) {
	t.Helper()
	h = newHarness(t)
	for _, id := range copyWorkers {
		h.running[id] = map[RunID]RunReport{}
		h.d.UpdateWorker(poolWorker(string(id), "r1-1", 8000))
	}
	h.d.MarkPersisted(copyWorkers)
	h.reportAll()
	group := tasks(4, 1000)
	group.Estimate = 10 * time.Second
	group.Speculative = true
	job := testJob(1, group)
	job.AcceptedAt = h.now.UnixMilli()
	job.Queue.Target = 10 * time.Second
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	h.advanceOthers(10, func(aqtype.WorkerID) bool { return true })
	h.end(1, h.started[3], EndDone)
	return h, h.started[0]
}

// advanceOthers lets the runs of the chosen workers advance by a percent in each of some steps of 100 ms. It returns
// the number of starts so far.
func (h *harness) advanceOthers(steps int, chosen func(aqtype.WorkerID) bool) int {
	for range steps {
		h.advance(100 * time.Millisecond)
		for _, id := range copyWorkers {
			if !chosen(id) {
				continue
			}
			for run, report := range h.running[id] {
				report.Percent++
				h.running[id][run] = report
			}
			h.report(id)
		}
		h.tick()
	}
	return len(h.started)
}

// A copy that outlives the run and gets a copy itself does not win against that.
func TestCopyThatOutlivedTheRunIsNoCopy(t *testing.T) {
	h, late, second := newCopyHarness(t)
	h.end(2, late, EndStopped)
	h.advance(100 * time.Millisecond)
	h.tick()
	h.running[second.Worker][second.Run] = RunReport{Run: second.Run, Percent: 10}
	for range 30 {
		if len(h.started) > 5 {
			break
		}
		h.advance(200 * time.Millisecond)
		h.reportAll()
		h.tick()
	}
	if len(h.started) != 6 {
		t.Fatal("the copy that goes on got no copy")
	}
	h.end(5, second, EndDone)
	won, lost := h.d.options.Metrics.Value(aqmetric.CopiesWon), h.d.options.Metrics.Value(aqmetric.CopiesLost)
	if won != 0 || lost != 1 {
		t.Fatalf("%d copies have won and %d lost, want one that lost", won, lost)
	}
}

// The run of a task that is done, as another run of it has succeeded, says nothing of its siblings.
func TestUsualTimeLeavesOutTasksThatAreDone(t *testing.T) {
	h, first := newHealthyHarness(t)
	g := h.d.task(first.Run.Task).group
	h.advance(usualMaxAge)
	if _, bySiblings := h.d.usualTime(g); !bySiblings {
		t.Fatal("the usual time does not follow from an ended task and three runs")
	}
	for _, s := range h.started[:2] {
		h.d.task(s.Run.Task).done = true
	}
	h.advance(usualMaxAge)
	if usual, bySiblings := h.d.usualTime(g); bySiblings {
		t.Fatalf("%s by an ended task and one run", usual)
	}
}

// A worker reports more often while a run there has taken longer than its siblings and may get a copy, not when it has
// taken as long as they.
func TestWorkerIsWatchedWhileARunMayGetACopy(t *testing.T) {
	h, late := newLateHarness(t, func(j *aqjob.Job) { j.Queue.Target = 20 * time.Second })
	if !h.d.NeedsFrequentHeartbeats(late.Worker) {
		t.Fatal("not watched after twice the usual time")
	}
	g := h.d.task(late.Run.Task).group
	for _, test := range []struct {
		usual time.Duration
		want  bool
	}{
		{usual: 1200 * time.Millisecond},
		{usual: 900 * time.Millisecond, want: true},
	} {
		h.advance(copyReviewInterval)
		g.siblings = aqspeculation.Siblings{}
		for range 3 {
			g.siblings.Add(test.usual)
		}
		g.usualAt = time.Time{}
		h.tick()
		if watched := h.d.NeedsFrequentHeartbeats(late.Worker); watched != test.want {
			t.Errorf("watched %v where the siblings take %s", watched, test.usual)
		}
	}
	g.tasks[late.Run.Task.Index].failed = []Attempt{1}
	h.advance(copyReviewInterval)
	h.tick()
	if h.d.NeedsFrequentHeartbeats(late.Worker) {
		t.Error("watched though it may get no copy")
	}
}
