package aqplacement

import "acaciaquay/pkg/aqtype"

// rightsizeThresholdPercent is the difference that the learned size must exceed before
// a reservation changes, so that noise causes no resizes.
const rightsizeThresholdPercent = 10

// Rightsize adapts the reservations of running tasks to what was learned since they
// started: it shrinks them at once and enlarges them where the worker has room.
// wanted returns what a task would reserve if it started now.
func Rightsize(c Candidate, wanted func(Resident) aqtype.Resources) []Resize {
	free := c.Free
	var resizes []Resize
	for _, r := range c.Residents {
		full := wanted(r)
		if r.Stopping || !differs(full, r.Full) {
			continue
		}
		size := r.Size.Min(full)
		if r.Size == r.Full {
			size = full
		}
		if !size.Fits(free.Add(r.Size)) {
			continue
		}
		free = free.Add(r.Size).Sub(size)
		resizes = append(resizes, Resize{
			Task: r.Task,
			Size: size,
			Full: full,
		})
	}
	return resizes
}

func differs(a, b aqtype.Resources) bool {
	return exceedsThreshold(int64(a.MilliCPU), int64(b.MilliCPU)) || exceedsThreshold(int64(a.Memory), int64(b.Memory))
}

func exceedsThreshold(a, b int64) bool {
	difference := a - b
	if difference < 0 {
		difference = -difference
	}
	return difference*100 > b*rightsizeThresholdPercent
}
