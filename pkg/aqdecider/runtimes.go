package aqdecider

import "time"

// nearTime returns how long a task of a group is expected to take on its rack: what its running
// tasks show, or the submitter's estimate.
func (d *Decider) nearTime(g *group) time.Duration {
	var sum time.Duration
	measured := 0
	for _, t := range g.tasks {
		if t.run == nil || !t.run.showsTime() {
			continue
		}
		sum += time.Duration(float64(t.run.wholeTime()) / d.slowdown(t.run))
		measured++
	}
	if measured == 0 {
		return g.spec.Estimate
	}
	return sum / time.Duration(measured)
}

// showsTime reports whether the progress of a run shows how long it takes in all.
func (r *run) showsTime() bool {
	return r.state == runRunning && r.resumeFrom == "" && r.percent >= firstMeasuredPercent
}

// wholeTime returns the run time that the progress of a run shows.
func (r *run) wholeTime() time.Duration {
	return r.reportAt.Sub(r.orderedAt) * fullPace / time.Duration(r.percent)
}

// slowdown returns how many times as long a run takes on its worker's rack as near its data.
func (d *Decider) slowdown(r *run) float64 {
	affinity := r.task.group.spec.Affinity
	if affinity == "" || affinity == string(r.worker.rack) {
		return 1
	}
	return max(1, d.options.Limits.OffRackFactor)
}

// expectedEnd returns the time until a run gives back its room, false if it is not known to end.
func (d *Decider) expectedEnd(r *run) (time.Duration, bool) {
	spec := r.task.group.spec
	switch {
	case r.state == runStopping:
		return max(soon, d.options.Limits.StopGrace), true
	case spec.Filler, spec.Perpetual, spec.Estimate <= 0:
		return 0, false
	}
	ran := d.now.Sub(r.orderedAt)
	if r.showsTime() {
		return max(soon, r.wholeTime()-ran), true
	}
	estimate := time.Duration(float64(spec.Estimate) * d.slowdown(r))
	// A run that has outlived its estimate is expected to do so for as long again.
	return max(soon, (estimate - ran).Abs()), true
}
