package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Pair names who slows whom down.
type Pair struct {
	Victim    aqtype.TaskKind
	Neighbour aqtype.TaskKind
}

// Constants of the interference model.
const (
	// priorSlowdown is expected of a pair that was never seen together.
	priorSlowdown = 0.02
	// learningRate is the part of an error that one report corrects.
	learningRate = 0.1
	// slowdownHalfLife is how fast an old observation returns to the prior.
	slowdownHalfLife = 24 * time.Hour
	maxSlowdown      = 4.0
)

type pairEstimate struct {
	slowdown float64
	updatedAt     time.Time
}

// SlowdownModel learns the slowdown of each pair of task kinds from reports, by
// spreading each report's error over the neighbours that the task had then. It
// is not safe for concurrent use.
type SlowdownModel struct {
	estimates map[Pair]pairEstimate
	now       time.Time
}

// NewSlowdownModel returns a model that expects the prior of every pair.
func NewSlowdownModel() *SlowdownModel {
	return &SlowdownModel{estimates: map[Pair]pairEstimate{}}
}

// Len returns the number of pairs that have been seen.
func (p *SlowdownModel) Len() int { return len(p.estimates) }

// SetNow moves the time that decay is reckoned from.
func (p *SlowdownModel) SetNow(now time.Time) { p.now = now }

// Slowdown implements Interference.
func (p *SlowdownModel) Slowdown(victim, neighbour aqtype.TaskKind) float64 {
	e, ok := p.estimates[Pair{Victim: victim, Neighbour: neighbour}]
	if !ok {
		return priorSlowdown
	}
	return priorSlowdown + (e.slowdown-priorSlowdown)*decay(p.now.Sub(e.updatedAt))
}

// decay falls from one to a half over the half-life, and on from there as the
// reciprocal, which needs no exponential and never reaches zero.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(slowdownHalfLife))
}

// Observe takes one report: the victim ran slower by the given fraction beside
// these neighbours. Neighbours are those at the time that the report is about.
func (p *SlowdownModel) Observe(victim aqtype.TaskKind, neighbours []aqtype.TaskKind, slowdown float64) {
	if len(neighbours) == 0 {
		return
	}
	expected := 0.0
	for _, n := range neighbours {
		expected += p.Slowdown(victim, n)
	}
	step := learningRate * (slowdown - expected) / float64(len(neighbours))
	for _, n := range neighbours {
		changed := min(max(p.Slowdown(victim, n)+step, 0), maxSlowdown)
		p.estimates[Pair{Victim: victim, Neighbour: n}] = pairEstimate{
			slowdown: changed,
			updatedAt:     p.now,
		}
	}
}
