package aqurgency

import (
	"math"
	"time"

	"acaciaquay/pkg/aqjob"
)

// minObserved is the number of groups of a queue from which its estimates are corrected.
const minObserved = 12

// Durations learns how long the tasks of each queue take compared with their submitters' estimates. It answers
// queues whose estimates are rough: what such an estimate says then counts less than what the queue's tasks take on
// average, and where estimates hold they stay as they are. The zero value is ready for use.
type Durations struct {
	queues map[aqjob.QueueID]*fit
}

// fit is a line through the logarithms of estimates and durations, by least squares.
type fit struct {
	number                       float64
	meanEstimate, meanTook       float64
	squaresEstimate, productsSum float64
}

// Observe adds a group of which a task has taken a time.
func (d *Durations) Observe(queue aqjob.QueueID, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	if d.queues == nil {
		d.queues = map[aqjob.QueueID]*fit{}
	}
	f := d.queues[queue]
	if f == nil {
		f = &fit{}
		d.queues[queue] = f
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(took))
	f.number++
	before := x - f.meanEstimate
	f.meanEstimate += before / f.number
	f.meanTook += (y - f.meanTook) / f.number
	f.squaresEstimate += before * (x - f.meanEstimate)
	f.productsSum += before * (y - f.meanTook)
}

// Expect returns how long a task with an estimate is expected to take.
func (d *Durations) Expect(queue aqjob.QueueID, estimate time.Duration) time.Duration {
	f := d.queues[queue]
	if estimate <= 0 || f == nil || f.number < minObserved {
		return estimate
	}
	slope := 0.0
	if f.squaresEstimate > 0 {
		slope = min(1, max(0, f.productsSum/f.squaresEstimate))
	}
	return time.Duration(math.Exp(f.meanTook + slope*(math.Log(float64(estimate))-f.meanEstimate)))
}

// Typical returns how long a task of each queue takes as a rule, of the queues that are known well enough.
func (d *Durations) Typical() map[aqjob.QueueID]time.Duration {
	typical := map[aqjob.QueueID]time.Duration{}
	for queue, f := range d.queues {
		if f.number >= minObserved {
			typical[queue] = time.Duration(math.Exp(f.meanTook))
		}
	}
	return typical
}
