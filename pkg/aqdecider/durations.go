package aqdecider

import "time"

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
	groups := g.occurrence.groups
	for _, o := range groups {
		o.expected = o.took
		if o.took == 0 {
			o.expected = d.durations.Expect(o.occurrence.job.queue.ID, o.spec.Estimate)
		}
		o.pathFrom = 0
	}
	for i := len(groups) - 1; i >= 0; i-- {
		o := groups[i]
		o.pathFrom += o.expected
		for _, before := range o.spec.After {
			groups[before].pathFrom = max(groups[before].pathFrom, o.pathFrom)
		}
		path = max(path, o.pathFrom)
	}
	return path, g.pathFrom
}

// allowed returns how long an occurrence may take.
func (j *job) allowed(path time.Duration) time.Duration {
	return time.Duration(j.queue.Stretch*float64(path)) + j.queue.Target
}
