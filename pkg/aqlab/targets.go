package aqlab

import "fmt"

// Targets of the learned arm, relative to the oracle and to first fit.
const (
	minBatchOfOracle       = 0.90
	maxP99OfOracle         = 1.2
	maxEvictionsOfBaseline = 0.5
)

type runKey struct {
	site string
	seed uint64
}

// Targets compares the learned arm with the oracle and the first-fit baseline for each
// run and returns one line for each run with the targets met and missed.
func Targets(results []Result) []string {
	byRun := map[runKey]map[Arm]Result{}
	var order []runKey
	for _, r := range results {
		k := runKey{site: r.Site, seed: r.Seed}
		if byRun[k] == nil {
			byRun[k] = map[Arm]Result{}
			order = append(order, k)
		}
		byRun[k][r.Arm] = r
	}
	var lines []string
	for _, k := range order {
		learned, oracle, base := byRun[k][ArmLearned], byRun[k][ArmOracle], byRun[k][ArmFirstFit]
		batch := learned.CoreHoursPerHour / oracle.CoreHoursPerHour
		tasks := learned.BatchPerHour / oracle.BatchPerHour
		tail := float64(learned.P99) / float64(oracle.P99)
		evictions := float64(learned.Evictions) / float64(max(base.Evictions, 1))
		lines = append(lines, fmt.Sprintf(
			"%s seed %d: batch work %.2f of oracle's (%s), in tasks %.2f (%s), p99 %.2f of oracle's (%s), evictions %.2f of first fit's (%s)",
			k.site, k.seed,
			batch, verdict(batch >= minBatchOfOracle),
			tasks, verdict(tasks >= minBatchOfOracle),
			tail, verdict(tail <= maxP99OfOracle),
			evictions, verdict(evictions <= maxEvictionsOfBaseline)))
	}
	return lines
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "MISSED"
}
