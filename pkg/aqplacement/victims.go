package aqplacement

import (
	"sort"
	"time"

	"acaciaquay/pkg/aqtype"
)

// Eviction costs.
const (
	// evictionFixedCost keeps a task that has just begun from being the victim
	// every time.
	evictionFixedCost = 30 * time.Second
	// repeatedEvictionCost is added for each earlier eviction of the task.
	repeatedEvictionCost = 10 * time.Minute
)

// Eviction is a choice of victims on one worker.
type Eviction struct {
	Candidate int
	Victims   []aqtype.TaskID
	// Freed is what the victims hold.
	Freed aqtype.Resources
}

// Outranks reports whether a demand may take the place of a resident. A
// latency-critical task is never a victim, and urgency is never taken from an
// equal or more urgent one, except that a latency-critical demand goes before
// batch work of its own urgency.
func Outranks(d Demand, r Resident) bool {
	if r.LatencyCritical || r.Stopping {
		return false
	}
	if d.Urgency == r.Urgency {
		return d.LatencyCritical
	}
	return d.Urgency > r.Urgency
}

// ChooseVictims returns the cheapest set of residents on one worker whose end
// makes room for the demand. Allowed is how much batch work may be stopped in
// all, so that its floor is kept; zero resources mean no bound.
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

// evictBefore orders victims: least urgent first, then least lost work.
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
