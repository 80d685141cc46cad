// Package aqurgency decides which waiting work goes first when room is short, and which runs give way to it.
// It does no I/O and keeps no state.
package aqurgency

import "time"

// Standing is what the end of a group's job is still worth to its submitter.
type Standing int

// The standings, the best first.
const (
	// OnTime means that the job can meet its objective.
	OnTime Standing = iota
	// Late means that it is past its objective and still of use.
	Late
	// Hopeless means that it is of no use any more. Such work gets only what others leave.
	Hopeless
)

// UsefulFactor is how many times its objective a job may take until it has no value to its submitter.
const UsefulFactor = 3

// Work describes a waiting group.
type Work struct {
	// Priority is that of the group's queue. Zero is the most urgent.
	Priority int
	// DueAt is when the group's occurrence was due. For a lasting group it is when it could start.
	DueAt time.Time
	// Allowed is how long the occurrence may take.
	Allowed time.Duration
	// Left is how long the occurrence is expected to take from now on if the group starts at once.
	Left time.Duration
	// Lasting is set for tasks that run until their job is cancelled.
	Lasting bool
	// Interrupted is set for a lasting group if a failure has ended a run of it that is not replaced.
	Interrupted bool
}

// Rank orders waiting groups. It is comparable; groups of equal ranks are equally urgent.
type Rank struct {
	standing    Standing
	priority    int
	lasting     bool
	interrupted bool
	due         time.Time
}

// RankOf returns the rank of a group. It answers bursts of urgent work on a full site: work that ends needs its
// room for about a second and is owed within seconds, a lasting task holds it for minutes. So groups that end go
// before lasting ones of the same priority, late ones that are still of use included. Users of a lasting task
// that has served before notice its absence, so interrupted groups go first.
func RankOf(w Work, now time.Time) Rank {
	r := Rank{
		priority:    w.Priority,
		lasting:     w.Lasting,
		interrupted: w.Lasting && w.Interrupted,
		due:         w.DueAt.Add(w.Allowed),
	}
	if w.Interrupted {
		r.due = w.DueAt
	}
	if w.Lasting {
		return r
	}
	switch end := now.Add(w.Left); {
	case end.After(w.DueAt.Add(UsefulFactor * w.Allowed)):
		r.standing = Hopeless
	case end.After(r.due):
		r.standing = Late
	}
	return r
}

// Standing returns the standing of a group that ends. Lasting groups are always on time.
func (r Rank) Standing() Standing { return r.standing }

// Due returns when the group's job is to have ended.
func (r Rank) Due() time.Time { return r.due }

// Less reports whether a group of rank r goes before one of rank o.
func (r Rank) Less(o Rank) bool {
	hopeless, otherHopeless := r.standing == Hopeless, o.standing == Hopeless
	switch {
	case r.interrupted != o.interrupted:
		return r.interrupted
	case hopeless != otherHopeless:
		return otherHopeless
	case r.priority != o.priority:
		return r.priority < o.priority
	case r.lasting != o.lasting:
		return o.lasting
	case r.standing != o.standing:
		return r.standing < o.standing
	}
	return r.due.Before(o.due)
}
