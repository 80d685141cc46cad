package aqjob

import (
	"testing"
	"time"
)

// Only groups that depend on a group count for the path after it, whatever lies between them.
func TestPathAfterFollowsDependencies(t *testing.T) {
	const step = 100 * time.Millisecond
	estimates := []time.Duration{time.Second, 5 * time.Second, 2 * time.Second, 7 * time.Second, 3 * time.Second}
	after := [][]int{nil, nil, {0}, {1}, {0, 2}}
	var job Job
	for n, estimate := range estimates {
		job.Groups = append(job.Groups, Group{
			Count:    1,
			Estimate: estimate,
			After:    after[n],
		})
	}
	for n, want := range []time.Duration{5*time.Second + 2*step, 7*time.Second + step, 3*time.Second + step, 0, 0} {
		if got := job.PathAfter(n, step); got != want {
			t.Errorf("%s after group %d, want %s", got, n, want)
		}
	}
}
