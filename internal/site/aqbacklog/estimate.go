// Package aqbacklog estimates how long work waits that ranks behind what a site has taken on, and decides which
// submissions are rejected and when their submitters may return. It does no I/O and keeps no state.
package aqbacklog

import (
	"cmp"
	"slices"
	"time"

	"acaciaquay/pkg/aqjob"
)

// CoreSeconds is an amount of work.
type CoreSeconds float64

// Lane is work that the same processors do, by its urgency.
type Lane struct {
	Service aqjob.ServiceID
	// Filler work gets what other tasks leave, other work what nothing reserves.
	Filler   bool
	Priority int
}

// Ahead is the work of a lane that waits for a worker, by the submitters' estimates.
type Ahead struct {
	Lane Lane
	// OnTime is the work of jobs that can meet their objectives, Late that of others that are still of use.
	OnTime, Late CoreSeconds
}

// Capacity is what a service can do at most in a second if all its workers that are up do such work.
type Capacity struct {
	Service aqjob.ServiceID
	Filler  bool
	Cores   float64
}

// Wait is the least time until a submission to a lane begins.
type Wait struct {
	Lane Lane
	Time time.Duration
}

// Room tells for which jobs there is memory.
type Room int

// The amounts of room.
const (
	RoomForAny Room = iota
	// RoomForSmall is for jobs of at most smallJob bytes.
	RoomForSmall
	RoomForNone
)

// smallJob is the memory of the largest job that has room of its own: one with the longest payload and a few steps.
const smallJob = 8 << 10

// Shares of the memory for jobs that large ones may take.
const (
	largeShare = 3
	largeOf    = 4
)

// RoomIn returns the room while jobs take that much of a memory, which is zero if there is no limit.
func RoomIn(taken, memory int) Room {
	switch {
	case memory == 0 || taken < memory/largeOf*largeShare:
		return RoomForAny
	case taken < memory:
		return RoomForSmall
	}
	return RoomForNone
}

// holds reports whether there is room for a job.
func (r Room) holds(j *aqjob.Job) bool {
	return r == RoomForAny || (r == RoomForSmall && j.Bytes() <= smallJob)
}

// Estimate holds the waits of one moment.
type Estimate struct {
	// Known is unset when the leader has not estimated.
	Known bool
	// Age is the time since then.
	Age   time.Duration
	Waits []Wait
	// Room is for which jobs the leader has memory.
	Room Room
	// Typical is how long a task takes as a rule, of the queues for which that is known.
	Typical []QueueTime
}

// QueueTime is a time of a queue.
type QueueTime struct {
	Queue aqjob.QueueID
	Time  time.Duration
}

// Waits returns the lanes that have to wait. A submission ranks behind all work of more urgent queues that is of
// use, and behind that of its own that is on time. Lanes without capacity have no wait that is known: it may
// return at any moment.
func Waits(ahead []Ahead, capacities []Capacity) []Wait {
	ordered := slices.Clone(ahead)
	slices.SortFunc(ordered, func(a, b Ahead) int {
		return cmp.Or(cmp.Compare(a.Lane.Service, b.Lane.Service), compareBool(a.Lane.Filler, b.Lane.Filler),
			cmp.Compare(a.Lane.Priority, b.Lane.Priority))
	})
	var waits []Wait
	var before CoreSeconds
	for i, a := range ordered {
		if i == 0 || ordered[i-1].Lane.Service != a.Lane.Service || ordered[i-1].Lane.Filler != a.Lane.Filler {
			before = 0
		}
		position := slices.IndexFunc(capacities, func(c Capacity) bool {
			return c.Service == a.Lane.Service && c.Filler == a.Lane.Filler && c.Cores > 0
		})
		if wait := before + a.OnTime; position >= 0 && wait > 0 {
			waits = append(waits, Wait{
				Lane: a.Lane,
				Time: time.Duration(float64(wait) / capacities[position].Cores * float64(time.Second)),
			})
		}
		before += a.OnTime + a.Late
	}
	return waits
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
