package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// WorkerReported takes a worker's answer to a look at it.
func (d *Decider) WorkerReported(id aqtype.WorkerID, l WorkerReport) {
	w := d.workers[id]
	if w == nil || l.Incarnation < w.info.Incarnation {
		return
	}
	if l.Incarnation != w.info.Incarnation {
		d.newLife(w, l.Incarnation)
	}
	if !w.reachable {
		w.reachable = true
		d.options.Log.Write(aqlog.WorkerResponsive, workerAttr(id), slog.Int("Running", len(l.Running)),
			slog.Int("Ended", len(l.Ended)))
	}
	listed := make(map[RunID]bool, len(l.Running))
	for _, e := range l.Ended {
		listed[e.Run] = true
		if e.Number > w.processed {
			w.processed = e.Number
			d.unstoredEnds[id] = true
			d.runEnded(w, e)
		}
	}
	for _, r := range l.Running {
		listed[r.Run] = true
		d.runSeen(w, r, l.Sent)
	}
	if l.Complete {
		d.findMissing(w, listed, l.Sent)
	}
	d.observeTails(w)
	d.clearUnreported(id)
	w.reviewAt = time.Time{}
}

// runSeen takes one running task of a listing.
func (d *Decider) runSeen(w *worker, report RunReport, sent LogicalTime) {
	r := w.runs[report.Run]
	if r == nil {
		d.strange(w, report, sent)
		return
	}
	r.missedReports = 0
	if r.state == runStarting {
		d.confirm(r, sent)
	}
	if r.state == runStopping && r.stopAcked > 0 && sent > r.stopAcked &&
		d.now.Sub(r.stopUpdatedAt) > d.options.Limits.StopGrace+stopPatience {
		r.stopAcked = 0
		r.stopUpdatedAt = d.now
		d.addOrder(Stop{Worker: w.info.ID, Run: r.id})
	}
	if report.Percent > r.percent || r.progressAt.IsZero() {
		r.progressAt = d.now
		r.percent = report.Percent
	}
	r.report = report
	r.reportAt = d.now
	r.noteTail(d.now)
	if report.Checkpoint != "" {
		r.checkpoint = report.Checkpoint
	}
}

// stopPatience is how much longer than its grace a stop may take before the
// order is repeated.
const stopPatience = 500 * time.Millisecond

// confirm notes that a run is on its worker.
func (d *Decider) confirm(r *run, at LogicalTime) {
	r.state = runRunning
	r.confirmed = at
	r.progressAt = d.now
	j := r.task.group.occurrence.job
	if !j.started {
		j.started = true
		if !j.state.Final() {
			d.countUnstarted(j.queue.ID, -1)
			d.markDirty(j)
		}
	}
}

// strange takes a run that this decider did not start: it is adopted where its
// task needs a run, and stopped otherwise.
func (d *Decider) strange(w *worker, report RunReport, sent LogicalTime) {
	t := d.task(report.Run.Task)
	if t != nil {
		t.attempt = max(t.attempt, report.Run.Attempt)
	}
	if t == nil || t.done || t.run != nil || t.group.occurrence.job.state.Final() {
		if sent, ok := w.strays[report.Run]; !ok || d.now.Sub(sent) > strayRetry {
			w.strays[report.Run] = d.now
			d.options.Log.Write(aqlog.RunOrphaned, taskAttr(report.Run.Task), workerAttr(w.info.ID),
				slog.Int("Attempt", int(report.Run.Attempt)))
			d.addOrder(Stop{Worker: w.info.ID, Run: report.Run})
		}
		return
	}
	r := &run{
		id:         report.Run,
		task:       t,
		worker:     w,
		size:       t.group.spec.Reserved(),
		orderedAt:  d.now,
		checkpoint: report.Checkpoint,
		percent:    report.Percent,
		report:     report,
		reportAt:   d.now,
		pace:       fullPace,
	}
	t.run = r
	t.reconciled = true
	t.started = true
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
	w.invalidateLoad()
	d.confirm(r, sent)
	d.options.Log.Write(aqlog.RunAdopted, taskAttr(report.Run.Task), workerAttr(w.info.ID),
		slog.Int("Attempt", int(report.Run.Attempt)), slog.Int("Percent", report.Percent))
}

// strayRetry is how long a stray run may stay listed before the order to stop it
// is repeated.
const strayRetry = time.Second

// missingListings is how many listings a confirmed run may be missing from
// before it is stopped: answers on different connections overtake each other.
const missingListings = 2

// findMissing settles runs that a listing should have shown.
func (d *Decider) findMissing(w *worker, listed map[RunID]bool, sent LogicalTime) {
	for id := range w.strays {
		if !listed[id] {
			delete(w.strays, id)
		}
	}
	for id, r := range w.runs {
		if listed[id] {
			continue
		}
		switch r.state {
		case runStarting:
		case runRunning:
			if sent <= r.confirmed {
				continue
			}
			r.missedReports++
			if r.missedReports > missingListings {
				d.stop(r, "missing from its worker")
			}
		case runStopping:
			if r.stopAcked > 0 && sent > r.stopAcked {
				d.endRun(r, EndLost, r.checkpoint)
			}
		}
	}
}

// runEnded takes one end of a listing.
func (d *Decider) runEnded(w *worker, e EndReport) {
	delete(w.strays, e.Run)
	if r := w.runs[e.Run]; r != nil {
		checkpoint := e.Checkpoint
		if checkpoint == "" {
			checkpoint = r.checkpoint
		}
		d.endRun(r, e.Reason, checkpoint)
		return
	}
	t := d.task(e.Run.Task)
	if t == nil {
		return
	}
	t.attempt = max(t.attempt, e.Run.Attempt)
	if t.done || t.group.occurrence.job.state.Final() {
		return
	}
	switch e.Reason {
	case EndDone:
		if t.run != nil {
			d.stop(t.run, "an earlier run is done")
		}
		d.options.Log.Write(aqlog.RunEnded, taskAttr(e.Run.Task), workerAttr(w.info.ID),
			slog.Int("Attempt", int(e.Run.Attempt)), slog.String("How", e.Reason.String()))
		d.taskDone(t)
	case EndFailed:
		d.taskFailed(t, w, e.Run.Attempt)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, EndLost:
		if e.Checkpoint != "" && t.run == nil {
			t.checkpoint = e.Checkpoint
			d.markDirty(t.group.occurrence.job)
		}
	}
}
