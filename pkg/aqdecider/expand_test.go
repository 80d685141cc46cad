package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqbacklog"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

const taskLimit = 4096

func newLimitedHarness(t *testing.T, workers ...Worker) *harness {
	h := newHarness(t)
	h.d = New(Options{
		Limits: Limits{
			Retention: time.Hour,
			StopGrace: 100 * time.Millisecond,
			Tasks:     taskLimit,
		},
		Log:     h.d.options.Log,
		Metrics: h.d.options.Metrics,
	})
	h.d.SetTime(h.now, h.now)
	for _, w := range workers {
		h.running[w.ID] = map[RunID]RunReport{}
		h.d.UpdateWorker(w)
		h.d.MarkPersisted([]aqtype.WorkerID{w.ID})
		h.d.WorkerReported(w.ID, WorkerReport{Incarnation: w.Incarnation, Complete: true, Sent: h.nextTime()})
	}
	return h
}

// Very many tasks of a few submissions are not all held at once, leave room for a small job,
// and are all run in the end.
func TestTasksAreCreatedWhileThereIsRoom(t *testing.T) {
	const occurrences, perOccurrence, jobs = 60, 100, 8
	h := newLimitedHarness(t, poolWorker("w1", "r1", 400*1000))
	recurring := testJob(1, tasks(perOccurrence, 1000))
	recurring.Repeats, recurring.Period = occurrences, time.Millisecond
	h.d.AddJob(recurring, nil, 0, false)
	for n := range jobs {
		h.d.AddJob(testJob(10+n, tasks(taskLimit/4, 1000)), nil, 0, false)
	}
	small := testJob(2, tasks(1, 1000))
	h.d.AddJob(small, nil, 0, false)
	h.tick()
	if len(h.d.jobs[small.ID].occurrences) != 1 {
		t.Error("the small job has no tasks")
	}
	want := occurrences*perOccurrence + jobs*taskLimit/4 + 1
	seen, number := 0, 0
	for h.d.Dirty() || seen < want {
		if held := int(h.d.expansion.Held()); held > taskLimit {
			t.Fatalf("%d tasks are held, the limit is %d", held, taskLimit)
		}
		h.tick()
		if len(h.started) == seen {
			t.Fatalf("only %d of %d tasks have started", seen, want)
		}
		for ; seen < len(h.started); seen++ {
			number++
			h.end(number, h.started[seen], EndDone)
		}
		b := h.d.TakeBatch()
		for _, r := range b.Records {
			h.d.RecordStored(r, 1)
		}
		h.d.BatchStored(b)
		h.advance(10 * time.Millisecond)
	}
	if held := h.d.expansion.Held(); held != 0 || seen != want {
		t.Errorf("%d tasks are held at the end, %d have started, want %d", held, seen, want)
	}
	for _, id := range []aqjob.ID{recurring.ID, small.ID} {
		if state, _ := h.d.State(id); state != aqjob.StateCompleted {
			t.Errorf("job %s is %s", id, state)
		}
	}
}

// A cancelled job makes room, whether its tasks were created or wait.
func TestCancelledJobsMakeRoom(t *testing.T) {
	h := newLimitedHarness(t)
	large := tasks(taskLimit/2, 1000)
	for n := 1; n <= 3; n++ {
		h.d.AddJob(testJob(n, large), nil, 0, false)
	}
	h.d.Cancel(testJob(1).ID)
	h.d.Cancel(testJob(2).ID)
	h.tick()
	if held := h.d.expansion.Held(); held != taskLimit/2+1 || len(h.d.jobs[testJob(3).ID].occurrences) != 1 {
		t.Errorf("%d tasks are held, want those of the third job", held)
	}
}

// The next leader learns of runs whose occurrences it has not created yet, and starts none
// of them again.
func TestNextLeaderAdoptsRunsBeyondTheLimit(t *testing.T) {
	h := newLimitedHarness(t, poolWorker("w1", "r1", 400*1000))
	for n := 1; n <= 3; n++ {
		h.d.AddJob(testJob(n, tasks(taskLimit/2, 1000)), nil, 0, true)
	}
	waits := testJob(3).ID
	if len(h.d.jobs[waits].occurrences) != 0 {
		t.Fatal("there is room for all jobs")
	}
	running := RunID{Task: aqjob.TaskID{Job: waits, Index: 7}, Attempt: 1}
	done := RunID{Task: aqjob.TaskID{Job: waits, Index: 8}, Attempt: 1}
	h.running["w1"][running] = RunReport{Run: running}
	h.report("w1", EndReport{Number: 1, Run: done, Reason: EndDone})
	h.tick()
	if len(h.stopped) != 0 {
		t.Errorf("%d runs were stopped", len(h.stopped))
	}
	tasks := h.d.jobs[waits].occurrences[0].groups[0].tasks
	if tasks[running.Task.Index].run == nil || !tasks[done.Task.Index].done {
		t.Error("the run or the end was not taken over")
	}
	for _, s := range h.started {
		if s.Run.Task == running.Task || s.Run.Task == done.Task {
			t.Errorf("%s was started again", s.Run.Task)
		}
	}
}

// Unfinished jobs count until they have ended, whether they have run or not.
func TestUnfinishedJobsTakeMemory(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1", 2000))
	full := func() bool { return h.d.Room(0) == aqbacklog.RoomForNone }
	h.d.options.Limits.JobBytes = 2*testJob(1, tasks(1, 1000)).Bytes() + 1
	for n := 1; n <= 3; n++ {
		if full() {
			t.Fatalf("no memory for job %d", n)
		}
		h.d.AddJob(testJob(n, tasks(1, 1000)), nil, 0, false)
	}
	h.tick()
	if !full() || len(h.started) != 2 {
		t.Fatalf("full: %v, %d runs", full(), len(h.started))
	}
	h.end(1, h.started[0], EndDone)
	if full() {
		t.Error("a job that is done takes memory")
	}
	for n := 1; n <= 3; n++ {
		h.d.Cancel(testJob(n).ID)
	}
	h.end(2, h.started[1], EndStopped)
	if h.d.jobBytes != 0 {
		t.Errorf("%d bytes are left", h.d.jobBytes)
	}
}
