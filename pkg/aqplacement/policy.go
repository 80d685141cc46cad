// Package aqplacement places tasks on workers, chooses tasks to throttle or evict,
// and learns from the workers' reports. It has no goroutines, no clock of its own
// and no I/O.
package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Demand is a task that needs a worker.
type Demand struct {
	Task            aqtype.TaskID
	Kind            aqtype.TaskKind
	Team            aqtype.TeamID
	Urgency         aqtype.Urgency
	LatencyCritical bool
	// Size is what the task would reserve.
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
	// Ran is how long the current attempt has been running.
	Ran       time.Duration
	Evictions int
	// Stopping is set when the task has been ordered to stop.
	Stopping bool
}

// Candidate is a worker that placement may choose.
type Candidate struct {
	Worker aqtype.WorkerID
	Rack   aqtype.Rack
	// Capacity is what this scheduler may reserve on the worker.
	Capacity aqtype.Resources
	// Free is the unreserved capacity, never negative.
	Free      aqtype.Resources
	Residents []Resident
	// Probation restricts the worker to one new task at a time. Residents are not preempted or
	// throttled there.
	Probation bool
	// Closed is set while nothing may be started on the worker, whatever is free.
	Closed bool
}

func (c Candidate) fits(d Demand) bool {
	return !c.Closed && d.Size.Fits(c.Free)
}

// Policy selects how Choose picks a worker. It is sealed: FirstFit, Spread and
// LeastInterference.
type Policy interface {
	isPolicy()
}

// FirstFit takes the first worker with room.
type FirstFit struct{}

// Spread takes the worker with the largest fraction of its processors free.
type Spread struct{}

// LeastInterference takes the worker where the task and the co-located tasks are
// expected to slow each other down least. A small weight on free processors makes it
// prefer the fullest of otherwise equal workers.
type LeastInterference struct {
	Model InterferenceModel
}

func (FirstFit) isPolicy()          {}
func (Spread) isPolicy()            {}
func (LeastInterference) isPolicy() {}

// InterferenceModel predicts how much one kind of task slows down another on the
// same worker.
type InterferenceModel interface {
	// Slowdown returns the expected increase of the victim's run time or latency
	// due to one co-located task of the neighbour's kind, as a fraction: 0.1 means
	// 10 % longer.
	Slowdown(victim, neighbour aqtype.TaskKind) float64
}

// Choose returns the index of the chosen candidate, or false if none has room.
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

// Weights of one unit of expected slowdown. A latency-critical task counts more,
// because its users wait for each answer.
const (
	latencyCriticalWeight = 8.0
	batchWeight           = 1.0
	// packingWeight is the cost of an empty worker. It packs tasks when other costs
	// are equal, to avoid fragmentation of the free capacity.
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
