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
	// firstProbation is how long a newly suspected worker gets no task. A failed try
	// doubles the time, up to maxProbation. Tasks that no other worker suits wait for no more
	// than firstProbation after each failure (tryResting).
	firstProbation = 2 * time.Second
	maxProbation   = 16 * time.Second
	// soundAfter is how long a run with progress must be seen on a suspected worker to clear
	// it.
	soundAfter = 3 * time.Second
)

// health tracks a worker's failures: failed runs, runs without progress, and starts
// that it refused as unhealthy.
type health struct {
	// failedJobs lists the different jobs that failed since the last success.
	failedJobs []aqjob.ID
	// probationBegin and probationEnd limit the last probation, which lasts for probation.
	probationBegin time.Time
	probationEnd   time.Time
	probation      time.Duration
	// tried is set once a task has been started on the worker since the last probation began.
	tried bool
	// lastResort is set while tryResting asks whether the worker may be used in its probation.
	lastResort bool
	// probe is the run that the suspected worker has been given after its probation, nil if
	// there is none.
	probe *run
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

// suspect begins a probation and returns true, or false during one in which no task has been
// tried: several runs may fail together.
func (h *health) suspect(now time.Time) bool {
	if now.Before(h.probationEnd) && !h.tried {
		return false
	}
	h.probation = min(max(firstProbation, 2*h.probation), maxProbation)
	h.probationBegin = now
	h.probationEnd = now.Add(h.probation)
	h.tried = false
	return true
}

// suspected reports whether the worker has been suspected since its last success.
func (h *health) suspected() bool { return h.probation > 0 }

// usable reports whether a task may be started on the worker. After its probation a
// suspected worker gets one task at a time. The runs that it has had before do not count:
// those of perpetual tasks may never end.
func (h *health) usable(now time.Time) bool {
	return !h.suspected() || (h.idle() && (h.lastResort || now.After(h.probationEnd)))
}

// idle reports whether the suspected worker has no probe, or only one that is suspended.
func (h *health) idle() bool { return h.probe == nil || h.probe.pace == 0 }

// rested reports whether a worker in its probation may be given a task that no other suits.
func (h *health) rested(now time.Time) bool {
	return h.suspected() && h.idle() && !now.After(h.probationEnd) && now.Sub(h.probationBegin) >= firstProbation
}

// started records a start on the worker.
func (h *health) started(r *run) {
	if h.suspected() {
		h.probe = r
		h.tried = true
	}
}

// ended records the end of a run, whatever its outcome.
func (h *health) ended(r *run) {
	if h.probe == r {
		h.probe = nil
	}
}

// reported records a report of a run. It clears the worker if the run is its probe and shows
// that the worker is sound: a perpetual task that serves, or another with progress.
func (h *health) reported(r *run) {
	if !h.suspected() || h.probe != r {
		return
	}
	if r.task.group.spec.Perpetual && r.report.Percent >= readyPercent {
		h.succeeded()
	}
	if !r.task.group.spec.Perpetual && r.percent > 0 && r.seen() >= soundAfter {
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
