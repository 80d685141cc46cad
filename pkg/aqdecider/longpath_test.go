package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
)

// Guards against LOST: the time to find the longest path after a group doubled with each group, and a job of many
// dependent groups hung the leader while its rack was full.
func TestTimeLeftOfManyDependentGroups(t *testing.T) {
	var specs []aqjob.Group
	for n := range aqjob.MaxGroups {
		g := tasks(1, 1000)
		g.Estimate = time.Second
		for before := range n {
			g.After = append(g.After, before)
		}
		specs = append(specs, g)
	}
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	job := testJob(1, specs...)
	h.d.AddJob(job, nil, 0, false)
	groups := h.d.jobs[job.ID].occurrences[0].groups
	first, last := h.d.timeLeft(groups[0]), h.d.timeLeft(groups[len(groups)-1])
	if want := last - time.Duration(len(groups)-1)*(time.Second+stepTime); first != want {
		t.Errorf("%s are left to the first group, want %s", first, want)
	}
}
