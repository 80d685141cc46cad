// Package aqcrash decides which tasks are to blame for the crashes of their workers.
//
// Every task of a crashed worker is exposed, and most of them only ran beside the one that
// is to blame, or the worker failed by itself. A task that crashes its workers does so at
// every attempt and at about the same age. After two such crashes it is suspected and
// started again in isolation: on a worker where everything else has run for a while and
// nothing else is started meanwhile. Only crashes in isolation convict it.
package aqcrash

import (
	"slices"
	"time"

	"acaciaquay/pkg/aqtype"
)

const (
	// StartWindow is the time after its start for which a run may be to blame for a crash of
	// its worker, whatever is known of its task.
	StartWindow = 500 * time.Millisecond
	// settledAge is the age from which a run of a task that is not suspected counts as not to
	// blame.
	settledAge = 1500 * time.Millisecond
	// suspectedAfter is the number of crashes at about the same age after which a task is
	// suspected.
	suspectedAfter = 2
	// ageTolerance is how far apart the times for which two runs were seen may lie if both
	// ended at the same age: workers report about once a second.
	ageTolerance = 1500 * time.Millisecond
	// guiltyCrashes is the number of crashes after which a task is to blame, if guiltyIsolated
	// of them were in isolation, or one of them and all were just after the start.
	guiltyCrashes  = 3
	guiltyIsolated = 2
	// maxTrialTime limits the time of a trial, and a run that was seen for longer clears its
	// task.
	maxTrialTime = 10 * time.Second
	// maxCrashes limits the stored crashes of one task. The oldest are dropped.
	maxCrashes = 8
)

// Instance is one incarnation of a worker.
type Instance struct {
	Worker      aqtype.WorkerID
	Incarnation int64
}

// Crash is a crash of a worker under a run of the task.
type Crash struct {
	Instance Instance
	// Seen is how long the run was seen to run before, zero or less if not at all.
	Seen time.Duration
	// Isolated is set when no other run of the worker was suspected.
	Isolated bool
}

// History holds what is known of one task. It is stored with the job's progress.
type History struct {
	// Crashes holds at most one crash for each instance of a worker, the oldest first.
	Crashes []Crash `msgpack:",omitempty"`
	// Trial is where an isolated run of the task may run or have run, nil if there is none.
	// It is stored before the run is started, so that a later leader counts a crash that no
	// leader has seen.
	Trial *Instance `msgpack:",omitempty"`
}

// Empty reports whether there is nothing to store.
func (h *History) Empty() bool { return len(h.Crashes) == 0 && h.Trial == nil }

// Add records a crash. It returns false if the crash is known already.
func (h *History) Add(c Crash) bool {
	if slices.ContainsFunc(h.Crashes, func(o Crash) bool { return o.Instance == c.Instance }) {
		return false
	}
	h.Crashes = append(slices.Clone(h.Crashes), c)
	if extra := len(h.Crashes) - maxCrashes; extra > 0 {
		h.Crashes = h.Crashes[extra:]
	}
	return true
}

// Retract removes the crash of a worker that was only unreachable. It returns false if
// there is none.
func (h *History) Retract(instance Instance) bool {
	position := slices.IndexFunc(h.Crashes, func(c Crash) bool { return c.Instance == instance })
	if position < 0 {
		return false
	}
	h.Crashes = slices.Delete(slices.Clone(h.Crashes), position, position+1)
	return true
}

// atOneAge returns the largest number of crashes at about the same age, and the longest time
// for which one of these runs was seen.
func (h *History) atOneAge() (int, time.Duration) {
	most, longest := 0, time.Duration(0)
	for _, first := range h.Crashes {
		count, last := 0, time.Duration(0)
		for _, c := range h.Crashes {
			if later := c.age() - first.age(); later >= 0 && later <= ageTolerance {
				count++
				last = max(last, c.age())
			}
		}
		if count > most || (count == most && last > longest) {
			most, longest = count, last
		}
	}
	return most, longest
}

// age returns how old the run was at least.
func (c Crash) age() time.Duration { return max(0, c.Seen) }

// Suspected reports whether the task may be to blame for its crashes and is to run isolated.
func (h *History) Suspected() bool {
	most, _ := h.atOneAge()
	return most >= suspectedAfter
}

// Guilty reports whether the task is to blame for crashes and must not be started again.
func (h *History) Guilty() bool {
	isolated, atStart := 0, 0
	for _, c := range h.Crashes {
		if c.Isolated {
			isolated++
		}
		if c.Seen < StartWindow {
			atStart++
		}
	}
	return (isolated > 0 && atStart >= guiltyCrashes) ||
		(isolated >= guiltyIsolated && len(h.Crashes) >= guiltyCrashes)
}

// TrialTime returns how long an isolated run must be seen to run until other tasks may be
// started beside it.
func (h *History) TrialTime() time.Duration {
	_, longest := h.atOneAge()
	if longest < StartWindow {
		return StartWindow
	}
	return min(longest+ageTolerance, maxTrialTime)
}

// SettledAfter returns how long a run of the task must be seen to run until it is not to
// blame for a crash of its worker.
func (h *History) SettledAfter() time.Duration {
	if h.Suspected() {
		return max(settledAge, h.TrialTime())
	}
	return settledAge
}

// Cleared reports whether a run that was seen for a time clears the task of its crashes.
func Cleared(seen time.Duration) bool { return seen >= maxTrialTime }
