package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// adoptedRun returns a harness of a new leader that has adopted an earlier leader's run with
// the given attempt number, on w1. w2 has not reported yet: it holds failed ends of the attempts
// before that.
func adoptedRun(t *testing.T, attempt Attempt, change func(*aqjob.Group)) (*harness, Start) {
	t.Helper()
	h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w3", "r1-1", 8000))
	w2 := poolWorker("w2", "r1-1", 8000)
	h.running[w2.ID] = map[RunID]RunReport{}
	h.d.AwaitReports(h.d.FleetIDs(), h.now.Add(5*time.Second))
	h.d.AwaitReports([]aqtype.WorkerID{w2.ID}, h.now.Add(5*time.Second))
	h.d.UpdateWorker(w2)
	job := testJob(1, tasks(1, 1000))
	job.Queue.MaxAttempts = 3
	change(&job.Groups[0])
	h.d.AddJob(job, nil, 0, true)
	adopted := Start{
		Worker: "w1",
		Run: RunID{
			Task:    aqjob.TaskID{Job: job.ID},
			Attempt: attempt,
		},
	}
	h.running["w1"][adopted.Run] = RunReport{Run: adopted.Run}
	h.report("w1")
	h.report("w3")
	h.tick()
	return h, adopted
}

// After an adopted run has failed, its task does not start again while a worker that has not
// reported may hold so many failed ends that the job has failed.
func TestTaskWaitsForFailuresOfAnEarlierTerm(t *testing.T) {
	same := func(*aqjob.Group) {}
	for _, test := range []struct {
		name    string
		attempt Attempt
		change  func(*aqjob.Group)
		reason  EndReason
		// unseen are the attempts that w2 reports as failed, relative to the adopted one, -2 and -1 if nil.
		unseen []Attempt
		want   int
	}{
		{name: "last attempt failed", attempt: 3, change: same, reason: EndFailed},
		{name: "later attempt failed", attempt: 4098, change: same, reason: EndFailed},
		{name: "gang", attempt: 3, change: func(g *aqjob.Group) { g.Gang = true }, reason: EndFailed},
		{
			name:    "copies of the first attempt failed",
			attempt: 1,
			change:  func(g *aqjob.Group) { g.Speculative = true },
			reason:  EndFailed,
			unseen:  []Attempt{1, 2},
		},
		{name: "too few attempts", attempt: 2, change: same, reason: EndFailed, want: 1},
		{name: "stopped", attempt: 3, change: same, reason: EndStopped, want: 1},
		{name: "perpetual", attempt: 3, change: func(g *aqjob.Group) { g.Perpetual = true }, reason: EndFailed, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, adopted := adoptedRun(t, test.attempt, test.change)
			h.end(1, adopted, test.reason)
			h.tick()
			if len(h.started) != test.want {
				t.Fatalf("%d starts while w2 has not reported, want %d", len(h.started), test.want)
			}
			if test.want > 0 {
				return
			}
			unseen := test.unseen
			if unseen == nil {
				unseen = []Attempt{-2, -1}
			}
			h.report("w2", EndReport{Number: 1, Run: laterAttempt(adopted.Run, unseen[0]), Reason: EndFailed},
				EndReport{Number: 2, Run: laterAttempt(adopted.Run, unseen[1]), Reason: EndFailed})
			h.tick()
			if j := h.d.jobs[adopted.Run.Task.Job]; j.state != aqjob.StateFailed || len(h.started) != 0 {
				t.Fatalf("after three failures the job is %s, with %d starts", j.state, len(h.started))
			}
		})
	}
}

// A task that waits for reports starts once all workers have reported, or cannot report any
// more.
func TestTaskStartsOnceEarlierFailuresAreKnown(t *testing.T) {
	for _, test := range []struct {
		name    string
		resolve func(*harness)
	}{
		{name: "reported", resolve: func(h *harness) { h.report("w2") }},
		{name: "lease expired", resolve: func(h *harness) { h.advance(6 * time.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, adopted := adoptedRun(t, 3, func(*aqjob.Group) {})
			h.end(1, adopted, EndFailed)
			h.tick()
			if len(h.started) != 0 {
				t.Fatal("started while w2 has not reported")
			}
			test.resolve(h)
			h.tick()
			if len(h.started) != 1 {
				t.Fatalf("%d starts after that", len(h.started))
			}
		})
	}
}

// laterAttempt returns the attempt that many after a run.
func laterAttempt(run RunID, after Attempt) RunID {
	run.Attempt += after
	return run
}

// A worker that has more ends than its report holds has not reported yet: one of the others may
// be that of a task that would be started again.
func TestIncompleteReportKeepsTasksWaiting(t *testing.T) {
	for _, reason := range []EndReason{EndDone, EndFailed} {
		t.Run(reason.String(), func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
			h.d.AwaitReports([]aqtype.WorkerID{"w2"}, h.now.Add(5*time.Second))
			job := testJob(1, tasks(1, 1000))
			job.Queue.MaxAttempts = 1
			h.d.AddJob(job, nil, 0, true)
			h.d.WorkerReported("w2", WorkerReport{Incarnation: 1, Sent: h.nextTime()})
			h.tick()
			if len(h.started) != 0 {
				t.Fatal("the task is started before w2 has reported all its ends")
			}
			last := RunID{Task: aqjob.TaskID{Job: job.ID}, Attempt: 1}
			h.report("w2", EndReport{Number: 501, Run: last, Reason: reason})
			h.tick()
			if j := h.d.jobs[job.ID]; !j.state.Final() || len(h.started) != 0 {
				t.Fatalf("the job is %s, with %d starts", j.state, len(h.started))
			}
		})
	}
}
