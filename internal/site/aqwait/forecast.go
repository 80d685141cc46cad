// Package aqwait decides how long a wait for a place on a rack pays, for tasks that run faster
// there. It answers loads in which more tasks want a rack than it has room for.
package aqwait

import (
	"slices"
	"time"

	"acaciaquay/pkg/aqtype"
)

// End is the expected end of a run.
type End struct {
	// In is the time until then.
	In time.Duration
	// Size is what the run gives back.
	Size aqtype.Resources
}

// Host is what a forecast knows of one worker.
type Host struct {
	// Free is negative where more is promised than free.
	Free aqtype.Resources
	// Ends are the runs that are expected to end, the earliest first.
	Ends []End
}

// NewHost returns a worker with some room and the runs that are expected to end there, in any
// order. It keeps the slice.
func NewHost(free aqtype.Resources, ends []End) Host {
	slices.SortStableFunc(ends, func(a, b End) int { return int(a.In - b.In) })
	return Host{
		Free: free,
		Ends: ends,
	}
}

// Forecast tells when the workers that may take a task have room for it. It is not changed by
// its methods.
type Forecast []Host

// Claim gives the earliest places to a number of tasks of one size, each of which stays for a
// length. It returns the time until the last of them, and what is left to others. It returns
// false if one of them finds no place as far as is known.
func (f Forecast) Claim(number int, size aqtype.Resources, length time.Duration) (time.Duration, Forecast, bool) {
	left := slices.Clone(f)
	var longest time.Duration
	for range number {
		best := -1
		var earliest time.Duration
		for i, h := range left {
			if wait, ok := h.wait(size); ok && (best < 0 || wait < earliest) {
				best, earliest = i, wait
			}
		}
		if best < 0 {
			return 0, f, false
		}
		left[best] = left[best].promise(earliest, size, length)
		longest = max(longest, earliest)
	}
	return longest, left, true
}

// wait returns the time from which on a size is free.
func (h Host) wait(size aqtype.Resources) (time.Duration, bool) {
	free := h.Free
	for _, e := range h.Ends {
		free = free.Add(e.Size)
	}
	if !size.Fits(free) {
		return 0, false
	}
	for i := len(h.Ends) - 1; i >= 0; i-- {
		if free = free.Sub(h.Ends[i].Size); !size.Fits(free) {
			return h.Ends[i].In, true
		}
	}
	return 0, true
}

// promise returns the worker once it has promised a place from some time on for a length.
func (h Host) promise(from time.Duration, size aqtype.Resources, length time.Duration) Host {
	return NewHost(h.Free.Sub(size), append(slices.Clone(h.Ends), End{
		In:   from + length,
		Size: size,
	}))
}
