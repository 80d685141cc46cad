package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqjob"
)

// Thresholds of a worker's probation.
const (
	// suspectAfterJobs is how many different jobs must fail in a row before a
	// worker is suspected: a job that cannot succeed fails on every worker.
	suspectAfterJobs = 2
	// firstProbation is how long a newly suspected worker gets no task. A failure
	// after that doubles the time, up to maxProbation.
	firstProbation = 2 * time.Second
	maxProbation   = 16 * time.Second
)

// health tracks a worker's failures: failed runs, runs without progress, and starts
// that it refused as unhealthy.
type health struct {
	// failedJobs lists the different jobs that failed since the last success.
	failedJobs   []aqjob.ID
	probationEnd time.Time
	probation    time.Duration
}

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(id aqjob.ID, now time.Time) {
	known := false
	for _, other := range h.failedJobs {
		known = known || other == id
	}
	if !known {
		h.failedJobs = append(h.failedJobs, id)
	}
	if len(h.failedJobs) >= suspectAfterJobs {
		h.suspect(now)
	}
}

func (h *health) refused(now time.Time) { h.suspect(now) }

func (h *health) suspect(now time.Time) {
	if now.Before(h.probationEnd) {
		return
	}
	h.probation = min(max(firstProbation, 2*h.probation), maxProbation)
	h.probationEnd = now.Add(h.probation)
}

// suspected reports whether the worker has been suspected since its last success.
func (h *health) suspected() bool { return h.probation > 0 }

// usable reports whether a task may be started on the worker. After its probation a
// suspected worker gets one task at a time.
func (h *health) usable(now time.Time, runs int) bool {
	if !h.suspected() {
		return true
	}
	return now.After(h.probationEnd) && runs == 0
}
