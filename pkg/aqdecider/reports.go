package aqdecider

import (
	"log/slog"
	"slices"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// WorkerReported handles a worker's answer to a heartbeat.
func (d *Decider) WorkerReported(id aqtype.WorkerID, report WorkerReport) {
	w := d.workers[id]
	if w == nil || report.Incarnation < w.info.Incarnation {
		return
	}
	if report.Incarnation != w.info.Incarnation {
		d.workerRestarted(w, report.Incarnation)
	}
	delete(d.gone, id)
	d.settleInherited(w)
	// Each later agent settles the incarnation anew, which has refused stray calls since the first did.
	if report.Settled && w.unsettled {
		d.settle(w)
	}
	d.noteFirstReport(w)
	w.reported = report.Incarnation
	w.reportedAt = d.now
	w.clock = max(w.clock, report.Clock)
	d.workerReturned(w)
	if !w.reachable {
		w.reachable = true
		d.options.Log.Write(aqlog.WorkerResponsive, workerAttr(id), slog.Int("Running", len(report.Running)),
			slog.Int("Ended", len(report.Ended)))
	}
	for _, e := range report.Ended {
		if e.Number > w.processedEnds {
			w.processedEnds = e.Number
			d.unstoredEnds[id] = true
			d.endReported(w, e)
		}
	}
	for _, r := range report.Running {
		d.runReported(w, r, report)
	}
	if report.Complete {
		d.dropEarlier(w)
		d.reconcileMissing(w, report)
		d.clearUnreported(id)
	}
	d.observeTails(w)
	w.reviewAt = time.Time{}
}

// runReported handles one running task of a worker's report.
func (d *Decider) runReported(w *worker, report RunReport, of WorkerReport) {
	r := w.runs[report.Run]
	if r == nil {
		d.adoptOrStop(w, report, of)
		return
	}
	sent := of.Sent
	r.reportedIn = sent
	r.missedReports = 0
	if r.state == runStarting {
		d.confirm(r, sent)
		r.setBase(of.Clock, report.Percent)
		r.beginUnknown = true
	}
	if r.state == runStopping && r.stopAcked > 0 && sent > r.stopAcked &&
		d.now.Sub(r.stopUpdatedAt) > d.options.Limits.StopGrace+stopMargin {
		d.repeatStop(r)
	}
	r.measure(report.Percent, of)
	d.noteSpeed(r)
	r.report = report
	r.reportAt = d.now
	w.health.reported(r)
	r.trackTail(d.now)
	d.runSeen(r)
	if report.Checkpoint != "" {
		r.checkpoint = report.Checkpoint
	}
}

// maxGapCounted is how much of the time between two measurements that are far apart counts as
// time without progress.
const maxGapCounted = time.Second

// measure applies the progress of a run in a worker's report.
func (r *run) measure(percent int, of WorkerReport) {
	if r.measured && (of.Clock < r.measuredAt || (of.ProgressOmitted && percent <= r.percent)) {
		return
	}
	if !r.measured && r.resumeFrom != "" {
		r.setBase(of.Clock, percent)
	}
	switch gap := of.Clock - r.measuredAt; {
	case !r.measured, percent > r.percent:
		r.progressAt = of.Clock
		r.percent = percent
	case gap > staleReport:
		// A worker that was silent or frozen has hardly shown that its runs are stuck.
		r.progressAt += gap - maxGapCounted
	}
	r.measuredAt = of.Clock
	r.measured = true
}

// stopMargin is how much longer than Limits.StopGrace a stop may take before the order
// is sent again.
const stopMargin = 500 * time.Millisecond

// confirm marks a run as running on its worker.
func (d *Decider) confirm(r *run, at LogicalTime) {
	r.state = runRunning
	r.confirmed = at
	r.measured = false
	r.task.forgetRefusals()
	if r.pace != fullPace {
		d.addOrder(Pace{Worker: r.worker.info.ID, Run: r.id, Percent: r.pace})
	}
	j := r.task.group.occurrence.job
	if !j.started {
		j.started = true
		if !j.state.Final() {
			d.countUnstarted(j.queue.ID, -1)
			d.markDirty(j)
		}
	}
}

// adoptOrStop handles a reported run that this decider does not know. It adopts the run
// if its task needs one, and stops it as an orphan otherwise.
func (d *Decider) adoptOrStop(w *worker, report RunReport, of WorkerReport) {
	d.forgetEarlier(report.Run.Task)
	t := d.task(report.Run.Task)
	if t != nil {
		t.attempt = max(t.attempt, report.Run.Attempt)
	}
	if t == nil || t.done || (t.run != nil && !t.adoptsCopy(w)) || t.group.occurrence.job.state.Final() {
		if stopSent, ok := w.orphans[report.Run]; !ok || d.now.Sub(stopSent) > orphanStopInterval {
			w.orphans[report.Run] = d.now
			d.options.Log.Write(aqlog.RunOrphaned, taskAttr(report.Run.Task), workerAttr(w.info.ID),
				slog.Int("Attempt", int(report.Run.Attempt)))
			d.addOrder(Stop{Worker: w.info.ID, Run: report.Run})
		}
		return
	}
	r := &run{
		id:            report.Run,
		task:          t,
		worker:        w,
		size:          t.group.spec.Reserved(),
		orderedAt:     d.now,
		startSentAt:   d.now,
		startAnswered: true,
		checkpoint:    report.Checkpoint,
		percent:       report.Percent,
		report:        report,
		reportAt:      d.now,
		pace:          fullPace,
		reportedIn:    of.Sent,
		orderedClock:  of.Clock,
		beginUnknown:  true,
	}
	r.setBase(of.Clock, report.Percent)
	if t.run == nil {
		t.setRun(r)
	} else {
		t.copy = r
		d.options.Log.Write(aqlog.CopyAdopted, taskAttr(report.Run.Task), workerAttr(w.info.ID),
			slog.Int("Attempt", int(report.Run.Attempt)), slog.String("Beside", string(t.run.worker.info.ID)))
	}
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
	w.invalidateLoad()
	d.adoptTrial(r)
	d.confirm(r, of.Sent)
	d.options.Log.Write(aqlog.RunAdopted, taskAttr(report.Run.Task), workerAttr(w.info.ID),
		slog.Int("Attempt", int(report.Run.Attempt)), slog.Int("Percent", report.Percent))
	d.adoptPace(r)
}

// orphanStopInterval is the interval at which the order to stop an orphaned run is sent
// again while the worker reports it.
const orphanStopInterval = time.Second

// maxMissedReports is how many consecutive reports a confirmed run may be missing from
// before it is stopped. Single reports are not reliable: answers on different
// connections overtake each other.
const maxMissedReports = 2

// reconcileMissing handles the runs that a complete report does not include.
func (d *Decider) reconcileMissing(w *worker, report WorkerReport) {
	for id := range w.orphans {
		if !slices.ContainsFunc(report.Running, func(r RunReport) bool { return r.Run == id }) {
			delete(w.orphans, id)
		}
	}
	sent := report.Sent
	for _, r := range w.runs {
		if r.reportedIn == sent {
			continue
		}
		switch r.state {
		case runStarting:
			if r.startUnknown == 0 || sent <= r.startUnknown {
				continue
			}
			r.missedReports++
			if r.missedReports > maxMissedReports {
				d.options.Metrics.Retried(aqmetric.RetryStartUnknown)
				d.stop(r, "start outcome unknown")
			}
		case runRunning:
			if sent <= r.confirmed {
				continue
			}
			r.missedReports++
			if r.missedReports > maxMissedReports {
				d.stop(r, "missing from worker reports")
			}
		case runStopping:
			if r.stopAcked > 0 && sent > r.stopAcked {
				d.endRun(r, EndLost, r.checkpoint)
			}
		}
	}
}

// endReported handles one ended run of a report.
func (d *Decider) endReported(w *worker, e EndReport) {
	delete(w.orphans, e.Run)
	if r := w.runs[e.Run]; r != nil {
		checkpoint := e.Checkpoint
		if checkpoint == "" {
			checkpoint = r.checkpoint
		}
		d.endRun(r, e.Reason, checkpoint)
		return
	}
	d.forgetEarlier(e.Run.Task)
	t := d.task(e.Run.Task)
	if t == nil {
		return
	}
	t.attempt = max(t.attempt, e.Run.Attempt)
	if t.done || t.group.occurrence.job.state.Final() {
		return
	}
	if t.run == nil && t.onTrialAt(w) {
		d.endTrial(t)
	}
	switch e.Reason {
	case EndDone:
		d.options.Log.Write(aqlog.RunEnded, taskAttr(e.Run.Task), workerAttr(w.info.ID),
			slog.Int("Attempt", int(e.Run.Attempt)), slog.String("How", e.Reason.String()))
		if t.group.spec.Perpetual {
			return
		}
		d.stopRuns(t, "an earlier attempt succeeded")
		d.taskDone(t)
	case EndFailed:
		d.taskFailed(t, w, e.Run.Attempt)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, EndLost:
		if t.run == nil {
			d.keepCheckpoint(t, e.Checkpoint)
		}
	}
}
