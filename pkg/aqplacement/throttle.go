package aqplacement

import (
	"sort"

	"acaciaquay/pkg/aqtype"
)

// throttleFloor is the least part of its processors that a throttled task keeps,
// in hundredths.
const throttleFloor = 50

// Resize changes what a running task reserves. It is throttled while Size is less
// than Full.
type Resize struct {
	Task aqtype.TaskID
	Size aqtype.Resources
	Full aqtype.Resources
}

// Throttle makes room on one worker without stopping anything.
type Throttle struct {
	Candidate int
	Resizes   []Resize
}

// ChooseThrottle returns the worker on which the least has to be taken from
// running tasks that the demand outranks, when processors are all that is
// missing there.
func ChooseThrottle(d Demand, candidates []Candidate) (Throttle, bool) {
	best, found := 0, false
	var bestMissing aqtype.MilliCPU
	for i, c := range candidates {
		if c.Probation || !throttleFits(d, c) {
			continue
		}
		missing := d.Size.MilliCPU - c.Free.MilliCPU
		if !found || missing < bestMissing {
			best, bestMissing, found = i, missing, true
		}
	}
	if !found {
		return Throttle{}, false
	}
	return Throttle{
		Candidate: best,
		Resizes:   shrink(d, candidates[best], bestMissing),
	}, true
}

func throttleFits(d Demand, c Candidate) bool {
	if d.Size.Memory > c.Free.Memory || d.Size.Accelerators > c.Free.Accelerators {
		return false
	}
	yield := c.Free.MilliCPU
	for _, r := range c.Residents {
		if Outranks(d, r) {
			yield += r.yields()
		}
	}
	return d.Size.MilliCPU <= yield
}

// yields is what throttling can take from a task.
func (r Resident) yields() aqtype.MilliCPU {
	return max(0, r.Size.MilliCPU-r.Full.Percent(throttleFloor).MilliCPU)
}

// shrink takes the missing processors, from the least urgent first and from
// those of one urgency in turn.
func shrink(d Demand, c Candidate, missing aqtype.MilliCPU) []Resize {
	yielding := make([]Resident, 0, len(c.Residents))
	for _, r := range c.Residents {
		if Outranks(d, r) && r.yields() > 0 {
			yielding = append(yielding, r)
		}
	}
	sort.Slice(yielding, func(i, j int) bool {
		a, b := yielding[i], yielding[j]
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		if a.yields() != b.yields() {
			return a.yields() > b.yields()
		}
		return a.Task.Less(b.Task)
	})
	var resizes []Resize
	for _, r := range yielding {
		if missing <= 0 {
			break
		}
		taken := min(missing, r.yields())
		missing -= taken
		size := r.Size
		size.MilliCPU -= taken
		resizes = append(resizes, Resize{Task: r.Task, Size: size, Full: r.Full})
	}
	return resizes
}

// Restore gives free processors of a worker back to its throttled tasks, the
// most urgent first.
func Restore(c Candidate) []Resize {
	throttled := make([]Resident, 0, len(c.Residents))
	for _, r := range c.Residents {
		if !r.Stopping && r.Size.MilliCPU < r.Full.MilliCPU {
			throttled = append(throttled, r)
		}
	}
	sort.Slice(throttled, func(i, j int) bool {
		if throttled[i].Urgency != throttled[j].Urgency {
			return throttled[i].Urgency > throttled[j].Urgency
		}
		return throttled[i].Task.Less(throttled[j].Task)
	})
	free := c.Free.MilliCPU
	var resizes []Resize
	for _, r := range throttled {
		given := min(free, r.Full.MilliCPU-r.Size.MilliCPU)
		if given <= 0 {
			continue
		}
		free -= given
		size := r.Size
		size.MilliCPU += given
		resizes = append(resizes, Resize{Task: r.Task, Size: size, Full: r.Full})
	}
	return resizes
}
