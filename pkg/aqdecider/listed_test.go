package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqtype"
)

const farIncarnation Incarnation = 1 << 40

// wantStarts checks whether a new job is started on a worker that answers.
func (h *harness) wantStarts(number int, worker Worker, want bool) {
	h.t.Helper()
	h.d.WorkerReported(worker.ID, WorkerReport{
		Incarnation: worker.Incarnation,
		Complete:    true,
		Sent:        h.nextTime(),
	})
	before := len(h.started)
	h.d.AddJob(testJob(number, tasks(1, 1000)), nil, 0, false)
	for range 5 {
		h.tick()
		h.advance(100 * time.Millisecond)
	}
	if started := len(h.started) > before; started != want {
		h.t.Errorf("job %d was started: %v, want %v", number, started, want)
	}
}

func TestWorkerIsUsedAfterAnEntryWithAFalseStart(t *testing.T) {
	w := poolWorker("w1", "r1-1", 8000)
	h := newHarness(t, w)
	odd := w
	odd.Incarnation = farIncarnation
	h.d.UpdateWorker(odd)
	h.d.UpdateWorker(w)
	h.wantStarts(1, w, true)
}

func TestEntryOfAnEarlierLifeDoesNotReplaceTheReportedOne(t *testing.T) {
	w := poolWorker("w1", "r1-1", 8000)
	h := newHarness(t, w)
	h.d.WorkerReported(w.ID, WorkerReport{Incarnation: 2, Complete: true, Sent: h.nextTime()})
	w.Capacity = aqtype.Resources{}
	h.d.UpdateWorker(w)
	if _, incarnation := h.d.AckedEnds(w.ID); incarnation != 2 {
		t.Errorf("incarnation %d, want that of the report", incarnation)
	}
	w.Incarnation = 2
	h.wantStarts(1, w, true)
}

func TestWorkerThatAnswersLateIsStoredBeforeItIsUsed(t *testing.T) {
	h := newHarness(t)
	w := poolWorker("w1", "r1-1", 8000)
	h.running[w.ID] = map[RunID]RunReport{}
	h.d.UpdateWorker(w)
	stored := h.d.FleetIDs()
	if len(stored) != 1 {
		t.Fatalf("a new worker is not stored at once: %v", stored)
	}
	h.d.MarkPersisted(stored)
	h.advance(time.Minute)
	h.tick()
	if ids := h.d.FleetIDs(); len(ids) != 0 || !h.d.Dirty() {
		t.Fatalf("stored %v, dirty %v: a worker that never answers stays stored", ids, h.d.Dirty())
	}
	h.d.MarkPersisted(stored)
	h.wantStarts(1, w, false)
	h.d.MarkPersisted(h.d.FleetIDs())
	h.wantStarts(2, w, true)
}

func TestInheritedWorkerStaysStoredUntilItsLeaseHasEnded(t *testing.T) {
	h := newHarness(t)
	w := poolWorker("w1", "r1-1", 8000)
	h.d.AwaitReports([]aqtype.WorkerID{w.ID}, h.now.Add(10*time.Second))
	h.d.UpdateWorker(w)
	h.advance(9 * time.Second)
	h.tick()
	if ids := h.d.FleetIDs(); len(ids) != 1 {
		t.Errorf("stored %v before the lease has ended", ids)
	}
	h.advance(2 * time.Second)
	h.tick()
	h.tick()
	if ids := h.d.FleetIDs(); len(ids) != 0 {
		t.Errorf("stored %v after the lease has ended", ids)
	}
}
