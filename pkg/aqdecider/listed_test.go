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
