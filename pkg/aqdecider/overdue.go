package aqdecider

import (
	"slices"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// Fillers that wait for long. The interference model may expect harm on every worker, and it
// learns only from fillers that run.
const (
	// fillerPatience is how long a group of fillers waits without a change until it is overdue,
	// busyPatience the same while other tasks reserve more than busyShare of the service's
	// processors, since it also waits for what these will leave, or while one of its tasks works.
	// One of its tasks is then started at reducedPace, where it is expected to do least harm.
	fillerPatience = 1200 * time.Millisecond
	busyPatience   = 10 * time.Second
	// busyShare exceeds the half above which users accept such a wait: the leader learns late of
	// ends.
	busyShare = 0.6
	// overdueRetry is the pause after a search that found no worker. It doubles up to
	// maxOverduePause while no worker could ever take the group.
	overdueRetry    = 200 * time.Millisecond
	maxOverduePause = 12 * time.Second
	// maxOverdueLooks limits what the searches of one round of decisions cost: 1 for a worker that
	// may not take the group, scoredLook for another. enoughSuitable limits the workers that one
	// search compares.
	maxOverdueLooks = 52800
	scoredLook      = 8
	enoughSuitable  = 64
	// disturbWindow is how long after the first one more fillers may be started or resumed on a
	// worker where harm is expected, and disturbInterval the time until the next first one: what
	// they do is measured together, and the serving tasks are under their targets in between.
	disturbWindow   = 300 * time.Millisecond
	disturbInterval = 1800 * time.Millisecond
	// penaltyOverTarget and penaltyNoLeftover count against workers with a serving task over its
	// target and whose fillers use more than is left to them.
	penaltyOverTarget = 10.0
	penaltyNoLeftover = 20.0
	// maxOverTargetWait is how long a worker with a serving task over its target gets no such
	// start, as the fillers there may not be the cause.
	maxOverTargetWait = 10 * time.Second
	// unharmedLogTail is the expected tail latency, as in logTail, of a worker without serving
	// tasks.
	unharmedLogTail = -3.0
	// overdueScore is added for workers that would be forbidden otherwise.
	overdueScore = 1000.0
)

// overdue reports whether the fillers of a group have waited for too long.
func (d *Decider) overdue(g *group) bool {
	if !g.spec.Filler || d.now.Sub(g.changedAt) < fillerPatience {
		return false
	}
	if d.busy[g.occurrence.job.queue.Service] || g.works() {
		return d.now.Sub(g.changedAt) >= busyPatience
	}
	return true
}

// works reports whether a run of the group is not suspended.
func (g *group) works() bool {
	return slices.ContainsFunc(g.tasks, func(t *task) bool { return t.run != nil && t.run.pace > 0 })
}

// noteBusy records the services of which more than busyShare of the processors are reserved.
// Fillers reserve none.
func (d *Decider) noteBusy() {
	reserved, capacity := map[aqjob.ServiceID]float64{}, map[aqjob.ServiceID]float64{}
	for _, w := range d.fleet {
		if !w.present {
			continue
		}
		reserved[w.info.Service] += float64(w.used.MilliCPU)
		capacity[w.info.Service] += float64(w.info.Capacity.MilliCPU)
	}
	for service := range capacity {
		d.busy[service] = reserved[service] > busyShare*capacity[service]
	}
}

// changed records a change of the group's tasks.
func (g *group) changed(now time.Time) {
	g.changedAt = now
	g.overduePause = overdueRetry
	g.overdueSearchAt = now.Add(fillerPatience)
}

// startOverdue starts one task each of overdue groups, those that have waited longest first.
func (d *Decider) startOverdue(waiting []*group) {
	var due []*group
	for _, g := range waiting {
		if !g.spec.Gang && d.overdue(g) && !d.now.Before(g.overdueSearchAt) {
			due = append(due, g)
		}
	}
	slices.SortStableFunc(due, func(a, b *group) int { return a.overdueSearchAt.Compare(b.overdueSearchAt) })
	unreported := d.hasUnreported()
	for _, g := range due {
		if d.overdueLooks >= maxOverdueLooks {
			return
		}
		if g.occurrence.job.state.Final() {
			continue
		}
		pending := g.pending(d.now, unreported)
		position := slices.IndexFunc(pending, func(t *task) bool { return !t.history.Suspected() })
		if position < 0 {
			continue
		}
		if w := d.leastHarmed(pending[position]); w != nil {
			d.startSlowly(pending[position], w)
			continue
		}
		d.postponeSearch(g)
	}
}

// startMoved starts the fillers that were stopped to be moved, before other fillers take the places
// for which they were stopped.
func (d *Decider) startMoved(waiting []*group, unreported bool) {
	for _, g := range waiting {
		if !g.spec.Filler || g.spec.Gang || g.occurrence.job.state.Final() ||
			!slices.ContainsFunc(g.tasks, func(t *task) bool { return t.moved }) {
			continue
		}
		for _, t := range g.pending(d.now, unreported) {
			if !t.moved || t.history.Suspected() {
				continue
			}
			if d.overdueLooks >= maxOverdueLooks {
				return
			}
			d.startElsewhere(t)
		}
	}
}

// startElsewhere starts a filler that was moved on the worker that suits it best, or slowly where
// it is expected to do least harm. Without one it waits like the others.
func (d *Decider) startElsewhere(t *task) {
	if !d.fillerShort(t.group) {
		d.overdueLooks += scoredLook * len(d.fleet)
		if w := d.choose(t, nil); w != nil {
			d.start(t, w, t.attempt+1)
			return
		}
	}
	if w := d.leastHarmed(t); w != nil {
		d.startSlowly(t, w)
		return
	}
	t.moved = false
}

// postponeSearch sets the next search for a group after one that found no worker.
func (d *Decider) postponeSearch(g *group) {
	if d.anyCouldTake(g) {
		g.overduePause = overdueRetry
	} else {
		g.overduePause = min(maxOverduePause, 2*g.overduePause)
	}
	g.overdueSearchAt = d.now.Add(g.overduePause)
}

// anyCouldTake reports whether a listed worker has the label and the capacity that a group needs,
// whatever it runs and however it fares now.
func (d *Decider) anyCouldTake(g *group) bool {
	return slices.ContainsFunc(d.fleet, func(w *worker) bool {
		return w.present && w.info.Service == g.occurrence.job.queue.Service &&
			g.spec.Reserved().Fits(w.info.Capacity) &&
			(g.spec.Constraint == "" || slices.Contains(w.info.Labels, g.spec.Constraint))
	})
}

// resumeSearches ends the pauses of searches after a worker has been listed or has changed.
func (d *Decider) resumeSearches() {
	for g := range d.waiting {
		g.overduePause = overdueRetry
		if g.overdueSearchAt.After(d.now) {
			g.overdueSearchAt = d.now
		}
	}
}

// leastHarmed returns the worker where a filler at reducedPace is expected to do least harm, nil
// if none may take it. In a large fleet it compares some of the workers, others each time.
func (d *Decider) leastHarmed(t *task) *worker {
	g := t.group
	var best *worker
	bestScore := 0.0
	suitable := 0
	for range d.fleet {
		d.overdueLooks++
		d.nextLook++
		w := d.fleet[d.nextLook%len(d.fleet)]
		if !d.eligible(g, w, aqtype.Resources{}) || w.currentLoad().leftover <= 0 {
			continue
		}
		d.overdueLooks += scoredLook - 1
		if !d.mayDisturb(w, g) {
			continue
		}
		score := d.slowStartScore(g, w, 1)
		if slices.Contains(t.avoid, w.info.ID) {
			score += weightAvoided
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
		if suitable++; suitable >= enoughSuitable {
			break
		}
	}
	return best
}

// mayDisturb reports whether a filler of the group may be started at reducedPace on a worker, apart
// from its room. Where harm is expected that depends on the last such start.
func (d *Decider) mayDisturb(w *worker, g *group) bool {
	return d.worstLogTail(w, g.filler(reducedPace)) <= maxLogTail || w.disturbable(d.now)
}

// disturbable reports whether fillers that may do harm may be started or resumed on the worker.
func (w *worker) disturbable(now time.Time) bool {
	since := now.Sub(w.disturbedAt)
	return w.disturbedAt.IsZero() || since < disturbWindow ||
		(since >= disturbInterval && w.currentLoad().overTargetSince.IsZero()) || since >= maxOverTargetWait
}

// disturbed notes that a filler that may do harm has been started or resumed on the worker.
func (w *worker) disturbed(now time.Time) {
	if w.disturbedAt.IsZero() || now.Sub(w.disturbedAt) >= disturbInterval {
		w.disturbedAt = now
	}
}

// slowStartScore returns the score of a worker for a number of the group's tasks at reducedPace; the
// lowest is best.
func (d *Decider) slowStartScore(g *group, w *worker, number int) float64 {
	l := w.currentLoad()
	extra := g.filler(reducedPace)
	extra.Usage *= float64(number)
	score := max(unharmedLogTail, d.worstLogTail(w, extra))
	if demand := (l.fillerDemand + extra.Usage) / l.leftover; demand > maxFillerDemand {
		score += penaltyNoLeftover * demand
	}
	if w.overTarget(d.now) {
		score += penaltyOverTarget
	}
	return score
}

// startSlowly starts a filler that gets reducedPace as soon as it is known to run.
func (d *Decider) startSlowly(t *task, w *worker) {
	d.start(t, w, t.attempt+1)
	t.run.startedSlowly = true
	t.run.pace = reducedPace
	t.run.paceAt = d.now
	t.run.slowSince = d.now
	w.disturbed(d.now)
	w.invalidateLoad()
}

// mayHarm reports whether the group's tasks may be started where harm is expected: it is overdue
// and startOverdue cannot start its tasks one by one.
func (d *Decider) mayHarm(g *group) bool {
	return d.overdue(g) && (g.spec.Gang || g.suspectWaits())
}

// overdueGangDue reports whether workers are to be looked for though a shortage of the gang's image
// is recorded, which a group that may do no harm has found. It sets the next time.
func (d *Decider) overdueGangDue(g *group) bool {
	if !g.spec.Gang || !d.overdue(g) || d.now.Before(g.overdueSearchAt) {
		return false
	}
	g.overdueSearchAt = d.now.Add(overdueRetry)
	return true
}
