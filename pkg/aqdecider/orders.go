package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// Delays after a refused start.
const (
	// refusalBackoff is the delay before the refused task is placed again.
	refusalBackoff = 100 * time.Millisecond
	// refusalCooldown is the time for which the refusing worker gets no tasks.
	refusalCooldown = time.Second
)

// stop orders a run to stop. reason appears in the log.
func (d *Decider) stop(r *run, reason string) { d.move(r, nil, reason) }

// move orders a run to stop so that its task can run on another worker, which is nil if any
// will do.
func (d *Decider) move(r *run, to *worker, reason string) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.worker.invalidateLoad()
	r.reason = reason
	if r.moved = to != nil; r.moved {
		r.task.group.noteMove(r.task, d.now)
	}
	r.stopAcked = 0
	r.stopUpdatedAt = d.now
	d.options.Log.Write(aqlog.RunStopping, taskAttr(r.id.Task), workerAttr(r.worker.info.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.String("Why", reason), slog.String("For", string(idOf(to))))
	d.addOrder(Stop{Worker: r.worker.info.ID, Run: r.id})
}

// noteMove notes that a task's run is being moved. A gang is moved as a whole.
func (g *group) noteMove(t *task, now time.Time) {
	t.movedAt = now
	if g.spec.Gang {
		for _, member := range g.tasks {
			member.movedAt = now
		}
	}
}

// idOf returns the id of a worker, empty for nil.
func idOf(w *worker) aqtype.WorkerID {
	if w == nil {
		return ""
	}
	return w.info.ID
}

// StartAnswered handles the outcome of an order to start.
func (d *Decider) StartAnswered(id aqtype.WorkerID, incarnation Incarnation, runID RunID, outcome Outcome, at LogicalTime) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != incarnation {
		return
	}
	r := w.runs[runID]
	if r == nil {
		return
	}
	r.noteStartEnded(d.now)
	if r.state != runStarting {
		return
	}
	if r.startResent && outcome != OutcomeAccepted {
		// The order was sent before through another agent and may have started the run.
		outcome = OutcomeUnknown
	}
	switch outcome {
	case OutcomeAccepted:
		d.confirm(r, at)
		r.setBase(w.clockNow(d.now), 0)
		d.options.Metrics.Inc(aqmetric.TasksStarted)
		return
	case OutcomeUnknown:
		if r.task.group.hasSuspect(r.task) {
			r.startUnknown = at
			return
		}
		d.options.Metrics.Retried(aqmetric.RetryStartUnknown)
		d.stop(r, "start outcome unknown")
		return
	case OutcomeNoRoom, OutcomeInvalid, OutcomeNotSent:
		w.avoidUntil = d.now.Add(refusalCooldown)
		r.task.refusedBy(id)
	case OutcomeUnhealthy:
		w.avoidUntil = d.now.Add(refusalCooldown)
		r.task.refusedBy(id)
		if w.health.suspect(d.now) {
			d.logSuspicion(w)
		}
	case OutcomeNoTicket:
		d.dropTicket(r.task.group, id)
	case OutcomeExpired:
		// Nothing speaks against the worker.
	}
	d.options.Metrics.Retried(aqmetric.RetryStartRefused)
	d.options.Log.Write(aqlog.StartDeclined, taskAttr(runID.Task), workerAttr(id),
		slog.Int("Attempt", int(runID.Attempt)), slog.String("Outcome", outcome.String()))
	r.task.notBefore = d.now.Add(refusalBackoff)
	r.reason = "start refused"
	d.endRun(r, EndLost, "")
	// The refused start has not ended the wait.
	r.task.group.changedAt = r.waitedSince
	r.task.group.overdueSearchAt = d.now
}

// StartSettled notes that every attempt of an agent to deliver a start was answered. Those of an earlier agent
// may be on their way.
func (d *Decider) StartSettled(id aqtype.WorkerID, incarnation Incarnation, runID RunID) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != incarnation {
		return
	}
	if r := w.runs[runID]; r != nil {
		r.startSettled = !r.startResent
	}
}

// StopAnswered handles a worker's acknowledgement of an order to stop: the run ends, or
// never starts.
func (d *Decider) StopAnswered(id aqtype.WorkerID, incarnation Incarnation, runID RunID, at LogicalTime) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != incarnation {
		return
	}
	if r := w.runs[runID]; r != nil && r.state == runStopping {
		r.stopAcked = at
		r.stopUpdatedAt = d.now
		// The present incarnation refuses a delayed start from now on.
		r.mayRunUntil = time.Time{}
	}
}

// StopUnanswered repeats an order to stop that got no answer.
func (d *Decider) StopUnanswered(id aqtype.WorkerID, incarnation Incarnation, runID RunID) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != incarnation {
		return
	}
	if r := w.runs[runID]; r != nil && r.state == runStopping && r.stopAcked == 0 {
		d.addOrder(Stop{Worker: id, Run: runID})
	}
}

// drainStartTimeout is how long after the entry of a draining worker a start there may wait for its answer.
const drainStartTimeout = time.Second

// stopDraining stops the runs of a draining worker: perpetual tasks at once, starts without an answer after drainStartTimeout,
// all others DrainMargin before the worker leaves.
func (d *Decider) stopDraining(w *worker) {
	if !w.info.Draining {
		return
	}
	leaving := d.now.After(w.leavesAt.Add(-d.options.Limits.DrainMargin))
	late := d.now.Sub(w.drainingAt) > drainStartTimeout
	for _, r := range w.runs {
		if r.state != runStopping && (leaving || r.task.group.spec.Perpetual || (late && r.state == runStarting)) {
			d.stop(r, "worker is draining")
		}
	}
}

// Time-outs of orders without an answer. An agent's own retries end earlier, so by
// then the order or its answer is lost.
const (
	startTimeout     = 10 * time.Second
	stopOrderTimeout = 5 * time.Second
)

// resendOrders stops the runs whose start got no answer in time, and repeats the orders
// to stop that got none.
func (d *Decider) resendOrders(w *worker) {
	for _, r := range w.runs {
		switch {
		case r.state == runStarting && d.now.Sub(r.orderedAt) > startTimeout:
			d.stop(r, "start order timed out")
		case r.state == runStopping && r.stopAcked == 0 && d.now.Sub(r.stopUpdatedAt) > stopOrderTimeout:
			d.repeatStop(r)
		}
	}
}

// repeatStop sends the order to stop a run again.
func (d *Decider) repeatStop(r *run) {
	d.options.Metrics.Retried(aqmetric.RetryStopLost)
	d.options.Log.Write(aqlog.StopRepeated, taskAttr(r.id.Task), workerAttr(r.worker.info.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.Bool("Acked", r.stopAcked > 0),
		slog.Duration("Since", d.now.Sub(r.stopUpdatedAt)))
	r.stopAcked = 0
	r.stopUpdatedAt = d.now
	d.addOrder(Stop{Worker: r.worker.info.ID, Run: r.id})
}

// stopGang stops the other members of a gang after one has ended without success.
func (d *Decider) stopGang(g *group, reason EndReason) {
	if reason == EndDone {
		return
	}
	for _, t := range g.tasks {
		if t.run != nil && t.run.state != runStopping {
			d.stop(t.run, "another gang member ended")
		}
	}
}
