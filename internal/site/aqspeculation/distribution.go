// Package aqspeculation decides when a second run of a task pays, and when a task stands
// still. It answers a load in which a few tasks of a queue take several times as long as
// their siblings, or never end, and the estimates of all of them are rough.
package aqspeculation

import (
	"math"
	"slices"
	"time"
)

const (
	// bucketRatio is the ratio of the bounds of one bucket.
	bucketRatio = 1.15
	// lowestRatio is the lower bound of the first bucket; smaller ratios count as this one.
	lowestRatio = 1.0 / 64
	// buckets covers ratios up to 64.
	buckets = 60
	// sampleDecay discounts older samples with each new one, as the work of a queue changes.
	sampleDecay = 0.998
	// enoughSamples is the weight of samples from which the distribution is used.
	enoughSamples = 50.0
)

// Distribution holds the durations of a queue's tasks, as ratios to what was expected of them: their estimates, or
// what their siblings took. The zero value has no samples.
type Distribution struct {
	// weights holds the weight of the samples by bucket. Each is zero or more.
	weights [buckets]float64
	// total is the sum of weights.
	total float64
}

// Add adds the duration of an ended task.
func (d *Distribution) Add(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	for i := range d.weights {
		d.weights[i] *= sampleDecay
	}
	d.weights[bucketOf(float64(took)/float64(expected))]++
	d.total = d.total*sampleDecay + 1
}

func bucketOf(ratio float64) int {
	if ratio <= lowestRatio {
		return 0
	}
	return min(buckets-1, int(math.Log(ratio/lowestRatio)/math.Log(bucketRatio)))
}

// valueOf returns the geometric mean of a bucket's bounds.
func valueOf(bucket int) float64 { return lowestRatio * math.Pow(bucketRatio, float64(bucket)+0.5) }

// Known reports whether there are enough samples.
func (d *Distribution) Known() bool { return d.total >= enoughSamples }

// Quantile returns the duration that a share of the tasks do not exceed of which one is expected, zero if there are
// no samples.
func (d *Distribution) Quantile(share float64, expected time.Duration) time.Duration {
	sum := 0.0
	for i, weight := range d.weights {
		sum += weight
		if weight > 0 && sum >= share*d.total {
			return time.Duration(valueOf(i) * float64(expected))
		}
	}
	return 0
}

// Left returns how much longer a task takes on average that has run for a time and is not done.
// A task that has run for longer than all others is expected to take as long again.
func (d *Distribution) Left(elapsed, expected time.Duration) time.Duration {
	sum, weights := 0.0, 0.0
	for i, weight := range d.weights {
		if took := valueOf(i) * float64(expected); took > float64(elapsed) {
			sum += weight * (took - float64(elapsed))
			weights += weight
		}
	}
	if weights <= 0 {
		return elapsed
	}
	return time.Duration(sum / weights)
}

// maxSiblings limits the durations that are kept of one group.
const maxSiblings = 128

// Siblings holds the durations of a group's ended tasks. The zero value has none.
type Siblings struct {
	// took holds at most maxSiblings durations.
	took []time.Duration
}

// Add adds the duration of an ended task.
func (s *Siblings) Add(took time.Duration) {
	if took > 0 && len(s.took) < maxSiblings {
		s.took = append(s.took, took)
	}
}

// enoughSiblings is the number of ended tasks of a group that tell more than the queue.
const enoughSiblings = 3

// Median returns the median of the ended tasks and of what the running ones are expected to take.
// It returns false if there are too few.
func (s *Siblings) Median(running []time.Duration) (time.Duration, bool) {
	all := append(slices.Clone(s.took), running...)
	if len(all) < enoughSiblings {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// Typical returns what a task with the estimate usually takes: the median of the queue, or the
// estimate.
func (d *Distribution) Typical(estimate time.Duration) time.Duration {
	if d.Known() {
		return d.Quantile(0.5, estimate)
	}
	return estimate
}
