package aqdecider

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// worker is a worker as this decider knows it.
type worker struct {
	listed Worker
	rack   aqtype.Rack
	// present is set while service discovery lists the worker.
	present bool
	// enlisted is set when the stored list of workers names this one.
	enlisted bool
	// reachable is set while the worker answers; nothing is started otherwise.
	reachable bool
	// used is what runs reserve, those that are being stopped included.
	used aqtype.Resources
	runs map[RunID]*run
	// strays are runs that are not this decider's. Their sizes are unknown, so
	// nothing is started beside them.
	strays map[RunID]time.Time
	// processed is the number of the last end that was taken into account,
	// stored the last that the store accounts for.
	processed int
	stored    int
	// leavesAt is the least time at which a draining worker leaves.
	leavesAt time.Time
	// avoidUntil keeps new tasks off after a refusal.
	avoidUntil time.Time
	health     health
	// load is nil after a change.
	load *load
}

// labelSeparator divides a rack's label into its parts; other labels have none.
const labelSeparator = "-"

// rackOf finds the rack among a worker's labels: the first is its kind.
func rackOf(labels []string) aqtype.Rack {
	for _, label := range labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, labelSeparator) {
			return aqtype.Rack(label)
		}
	}
	return ""
}

// ListWorker takes a worker that service discovery lists.
func (d *Decider) ListWorker(listed Worker) {
	w := d.workers[listed.ID]
	if w == nil {
		w = &worker{
			listed: listed,
			runs:   map[RunID]*run{},
			strays: map[RunID]time.Time{},
		}
		d.workers[listed.ID] = w
		d.options.Log.Write(aqlog.WorkerListed, workerAttr(listed.ID), slog.String("Service", string(listed.Service)),
			slog.Int64("Life", int64(listed.Life)))
	}
	if listed.Life < w.listed.Life {
		return
	}
	if listed.Life != w.listed.Life {
		d.newLife(w, listed.Life)
	}
	wasDraining := w.listed.Draining
	w.listed = listed
	w.changed()
	w.rack = rackOf(listed.Labels)
	w.present = true
	if listed.Draining {
		w.leavesAt = d.now.Add(listed.Remaining)
		if !wasDraining {
			d.options.Log.Write(aqlog.WorkerDraining, workerAttr(listed.ID), slog.Duration("Remaining", listed.Remaining),
				slog.Int("Runs", len(w.runs)))
		}
	}
}

// UnlistWorker notes that service discovery lists a worker no more.
func (d *Decider) UnlistWorker(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil || !w.present {
		return
	}
	w.present = false
	d.options.Log.Write(aqlog.WorkerUnlisted, workerAttr(id), slog.Int("Runs", len(w.runs)))
	d.dropIfGone(w)
}

// dropIfGone forgets a worker that is not listed, does not answer and can run
// nothing any more.
func (d *Decider) dropIfGone(w *worker) {
	if w.present || w.reachable || len(w.runs) > 0 {
		return
	}
	if _, doubtful := d.unsettled[w.listed.ID]; doubtful {
		return
	}
	delete(d.workers, w.listed.ID)
}

// Enlist notes that the stored list of workers names these: the next decider
// will look for tasks on them.
func (d *Decider) Enlist(ids []aqtype.WorkerID) {
	for _, id := range ids {
		if w := d.workers[id]; w != nil {
			w.enlisted = true
		}
	}
}

// Unenlisted reports whether a worker waits to be stored in the list.
func (d *Decider) Unenlisted() bool {
	for _, w := range d.workers {
		if !w.enlisted {
			return true
		}
	}
	return false
}

// Known reports whether a worker is still of interest.
func (d *Decider) Known(id aqtype.WorkerID) bool { return d.workers[id] != nil }

// Occupied reports whether the worker runs anything or is about to.
func (d *Decider) Occupied(id aqtype.WorkerID) bool {
	w := d.workers[id]
	return w != nil && (len(w.runs) > 0 || len(w.strays) > 0)
}

// WatchClosely reports whether the worker runs tasks whose tail latency has to
// be followed because of fillers beside them.
func (d *Decider) WatchClosely(id aqtype.WorkerID) bool {
	w := d.workers[id]
	if w == nil {
		return false
	}
	serving, filling := false, false
	for _, r := range w.runs {
		serving = serving || r.task.group.spec.TailTarget > 0
		filling = filling || r.task.group.spec.Filler
	}
	return serving && filling
}

// newLife takes a worker's restart. What ran in its earlier life has ended, but
// an order to start that was on its way may still reach the new life: each run is
// stopped there before its task runs elsewhere.
func (d *Decider) newLife(w *worker, life Life) {
	d.options.Log.Write(aqlog.WorkerReborn, workerAttr(w.listed.ID), slog.Int64("Life", int64(life)),
		slog.Int64("Before", int64(w.listed.Life)), slog.Int("Runs", len(w.runs)))
	for _, r := range w.runs {
		r.confirmed = 0
		r.state = runStopping
		r.stopped = 0
		r.stopAt = d.now
		r.why = "worker restarted"
		d.order(Stop{Worker: w.listed.ID, Run: r.id})
	}
	w.changed()
	w.listed.Life = life
	w.processed = 0
	w.stored = 0
	w.strays = map[RunID]time.Time{}
	w.reachable = false
	w.health = health{}
}

// Silent notes that a worker does not answer. Its tasks may still run.
func (d *Decider) Silent(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil || !w.reachable {
		return
	}
	w.reachable = false
	d.options.Log.Write(aqlog.WorkerSilent, workerAttr(id), slog.Int("Runs", len(w.runs)))
	d.dropIfGone(w)
}

// Reassigned notes that another agent deals with a worker from now on: orders
// without a known outcome are given again, and moments start anew.
func (d *Decider) Reassigned(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil {
		return
	}
	w.reachable = false
	for _, r := range w.runs {
		r.confirmed = 0
		r.stopped = 0
		r.missing = 0
		switch r.state {
		case runStarting:
			r.doubtful = true
			d.order(d.startOrder(r))
		case runRunning:
			if r.pace != fullPace {
				d.order(Pace{Worker: id, Run: r.id, Percent: r.pace})
			}
		case runStopping:
			d.order(Stop{Worker: id, Run: r.id})
		}
	}
}

// Lapsed notes that a worker that does not answer can run nothing any more: its
// lease has ended on every clock.
func (d *Decider) Lapsed(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil {
		return
	}
	if len(w.runs) > 0 {
		d.options.Metrics.Retried(aqmetric.RetryWorkerLost)
		d.options.Log.Write(aqlog.WorkerLapsed, workerAttr(id), slog.Int("Runs", len(w.runs)))
	}
	for _, r := range w.runs {
		d.endRun(r, EndLost, r.checkpoint)
	}
	w.strays = map[RunID]time.Time{}
	w.reachable = false
	d.dropIfGone(w)
}

// Listed takes a worker's answer to a look at it.
func (d *Decider) Listed(id aqtype.WorkerID, l Listing) {
	w := d.workers[id]
	if w == nil || l.Life < w.listed.Life {
		return
	}
	if l.Life != w.listed.Life {
		d.newLife(w, l.Life)
	}
	if !w.reachable {
		w.reachable = true
		d.options.Log.Write(aqlog.WorkerAnswers, workerAttr(id), slog.Int("Running", len(l.Running)),
			slog.Int("Ended", len(l.Ended)))
	}
	listed := make(map[RunID]bool, len(l.Running))
	for _, e := range l.Ended {
		listed[e.Run] = true
		if e.Number > w.processed {
			w.processed = e.Number
			d.runEnded(w, e)
		}
	}
	for _, r := range l.Running {
		listed[r.Run] = true
		d.runSeen(w, r, l.Sent)
	}
	if l.Whole {
		d.findMissing(w, listed, l.Sent)
	}
	d.observe(w)
	d.settle(id)
}

// runSeen takes one running task of a listing.
func (d *Decider) runSeen(w *worker, report RunReport, sent Moment) {
	r := w.runs[report.Run]
	if r == nil {
		d.strange(w, report, sent)
		return
	}
	r.missing = 0
	if r.state == runStarting {
		d.confirm(r, sent)
	}
	if r.state == runStopping && r.stopped > 0 && sent > r.stopped &&
		d.now.Sub(r.stopAt) > d.options.Limits.StopGrace+stopPatience {
		r.stopped = 0
		r.stopAt = d.now
		d.order(Stop{Worker: w.listed.ID, Run: r.id})
	}
	if report.Percent > r.percent || r.movedAt.IsZero() {
		r.movedAt = d.now
		r.percent = report.Percent
	}
	r.report = report
	r.reportAt = d.now
	r.noteTail(d.now)
	if report.Checkpoint != "" {
		r.checkpoint = report.Checkpoint
	}
	if r.task.group.spec.Perpetual && report.Percent >= 100 {
		r.task.awaySince = time.Time{}
	}
}

// stopPatience is how much longer than its grace a stop may take before the
// order is repeated.
const stopPatience = 500 * time.Millisecond

// confirm notes that a run is on its worker.
func (d *Decider) confirm(r *run, at Moment) {
	r.state = runRunning
	r.confirmed = at
	r.movedAt = d.now
	j := r.task.group.occurrence.job
	if !j.begun {
		j.begun = true
		if !j.state.Final() {
			d.touch(j)
		}
	}
}

// strange takes a run that this decider did not start: it is adopted where its
// task needs a run, and stopped otherwise.
func (d *Decider) strange(w *worker, report RunReport, sent Moment) {
	t := d.task(report.Run.Task)
	if t != nil {
		t.attempt = max(t.attempt, report.Run.Attempt)
	}
	if t == nil || t.done || t.run != nil || t.group.occurrence.job.state.Final() {
		if sent, ok := w.strays[report.Run]; !ok || d.now.Sub(sent) > strayRetry {
			w.strays[report.Run] = d.now
			d.options.Log.Write(aqlog.RunDisowned, taskAttr(report.Run.Task), workerAttr(w.listed.ID),
				slog.Int("Attempt", int(report.Run.Attempt)))
			d.order(Stop{Worker: w.listed.ID, Run: report.Run})
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
	t.seen = true
	t.begun = true
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
	w.changed()
	d.confirm(r, sent)
	d.options.Log.Write(aqlog.RunAdopted, taskAttr(report.Run.Task), workerAttr(w.listed.ID),
		slog.Int("Attempt", int(report.Run.Attempt)), slog.Int("Percent", report.Percent))
}

// strayRetry is how long a stray run may stay listed before the order to stop it
// is repeated.
const strayRetry = time.Second

// missingListings is how many listings a confirmed run may be missing from
// before it is stopped: answers on different connections overtake each other.
const missingListings = 2

// findMissing settles runs that a listing should have shown.
func (d *Decider) findMissing(w *worker, listed map[RunID]bool, sent Moment) {
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
			r.missing++
			if r.missing > missingListings {
				d.stop(r, "missing from its worker")
			}
		case runStopping:
			if r.stopped > 0 && sent > r.stopped {
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
		d.endRun(r, e.How, checkpoint)
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
	switch e.How {
	case EndDone:
		if t.run != nil {
			d.stop(t.run, "an earlier run is done")
		}
		d.options.Log.Write(aqlog.RunEnded, taskAttr(e.Run.Task), workerAttr(w.listed.ID),
			slog.Int("Attempt", int(e.Run.Attempt)), slog.String("How", e.How.String()))
		d.taskDone(t)
	case EndFailed:
		d.taskFailed(t, w, e.Run.Attempt)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndLost:
		if e.Checkpoint != "" && t.run == nil {
			t.checkpoint = e.Checkpoint
			d.touch(t.group.occurrence.job)
		}
	}
}

// endRun takes the end of a run that this decider knows.
func (d *Decider) endRun(r *run, how How, checkpoint string) {
	t := r.task
	w := r.worker
	delete(w.runs, r.id)
	w.used = w.used.Sub(r.size)
	w.changed()
	t.run = nil
	t.seen = true
	j := t.group.occurrence.job
	d.options.Log.Write(aqlog.RunEnded, taskAttr(r.id.Task), workerAttr(w.listed.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.String("How", how.String()), slog.String("Why", r.why),
		slog.Duration("Took", d.now.Sub(r.orderedAt)))
	d.options.Metrics.Inc(aqmetric.TasksEnded)
	if t.group.spec.Perpetual && t.awaySince.IsZero() {
		t.awaySince = d.now
	}
	switch how {
	case EndDone:
		w.health.succeeded()
		if !t.group.spec.Perpetual && !j.state.Final() {
			d.taskDone(t)
			d.release(j)
			return
		}
	case EndFailed:
		if !t.group.spec.Perpetual && !j.state.Final() {
			d.keepCheckpoint(t, checkpoint)
			d.taskFailed(t, w, r.id.Attempt)
		}
		w.health.failed(j.spec.ID, d.now)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndLost:
		d.keepCheckpoint(t, checkpoint)
	}
	if t.group.spec.Gang {
		d.gangBroken(t.group, how)
	}
	d.requeue(t)
	d.release(j)
}

func (d *Decider) keepCheckpoint(t *task, checkpoint string) {
	if checkpoint != "" && checkpoint != t.checkpoint {
		t.checkpoint = checkpoint
		d.touch(t.group.occurrence.job)
	}
}

// requeue offers a task for placement again.
func (d *Decider) requeue(t *task) {
	if !t.done && t.run == nil && t.group.ready && !t.group.occurrence.job.state.Final() {
		d.waiting[t.group] = true
	}
}

// taskFailed counts a failed run and ends the job when its tasks may not be
// tried again.
func (d *Decider) taskFailed(t *task, w *worker, attempt Attempt) {
	j := t.group.occurrence.job
	t.countFailure(attempt)
	if t.group.spec.Gang {
		for _, other := range t.group.tasks {
			other.countFailure(attempt)
		}
	}
	t.avoidWorker(w.listed.ID)
	d.touch(j)
	d.options.Metrics.Retried(aqmetric.RetryTaskFailed)
	if len(t.failed) >= max(1, j.queue.MaxAttempts) && !t.group.spec.Perpetual {
		d.finish(j, aqjob.StateFailed, "task "+t.id().String()+" failed as often as allowed")
	}
}

// avoidWorker keeps the task off a worker while there are others.
func (t *task) avoidWorker(id aqtype.WorkerID) {
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}

// countFailure counts an attempt that has ended failed, once.
func (t *task) countFailure(attempt Attempt) {
	if !slices.Contains(t.failed, attempt) {
		t.failed = append(t.failed, attempt)
	}
}

// task finds a task of a job that is not in a final state.
func (d *Decider) task(id aqjob.TaskID) *task {
	j := d.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Group >= len(o.groups) {
		return nil
	}
	g := o.groups[id.Group]
	if id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}

func workerAttr(id aqtype.WorkerID) slog.Attr { return slog.String("Worker", string(id)) }
