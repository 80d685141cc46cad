package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// instance returns the worker's current incarnation.
func (w *worker) instance() aqcrash.Instance {
	return aqcrash.Instance{
		Worker:      w.info.ID,
		Incarnation: int64(w.info.Incarnation),
	}
}

// seen returns how long after its start was ordered a run's worker has last reported.
func (r *run) seen() time.Duration { return r.worker.reportedAt.Sub(r.orderedAt) }

// recordCrashes records a crash of a worker under its runs. The worker may be unreachable
// only; the record is retracted when it returns. It is made early, so that a later leader
// knows of it.
func (d *Decider) recordCrashes(w *worker) {
	if w.info.Draining {
		// The worker was about to leave.
		return
	}
	for _, r := range w.runs {
		d.recordCrash(r.task, aqcrash.Crash{
			Instance: w.instance(),
			Seen:     r.seen(),
			Isolated: w.trial == r.task,
		})
	}
}

func (d *Decider) recordCrash(t *task, c aqcrash.Crash) {
	j := t.group.occurrence.job
	if j.state.Final() || t.done || !t.history.Add(c) {
		return
	}
	d.watchForReturn(t)
	d.markDirty(j)
}

// runsLost handles the loss of a worker's runs. It ends the jobs as failed whose tasks are
// to blame for the crashes. restarted is set when the worker is known to have crashed.
func (d *Decider) runsLost(w *worker, restarted bool) {
	d.recordCrashes(w)
	for _, r := range w.runs {
		t := r.task
		d.options.Metrics.Inc(aqmetric.RunsLost)
		d.options.Log.Write(aqlog.RunLost, taskAttr(r.id.Task), workerAttr(w.info.ID),
			slog.Int("Attempt", int(r.id.Attempt)), slog.Bool("Restarted", restarted),
			slog.Duration("Seen", r.seen()), slog.Int("Beside", len(w.runs)-1),
			slog.Int("Losses", len(t.history.Crashes)), slog.Bool("Isolated", w.trial == t))
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
// of earlier crashes after a longer time.
func (d *Decider) runSeen(r *run) {
	t := r.task
	if t.history.Empty() {
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

// onTrialAt reports whether an isolated run of the task may have been started on the
// worker's incarnation.
func (t *task) onTrialAt(w *worker) bool {
	return t.history.Trial != nil && *t.history.Trial == w.instance()
}

// adoptTrial holds the worker of an adopted run if the run is isolated there.
func (d *Decider) adoptTrial(r *run) {
	t := r.task
	if t.history.Trial == nil {
		return
	}
	if !t.onTrialAt(r.worker) || r.worker.heldForTrial() {
		d.endTrial(t)
		return
	}
	t.holdWorker(r.worker, d.now)
}

func (t *task) holdWorker(w *worker, now time.Time) {
	t.trialWorker = w
	t.trialSince = now
	w.trial = t
}

func (t *task) releaseTrialWorker() {
	if w := t.trialWorker; w != nil && w.trial == t {
		w.trial = nil
	}
	t.trialWorker = nil
}

// endTrial ends the isolation of the task's run, or withdraws one that has not started.
func (d *Decider) endTrial(t *task) {
	t.releaseTrialWorker()
	if t.history.Trial != nil {
		t.history.Trial = nil
		d.markDirty(t.group.occurrence.job)
	}
}

// heldForTrial reports whether nothing else may be started on the worker.
func (w *worker) heldForTrial() bool { return w.trial != nil }

// suspectWaits reports whether a suspected task of the group needs a run.
func (g *group) suspectWaits() bool {
	for _, t := range g.tasks {
		if !t.done && t.run == nil && t.history.Suspected() {
			return true
		}
	}
	return false
}

// placeSuspects starts the suspected ones of a group's pending tasks in isolation and
// returns the others.
func (d *Decider) placeSuspects(pending []*task) []*task {
	var others []*task
	for _, t := range pending {
		d.resolveEarlier(t)
		switch {
		case !t.history.Suspected() && t.history.Trial == nil:
			others = append(others, t)
		case d.trialReady(t):
			d.start(t, t.trialWorker, t.attempt+1)
		}
	}
	if len(pending) > 0 && pending[0].group.occurrence.job.state.Final() {
		return nil
	}
	return others
}

// trialsReady reports whether every suspected task among them can be started in isolation.
func (d *Decider) trialsReady(tasks []*task) bool {
	ready := true
	for _, t := range tasks {
		d.resolveEarlier(t)
		if t.history.Suspected() || t.history.Trial != nil {
			ready = d.trialReady(t) && ready
		}
	}
	return ready
}

// maxTrialWait is how long a worker is held for a task while other runs there are too young.
const maxTrialWait = 3 * time.Second

// trialReady prepares an isolated run of a task and reports whether it can be started on
// t.trialWorker. The trial is stored first, so that its crash is known to a later leader.
func (d *Decider) trialReady(t *task) bool {
	j := t.group.occurrence.job
	if t.history.Trial != nil && t.trialWorker == nil {
		d.resolveTrial(t)
	}
	d.failIfGuilty(t)
	if j.state.Final() {
		return false
	}
	if !t.history.Suspected() {
		d.endTrial(t)
		return false
	}
	w := t.trialWorker
	if w == nil {
		d.reserveTrial(t)
		return false
	}
	if !t.onTrialAt(w) || !d.suitsTrial(t, w) || d.now.Sub(t.trialSince) > maxTrialWait {
		d.endTrial(t)
		return false
	}
	return j.stored >= t.trialRevision && w.settled()
}

// resolveTrial counts a trial of an earlier leader as a crash unless its worker still runs.
// The worker has reported neither the run nor its end.
func (d *Decider) resolveTrial(t *task) {
	instance := *t.history.Trial
	d.endTrial(t)
	if !d.stillRuns(instance) {
		d.recordCrash(t, aqcrash.Crash{Instance: instance, Isolated: true})
	}
}

// suitsTrial reports whether the worker may run the task, apart from being held.
func (d *Decider) suitsTrial(t *task, w *worker) bool {
	return d.permitted(t.group, w, aqtype.Resources{}) &&
		d.score(t.group, w, aqtype.Resources{}) < forbiddenScore
}

// settled reports whether every run of the worker has been seen for long enough not to be
// to blame for a crash from now on.
func (w *worker) settled() bool {
	for _, r := range w.runs {
		if r.seen() < r.task.history.SettledAfter() {
			return false
		}
	}
	return true
}

// Weights of a worker's score for a trial; the lowest is best. A crash costs the runs
// beside it, and those of perpetual tasks most.
const (
	trialWeightRun       = 1.0
	trialWeightPerpetual = 3.0
	trialWeightUnsettled = 5.0
	trialWeightYoung     = 10.0
	trialWeightSuspected = 20.0
)

// maxHeldShare is the fraction of the workers that may be held for trials at a time. The
// users of a perpetual task notice its absence, and a gang needs all its workers at once, so
// that these two do not wait for others.
const maxHeldShare = 0.1

// reserveTrial holds the worker that loses least by a crash for an isolated run of the
// task, if one suits it.
func (d *Decider) reserveTrial(t *task) {
	var best *worker
	bestScore := 0.0
	held := 0
	for _, w := range d.fleet {
		if w.heldForTrial() {
			held++
			continue
		}
		if !d.suitsTrial(t, w) {
			continue
		}
		if score := d.trialScore(w); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	mayWait := !t.group.spec.Perpetual && !t.group.spec.Gang
	if best == nil || (mayWait && float64(held) > maxHeldShare*float64(len(d.fleet))) {
		return
	}
	instance := best.instance()
	t.history.Trial = &instance
	t.holdWorker(best, d.now)
	j := t.group.occurrence.job
	d.markDirty(j)
	t.trialRevision = j.changed
	d.options.Log.Write(aqlog.TrialReserved, taskAttr(t.id()), workerAttr(best.info.ID),
		slog.Int("Crashes", len(t.history.Crashes)), slog.Int("Beside", len(best.runs)))
}

// youngWorker is the age below which a worker may be one that goes down again and again.
const youngWorker = 10 * time.Second

func (d *Decider) trialScore(w *worker) float64 {
	score := 0.0
	for _, r := range w.runs {
		score += trialWeightRun
		if r.task.group.spec.Perpetual {
			score += trialWeightPerpetual
		}
	}
	if !w.settled() {
		score += trialWeightUnsettled
	}
	if d.wall.Sub(time.UnixMilli(int64(w.info.Incarnation))) < youngWorker {
		score += trialWeightYoung
	}
	if w.health.suspected() {
		score += trialWeightSuspected
	}
	return score
}
