package aqdecider

import (
	"slices"

	"acaciaquay/pkg/aqtype"
)

// maxRestingChecks limits, in one round of decisions, how often tryResting checks whether a
// worker suits a group.
const maxRestingChecks = 1000

// tryResting starts tasks that no other worker suits on workers whose probation has not ended,
// firstProbation after their last failure, one on each. Without it they would wait for up to
// maxProbation. It runs after the waiting groups have been placed.
func (d *Decider) tryResting() {
	if len(d.waiting) == 0 {
		return
	}
	resting := d.restedWorkers()
	if len(resting) == 0 {
		return
	}
	unreported := d.hasUnreported()
	for _, w := range resting {
		w.health.lastResort = true
	}
	for _, g := range d.lastResortGroups(max(1, maxRestingChecks/len(resting))) {
		if !g.occurrence.job.state.Final() {
			d.tryGroup(g, resting, unreported)
		}
	}
	for _, w := range resting {
		w.health.lastResort = false
	}
}

// restedWorkers returns the workers that tryResting may use.
func (d *Decider) restedWorkers() []*worker {
	var rested []*worker
	for _, w := range d.fleet {
		if w.present && w.reachable && w.health.rested(d.now) {
			rested = append(rested, w)
		}
	}
	return rested
}

// lastResortGroups returns the waiting groups by their rank, or some by turns if there are more
// than most.
func (d *Decider) lastResortGroups(most int) []*group {
	groups := d.rankedGroups()
	if len(groups) <= most {
		return groups
	}
	var chosen []*group
	for range most {
		d.restingNext = (d.restingNext + 1) % len(groups)
		chosen = append(chosen, groups[d.restingNext])
	}
	return chosen
}

// tryGroup starts a group's tasks on resting workers.
func (d *Decider) tryGroup(g *group, resting []*worker, unreported bool) {
	pending := slices.DeleteFunc(g.pending(d.now, unreported), func(t *task) bool { return !d.mayTryResting(t) })
	if g.spec.Gang {
		if len(pending) > 0 && d.suitsAny(g, resting) {
			d.placeGang(g, pending)
		}
		return
	}
	for _, t := range pending {
		w := d.bestResting(t, resting)
		if w == nil {
			return
		}
		d.start(t, w, t.attempt+1)
	}
}

// mayTryResting reports whether a task that no other worker suits may be started on a resting
// worker. The try costs a task that ends one of its attempts if the worker does fail
// everything, so such a task tries one only, first waits as long as the worker has to, and
// keeps an attempt for later. Tasks that may crash workers wait for an isolated one.
func (d *Decider) mayTryResting(t *task) bool {
	g := t.group
	if t.history.Suspected() || t.history.Trial != nil {
		return false
	}
	if t.interrupted() && g.spec.Perpetual {
		return true
	}
	if d.now.Sub(g.changedAt) < firstProbation {
		return false
	}
	return g.spec.Perpetual || (len(t.failed) == 0 && g.occurrence.job.queue.MaxAttempts > 1)
}

// suitsAny reports whether one of the workers may get a task of the group.
func (d *Decider) suitsAny(g *group, workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool {
		_, suits := d.suitability(g, w, aqtype.Resources{})
		return suits
	})
}

// bestResting returns the best of the workers for a task, nil if none suits it.
func (d *Decider) bestResting(t *task, workers []*worker) *worker {
	var best candidate
	for _, w := range workers {
		if c, ok := d.candidateFor(t, w); ok && (best.worker == nil || c.better(best)) {
			best = c
		}
	}
	return best.worker
}
