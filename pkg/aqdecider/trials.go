package aqdecider

import (
	"log/slog"
	"slices"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

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
	r.tried = true
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

// hasSuspect reports whether a stop of the task's run may make a suspected task start once
// more: the task itself or another member of its gang.
func (g *group) hasSuspect(t *task) bool {
	if !g.spec.Gang {
		return t.history.Suspected()
	}
	return slices.ContainsFunc(g.tasks, func(o *task) bool { return o.history.Suspected() })
}

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
// The worker has reported neither the run nor its end. The crash does not convict if an agent
// knew of no run there, though the agent may not know all.
func (d *Decider) resolveTrial(t *task) {
	instance := *t.history.Trial
	d.endTrial(t)
	if !d.stillRuns(instance) {
		d.recordCrash(t, aqcrash.Crash{
			Instance: instance,
			Isolated: !d.earlierIdle[instance],
		})
	}
}

// suitsTrial reports whether the worker may run the task, apart from being held.
func (d *Decider) suitsTrial(t *task, w *worker) bool {
	return d.permitted(t.group, w, aqtype.Resources{}) &&
		d.score(t.group, w, aqtype.Resources{}) < forbiddenScore
}

// settled reports whether every run of the worker has been seen for long enough not to be
// to blame for a crash from now on.
func (w *worker) settled() bool { return w.settledBeside(nil) }

// settledBeside is settled without one of the runs.
func (w *worker) settledBeside(one *run) bool {
	for _, r := range w.runs {
		if r != one && r.seen() < r.task.history.SettledAfter() {
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
// that these two do not wait for others. For a task that has waited for heldPatience the
// fraction is overdueHeldShare, so that many suspects do not wait for each other's trials for
// long.
const (
	maxHeldShare     = 0.1
	overdueHeldShare = 0.5
	heldPatience     = 3 * time.Second
)

// reserveTrial holds the worker that loses least by a crash for an isolated run of the
// task, if one suits it.
func (d *Decider) reserveTrial(t *task) {
	if t.suspectSince.IsZero() {
		t.suspectSince = d.now
	}
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
		score := d.trialScore(w)
		if best == nil || score < bestScore || (score == bestScore && w.reportedAt.After(best.reportedAt)) {
			best, bestScore = w, score
		}
	}
	if best == nil || float64(held) > d.heldShare(t)*float64(len(d.fleet)) {
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

// heldShare returns the fraction of the workers that may be held when one is reserved for a
// task.
func (d *Decider) heldShare(t *task) float64 {
	switch {
	case t.group.spec.Perpetual, t.group.spec.Gang:
		return 1
	case d.now.Sub(t.suspectSince) >= heldPatience:
		return overdueHeldShare
	}
	return maxHeldShare
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
