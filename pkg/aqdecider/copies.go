package aqdecider

import (
	"log/slog"
	"slices"
	"time"

	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/internal/site/aqurgency"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// mayCopy reports whether tasks of the group may have a copy: a second run beside the first, of
// which the first to end counts. Gangs work together only, and the pace of fillers is ours.
func (g *group) mayCopy() bool {
	return g.spec.Speculative && !g.spec.Gang && !g.spec.Perpetual && !g.spec.Filler
}

// mayCopy reports whether the task may have a copy now. The run and every failure so far leave an
// attempt, so that the same holds for each of the two runs.
func (t *task) mayCopy() bool {
	j := t.group.occurrence.job
	return t.group.mayCopy() && !t.done && !j.state.Final() && t.run != nil && t.copy == nil &&
		t.history.Trial == nil && !t.history.Suspected() && len(t.failed)+1 < max(1, j.queue.MaxAttempts)
}

// remove takes an ended run from the task. A copy that goes on becomes the task's run. It returns the run that
// goes on, nil if there is none.
func (t *task) remove(r *run) *run {
	if t.copy == r {
		t.copy = nil
		return t.run
	}
	t.run, t.copy = t.copy, nil
	return t.run
}

// stopRuns orders the runs of a task to stop.
func (d *Decider) stopRuns(t *task, reason string) {
	if t.run != nil {
		d.stop(t.run, reason)
	}
	if t.copy != nil {
		d.stop(t.copy, reason)
	}
}

// firstDone handles the success of a run whose task has another one.
func (d *Decider) firstDone(r, other *run) {
	t := r.task
	if t.done {
		return
	}
	queue := d.queueTimes(t.group.occurrence.job.queue.ID)
	won := r.copyCause != nil
	switch {
	case won:
		queue.outcomes.Add(r.copyCause, true)
		d.options.Metrics.Inc(aqmetric.CopiesWon)
	case other.copyCause != nil:
		queue.outcomes.Add(other.copyCause, false)
		d.options.Metrics.Inc(aqmetric.CopiesLost)
	}
	d.options.Log.Write(aqlog.CopyDecided, taskAttr(r.id.Task), workerAttr(r.worker.info.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.Bool("CopyFirst", won), slog.Duration("Took", d.now.Sub(r.orderedAt)),
		slog.Duration("OtherFor", d.now.Sub(other.orderedAt)))
	d.stopRuns(t, "another run of the task succeeded")
}

// adoptsCopy reports whether a reported run that is not known is kept as the copy of its task.
func (t *task) adoptsCopy(w *worker) bool { return t.mayCopy() && t.run.worker != w }

// copyReviewInterval is the interval between two looks at the tasks that may get a copy.
const copyReviewInterval = 100 * time.Millisecond

// startCopies starts copies of the tasks that lag behind their siblings or stand still, where that
// pays. It runs after the waiting groups have been placed.
func (d *Decider) startCopies() {
	if len(d.speculative) == 0 || d.now.Sub(d.copiesReviewedAt) < copyReviewInterval || d.hasUnreported() {
		return
	}
	d.copiesReviewedAt = d.now
	groups := make([]*group, 0, len(d.speculative))
	for g := range d.speculative {
		if g.remaining == 0 || g.occurrence.job.state.Final() {
			delete(d.speculative, g)
			continue
		}
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int {
		if order := a.noCopyWorkerAt.Compare(b.noCopyWorkerAt); order != 0 {
			return order
		}
		if a.before(b) {
			return -1
		}
		return 1
	})
	var room copyRoom
	for _, g := range groups {
		for _, t := range g.tasks {
			if t.run != nil && t.copy == nil {
				t.run.watched = false
			}
			if t.mayCopy() && !d.now.Before(t.notBefore) {
				d.considerCopy(t, &room)
			}
		}
	}
}

// copyRoom counts what limits the copies of one round. It is filled when first needed.
type copyRoom struct {
	counted bool
	// free holds, by service, the processors that neither waiting work nor the usual bursts of
	// short tasks need.
	free spareCPU
	// copies and running count the copies and the running tasks by queue.
	copies  map[aqjob.QueueID]int
	running map[aqjob.QueueID]int
	// searched counts the workers that have been looked at. No search begins from maxWorkersSearched on.
	searched int
}

// waitCounted is for how long the tasks of a waiting group are taken to need room. A group that waits for longer may be
// one that no worker suits, and must not prevent copies for good.
const waitCounted = 5 * time.Second

func (d *Decider) countCopyRoom(room *copyRoom) {
	if room.counted {
		return
	}
	*room = copyRoom{
		counted: true,
		free:    d.freeCPU(),
		copies:  map[aqjob.QueueID]int{},
		running: map[aqjob.QueueID]int{},
	}
	for _, w := range d.fleet {
		for _, r := range w.runs {
			queue := r.task.group.occurrence.job.queue.ID
			if r.task.copy == r {
				room.copies[queue]++
			} else {
				room.running[queue]++
			}
		}
	}
	for g := range d.waiting {
		if g.spec.Filler || d.now.Sub(g.changedAt) > waitCounted {
			continue
		}
		_, waiting := g.counts()
		room.free[g.occurrence.job.queue.Service] -= aqtype.MilliCPU(waiting) * g.spec.Size.MilliCPU
	}
	d.shortUse.leaveMargin(room.free)
}

// considerCopy starts a copy of a task with one run if it pays.
func (d *Decider) considerCopy(t *task, room *copyRoom) {
	g := t.group
	r := t.run
	if r.state == runStarting || (r.state == runStopping && !d.stopOverdue(r)) {
		return
	}
	progress := d.progressOf(r)
	cause := progress.Cause()
	usual, bySiblings := d.usualTime(g)
	queue := d.queueTimes(g.occurrence.job.queue.ID)
	r.watched = progress.Watched(usual, bySiblings)
	left := progress.Left(&queue.byUsual, usual)
	if left < usual || !progress.Lags(cause, usual, bySiblings) || room.searched >= maxWorkersSearched {
		return
	}
	d.countCopyRoom(room)
	service := g.occurrence.job.queue.Service
	need := d.copyNeed(g, usual)
	need.Room = room.free[service] >= g.spec.Size.MilliCPU
	need.Copies = room.copies[g.occurrence.job.queue.ID]
	need.Running = room.running[g.occurrence.job.queue.ID]
	need.Declined = r.copyVerdict == aqspeculation.Unhelpful
	verdict := aqspeculation.Decide(left, cause, need, &queue.outcomes)
	var to *worker
	if verdict == aqspeculation.Pays {
		if to = d.copyWorker(t, room); to == nil {
			verdict = aqspeculation.NoWorker
		}
	}
	if verdict != aqspeculation.Pays {
		if r.copyVerdict != verdict {
			r.copyVerdict = verdict
			d.options.Metrics.CopyDeclined(aqmetric.CopyDeclineReason(verdict))
		}
		return
	}
	d.startCopy(t, to, cause)
	queue.outcomes.Started(cause)
	room.free[service] -= g.spec.Size.MilliCPU
	room.copies[g.occurrence.job.queue.ID]++
	d.options.Metrics.Inc(aqmetric.CopiesStarted)
	d.options.Log.Write(aqlog.CopyStarted, taskAttr(t.id()), workerAttr(to.info.ID),
		slog.Int("Attempt", int(t.copy.id.Attempt)), slog.String("Beside", string(r.worker.info.ID)),
		slog.String("Cause", cause.String()), slog.Duration("Elapsed", progress.Elapsed),
		slog.Int("Percent", r.percent), slog.Duration("Left", left), slog.Duration("Takes", need.Takes))
}

// stopOverdue reports whether a run that was ordered to stop has not ended in the time for that. Its checkpoint
// is awaited until then.
func (d *Decider) stopOverdue(r *run) bool {
	return d.now.Sub(r.stopUpdatedAt) > d.options.Limits.StopGrace+stopMargin
}

// copyOverhead is the time from the decision for a run until its worker has started it, and for the report
// of its end.
const copyOverhead = 100 * time.Millisecond

// copyNeed returns what a copy of a task of the group is weighed against. usual is what its tasks usually
// take: the objective is corrected by what that says of the estimates.
func (d *Decider) copyNeed(g *group, usual time.Duration) aqspeculation.Need {
	const maxCorrection = 3
	j := g.occurrence.job
	correction := 1.0
	if g.spec.Estimate > 0 {
		correction = max(1, min(maxCorrection, float64(usual)/float64(g.spec.Estimate)))
	}
	allowed := time.Duration(j.queue.Stretch*float64(j.spec.CriticalPath())*correction) + j.queue.Target
	after := time.Duration(float64(j.spec.PathAfter(g.number, 0)) * correction)
	end := d.now.Add(after)
	return aqspeculation.Need{
		Takes: usual + copyOverhead,
		Until: g.occurrence.dueAt.Add(allowed).Sub(end),
		Lost:  g.occurrence.dueAt.Add(aqurgency.UsefulFactor * allowed).Sub(end),
	}
}

// copyWorker returns the best worker for a copy of a task, nil if none suits it or none did a short while ago. Groups
// for which there was none come last in the next round, so that they take no searches from the others.
func (d *Decider) copyWorker(t *task, room *copyRoom) *worker {
	g, r := t.group, t.run
	if g.noCopyWorkerAt.Equal(d.now) || d.now.Sub(r.moveTriedAt) < time.Duration(len(d.fleet))*moveRetryPerWorker {
		return nil
	}
	room.searched += len(d.fleet)
	g.noCopyWorkerAt = d.now
	var best candidate
	for _, c := range d.candidates(g, nil) {
		if c.worker.health.suspected() {
			continue
		}
		g.noCopyWorkerAt = time.Time{}
		if c.worker == r.worker || slices.Contains(t.avoid, c.worker.info.ID) {
			continue
		}
		if best.worker == nil || c.better(best) {
			best = c
		}
	}
	if best.worker == nil {
		r.moveTriedAt = d.now
	}
	return best.worker
}

// startCopy starts a second run of a task at the latest progress that is known to be saved.
func (d *Decider) startCopy(t *task, w *worker, cause aqspeculation.Cause) {
	r := d.newRun(t, w, t.attempt+1)
	r.copyCause = cause
	r.resumeFrom = max(t.checkpoint, t.run.checkpoint)
	r.waitedSince = t.group.changedAt
	t.copy = r
	d.order(r)
}
