package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqtype"
)

// restored returns a decider that takes over from one whose worker w2 service discovery no longer lists.
func restored(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.running["w2"] = map[RunID]RunReport{}
	h.d.AwaitReports([]aqtype.WorkerID{"w2"}, h.now.Add(leasesEnd))
	h.d.RestoreWorker(poolWorker("w2", "r1-2", 8000))
	return h
}

func TestRunOnAnUnlistedWorkerIsAdopted(t *testing.T) {
	h := restored(t)
	job := testJob(1, tasks(1, 1000))
	h.d.AddJob(job, nil, 0, true)
	run := RunID{Attempt: 3}
	run.Task.Job = job.ID
	h.running["w2"][run] = RunReport{Run: run}
	h.report("w2")
	if starts := h.startsAfter(time.Second); starts != 0 || len(h.stopped) != 0 {
		t.Fatalf("%d starts, %d stops, want the run adopted", starts, len(h.stopped))
	}
	if view, _, _ := h.d.ViewJob(job.ID); view.State != "running" {
		t.Fatalf("the job is %s", view.State)
	}
}

func TestNothingIsStartedOnAnUnlistedWorker(t *testing.T) {
	h := restored(t)
	h.report("w2")
	h.d.AddJob(testJob(1, tasks(12, 1000)), nil, 0, false)
	h.startsAfter(time.Second)
	if got := h.startsByWorker(); got["w2"] != 0 || got["w1"] != 8 {
		t.Fatalf("starts %v, want 8 on w1 alone", got)
	}
}

func TestUnlistedWorkerThatNeverAnswersIsDropped(t *testing.T) {
	h := restored(t)
	h.startsAfter(leasesEnd + time.Second)
	h.d.LeaseExpired("w2")
	if h.d.Known("w2") {
		t.Fatal("the worker is still known")
	}
	for _, id := range h.d.FleetIDs() {
		if id == "w2" {
			t.Fatal("the worker is still stored for the next leader")
		}
	}
}

func TestStoredWorkerDoesNotReplaceAListedOne(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	stale := poolWorker("w1", "r1-2", 1000)
	stale.Incarnation = 7
	h.d.RestoreWorker(stale)
	h.d.AddJob(testJob(1, tasks(8, 1000)), nil, 0, false)
	if starts := h.startsAfter(time.Second); starts != 8 {
		t.Fatalf("%d starts, want 8", starts)
	}
}
