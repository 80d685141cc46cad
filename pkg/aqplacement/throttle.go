package aqplacement

import (
	"sort"

	"acaciaquay/pkg/aqtype"
)

// minThrottledPercent is the least percentage of its processors that a throttled
// task keeps.
const minThrottledPercent = 50

// Resize changes what a running task reserves. The task is throttled while Size is
// less than Full.
type Resize struct {
	Task aqtype.TaskID
	Size aqtype.Resources
	Full aqtype.Resources
}

// Throttle makes room on one worker without stopping a task.
type Throttle struct {
	Candidate int
	Resizes   []Resize
}

// ChooseThrottle returns the worker on which the fewest processors have to be taken
// from running tasks that the demand outranks. Workers that lack memory or
// accelerators are left out.
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
		Resizes:   reclaim(d, candidates[best], bestMissing),
	}, true
}

func throttleFits(d Demand, c Candidate) bool {
	if d.Size.Memory > c.Free.Memory || d.Size.Accelerators > c.Free.Accelerators {
		return false
	}
	available := c.Free.MilliCPU
	for _, r := range c.Residents {
		if Outranks(d, r) {
			available += r.reclaimable()
		}
	}
	return d.Size.MilliCPU <= available
}

// reclaimable returns how many processors throttling can take from a task.
func (r Resident) reclaimable() aqtype.MilliCPU {
	return max(0, r.Size.MilliCPU-r.Full.Percent(minThrottledPercent).MilliCPU)
}

// reclaim takes the missing processors from the least urgent tasks first, and of
// equally urgent ones from those that can give most.
func reclaim(d Demand, c Candidate, missing aqtype.MilliCPU) []Resize {
	throttleable := make([]Resident, 0, len(c.Residents))
	for _, r := range c.Residents {
		if Outranks(d, r) && r.reclaimable() > 0 {
			throttleable = append(throttleable, r)
		}
	}
	sort.Slice(throttleable, func(i, j int) bool {
		a, b := throttleable[i], throttleable[j]
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		if a.reclaimable() != b.reclaimable() {
			return a.reclaimable() > b.reclaimable()
		}
		return a.Task.Less(b.Task)
	})
	var resizes []Resize
	for _, r := range throttleable {
		if missing <= 0 {
			break
		}
		taken := min(missing, r.reclaimable())
		missing -= taken
		size := r.Size
		size.MilliCPU -= taken
		resizes = append(resizes, Resize{Task: r.Task, Size: size, Full: r.Full})
	}
	return resizes
}

// Restore returns a worker's free processors to its throttled tasks, the most
// urgent first.
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
