package aqdecider

import (
	"slices"
	"testing"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// The later end of a run that has done less does not take the task back, and a copy starts at the latest progress.
func TestCheckpointOfTwoRunsIsTheGreater(t *testing.T) {
	const early, late = "00000010bbbb", "00000bb8aaaa"
	for _, test := range []struct {
		name                string
		ofRun, ofCopy, want string
	}{
		{name: "the run is ahead", ofRun: late, ofCopy: early, want: late},
		{name: "the copy is ahead", ofRun: early, ofCopy: late, want: late},
		{name: "the copy has none", ofRun: early, want: early},
	} {
		for _, runFirst := range []bool{true, false} {
			h, first, second := newCopyHarness(t)
			r := h.d.workers[first.Worker].runs[first.Run]
			h.running[first.Worker][first.Run] = RunReport{Run: first.Run, Percent: 60, Checkpoint: test.ofRun}
			h.running[second.Worker][second.Run] = RunReport{Run: second.Run, Percent: 5, Checkpoint: test.ofCopy}
			h.reportAll()
			ends := []aqtype.WorkerID{second.Worker, first.Worker}
			if runFirst {
				ends = []aqtype.WorkerID{first.Worker, second.Worker}
			}
			for _, id := range ends {
				h.d.WorkerUnresponsive(id)
				h.d.LeaseExpired(id)
			}
			if r.task.checkpoint != test.want {
				t.Errorf("%s, run first %v: checkpoint %q, want %q", test.name, runFirst, r.task.checkpoint, test.want)
			}
		}
	}
	h, first, second := newCopyHarness(t)
	h.running[first.Worker][first.Run] = RunReport{Run: first.Run, Percent: 20, Checkpoint: early}
	h.reportAll()
	task := h.d.workers[first.Worker].runs[first.Run].task
	h.d.endRun(task.copy, EndStopped, late)
	delete(h.running[second.Worker], second.Run)
	if h.startsAfter(time.Second); len(h.started) != 6 || h.started[5].Checkpoint != late {
		t.Errorf("started %+v, want a copy from %s", h.started[5:], late)
	}
}

// Both runs stop with their job, which has runs until both have ended.
func TestCancelStopsBothRuns(t *testing.T) {
	h, late, second := newCopyHarness(t)
	h.d.Cancel(late.Run.Task.Job)
	h.tick()
	for _, s := range []Start{late, second} {
		if !slices.ContainsFunc(h.stopped, func(o Stop) bool { return o.Run == s.Run && o.Worker == s.Worker }) {
			t.Errorf("attempt %d is not stopped", s.Run.Attempt)
		}
	}
	j := h.d.jobs[late.Run.Task.Job]
	h.end(2, late, EndStopped)
	if !j.hasRuns() {
		t.Error("the job has no runs though the copy has not ended")
	}
	h.end(2, second, EndFailed)
	if j.hasRuns() || j.state != aqjob.StateCancelled || h.startsAfter(time.Second) != 5 {
		t.Errorf("after both ends: %s, has runs %v, %d starts", j.state, j.hasRuns(), len(h.started)-5)
	}
}

// What the other run does after the success changes nothing, though its job goes on.
func TestEndAfterTheSuccessChangesNothing(t *testing.T) {
	for _, reason := range []EndReason{EndFailed, EndStopped, EndLost} {
		h, late := newLateHarness(t, func(j *aqjob.Job) {
			after := tasks(1, 1000)
			after.After = []int{0}
			after.Estimate = 10 * time.Millisecond
			j.Groups = append(j.Groups, after)
		})
		if len(h.started) != 5 {
			t.Fatalf("%d starts, want one copy", len(h.started)-4)
		}
		task := h.d.task(late.Run.Task)
		h.end(2, h.started[4], EndDone)
		delete(h.running[late.Worker], late.Run)
		h.report(late.Worker, EndReport{Number: 2, Run: late.Run, Reason: reason, Checkpoint: "00000010bbbb"})
		h.tick()
		if !task.done || len(task.failed) != 0 || task.checkpoint != "" {
			t.Errorf("%s: done %v, failed %v, checkpoint %q", reason, task.done, task.failed, task.checkpoint)
		}
		if state, _ := h.d.State(late.Run.Task.Job); state != aqjob.StateRunning {
			t.Errorf("%s: the job is %s", reason, state)
		}
	}
}

// A run that goes on after the other has completed the job does not bring back its records once they are deleted.
func TestLeftoverRunDoesNotStoreADeletedJob(t *testing.T) {
	h, late, second := newCopyHarness(t)
	task := h.d.workers[late.Worker].runs[late.Run].task
	task.history.Add(aqcrash.Crash{Instance: aqcrash.Instance{Worker: "w9", Incarnation: 1}, Seen: time.Second})
	store := func() []Record {
		b := h.d.TakeBatch()
		for _, r := range b.Records {
			h.d.RecordStored(r, 7)
		}
		h.d.BatchStored(b)
		return b.Records
	}
	h.end(2, second, EndDone)
	h.tick()
	store()
	h.advance(h.d.options.Limits.Retention + time.Second)
	h.tick()
	if deleted := store(); len(deleted) != 1 || !deleted[0].Delete {
		t.Fatalf("stored %+v, want that the job is deleted", deleted)
	}
	h.running[late.Worker][late.Run] = RunReport{Run: late.Run, Percent: 20}
	h.report(late.Worker)
	h.tick()
	if stored := store(); len(stored) != 0 {
		t.Fatalf("stored %+v of a deleted job", stored)
	}
	h.end(2, late, EndFailed)
	h.startsAfter(time.Second)
	if stored := store(); len(stored) != 0 || len(h.started) != 5 {
		t.Fatalf("after the end: stored %+v, %d starts", stored, len(h.started)-5)
	}
}
