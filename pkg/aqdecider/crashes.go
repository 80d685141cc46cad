package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// instance returns the worker's current incarnation.
func (w *worker) instance() aqcrash.Instance {
	return aqcrash.Instance{
		Worker:      w.info.ID,
		Incarnation: int64(w.info.Incarnation),
	}
}

// seen returns how long after its start was ordered a run's worker has last reported. A report
// that is handled late does not show that the run is older than by the worker's clock.
func (r *run) seen() time.Duration {
	seen := r.worker.reportedAt.Sub(r.orderedAt)
	if r.orderedClock > 0 {
		seen = min(seen, r.worker.clock-r.orderedClock)
	}
	return seen
}

// recordCrashes records a crash of a worker under its runs. The worker may be unreachable
// only; the record is retracted when it returns. It is made early, so that a later leader
// knows of it.
func (d *Decider) recordCrashes(w *worker) {
	if w.info.Draining {
		// The worker was about to leave.
		return
	}
	for _, r := range w.runs {
		if r.earlierIncarnation {
			continue
		}
		d.recordCrash(r.task, aqcrash.Crash{
			Instance: w.instance(),
			Seen:     r.seen(),
			Isolated: r.isolated(),
		})
	}
}

// isolated reports whether no other run is to blame for a crash of the run's worker. A trial
// may end before the run is settled, since workers report its age late.
func (r *run) isolated() bool {
	if r.worker.trial == r.task {
		return true
	}
	return r.tried && r.seen() < r.task.history.SettledAfter() && r.worker.settledBeside(r)
}

func (d *Decider) recordCrash(t *task, c aqcrash.Crash) {
	j := t.group.occurrence.job
	if j.state.Final() || t.done || !t.history.Add(c) {
		return
	}
	d.watchForReturn(t)
	d.markDirty(j)
}

// runsLost handles the loss of a worker's runs, but for those that were lost with an earlier
// incarnation. It ends the jobs as failed whose tasks are to blame for the crashes. restarted is set
// when the worker is known to have crashed.
func (d *Decider) runsLost(w *worker, restarted bool) {
	d.recordCrashes(w)
	for _, r := range w.runs {
		if r.earlierIncarnation {
			continue
		}
		t := r.task
		d.options.Metrics.Inc(aqmetric.RunsLost)
		d.options.Log.Write(aqlog.RunLost, taskAttr(r.id.Task), workerAttr(w.info.ID),
			slog.Int("Attempt", int(r.id.Attempt)), slog.Bool("Restarted", restarted),
			slog.Duration("Seen", r.seen()), slog.Int("Beside", len(w.runs)-1),
			slog.Int("Losses", len(t.history.Crashes)), slog.Bool("Isolated", r.isolated()))
		d.failIfGuilty(t)
	}
}

// failIfGuilty ends a job as failed if its task is to blame for crashes.
func (d *Decider) failIfGuilty(t *task) {
	j := t.group.occurrence.job
	if j.state.Final() || t.done || !t.history.Guilty() {
		return
	}
	d.options.Metrics.Inc(aqmetric.JobsCrashing)
	d.options.Log.Write(aqlog.TaskCrashesWorkers, taskAttr(t.id()), slog.Int("Crashes", len(t.history.Crashes)))
	d.finish(j, aqjob.StateFailed, "task "+t.id().String()+" crashes its workers")
}

// exposure holds the tasks with a recorded crash of one worker.
type exposure struct {
	tasks []*task
	until time.Time
}

// returnTimeout is how long a worker that is taken to have crashed may stay unreachable and
// still return.
const returnTimeout = time.Minute

// watchForReturn retracts the task's crashes when their workers return.
func (d *Decider) watchForReturn(t *task) {
	for _, c := range t.history.Crashes {
		e := d.exposed[c.Instance.Worker]
		e.tasks = append(e.tasks, t)
		e.until = d.now.Add(returnTimeout)
		d.exposed[c.Instance.Worker] = e
	}
}

func (d *Decider) expireExposures() {
	for id, e := range d.exposed {
		if d.now.After(e.until) {
			delete(d.exposed, id)
		}
	}
}

// workerReturned retracts the crashes of a worker that reports in the same incarnation.
func (d *Decider) workerReturned(w *worker) {
	e, ok := d.exposed[w.info.ID]
	if !ok {
		return
	}
	delete(d.exposed, w.info.ID)
	for _, t := range e.tasks {
		j := t.group.occurrence.job
		if !j.state.Final() && t.history.Retract(w.instance()) {
			d.markDirty(j)
		}
	}
}

// runSeen ends the trial of a run that has been seen for long enough, and clears its task
// of earlier crashes after a longer time. A task that is done may have another run, whose job may be deleted.
func (d *Decider) runSeen(r *run) {
	t := r.task
	if t.history.Empty() || t.done || t.group.occurrence.job.state.Final() {
		return
	}
	seen := r.seen()
	if t.trialWorker != nil && seen >= t.history.TrialTime() {
		d.endTrial(t)
	}
	if aqcrash.Cleared(seen) {
		t.history.Crashes = nil
		d.markDirty(t.group.occurrence.job)
	}
}
