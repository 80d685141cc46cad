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
	// stepTime is the expected time from the end of a group to the start of the next one.
	stepTime = 100 * time.Millisecond
	// wantedTime is how long a rack counts as wanted after a group has found no room there.
	wantedTime = time.Second
	// weightYield keeps tasks off a wanted rack that are no faster there, as long as there are other
	// workers. It exceeds the score by load.
	weightYield = 1.5
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

// beginRackWaits begins a round of decisions.
func (d *Decider) beginRackWaits() { d.forecasts = rackForecasts{} }

// waitsForRack reports whether those of a group's tasks that find no place on its rack wait for
// one. All of them do or none: the group ends with the last one.
func (d *Decider) waitsForRack(g *group, pending []*task) bool {
	rack := aqtype.Rack(g.spec.Affinity)
	if rack == "" || !d.mayWaitForRack(g) {
		return false
	}
	expected, left, known := d.claim(g, rack, len(pending))
	if known && expected == 0 {
		d.forecasts[d.rackKey(g, rack)] = left
		return false
	}
	d.rackShortages[rack] = d.now
	if d.waitPays(g, expected, known) {
		d.forecasts[d.rackKey(g, rack)] = left
		return true
	}
	return false
}

// gangWaits reports whether a gang waits for one rack with room for all of it. It is asked for a
// gang that has room on several racks only.
func (d *Decider) gangWaits(g *group) bool {
	if !d.mayWaitForRack(g) {
		return false
	}
	var best aqtype.Rack
	var left aqwait.Forecast
	var expected time.Duration
	known := false
	for _, rack := range d.racks() {
		if wait, rest, ok := d.claim(g, rack, len(g.tasks)); ok && (!known || wait < expected) {
			best, left, expected, known = rack, rest, wait, true
		}
	}
	if !d.waitPays(g, expected, known) {
		return false
	}
	d.forecasts[d.rackKey(g, best)] = left
	return true
}

// mayWaitForRack reports whether the group has tasks that end and run faster on one rack. Jobs of
// an earlier term do not wait, as their earlier waits are not known.
func (d *Decider) mayWaitForRack(g *group) bool {
	return d.options.Limits.OffRackFactor > 1 && !g.spec.Filler && !g.spec.Perpetual && g.spec.Estimate > 0 &&
		!g.occurrence.job.inherited
}

// yields reports whether a group of tasks that end leaves a rack to others as far as it can: it
// is no faster there, and others have found too little room there of late.
func (d *Decider) yields(g *group, rack aqtype.Rack) bool {
	if len(d.rackShortages) == 0 || g.spec.Filler || g.spec.Perpetual || g.spec.Affinity == string(rack) {
		return false
	}
	at, known := d.rackShortages[rack]
	return known && d.now.Sub(at) < wantedTime
}

// waitsOnRack reports whether the group waits for its rack though there is room elsewhere.
func (g *group) waitsOnRack() bool { return !g.rackWaitSince.IsZero() && !g.rackGivenUp }

// waitPays decides whether a group waits, and keeps since when it has.
func (d *Decider) waitPays(g *group, expected time.Duration, known bool) bool {
	if g.rackGivenUp {
		return false
	}
	waited := time.Duration(0)
	if !g.rackWaitSince.IsZero() {
		waited = d.now.Sub(g.rackWaitSince)
	}
	near := d.nearTime(g)
	choice := aqwait.Decide(aqwait.Task{
		Near:     near,
		Factor:   d.options.Limits.OffRackFactor,
		Waited:   waited,
		Left:     d.timeLeft(g),
		Expected: expected,
		Known:    known,
	})
	begun := !g.rackWaitSince.IsZero()
	event := aqlog.RackWaitBegins
	switch {
	case choice == aqwait.Wait && begun, choice != aqwait.Wait && !begun:
		g.rackGivenUp = choice != aqwait.Wait
		return choice == aqwait.Wait
	case choice == aqwait.Wait:
		g.rackWaitSince = d.now
		d.options.Metrics.Inc(aqmetric.RackWaits)
	default:
		event = aqlog.RackWaitEnds
		g.rackGivenUp = true
		d.options.Metrics.RackWaitEnded(aqmetric.RackWaitEnd(choice.String()))
	}
	d.options.Log.Write(event, slog.String("Group", g.key().String()), slog.String("Rack", g.spec.Affinity),
		slog.String("Why", choice.String()), slog.Duration("Waited", waited), slog.Duration("Expected", expected),
		slog.Duration("RunTime", near))
	return choice == aqwait.Wait
}

// endRackWait counts the wait of a group whose tasks have all been placed.
func (d *Decider) endRackWait(g *group) {
	if g.waitsOnRack() {
		g.rackGivenUp = true
		d.options.Metrics.RackWaitEnded(aqmetric.RackWaitPlaced)
	}
}

// timeLeft returns the time until a group must be done for its job to meet the objective.
func (d *Decider) timeLeft(g *group) time.Duration {
	return d.rank(g).Due().Sub(d.now) - stepTime - g.occurrence.job.spec.PathAfter(g.number, stepTime)
}

// claim returns the time until a rack has room for a number of the group's tasks, and what is
// then left to others.
func (d *Decider) claim(g *group, rack aqtype.Rack, number int) (time.Duration, aqwait.Forecast, bool) {
	return d.forecast(d.rackKey(g, rack), g).Claim(number, g.spec.Reserved(), d.nearTime(g))
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

// forecast returns what is expected of a rack, less what earlier groups of the round claim.
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
	if d.unusableReason(w) != "" || w.info.Service != g.occurrence.job.queue.Service {
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
