// Package aqevacuation decides what may be started in availability zones that operators evacuate, and what leaves
// them. It has no input or output.
package aqevacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Condition says whether tasks may be started in a zone.
type Condition int

// The conditions of a zone.
const (
	// Unverified means that the process does not know whether the zone is evacuated. Nothing is started there.
	Unverified Condition = iota
	Open
	Evacuated
	// Reopening means that the zone is open, but the leader's agents may not have learned of it. A leader starts
	// nothing there yet.
	Reopening
)

var conditionNames = map[Condition]string{
	Unverified: "Unverified",
	Open:       "Open",
	Evacuated:  "Evacuated",
	Reopening:  "Reopening",
}

// String returns the name that logs and views use.
func (c Condition) String() string { return conditionNames[c] }

// ZoneState is what a process knows of one zone.
type ZoneState struct {
	Zone aqtype.Zone
	// Revision is that of the zone's evacuation, zero if it is not evacuated.
	Revision aqstore.Revision
	// VerifiedAt is an elapsed time of this process. The store held the state at that time or later.
	VerifiedAt time.Duration
	// ReopenedAt is the VerifiedAt at which the zone was found open after it had been closed, zero if it never was.
	ReopenedAt time.Duration
}

// Times are the times on which knowledge depends.
type Times struct {
	// Bound is the time after an evacuation from which nothing may be started in its zone, zero if nobody evacuates
	// zones.
	Bound time.Duration
	// Call is how long a call to a worker may take.
	Call time.Duration
	// Tell is how long it takes until a leader's agents know what it knows.
	Tell time.Duration
}

// Knowledge is what a process knows of the evacuations. The zero value means that nobody evacuates zones.
type Knowledge struct {
	// limit is the age from which a state is not used any more, zero if nobody evacuates zones.
	limit time.Duration
	// tell is that of the Times.
	tell time.Duration
	// zones holds the states by zone.
	zones map[aqtype.Zone]ZoneState
}

// New returns the knowledge of a leader that has read nothing.
func New(t Times) Knowledge {
	if t.Bound <= 0 {
		return Knowledge{}
	}
	// With a very short bound half of it is left to the calls.
	k := withLimit(max(t.Bound-t.Call, t.Bound/2))
	k.tell = t.Tell
	return k
}

func withLimit(limit time.Duration) Knowledge {
	return Knowledge{
		limit: limit,
		zones: map[aqtype.Zone]ZoneState{},
	}
}

// Used reports whether operators may evacuate zones.
func (k Knowledge) Used() bool { return k.limit > 0 }

// Read applies a full read of the evacuations that was sent at an elapsed time. It covers the given zones and those that are
// evacuated.
func (k Knowledge) Read(evacuated map[aqtype.Zone]aqstore.Revision, zones []aqtype.Zone, at time.Duration) {
	before := maps.Clone(k.zones)
	clear(k.zones)
	for _, zone := range zones {
		k.set(before, ZoneState{
			Zone:       zone,
			VerifiedAt: at,
		})
	}
	for zone, revision := range evacuated {
		k.set(before, ZoneState{
			Zone:       zone,
			Revision:   revision,
			VerifiedAt: at,
		})
	}
}

// set sets the state of a zone. before holds the states of all zones until then.
func (k Knowledge) set(before map[aqtype.Zone]ZoneState, state ZoneState) {
	if last, known := before[state.Zone]; known {
		state.ReopenedAt = last.ReopenedAt
		// Agents close a zone up to the time earlier that they learn later.
		if state.Revision == 0 && (last.Revision > 0 || state.VerifiedAt-last.VerifiedAt >= k.limit-k.tell) {
			state.ReopenedAt = state.VerifiedAt
		}
	}
	k.zones[state.Zone] = state
}

// Watched returns the states that the next check verifies: those of the given zones and of all evacuated ones, in order of their names.
// The state of a zone that has not been read is that it is not evacuated.
func (k Knowledge) Watched(zones []aqtype.Zone) []ZoneState {
	watched := map[aqtype.Zone]ZoneState{}
	for _, zone := range zones {
		watched[zone] = ZoneState{
			Zone:     zone,
			Revision: k.zones[zone].Revision,
		}
	}
	for zone, state := range k.zones {
		if state.Revision > 0 {
			watched[zone] = state
		}
	}
	return sorted(watched)
}

func sorted(zones map[aqtype.Zone]ZoneState) []ZoneState {
	states := make([]ZoneState, 0, len(zones))
	for _, state := range zones {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b ZoneState) int { return cmp.Compare(a.Zone, b.Zone) })
	return states
}

// Verify records that a check that was sent at an elapsed time has found states current. A state that a read has
// changed meanwhile stays.
func (k Knowledge) Verify(states []ZoneState, at time.Duration) {
	for _, state := range states {
		known, read := k.zones[state.Zone]
		if read && (known.Revision != state.Revision || known.VerifiedAt >= at) {
			continue
		}
		state.VerifiedAt = at
		k.set(k.zones, state)
	}
}

// Condition returns the condition of a zone at an elapsed time.
func (k Knowledge) Condition(zone aqtype.Zone, now time.Duration) Condition {
	state, known := k.zones[zone]
	switch {
	case !k.Used():
		return Open
	case known && state.Revision > 0:
		// Nothing shows that it has been taken back.
		return Evacuated
	case !known || now-state.VerifiedAt >= k.limit:
		return Unverified
	}
	return Open
}

// MayStart reports whether tasks may be started in a zone at an elapsed time.
func (k Knowledge) MayStart(zone aqtype.Zone, now time.Duration) bool {
	return k.Condition(zone, now) == Open
}

// Conditions returns the conditions of all known zones for a leader's decisions at an elapsed time, nil if nobody evacuates
// zones. A zone that it does not hold is Unverified.
func (k Knowledge) Conditions(now time.Duration) map[aqtype.Zone]Condition {
	if !k.Used() {
		return nil
	}
	conditions := make(map[aqtype.Zone]Condition, len(k.zones))
	for zone, state := range k.zones {
		condition := k.Condition(zone, now)
		if condition == Open && state.ReopenedAt > 0 && now-state.ReopenedAt < k.tell {
			condition = Reopening
		}
		conditions[zone] = condition
	}
	return conditions
}

// Report is a leader's knowledge as its agents get it.
type Report struct {
	Limit time.Duration
	Zones []ZoneReport
}

// ZoneReport is a ZoneState with its age, since the processes' elapsed times differ.
type ZoneReport struct {
	Zone     aqtype.Zone
	Revision aqstore.Revision
	Age      time.Duration
}

// Report returns the knowledge for the agents, nil if nobody evacuates zones.
func (k Knowledge) Report(now time.Duration) *Report {
	if !k.Used() {
		return nil
	}
	report := &Report{Limit: k.limit}
	for _, state := range sorted(k.zones) {
		report.Zones = append(report.Zones, ZoneReport{
			Zone:     state.Zone,
			Revision: state.Revision,
			Age:      now - state.VerifiedAt,
		})
	}
	return report
}

// FromReport returns the knowledge in a report, nil if nobody evacuates zones. The leader sent it at an elapsed time of this
// process or later.
func FromReport(report *Report, sentAfter time.Duration) Knowledge {
	if report == nil {
		return Knowledge{}
	}
	k := withLimit(report.Limit)
	for _, zone := range report.Zones {
		k.zones[zone.Zone] = ZoneState{
			Zone:       zone.Zone,
			Revision:   zone.Revision,
			VerifiedAt: sentAfter - zone.Age,
		}
	}
	return k
}
