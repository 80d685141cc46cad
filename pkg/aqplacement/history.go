package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// historyLength is how many changes are kept of each worker.
const historyLength = 32

type neighbourhood struct {
	since time.Time
	kinds []aqtype.TaskKind
}

// History knows which kinds of task ran on a worker at a time not long ago, so
// that a lagging report is matched with the neighbours of its own time. It is
// not safe for concurrent use.
type History struct {
	workers map[aqtype.WorkerID][]neighbourhood
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: map[aqtype.WorkerID][]neighbourhood{}}
}

// Record records which kinds run on a worker from now on.
func (h *History) Record(worker aqtype.WorkerID, now time.Time, kinds []aqtype.TaskKind) {
	past := h.workers[worker]
	if len(past) == historyLength {
		copy(past, past[1:])
		past = past[:historyLength-1]
	}
	h.workers[worker] = append(past, neighbourhood{since: now, kinds: kinds})
}

// Neighbours returns the kinds that ran beside one task of the given kind, or
// false when the time is not known any more or the task did not run there.
func (h *History) Neighbours(
	worker aqtype.WorkerID, at time.Time, kind aqtype.TaskKind,
) ([]aqtype.TaskKind, bool) {
	past := h.workers[worker]
	for i := len(past) - 1; i >= 0; i-- {
		if past[i].since.After(at) {
			continue
		}
		return without(past[i].kinds, kind)
	}
	return nil, false
}

// without leaves one occurrence of a kind out.
func without(kinds []aqtype.TaskKind, kind aqtype.TaskKind) ([]aqtype.TaskKind, bool) {
	for i, k := range kinds {
		if k != kind {
			continue
		}
		rest := make([]aqtype.TaskKind, 0, len(kinds)-1)
		rest = append(rest, kinds[:i]...)
		return append(rest, kinds[i+1:]...), true
	}
	return nil, false
}
