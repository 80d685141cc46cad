package aqspeculation

import "time"

const (
	// slowestShare is the share of the tasks that count when the slowest are looked for.
	slowestShare = 0.995
	// slowestWorker is how much longer a task may take on a slow worker.
	slowestWorker = 5.0
	// stillSteps is how many times what one percent takes then a task may stand still.
	stillSteps = 3.0
	// LeastStill is the least limit. It covers several reports of a worker, so that a single late
	// one does not count.
	LeastStill = 1300 * time.Millisecond
)

// Still is what decides for how long the progress of a task may not rise.
type Still struct {
	// Estimate is that of the task.
	Estimate time.Duration
	// Whole is what the whole task takes at the rate of its progress before it stood still, zero if that is not known.
	Whole time.Duration
	// Lost is the work that a stop costs. What has stood still for a time is expected to do so for as long
	// again.
	Lost time.Duration
	// Longest is the limit where too little is known, and the most that is returned.
	Longest time.Duration
}

// Limit returns for how long the progress may not rise until the task is stopped to run elsewhere.
func (s Still) Limit(byEstimate *Distribution) time.Duration {
	if !byEstimate.Known() {
		return s.Longest
	}
	slowest := byEstimate.Quantile(slowestShare, s.Estimate)
	if s.Whole > 0 {
		slowest = min(slowest, s.Whole)
	}
	steps := time.Duration(float64(slowest) * slowestWorker * stillSteps / 100)
	return min(s.Longest, max(LeastStill, s.Lost, steps))
}
