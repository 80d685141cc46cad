package aqurgency

import (
	"slices"
	"time"

	"acaciaquay/pkg/aqtype"
)

// CoreSeconds is an amount of work.
type CoreSeconds float64

// Holding is what a run has that a stop costs. It is sealed: Serving, Resuming and Repeating.
type Holding interface{ isHolding() }

// Serving is held by a lasting run at work: its users miss it until it runs elsewhere.
type Serving struct {
	// Alone is set if its worker serves for other images and not otherwise for its own. Fillers beside it have
	// to spare more images than elsewhere.
	Alone bool
}

// Resuming is held by a run that saves its progress when it is stopped.
type Resuming struct{}

// Repeating is held by a run that begins anew after a stop.
type Repeating struct {
	// Done is how long it has worked.
	Done time.Duration
}

func (Serving) isHolding()   {}
func (Resuming) isHolding()  {}
func (Repeating) isHolding() {}

const (
	// ReturnAfter is how long a lasting task stays away after it gave way, though there is room: the next urgent
	// tasks of a burst take the place without another stop. It is below the time that its users accept.
	ReturnAfter = 2500 * time.Millisecond
	// restartTime is the time of a stop and a start, in which a task does no work.
	restartTime = time.Second
	// restTime is the time between two stops of one task.
	restTime = 10 * time.Second
)

// MayStop reports whether a task that gave way last at an instant, zero if never, may do so again.
func MayStop(last, now time.Time) bool { return last.IsZero() || now.Sub(last) >= restTime }

// Loss returns what a stop costs the callers of a run.
func Loss(size aqtype.Resources, h Holding) CoreSeconds {
	var lost time.Duration
	switch h := h.(type) {
	case Serving:
		lost = ReturnAfter
		if h.Alone {
			lost /= 2
		}
	case Resuming:
		lost = restartTime
	case Repeating:
		lost = h.Done + restartTime
	}
	return CoreSeconds(float64(size.MilliCPU) / 1000 * lost.Seconds())
}

// Run is a run that may be stopped.
type Run struct {
	// Reserved is what its end frees.
	Reserved aqtype.Resources
	Loss     CoreSeconds
}

// Choose returns the positions of the runs of one worker to stop so that what is missing there for an urgent task
// becomes free, and what that costs. It returns false if all of them are not enough. It answers an urgent task
// that finds no room on any worker.
func Choose(missing aqtype.Resources, runs []Run) ([]int, CoreSeconds, bool) {
	order := make([]int, len(runs))
	for i := range runs {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case runs[a].Loss < runs[b].Loss:
			return -1
		case runs[a].Loss > runs[b].Loss:
			return 1
		}
		return 0
	})
	var chosen []int
	for _, i := range order {
		if missing.Fits(aqtype.Resources{}) {
			break
		}
		if helps(runs[i].Reserved, missing) {
			chosen = append(chosen, i)
			missing = missing.Sub(runs[i].Reserved)
		}
	}
	if !missing.Fits(aqtype.Resources{}) {
		return nil, 0, false
	}
	// The costliest ones may have made cheaper ones superfluous.
	var loss CoreSeconds
	kept := chosen[:0]
	for _, i := range chosen {
		if without := missing.Add(runs[i].Reserved); without.Fits(aqtype.Resources{}) {
			missing = without
			continue
		}
		kept = append(kept, i)
		loss += runs[i].Loss
	}
	return kept, loss, true
}

// helps reports whether a run holds something that is missing.
func helps(held, missing aqtype.Resources) bool {
	return missing.MilliCPU > 0 && held.MilliCPU > 0 || missing.Memory > 0 && held.Memory > 0 ||
		missing.Accelerators > 0 && held.Accelerators > 0
}

// Waits describes an urgent group without room.
type Waits struct {
	// Since is how long its tasks have waited.
	Since time.Duration
	// Standing is that of its rank.
	Standing Standing
}

// Pays reports whether runs may be stopped for a group. What becomes free by itself within the time of a stop
// costs nobody anything, and work that is of no use any more is not worth a stop.
func Pays(w Waits, stopGrace time.Duration) bool {
	return w.Standing != Hopeless && w.Since >= stopGrace
}
