package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// Shares of a task's speed, in percent.
const (
	fullPace  = 100
	raiseStep = 25
)

// Parts of a tail latency target at which fillers are slowed down or let go.
const (
	tailOver  = 1.0
	tailNear  = 0.8
	tailClear = 0.55
)

// reportSpan is the time that a worker's figures cover.
const reportSpan = 500 * time.Millisecond

// staleReport is the age from which a worker's figures decide nothing.
const staleReport = 2 * time.Second

// tails remembers, for each image that serves, how close to their targets its
// tasks run beside fillers.
type tails struct {
	beside map[imagePair]float64
}

// imagePair is a serving image and the image of a filler beside it.
type imagePair struct {
	serving string
	filler  string
}

// tailWeight is the weight of a new figure in a moving average.
const tailWeight = 0.2

func newTails() *tails {
	return &tails{beside: map[imagePair]float64{}}
}

func (t *tails) observe(pair imagePair, ratio float64) {
	before, known := t.beside[pair]
	if !known {
		before = ratio
	}
	t.beside[pair] = before + tailWeight*(ratio-before)
}

// pace slows fillers down beside serving tasks whose tails near their targets,
// and lets them go again.
func (d *Decider) pace() {
	for _, w := range d.workers {
		if !w.reachable {
			continue
		}
		ratio, fresh := d.tailRatio(w)
		if !fresh {
			continue
		}
		for _, r := range w.runs {
			if r.task.group.spec.Filler && r.state == runRunning {
				d.paceRun(r, ratio)
			}
		}
	}
}

// tailRatio returns the worst tail of a worker's serving tasks over its target.
// A worker without fresh figures of serving tasks gives none.
func (d *Decider) tailRatio(w *worker) (float64, bool) {
	worst, fresh := 0.0, false
	for _, r := range w.runs {
		target := r.task.group.spec.TailTarget
		if target <= 0 || r.state != runRunning || d.now.Sub(r.reportAt) > staleReport || r.report.Percent < 100 {
			continue
		}
		fresh = true
		worst = max(worst, float64(r.report.Tail)/float64(target))
	}
	return worst, fresh
}

func (d *Decider) paceRun(r *run, ratio float64) {
	if d.now.Sub(r.paceAt) < reportSpan+d.options.Limits.PaceDelay {
		return
	}
	want := r.pace
	switch {
	case ratio >= tailOver:
		want = r.pace / 4
	case ratio >= tailNear:
		want = r.pace / 2
	case ratio <= tailClear:
		want = min(fullPace, r.pace+raiseStep)
	}
	if want == r.pace {
		return
	}
	d.setPace(r, want, ratio)
}

func (d *Decider) setPace(r *run, percent int, ratio float64) {
	d.options.Log.Write(aqlog.RunPaced, taskAttr(r.id.Task), workerAttr(r.worker.listed.ID),
		slog.Int("From", r.pace), slog.Int("To", percent), slog.Float64("TailRatio", ratio))
	r.pace = percent
	r.paceAt = d.now
	d.order(Pace{Worker: r.worker.listed.ID, Run: r.id, Percent: percent})
}

// Weights of a filler's score.
const (
	// weightTail counts the worst tail beside which the filler would work.
	weightTail = 1.0
	// weightPaced counts fillers on the worker that are slowed down already.
	weightPaced = 0.5
)

// fillerScore is low where processors are idle and no tail is near its target.
func (d *Decider) fillerScore(g *group, w *worker) float64 {
	var busy aqtype.MilliCPU
	score := 0.0
	for _, r := range w.runs {
		spec := r.task.group.spec
		switch {
		case spec.Filler:
			busy += spec.Size.MilliCPU
			if r.pace < fullPace {
				score += weightPaced
			}
		case spec.TailTarget > 0:
			busy += spec.Size.MilliCPU / 2
		default:
			busy += spec.Size.MilliCPU
		}
	}
	if ratio, fresh := d.tailRatio(w); fresh {
		score += weightTail * ratio
	}
	return score + share(int64(busy+g.spec.Size.MilliCPU), int64(w.listed.Capacity.MilliCPU))
}

// runTimes learns how long tasks take, as a factor of their estimates.
type runTimes struct {
	factors map[aqjob.QueueID]float64
}

func newRunTimes() *runTimes {
	return &runTimes{factors: map[aqjob.QueueID]float64{}}
}

// learn takes the run time of a run that ended with success.
func (d *Decider) learn(r *run) {
	estimate := r.task.group.spec.Estimate
	if estimate <= 0 || r.confirmedAt.IsZero() {
		return
	}
	queue := r.task.group.occurrence.job.queue.ID
	factor := float64(d.now.Sub(r.confirmedAt)) / float64(estimate)
	before, known := d.runTimes.factors[queue]
	if !known {
		before = factor
	}
	d.runTimes.factors[queue] = before + tailWeight*(factor-before)
}

// relocate takes tasks off workers on which they stand still.
func (d *Decider) relocate() {}
