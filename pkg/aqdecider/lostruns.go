package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// startDelayLimit is how long after an agent has made its last attempt to deliver a start, as far as
// the leader knows, a worker may still carry the start out: an order may take effect 12 s after it was
// sent, and an agent without contact to its leader goes on for less than 3 s.
const startDelayLimit = 15 * time.Second

// workerRestarted handles a worker's restart. The runs of the earlier incarnation have
// ended, but a start order in flight may still reach the new one. Each run is
// therefore stopped there before its task is started elsewhere.
func (d *Decider) workerRestarted(w *worker, incarnation Incarnation) {
	d.options.Log.Write(aqlog.WorkerRestarted, workerAttr(w.info.ID), slog.Int64("Life", int64(incarnation)),
		slog.Int64("Before", int64(w.info.Incarnation)), slog.Int("Runs", len(w.runs)))
	d.runsLost(w, true)
	for _, r := range w.runs {
		r.confirmed = 0
		r.state = runStopping
		r.stopAcked = 0
		r.stopUpdatedAt = d.now
		r.reason = "worker restarted"
		r.earlierIncarnation = true
		d.noteDelayedStart(r)
		r.orderedClock = 0
		d.addOrder(Stop{Worker: w.info.ID, Run: r.id})
	}
	w.invalidateLoad()
	w.info.Incarnation = incarnation
	d.fleetChanges++
	w.processedEnds = 0
	w.storedEnds = 0
	w.clock = 0
	w.leavesAt = time.Time{}
	w.orphans = map[RunID]time.Time{}
	w.reachable = false
	w.health = health{}
	d.speeds.Forget(w.info.ID)
	w.slow = false
	d.expectStrayLease(w)
}

// noteStartEnded notes that agents make no more attempts to deliver the start.
func (r *run) noteStartEnded(now time.Time) {
	if r.startAnswered {
		return
	}
	r.startAnswered = true
	r.startSentAt = now
}

// noteDelayedStart notes until when a delayed order may make a run of an earlier incarnation run in the
// worker's present one. That one began after the worker's last report.
func (d *Decider) noteDelayedStart(r *run) {
	if r.startSettled {
		return
	}
	if lastAttempt := r.startSentAt.Add(startTimeout); !r.startAnswered {
		r.startSentAt = d.now
		if lastAttempt.Before(d.now) {
			r.startSentAt = lastAttempt
		}
	}
	reportedAt := r.worker.reportedAt
	if !reportedAt.Before(r.startSentAt.Add(startDelayLimit)) {
		return
	}
	// A delayed renewal of the earlier incarnation may prolong the run.
	last := r.startSentAt
	if reportedAt.After(last) {
		last = reportedAt
	}
	r.mayRunUntil = last.Add(startDelayLimit + d.options.Limits.LeaseMax)
}

// WorkerReassigned handles the assignment of a worker to another agent: logical time
// restarts, and orders are sent again, since their outcome may be unknown.
func (d *Decider) WorkerReassigned(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil {
		return
	}
	w.reachable = false
	d.dropOrders(id)
	for run := range w.orphans {
		// The next report with the run repeats the order to stop it.
		w.orphans[run] = time.Time{}
	}
	starts, stops, paces := 0, 0, 0
	for _, r := range w.runs {
		r.confirmed = 0
		r.stopAcked = 0
		r.reportedIn = 0
		r.missedReports = 0
		switch r.state {
		case runStarting:
			r.startResent = true
			r.startAnswered = false
			r.startSentAt = d.now
			r.startUnknown = 0
			starts++
			d.addOrder(d.startOrder(r))
		case runRunning:
			r.noteStartEnded(d.now)
			// The worker may still have an earlier pace, also where the present one is the full pace.
			if r.pace != fullPace || !r.paceAt.IsZero() {
				paces++
				d.addOrder(Pace{Worker: id, Run: r.id, Percent: r.pace})
			}
		case runStopping:
			r.noteStartEnded(d.now)
			stops++
			d.addOrder(Stop{Worker: id, Run: r.id})
		}
	}
	if starts+stops+paces > 0 {
		d.options.Log.Write(aqlog.OrdersRepeated, workerAttr(id), slog.Int("Starts", starts), slog.Int("Stops", stops),
			slog.Int("Paces", paces))
	}
}

// LeaseExpired handles an unresponsive worker whose lease has expired by every clock, as far as its agents have
// renewed it. Its runs are lost, but for those that calls to an earlier incarnation may start or keep alive:
// the lease says nothing of these calls. It returns when the last of these runs has certainly ended, zero if
// there are none. The caller calls it again then, unless the worker answers before.
func (d *Decider) LeaseExpired(id aqtype.WorkerID) (heldUntil time.Time) {
	w := d.workers[id]
	if w == nil {
		return time.Time{}
	}
	if w.unsettled && w.strayLeaseUntil.IsZero() {
		// An agent that was lost may have settled it and started runs. It has lost its permit by now.
		w.strayLeaseUntil = d.now.Add(d.options.Limits.LeaseMax)
	}
	var ended []*run
	for _, r := range w.runs {
		until := r.mayRunUntil
		if !r.earlierIncarnation {
			until = w.strayLeaseUntil
		}
		if !d.now.Before(until) {
			ended = append(ended, r)
			continue
		}
		if until.After(heldUntil) {
			heldUntil = until
		}
	}
	if len(w.runs) > 0 {
		d.options.Metrics.Retried(aqmetric.RetryWorkerLost)
		d.options.Log.Write(aqlog.WorkerLeaseExpired, workerAttr(id), slog.Int("Runs", len(w.runs)),
			slog.Int64("Life", int64(w.info.Incarnation)), slog.Int("EarlierLife", w.runsOfEarlierIncarnation()),
			slog.Int("Held", len(w.runs)-len(ended)), slog.Duration("StrayLease", max(0, w.strayLeaseUntil.Sub(d.now))))
	}
	if !d.now.Before(w.strayLeaseUntil) {
		d.runsLost(w, false)
	}
	for _, r := range ended {
		d.endRun(r, EndLost, r.checkpoint)
	}
	w.orphans = map[RunID]time.Time{}
	d.WorkerReassigned(id)
	if len(w.runs) == 0 && !d.mayHaveStrayLease(w) {
		// The tasks start elsewhere now: the next leader must not wait for this worker.
		w.emptySince = d.now.Add(-silenceTimeout)
		if _, unreported := d.unreported[id]; !unreported && w.reported > 0 {
			d.noteGone(id)
		}
	}
	d.dropIfGone(w)
	return heldUntil
}

// runsOfEarlierIncarnation counts the runs that were ordered in an earlier incarnation.
func (w *worker) runsOfEarlierIncarnation() int {
	count := 0
	for _, r := range w.runs {
		if r.earlierIncarnation {
			count++
		}
	}
	return count
}
