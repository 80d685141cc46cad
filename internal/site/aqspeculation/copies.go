package aqspeculation

import "time"

// Cause is why a run is late, as far as that is known. It is sealed: SlowTask, SlowWorker and
// Hung.
type Cause interface {
	// String returns the name that logs use.
	String() string
	isCause()
}

// SlowTask means that other tasks advance as usual on the same worker.
type SlowTask struct{}

// SlowWorker means that the run's worker is slower than others.
type SlowWorker struct{}

// Hung means that the run's progress no longer rises.
type Hung struct{}

// String implements Cause.
func (SlowTask) String() string { return "SlowTask" }

// String implements Cause.
func (SlowWorker) String() string { return "SlowWorker" }

// String implements Cause.
func (Hung) String() string { return "Hung" }

func (SlowTask) isCause()   {}
func (SlowWorker) isCause() {}
func (Hung) isCause()       {}

// Progress is what is known of a run.
type Progress struct {
	// Elapsed is how long it has run, at least, by its worker's clock as far as that is known.
	Elapsed time.Duration
	// Percent is the last progress that was reported, of which the run has made Gained within
	// MeasuredFor. MeasuredFor is zero if nothing was reported.
	Percent     int
	Gained      int
	MeasuredFor time.Duration
	// Hung is set once the progress has not risen for longer than about Still.Limit.
	Hung bool
	// WorkerSlowdown is that of the run's worker: 1 is usual, 2 takes twice as long.
	WorkerSlowdown float64
}

const (
	// slowWorkerSlowdown is the slowdown from which a worker is the likely cause of a late run.
	slowWorkerSlowdown = 1.8
	// leastGained is the progress from which the time that is left follows from it.
	leastGained = 2
)

// Cause returns why the run is late, if it is.
func (p Progress) Cause() Cause {
	switch {
	case p.Hung:
		return Hung{}
	case p.WorkerSlowdown >= slowWorkerSlowdown:
		return SlowWorker{}
	}
	return SlowTask{}
}

// lagging is the multiple of the usual time for which a run has been running before it counts as lagging.
const lagging = 1.5

// Lags reports whether a run has lagged for long enough to be weighed. usual is what its siblings take, or the
// tasks of its queue where bySiblings is not set: then a task may well be longer than usual, and only its worker
// can be blamed.
func (p Progress) Lags(c Cause, usual time.Duration, bySiblings bool) bool {
	switch c.(type) {
	case Hung:
		return true
	case SlowTask:
		if !bySiblings {
			return false
		}
	}
	return float64(p.Elapsed) >= lagging*float64(usual)
}

// watching is the multiple of the usual time from which a run is watched closely: it may count as lagging by the
// next report.
const watching = 1.25

// Watched reports whether a run is to be reported more often, since it may soon be weighed. A report has its
// price, so runs that take as long as their siblings are not.
func (p Progress) Watched(usual time.Duration, bySiblings bool) bool {
	return bySiblings && float64(p.Elapsed) >= watching*float64(usual)
}

// hungLeft stands for the time that a hung run still takes. It is longer than every lease.
const hungLeft = time.Minute

// Left returns how much longer the run takes. byUsual holds the durations of the queue's tasks relative to what their
// siblings took, usual is what the run's siblings take.
func (p Progress) Left(byUsual *Distribution, usual time.Duration) time.Duration {
	switch {
	case p.Hung:
		return hungLeft
	case p.MeasuredFor > 0 && p.Gained >= leastGained:
		left := time.Duration(float64(p.MeasuredFor) * float64(100-p.Percent) / float64(p.Gained))
		return max(0, left-(p.Elapsed-p.MeasuredFor))
	case byUsual.Known():
		return byUsual.Left(p.Elapsed, usual)
	}
	return 0
}

// Parameters of Outcomes.
const (
	// priorOutcomes is the evidence as which the assumption counts that half of the copies
	// end first.
	priorOutcomes = 2.0
	// outcomeDecay discounts older outcomes with each new one.
	outcomeDecay = 0.95
	// probeInterval is the number of runs of which one gets a copy though copies have not
	// helped, to find out whether they do by now.
	probeInterval = 20
)

// Outcomes counts which copies of a queue ended first, by the cause for which they were started.
// The zero value has counted none.
type Outcomes struct {
	byCause [3]outcome
}

type outcome struct {
	won, lost float64
	// declined counts the runs without a copy since the last one, because copies do not help.
	declined int
}

func (o *Outcomes) of(c Cause) *outcome {
	switch c.(type) {
	case SlowWorker:
		return &o.byCause[1]
	case Hung:
		return &o.byCause[2]
	}
	return &o.byCause[0]
}

// Add counts the end of a task with a copy.
func (o *Outcomes) Add(c Cause, won bool) {
	each := o.of(c)
	each.won *= outcomeDecay
	each.lost *= outcomeDecay
	if won {
		each.won++
	} else {
		each.lost++
	}
}

// Share returns the expected share of the copies that end first.
func (o *Outcomes) Share(c Cause) float64 {
	each := o.of(c)
	return (each.won + priorOutcomes/2) / (each.won + each.lost + priorOutcomes)
}

// Need is what a copy is weighed against.
type Need struct {
	// Takes is what the copy is expected to take.
	Takes time.Duration
	// Until is the time until the task has to end so that its job meets its objective, Lost
	// until its job has no value any more.
	Until, Lost time.Duration
	// Room is set if a worker has room that neither waiting work nor the usual bursts need.
	Room bool
	// Copies and Running count the copies and the running tasks of the queue.
	Copies, Running int
	// Declined is set if a copy of the same run has been left out as Unhelpful before.
	Declined bool
}

// Verdict is the answer to whether a copy pays. Reasons are names that logs and counters use.
type Verdict string

// The verdicts.
const (
	// Pays starts a copy.
	Pays Verdict = "Pays"
	// InTime means that the job meets its objective without a copy.
	InTime Verdict = "InTime"
	// NoGain means that the copy is expected to end too late to be worth its work.
	NoGain Verdict = "NoGain"
	// Unhelpful means that copies for this cause have not ended first lately.
	Unhelpful Verdict = "Unhelpful"
	// NoRoom means that other work needs the processors.
	NoRoom Verdict = "NoRoom"
	// AtLimit means that the queue has as many copies as are permitted.
	AtLimit Verdict = "AtLimit"
	// NoWorker means that no other worker suits the task.
	NoWorker Verdict = "NoWorker"
)

// Verdicts lists every reason for which a copy is left out.
var Verdicts = []Verdict{InTime, NoGain, Unhelpful, NoRoom, AtLimit, NoWorker}

const (
	// maxCopyShare is the share of a queue's running tasks that may have a copy. One always
	// may.
	maxCopyShare = 0.1
	// leastSaving is the least saving for which a copy is started. Orders and reports take
	// a part of it.
	leastSaving = 200 * time.Millisecond
	// lateSaving is the saving, as a multiple of what the copy takes, for which one is started
	// though it saves neither the objective nor the value of the job.
	lateSaving = 2.0
)

// Decide decides whether a copy of a run pays. left is how much longer the run takes.
func Decide(left time.Duration, c Cause, n Need, o *Outcomes) Verdict {
	saving := left - n.Takes
	switch {
	case left <= n.Until:
		return InTime
	case saving < max(leastSaving, n.Takes/2):
		return NoGain
	case !n.saves(left) && float64(saving) < lateSaving*float64(n.Takes):
		return NoGain
	case !n.Room:
		return NoRoom
	case n.Copies >= max(1, int(maxCopyShare*float64(n.Running))):
		return AtLimit
	case o.Share(c)*float64(saving) < float64(n.Takes):
		return o.decline(c, n.Declined)
	}
	return Pays
}

// saves reports whether the copy makes the job meet its objective, or end before it is of no value.
func (n Need) saves(left time.Duration) bool {
	return (left > n.Until && n.Takes <= n.Until) || (left > n.Lost && n.Takes <= n.Lost)
}

// decline leaves a copy out, but for those of one run in probeInterval. known is set if the run has been counted.
func (o *Outcomes) decline(c Cause, known bool) Verdict {
	if known {
		return Unhelpful
	}
	each := o.of(c)
	if each.declined >= probeInterval-1 {
		return Pays
	}
	each.declined++
	return Unhelpful
}

// Started counts the start of a copy. Until then, every further run is answered as the one in probeInterval is: there may
// be no worker for the first.
func (o *Outcomes) Started(c Cause) { o.of(c).declined = 0 }
