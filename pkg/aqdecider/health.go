package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
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
	// probe is the run that the suspected worker has been given after its probation, the
	// zero value if there is none.
	probe RunID
}

func (h *health) succeeded() { *h = health{} }

// failed records a failed run of a job and reports whether a probation begins.
func (h *health) failed(id aqjob.ID, now time.Time) bool {
	known := false
	for _, other := range h.failedJobs {
		known = known || other == id
	}
	if !known {
		h.failedJobs = append(h.failedJobs, id)
	}
	if len(h.failedJobs) < suspectAfterJobs {
		return false
	}
	return h.suspect(now)
}

// suspect begins a probation and returns true, or false during one.
func (h *health) suspect(now time.Time) bool {
	if now.Before(h.probationEnd) {
		return false
	}
	h.probation = min(max(firstProbation, 2*h.probation), maxProbation)
	h.probationEnd = now.Add(h.probation)
	return true
}

// suspected reports whether the worker has been suspected since its last success.
func (h *health) suspected() bool { return h.probation > 0 }

// usable reports whether a task may be started on the worker. After its probation a
// suspected worker gets one task at a time. The runs that it has had before do not count:
// those of perpetual tasks may never end.
func (h *health) usable(now time.Time) bool {
	return !h.suspected() || (now.After(h.probationEnd) && h.probe == RunID{})
}

// started records a start on the worker.
func (h *health) started(id RunID) {
	if h.suspected() {
		h.probe = id
	}
}

// ended records the end of a run, whatever its outcome.
func (h *health) ended(id RunID) {
	if h.probe == id {
		h.probe = RunID{}
	}
}

// ready records that a perpetual task serves. It clears the worker if that is its probe.
func (h *health) ready(id RunID) {
	if h.suspected() && h.probe == id {
		h.succeeded()
	}
}

// runFailed counts a run that failed or made no progress against its worker.
func (d *Decider) runFailed(w *worker, id aqjob.ID) {
	if w.health.failed(id, d.now) {
		d.logSuspicion(w)
	}
}

func (d *Decider) logSuspicion(w *worker) {
	d.options.Log.Write(aqlog.WorkerSuspected, workerAttr(w.info.ID), slog.Int("FailedJobs", len(w.health.failedJobs)),
		slog.Duration("Probation", w.health.probationEnd.Sub(d.now)), slog.Int("Runs", len(w.runs)))
}
