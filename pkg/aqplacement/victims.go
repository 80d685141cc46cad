package aqplacement

import (
	"sort"
	"time"

	"acaciaquay/pkg/aqtype"
)

// Eviction costs.
const (
	// evictionFixedCost makes the eviction of a task that has just started cost
	// something, so that such a task is not the victim every time.
	evictionFixedCost = 30 * time.Second
	// repeatedEvictionCost is added for each earlier eviction of the task.
	repeatedEvictionCost = 10 * time.Minute
)

// Eviction is a choice of victims on one worker.
type Eviction struct {
	Candidate int
	Victims   []aqtype.TaskID
	// Freed is what the victims reserve.
	Freed aqtype.Resources
}

// Outranks reports whether a demand may preempt a resident. A latency-critical task
// or one that is stopping is never preempted. Otherwise the demand must be more
// urgent, or equally urgent and latency-critical.
func Outranks(d Demand, r Resident) bool {
	if r.LatencyCritical || r.Stopping {
		return false
	}
	if d.Urgency == r.Urgency {
		return d.LatencyCritical
	}
	return d.Urgency > r.Urgency
}

// ChooseVictims returns the cheapest set of residents of one worker whose eviction
// makes room for the demand. With bounded set, the victims must fit in allowed, so
// that batch work keeps its guaranteed share.
func ChooseVictims(d Demand, candidates []Candidate, bounded bool, allowed aqtype.Resources) (Eviction, bool) {
	var best Eviction
	var bestCost time.Duration
	found := false
	for i, c := range candidates {
		if c.Probation {
			continue
		}
		e, cost, ok := cheapestVictims(d, c)
		if !ok || (bounded && !e.Freed.Fits(allowed)) {
			continue
		}
		if !found || cost < bestCost {
			e.Candidate = i
			best, bestCost, found = e, cost, true
		}
	}
	return best, found
}

func cheapestVictims(d Demand, c Candidate) (Eviction, time.Duration, bool) {
	room := c.Free
	for _, r := range c.Residents {
		if r.Stopping {
			room = room.Add(r.Size)
		}
	}
	if d.Size.Fits(room) {
		return Eviction{}, 0, false
	}
	eligible := make([]Resident, 0, len(c.Residents))
	for _, r := range c.Residents {
		if Outranks(d, r) {
			eligible = append(eligible, r)
		}
	}
	sort.Slice(eligible, func(i, j int) bool { return evictBefore(eligible[i], eligible[j]) })
	var e Eviction
	var cost time.Duration
	for _, r := range eligible {
		if d.Size.Fits(room) {
			break
		}
		room = room.Add(r.Size)
		e.Freed = e.Freed.Add(r.Size)
		e.Victims = append(e.Victims, r.Task)
		cost += evictionCost(r)
	}
	return e, cost, d.Size.Fits(room)
}

// evictBefore orders victims: least urgent first, then least work lost.
func evictBefore(a, b Resident) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if ca, cb := evictionCost(a), evictionCost(b); ca != cb {
		return ca < cb
	}
	return a.Task.Less(b.Task)
}

func evictionCost(r Resident) time.Duration {
	return evictionFixedCost + r.Ran + time.Duration(r.Evictions)*repeatedEvictionCost
}
