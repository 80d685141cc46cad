package aqsoak

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

// Large jobs differ from those that a seed draws without them in nothing but the counts of their tasks.
func TestEnlargedJobsDifferInCountsOnly(t *testing.T) {
	random, plainRandom := rand.New(rand.NewSource(1)), rand.New(rand.NewSource(1))
	largeRandom := rand.New(rand.NewSource(2))
	for number := range 1000 {
		j, plain := drawJob(random, number), drawJob(plainRandom, number)
		j.enlarge(largeRandom)
		for n := range j.Groups {
			g := &j.Groups[n]
			if !g.Work.Perpetual && (g.Count < minLargeGroup || g.Count > maxLargeGroup) {
				t.Errorf("job %d: a group of %d tasks", number, g.Count)
			}
			g.Count = plain.Groups[n].Count
		}
		if !reflect.DeepEqual(j, plain) {
			t.Errorf("job %d: %+v, without large groups %+v", number, j, plain)
		}
	}
}

// Guards against a soak of many processes whose jobs all go to sixteen of them.
func TestJobsAreSpreadOverAllProcesses(t *testing.T) {
	const jobs = 480
	for _, processes := range []int{4, 12, 100, 120} {
		counts := make([]int, processes)
		for number := range jobs {
			counts[firstProcess(fmt.Sprintf("%016x", number+1))%processes]++
		}
		for i, count := range counts {
			if count < jobs/processes/4 || count > 4*jobs/processes {
				t.Errorf("%d processes: process %d gets %d of %d jobs", processes, i, count, jobs)
			}
		}
	}
}
