package aqdecider

import "time"

// outlookInterval is how long the expected times of an occurrence are used.
const outlookInterval = 500 * time.Millisecond

// noteDuration learns from the first task of a group that is done, unless it was paced or resumed.
func (d *Decider) noteDuration(r *run) {
	g := r.task.group
	if g.spec.Perpetual || g.took > 0 || !r.paceAt.IsZero() || r.resumeFrom != "" || r.startResent {
		return
	}
	g.took = d.now.Sub(r.orderedAt)
	d.durations.Observe(g.occurrence.job.queue.ID, g.spec.Estimate, g.took)
}

// outlook returns how long the longest path of the group's occurrence is expected to take, and the rest of it from
// the group on.
func (d *Decider) outlook(g *group) (path, left time.Duration) {
	o := g.occurrence
	if o.outlookAt.IsZero() || d.now.Sub(o.outlookAt) >= outlookInterval {
		o.outlookAt = d.now
		d.updateOutlook(o)
	}
	return o.path, g.pathFrom
}

func (d *Decider) updateOutlook(o *occurrence) {
	for _, g := range o.groups {
		g.pathFrom = 0
	}
	o.path = 0
	for i := len(o.groups) - 1; i >= 0; i-- {
		g := o.groups[i]
		if g.took > 0 {
			g.pathFrom += g.took
		} else {
			g.pathFrom += d.durations.Expect(o.job.queue.ID, g.spec.Estimate)
		}
		for _, before := range g.spec.After {
			o.groups[before].pathFrom = max(o.groups[before].pathFrom, g.pathFrom)
		}
		o.path = max(o.path, g.pathFrom)
	}
}

// allowed returns how long an occurrence may take.
func (j *job) allowed(path time.Duration) time.Duration {
	return time.Duration(j.queue.Stretch*float64(path)) + j.queue.Target
}
