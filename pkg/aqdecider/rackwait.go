package aqdecider

import (
	"log/slog"
	"slices"
	"time"

	"acaciaquay/internal/site/aqwait"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

const (
	// firstMeasuredPercent is the progress from which a run shows how long it takes.
	firstMeasuredPercent = 10
	// soon is when a run is expected to end that should have ended.
	soon = 20 * time.Millisecond
	// weightWanted keeps tasks that have no data off racks for which others wait, as long as
	// there are other workers.
	weightWanted = 1.0
)

// rackForecasts holds what one round of decisions expects of racks. A group of another service,
// label or queue may use other workers of a rack.
type rackForecasts map[rackKey]aqwait.Forecast

type rackKey struct {
	class      placementClass
	constraint string
	rack       aqtype.Rack
	// own is a group with tickets or anti-affinity of its own, zero for the others.
	own GroupID
}

// rackTask is a task of a group that runs faster on a rack.
type rackTask struct {
	group *group
	// near is the expected run time there.
	near time.Duration
	// settled is set once a task of the group is not to wait: those after it would wait longer.
	settled bool
}

// beginRackWaits begins a round of decisions.
func (d *Decider) beginRackWaits() {
	d.forecasts = rackForecasts{}
	d.wantedRacks, d.wantedNext = d.wantedNext, map[aqtype.Rack]bool{}
}

// rackTask returns the group as one whose tasks may wait for a rack. Jobs of an earlier term do
// not wait, as their earlier waits are not known.
func (d *Decider) rackTask(g *group) rackTask {
	waits := d.options.Limits.OffRackFactor > 1 && !g.spec.Filler && !g.spec.Perpetual && g.spec.Estimate > 0 &&
		!g.occurrence.job.inherited
	if !waits {
		return rackTask{settled: true}
	}
	return rackTask{
		group: g,
		near:  d.nearTime(g),
	}
}

// waits reports whether a task waits for its rack rather than use a worker elsewhere.
func (d *Decider) waits(r *rackTask, t *task, elsewhere *worker) bool {
	rack := aqtype.Rack(t.group.spec.Affinity)
	if r.settled || rack == "" || elsewhere.rack == rack {
		return false
	}
	key := d.rackKey(t.group, rack)
	expected, left, known := d.forecast(key, t.group).Claim(1, t.group.spec.Reserved(), r.near)
	// A place that is free and was not chosen does not suit the task.
	if !d.waitPays(r, t, expected, known && expected > 0) {
		r.settled = true
		return false
	}
	d.forecasts[key] = left
	d.wantedNext[rack] = true
	return true
}

// gangWaits reports whether a gang waits for one rack with room for all of it. It is asked for a
// gang that has room on several racks only.
func (d *Decider) gangWaits(g *group, pending []*task) bool {
	r := d.rackTask(g)
	if r.settled {
		return false
	}
	var key rackKey
	var left aqwait.Forecast
	var expected time.Duration
	known := false
	for _, rack := range d.racks() {
		k := d.rackKey(g, rack)
		wait, rest, ok := d.forecast(k, g).Claim(len(pending), g.spec.Reserved(), r.near)
		if ok && (!known || wait < expected) {
			key, left, expected, known = k, rest, wait, true
		}
	}
	if !d.waitPays(&r, pending[0], expected, known) {
		return false
	}
	d.forecasts[key] = left
	d.wantedNext[key.rack] = true
	return true
}

// waitPays decides whether a task waits, and keeps since when it has.
func (d *Decider) waitPays(r *rackTask, t *task, expected time.Duration, known bool) bool {
	waited := time.Duration(0)
	if !t.rackWaitSince.IsZero() {
		waited = d.now.Sub(t.rackWaitSince)
	}
	choice := aqwait.Decide(aqwait.Task{
		Near:     r.near,
		Factor:   d.options.Limits.OffRackFactor,
		Waited:   waited,
		Left:     d.timeLeft(r.group),
		Expected: expected,
		Known:    known,
	})
	if choice == aqwait.Wait {
		if t.rackWaitSince.IsZero() {
			t.rackWaitSince = d.now
			d.options.Metrics.Inc(aqmetric.RackWaits)
			d.logRackWait(aqlog.RackWaitBegins, r, choice, expected, waited)
		}
		return true
	}
	if !t.rackWaitSince.IsZero() {
		d.options.Metrics.RackWaitEnded(aqmetric.RackWaitEnd(choice.String()))
		d.logRackWait(aqlog.RackWaitEnds, r, choice, expected, waited)
	}
	return false
}

// endRackWait ends the wait of a task that has been placed.
func (d *Decider) endRackWait(t *task, w *worker) {
	if t.rackWaitSince.IsZero() {
		return
	}
	if t.group.spec.Affinity == "" || t.group.spec.Affinity == string(w.rack) {
		d.options.Metrics.RackWaitEnded(aqmetric.RackWaitPlaced)
	}
	t.rackWaitSince = time.Time{}
}

// logRackWait logs a wait that begins or ends, once in a round for each group.
func (d *Decider) logRackWait(e aqlog.Event, r *rackTask, choice aqwait.Choice, expected, waited time.Duration) {
	if r.group.rackWaitLoggedAt.Equal(d.now) {
		return
	}
	r.group.rackWaitLoggedAt = d.now
	d.options.Log.Write(e, slog.String("Group", r.group.key().String()), slog.String("Rack", r.group.spec.Affinity),
		slog.String("Why", choice.String()), slog.Duration("Waited", waited), slog.Duration("Expected", expected),
		slog.Duration("RunTime", r.near))
}

// timeLeft returns the time until a group must be done for its job to meet the objective.
func (d *Decider) timeLeft(g *group) time.Duration {
	return d.rank(g).due.Sub(d.now) - g.occurrence.pathAfter(g)
}

// pathAfter returns the longest chain of expected run times of the groups that wait for one.
func (o *occurrence) pathAfter(g *group) time.Duration {
	var longest time.Duration
	for _, next := range o.groups[g.number+1:] {
		if slices.Contains(next.spec.After, g.number) {
			longest = max(longest, next.spec.Estimate+o.pathAfter(next))
		}
	}
	return longest
}

// nearTime returns how long a task of a group is expected to take on its rack: what its running
// tasks show, or the submitter's estimate.
func (d *Decider) nearTime(g *group) time.Duration {
	var sum time.Duration
	measured := 0
	for _, t := range g.tasks {
		if t.run == nil || t.run.state != runRunning || t.run.resumeFrom != "" || t.run.percent < firstMeasuredPercent {
			continue
		}
		sum += time.Duration(float64(t.run.wholeTime()) / d.slowdown(t.run))
		measured++
	}
	if measured == 0 {
		return g.spec.Estimate
	}
	return sum / time.Duration(measured)
}

// wholeTime returns the run time that the progress of a run shows.
func (r *run) wholeTime() time.Duration {
	return r.reportAt.Sub(r.orderedAt) * fullPace / time.Duration(r.percent)
}

// slowdown returns how many times as long a run takes on its worker's rack as near its data.
func (d *Decider) slowdown(r *run) float64 {
	affinity := r.task.group.spec.Affinity
	if affinity == "" || affinity == string(r.worker.rack) {
		return 1
	}
	return max(1, d.options.Limits.OffRackFactor)
}

// expectedEnd returns the time until a run gives back its room, false if it is not known to end.
func (d *Decider) expectedEnd(r *run) (time.Duration, bool) {
	spec := r.task.group.spec
	switch {
	case r.state == runStopping:
		return max(soon, d.options.Limits.StopGrace), true
	case spec.Filler, spec.Perpetual, spec.Estimate <= 0:
		return 0, false
	}
	ran := d.now.Sub(r.orderedAt)
	if r.state == runRunning && r.resumeFrom == "" && r.percent >= firstMeasuredPercent {
		return max(soon, r.wholeTime()-ran), true
	}
	estimate := time.Duration(float64(spec.Estimate) * d.slowdown(r))
	if ran < estimate {
		return estimate - ran, true
	}
	// A run that has outlived its estimate is expected to take as long again.
	return ran, true
}

func (d *Decider) rackKey(g *group, rack aqtype.Rack) rackKey {
	key := rackKey{
		class:      g.class(),
		constraint: g.spec.Constraint,
		rack:       rack,
	}
	if g.occurrence.job.queue.Advised || g.spec.AntiAffinity > 0 {
		key.own = g.key()
	}
	return key
}

// forecast returns what is expected of a rack, less what earlier groups of the round wait for.
func (d *Decider) forecast(key rackKey, g *group) aqwait.Forecast {
	if known, ok := d.forecasts[key]; ok {
		return known
	}
	forecast := aqwait.Forecast{}
	for _, w := range d.fleet {
		if w.rack != key.rack || !d.mayHaveRoom(g, w) {
			continue
		}
		var ends []aqwait.End
		for _, r := range w.runs {
			if in, ok := d.expectedEnd(r); ok {
				ends = append(ends, aqwait.End{
					In:   in,
					Size: r.size,
				})
			}
		}
		forecast = append(forecast, aqwait.NewHost(w.info.Capacity.Sub(w.used), ends))
	}
	d.forecasts[key] = forecast
	return forecast
}

// mayHaveRoom reports whether a worker may take a task of the group once it has room.
func (d *Decider) mayHaveRoom(g *group, w *worker) bool {
	if w.heldForTrial() || d.unusableReason(w) != "" || w.info.Service != g.occurrence.job.queue.Service {
		return false
	}
	if g.spec.Constraint != "" && !slices.Contains(w.info.Labels, g.spec.Constraint) {
		return false
	}
	if g.spec.AntiAffinity > 0 && w.countTasks(g) >= g.spec.AntiAffinity {
		return false
	}
	return !g.occurrence.job.queue.Advised || d.ticket(g, w) != ""
}
