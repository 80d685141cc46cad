package aqdecider

import (
	"log/slog"
	"slices"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// endRun handles the end of a known run.
func (d *Decider) endRun(r *run, reason EndReason, checkpoint string) {
	t := r.task
	w := r.worker
	delete(w.runs, r.id)
	w.used = w.used.Sub(r.size)
	w.health.ended(r)
	w.invalidateLoad()
	other := t.remove(r)
	if other != nil && reason != EndDone {
		other.copyCause = nil
	}
	t.reconciled = reason != EndFailed || !t.mayHaveFailedUnseen(r.id.Attempt)
	t.moved = r.moved && other == nil && reason != EndDone && reason != EndFailed
	d.endTrial(t)
	j := t.group.occurrence.job
	d.options.Log.Write(aqlog.RunEnded, taskAttr(r.id.Task), workerAttr(w.info.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.String("How", reason.String()), slog.String("Why", r.reason),
		slog.Duration("Took", d.now.Sub(r.orderedAt)))
	d.options.Metrics.Inc(aqmetric.TasksEnded)
	switch reason {
	case EndDone:
		w.health.succeeded()
		d.noteDuration(r)
		d.noteDone(r)
		if other != nil {
			d.firstDone(r, other)
		}
		if !t.group.spec.Perpetual && !j.state.Final() {
			d.taskDone(t)
			d.releaseIfIdle(j)
			return
		}
	case EndFailed:
		if !t.group.spec.Perpetual && !j.state.Final() && !t.done {
			d.keepCheckpoint(t, checkpoint)
			d.taskFailed(t, w, r.id.Attempt)
		}
		d.runFailed(w, j.spec.ID)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, EndLost:
		d.keepCheckpoint(t, checkpoint)
	}
	if t.group.spec.Gang {
		d.stopGang(t.group, reason)
	}
	d.requeue(t)
	d.releaseIfIdle(j)
}

// keepCheckpoint keeps the checkpoint of an ended run. Of two runs of a task, the one that ends last may have done less.
func (d *Decider) keepCheckpoint(t *task, checkpoint string) {
	if t.group.mayCopy() {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	if checkpoint != "" && checkpoint != t.checkpoint && !t.done {
		t.checkpoint = checkpoint
		d.markDirty(t.group.occurrence.job)
	}
}

// requeue queues a task for placement again.
func (d *Decider) requeue(t *task) {
	if !t.done && t.run == nil && t.group.ready && !t.group.occurrence.job.state.Final() {
		d.waiting[t.group] = true
		t.group.changed(d.now)
	}
}

// taskFailed counts a failed attempt and fails the job when the task has no
// attempts left.
func (d *Decider) taskFailed(t *task, w *worker, attempt Attempt) {
	j := t.group.occurrence.job
	t.countFailure(attempt)
	if t.group.spec.Gang {
		for _, other := range t.group.tasks {
			other.countFailure(attempt)
		}
	}
	t.forgetRefusals()
	t.avoidWorker(w.info.ID)
	d.markDirty(j)
	d.options.Metrics.Retried(aqmetric.RetryTaskFailed)
	if len(t.failed) >= max(1, j.queue.MaxAttempts) && !t.group.spec.Perpetual {
		d.finish(j, aqjob.StateFailed, "task "+t.id().String()+" reached the maximum of failed attempts")
	}
}

// mayHaveFailedUnseen reports whether the task may have no attempts left after the failure of
// an attempt, though the known failures are fewer: an earlier leader may have known of ends
// that it did not store and whose workers have not reported to this one. It started the attempt
// only if there was one left, so an attempt that ends otherwise leaves one as well. Any number of copies
// may have been started and have failed after the attempt.
func (t *task) mayHaveFailedUnseen(attempt Attempt) bool {
	j := t.group.occurrence.job
	return j.inherited && !t.group.spec.Perpetual &&
		(t.group.mayCopy() || int(attempt) >= max(1, j.queue.MaxAttempts))
}

// avoidWorker keeps the task off a worker as long as others suit it.
func (t *task) avoidWorker(id aqtype.WorkerID) {
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}

// refusedBy keeps the task off a worker until it has been started elsewhere.
func (t *task) refusedBy(id aqtype.WorkerID) {
	if !slices.Contains(t.avoid, id) {
		t.avoidWorker(id)
		t.refused = append(t.refused, id)
	}
}

// forgetRefusals ends the effect of refusedBy.
func (t *task) forgetRefusals() {
	t.avoid = slices.DeleteFunc(t.avoid, func(id aqtype.WorkerID) bool { return slices.Contains(t.refused, id) })
	t.refused = nil
}

// countFailure counts a failed attempt once, however often its end is reported.
func (t *task) countFailure(attempt Attempt) {
	if !slices.Contains(t.failed, attempt) {
		t.failed = append(t.failed, attempt)
	}
}

// task returns a task of an unfinished occurrence, nil if there is none.
func (d *Decider) task(id aqjob.TaskID) *task {
	j := d.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil {
		o = d.createReported(j, id.Occurrence)
	}
	if o == nil || id.Group >= len(o.groups) {
		return nil
	}
	g := o.groups[id.Group]
	if id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}
