package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// Pauses before a task is offered again.
const (
	// refusedPause follows a worker's refusal.
	refusedPause = 100 * time.Millisecond
	// avoidRefusing keeps new tasks off a worker that refused one.
	avoidRefusing = time.Second
)

// stop orders a run to end and says why.
func (d *Decider) stop(r *run, why string) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.worker.invalidateLoad()
	r.reason = why
	r.stopAcked = 0
	r.stopUpdatedAt = d.now
	d.options.Log.Write(aqlog.RunStopping, taskAttr(r.id.Task), workerAttr(r.worker.info.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.String("Why", why))
	d.addOrder(Stop{Worker: r.worker.info.ID, Run: r.id})
}

// StartAnswered takes the outcome of an order to start.
func (d *Decider) StartAnswered(id aqtype.WorkerID, life Incarnation, runID RunID, outcome Outcome, at LogicalTime) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != life {
		return
	}
	r := w.runs[runID]
	if r == nil || r.state != runStarting {
		return
	}
	if r.startResent && outcome != OutcomeAccepted {
		// The order has been given before, through another agent.
		outcome = OutcomeUnknown
	}
	switch outcome {
	case OutcomeAccepted:
		d.confirm(r, at)
		d.options.Metrics.Inc(aqmetric.TasksStarted)
		return
	case OutcomeUnknown:
		d.options.Metrics.Retried(aqmetric.RetryStartUnknown)
		d.stop(r, "start in doubt")
		return
	case OutcomeNoRoom:
		w.avoidUntil = d.now.Add(avoidRefusing)
	case OutcomeUnhealthy:
		w.avoidUntil = d.now.Add(avoidRefusing)
		w.health.refused(d.now)
	case OutcomeNoTicket:
		d.dropTicket(r.task.group, id)
	case OutcomeInvalid, OutcomeNotSent:
		w.avoidUntil = d.now.Add(avoidRefusing)
	}
	d.options.Metrics.Retried(aqmetric.RetryStartRefused)
	d.options.Log.Write(aqlog.StartDeclined, taskAttr(runID.Task), workerAttr(id),
		slog.Int("Attempt", int(runID.Attempt)), slog.String("Outcome", outcome.String()))
	r.task.notBefore = d.now.Add(refusedPause)
	r.reason = "start refused"
	d.endRun(r, EndLost, "")
}

// StopAnswered notes that a worker has taken an order to stop: the run ends, or
// never begins.
func (d *Decider) StopAnswered(id aqtype.WorkerID, life Incarnation, runID RunID, at LogicalTime) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != life {
		return
	}
	if r := w.runs[runID]; r != nil && r.state == runStopping {
		r.stopAcked = at
		r.stopUpdatedAt = d.now
	}
}

// StopUnanswered gives an order to stop again.
func (d *Decider) StopUnanswered(id aqtype.WorkerID, life Incarnation, runID RunID) {
	w := d.workers[id]
	if w == nil || w.info.Incarnation != life {
		return
	}
	if r := w.runs[runID]; r != nil && r.state == runStopping && r.stopAcked == 0 {
		d.addOrder(Stop{Worker: id, Run: runID})
	}
}

// evacuate takes tasks off a worker that is about to leave.
func (d *Decider) evacuate(w *worker) {
	if !w.info.Draining {
		return
	}
	leaving := d.now.After(w.leavesAt.Add(-d.options.Limits.DrainMargin))
	for _, r := range w.runs {
		if r.state != runStopping && (leaving || r.task.group.spec.Perpetual) {
			d.stop(r, "worker leaves")
		}
	}
}

// Bounds of the time without any word of an order. An agent's own tries end
// before, so the order or its answer is lost.
const (
	startPatience     = 10 * time.Second
	stopOrderPatience = 5 * time.Second
)

// resendOrders gives orders again whose answers are overdue, and settles starts.
func (d *Decider) resendOrders(w *worker) {
	for _, r := range w.runs {
		switch {
		case r.state == runStarting && d.now.Sub(r.orderedAt) > startPatience:
			d.stop(r, "no answer to its start")
		case r.state == runStopping && r.stopAcked == 0 && d.now.Sub(r.stopUpdatedAt) > stopOrderPatience:
			d.options.Metrics.Retried(aqmetric.RetryStopLost)
			r.stopUpdatedAt = d.now
			d.addOrder(Stop{Worker: w.info.ID, Run: r.id})
		}
	}
}

// stopGang stops the other members of a gang of which one has ended.
func (d *Decider) stopGang(g *group, how EndReason) {
	if how == EndDone {
		return
	}
	for _, t := range g.tasks {
		if t.run != nil && t.run.state != runStopping {
			d.stop(t.run, "gang broken")
		}
	}
}
