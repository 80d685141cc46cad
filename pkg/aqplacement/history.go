package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// historyLength is how many changes are kept for each worker.
const historyLength = 32

// colocation holds the kinds of task that ran on one worker from a time on.
type colocation struct {
	since time.Time
	kinds []aqtype.TaskKind
}

// History records which kinds of task recently ran on each worker, so that a
// delayed report is matched with the tasks that were co-located at the time it
// describes. It is not safe for concurrent use.
type History struct {
	workers map[aqtype.WorkerID][]colocation
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: map[aqtype.WorkerID][]colocation{}}
}

// Record records which kinds run on a worker from now on.
func (h *History) Record(worker aqtype.WorkerID, now time.Time, kinds []aqtype.TaskKind) {
	past := h.workers[worker]
	if len(past) == historyLength {
		copy(past, past[1:])
		past = past[:historyLength-1]
	}
	h.workers[worker] = append(past, colocation{since: now, kinds: kinds})
}

// Neighbours returns the kinds of the tasks that were co-located with one task of the
// given kind at a time. It returns false if the history does not reach back that far
// or no task of that kind ran there.
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

// without returns the kinds without one occurrence of the given kind, or false if
// there is none.
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
