// Package aqplacement decides which worker a task goes to, which task makes
// room for another, and what is learned from the workers' reports. It has no
// goroutines, no clock of its own and no I/O.
package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Demand is a task that looks for a worker.
type Demand struct {
	Task            aqtype.TaskID
	Kind            aqtype.TaskKind
	Team            aqtype.TeamID
	Urgency         aqtype.Urgency
	LatencyCritical bool
	// Size is what would be reserved.
	Size aqtype.Resources
}

// Resident is a task that holds a reservation on a worker.
type Resident struct {
	Task            aqtype.TaskID
	Kind            aqtype.TaskKind
	Urgency         aqtype.Urgency
	LatencyCritical bool
	Size            aqtype.Resources
	// Full is what the task reserves when it is not throttled.
	Full aqtype.Resources
	// Ran is how long the current attempt has run.
	Ran       time.Duration
	Evictions int
	// Stopping is set when the task is already being stopped.
	Stopping bool
}

// Candidate is a worker as placement sees it.
type Candidate struct {
	Worker aqtype.WorkerID
	Rack   aqtype.Rack
	// Capacity is what this scheduler may reserve there.
	Capacity aqtype.Resources
	// Free is never negative: the capacity less what is reserved.
	Free      aqtype.Resources
	Residents []Resident
	// Probation allows one task at a time.
	Probation bool
}

func (c Candidate) fits(d Demand) bool {
	if c.Probation && len(c.Residents) > 0 {
		return false
	}
	return d.Size.Fits(c.Free)
}

// Policy chooses a worker. It is sealed: FirstFit, Spread and Interfering.
type Policy interface {
	isPolicy()
}

// FirstFit takes the first worker with room.
type FirstFit struct{}

// Spread takes the worker with the largest part of its processors free.
type Spread struct{}

// LeastInterference takes the worker on which the task and its neighbours are
// expected to slow each other down least, and among equals the fullest.
type LeastInterference struct {
	Model InterferenceModel
}

func (FirstFit) isPolicy()          {}
func (Spread) isPolicy()            {}
func (LeastInterference) isPolicy() {}

// InterferenceModel says how much one kind of task slows another down beside it.
type InterferenceModel interface {
	// Slowdown is the expected growth of the victim's run time or latency by
	// one neighbour, as a fraction: 0.1 means a tenth longer.
	Slowdown(victim, neighbour aqtype.TaskKind) float64
}

// Choose returns the index of the chosen candidate, or false when none has
// room.
func Choose(p Policy, d Demand, candidates []Candidate) (int, bool) {
	switch policy := p.(type) {
	case FirstFit:
		return firstFit(d, candidates)
	case Spread:
		return lowestCost(d, candidates, func(c Candidate) float64 { return -freeShare(c) })
	case LeastInterference:
		return lowestCost(d, candidates, func(c Candidate) float64 { return policy.cost(d, c) })
	}
	return 0, false
}

func firstFit(d Demand, candidates []Candidate) (int, bool) {
	for i, c := range candidates {
		if c.fits(d) {
			return i, true
		}
	}
	return 0, false
}

func lowestCost(d Demand, candidates []Candidate, cost func(Candidate) float64) (int, bool) {
	best, found := 0, false
	var bestCost float64
	for i, c := range candidates {
		if !c.fits(d) {
			continue
		}
		if current := cost(c); !found || current < bestCost {
			best, bestCost, found = i, current, true
		}
	}
	return best, found
}

func freeShare(c Candidate) float64 {
	if c.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(c.Free.MilliCPU) / float64(c.Capacity.MilliCPU)
}

// Weights of one unit of expected slowdown. A latency-critical task counts
// more, because somebody waits for it.
const (
	latencyCriticalWeight = 8.0
	batchWeight           = 1.0
	// packingWeight is what a wholly free worker costs, so that equal choices
	// leave room in one piece.
	packingWeight = 0.05
)

func weight(latencyCritical bool) float64 {
	if latencyCritical {
		return latencyCriticalWeight
	}
	return batchWeight
}

func (p LeastInterference) cost(d Demand, c Candidate) float64 {
	cost := packingWeight * freeShare(c)
	for _, r := range c.Residents {
		cost += weight(r.LatencyCritical) * p.Model.Slowdown(r.Kind, d.Kind)
		cost += weight(d.LatencyCritical) * p.Model.Slowdown(d.Kind, r.Kind)
	}
	return cost
}
