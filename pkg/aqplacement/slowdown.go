package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Pair is the kinds of a task and of a co-located task that slows it down.
type Pair struct {
	Victim    aqtype.TaskKind
	Neighbour aqtype.TaskKind
}

// Constants of the interference model.
const (
	// priorSlowdown is the estimate for a pair that was never observed.
	priorSlowdown = 0.02
	// learningRate is the fraction of the prediction error that one report
	// corrects.
	learningRate = 0.1
	// slowdownHalfLife is the age at which an estimate has moved halfway back to
	// the prior.
	slowdownHalfLife = 24 * time.Hour
	// maxSlowdown limits an estimate, which is a fraction of the victim's run time.
	maxSlowdown = 4.0
)

type pairEstimate struct {
	slowdown  float64
	updatedAt time.Time
}

// SlowdownModel learns the slowdown of each pair of task kinds from reports. It
// spreads the prediction error of a report evenly over the tasks that were co-located.
// It is not safe for concurrent use.
type SlowdownModel struct {
	estimates map[Pair]pairEstimate
	now       time.Time
}

// NewSlowdownModel returns a model without observations.
func NewSlowdownModel() *SlowdownModel {
	return &SlowdownModel{estimates: map[Pair]pairEstimate{}}
}

// Len returns the number of pairs that have been observed.
func (m *SlowdownModel) Len() int { return len(m.estimates) }

// SetNow sets the current time, from which the age of an estimate is computed.
func (m *SlowdownModel) SetNow(now time.Time) { m.now = now }

// Slowdown implements InterferenceModel.
func (m *SlowdownModel) Slowdown(victim, neighbour aqtype.TaskKind) float64 {
	e, ok := m.estimates[Pair{Victim: victim, Neighbour: neighbour}]
	if !ok {
		return priorSlowdown
	}
	return priorSlowdown + (e.slowdown-priorSlowdown)*decay(m.now.Sub(e.updatedAt))
}

// decay returns the weight of an estimate of this age, which is a half after the
// half-life. The hyperbola needs no exponential function and never reaches zero.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(slowdownHalfLife))
}

// Observe updates the model with one report: the victim ran slower by the given
// fraction. neighbours holds the kinds of the tasks that were co-located at the time
// that the report describes.
func (m *SlowdownModel) Observe(victim aqtype.TaskKind, neighbours []aqtype.TaskKind, slowdown float64) {
	if len(neighbours) == 0 {
		return
	}
	expected := 0.0
	for _, n := range neighbours {
		expected += m.Slowdown(victim, n)
	}
	step := learningRate * (slowdown - expected) / float64(len(neighbours))
	for _, n := range neighbours {
		changed := min(max(m.Slowdown(victim, n)+step, 0), maxSlowdown)
		m.estimates[Pair{Victim: victim, Neighbour: n}] = pairEstimate{
			slowdown:  changed,
			updatedAt: m.now,
		}
	}
}
