package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/internal/site/aqspeed"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// queueTimes is what has been measured of a queue's tasks.
type queueTimes struct {
	// byEstimate holds durations relative to the estimates, byUsual relative to what the siblings took.
	byEstimate aqspeculation.Distribution
	byUsual    aqspeculation.Distribution
	outcomes   aqspeculation.Outcomes
}

func (d *Decider) queueTimes(id aqjob.QueueID) *queueTimes {
	q := d.times[id]
	if q == nil {
		q = &queueTimes{}
		d.times[id] = q
	}
	return q
}

// timed reports whether the durations of the group's tasks are measured: they end, and nothing but
// their worker and their work decides how long they take.
func (g *group) timed() bool { return !g.spec.Perpetual && !g.spec.Filler && !g.spec.Gang }

// onOwnRack reports whether the run's worker is near the data of its task, if that has any.
func (r *run) onOwnRack() bool {
	affinity := r.task.group.spec.Affinity
	return affinity == "" || string(r.worker.rack) == affinity
}

// clockNow returns an estimate of the worker's present clock, zero if it is not known.
func (w *worker) clockNow(now time.Time) time.Duration {
	if w.clock <= 0 {
		return 0
	}
	return w.clock + now.Sub(w.reportedAt)
}

// setBase notes when, by its worker's clock, the run had made which progress.
func (r *run) setBase(clock time.Duration, percent int) {
	r.baseClock = clock
	r.basePercent = percent
}

// wholeGained is the progress in percent from which the duration of the whole task follows from it.
const wholeGained = 10

// wholeUntil returns what the whole task takes at the rate of the run's progress up to a time on its worker's clock, zero if that
// is not known.
func (r *run) wholeUntil(clock time.Duration) time.Duration {
	gained := r.percent - r.basePercent
	if !r.measured || r.baseClock <= 0 || gained < wholeGained {
		return 0
	}
	return max(0, clock-r.baseClock) * 100 / time.Duration(gained)
}

// measuredFor returns for how long the run has advanced by its progress since its base, zero if that is not known.
func (r *run) measuredFor() time.Duration {
	if !r.measured || r.baseClock <= 0 {
		return 0
	}
	return max(0, r.measuredAt-r.baseClock)
}

// ranFor returns how long the run has been running since its base, as far as its worker's clock is known.
func (r *run) ranFor(now time.Time) time.Duration {
	if r.baseClock > 0 {
		return max(0, r.worker.clockNow(now)-r.baseClock)
	}
	return max(0, now.Sub(r.orderedAt))
}

// usualMaxAge is for how long the usual time of a group's tasks is used without a new look.
const usualMaxAge = 200 * time.Millisecond

// usualTime returns what a task of the group usually takes, and whether its siblings say so.
func (d *Decider) usualTime(g *group) (usual time.Duration, bySiblings bool) {
	if !g.usualAt.IsZero() && d.now.Sub(g.usualAt) < usualMaxAge {
		return g.usual, g.usualBySiblings
	}
	var running []time.Duration
	for _, t := range g.tasks {
		if t.run == nil || t.done {
			continue
		}
		if expected := t.run.wholeUntil(t.run.measuredAt); expected > 0 {
			running = append(running, expected)
		}
	}
	g.usualAt = d.now
	g.usual, g.usualBySiblings = g.siblings.Median(running)
	if !g.usualBySiblings {
		g.usual = d.queueTimes(g.occurrence.job.queue.ID).byEstimate.Typical(g.spec.Estimate)
	}
	return g.usual, g.usualBySiblings
}

// progressOf returns what is known of a run's progress.
func (d *Decider) progressOf(r *run) aqspeculation.Progress {
	p := aqspeculation.Progress{
		Elapsed:        r.ranFor(d.now),
		WorkerSlowdown: float64(d.slowdownOf(r.task.group, r.worker)),
		Hung:           r.state == runStopping || r.worker.lost(d.now),
	}
	if r.measured {
		p.Percent = r.percent
		p.Gained = r.percent - r.basePercent
		p.MeasuredFor = r.measuredFor()
		p.Hung = p.Hung || r.still() > d.stillLimit(r)/2
	}
	return p
}

// lost reports whether the worker has been unreachable for longer than it takes to replace a lost agent.
func (w *worker) lost(now time.Time) bool {
	return !w.reachable && now.Sub(w.reportedAt) > silenceTimeout
}

// stillLimit returns for how long the progress of a run may not rise. A stop costs what the run has done since
// its last checkpoint.
func (d *Decider) stillLimit(r *run) time.Duration {
	g := r.task.group
	longest := max(minStuckTime, time.Duration(stuckShare*float64(g.spec.Estimate)))
	if !g.timed() {
		return longest
	}
	still := aqspeculation.Still{
		Estimate: g.spec.Estimate,
		Whole:    r.wholeUntil(r.progressAt),
		Longest:  longest,
	}
	if !g.spec.Checkpointing {
		usual, _ := d.usualTime(g)
		still.Lost = usual * time.Duration(r.percent) / 100
	}
	return still.Limit(&d.queueTimes(g.occurrence.job.queue.ID).byEstimate)
}

// noteDone records how long a successful run has taken. When it ended is not known if its worker was silent before.
func (d *Decider) noteDone(r *run) {
	g := r.task.group
	if d.now.Sub(r.orderedAt) > staleReport && d.now.Sub(r.reportAt) > staleReport {
		return
	}
	if !g.timed() || r.beginUnknown || r.resumeFrom != "" || !r.onOwnRack() || r.task.done {
		return
	}
	took := r.ranFor(d.now)
	queue := d.queueTimes(g.occurrence.job.queue.ID)
	if usual, bySiblings := d.usualTime(g); bySiblings {
		d.observeSpeed(r, took, usual)
		queue.byUsual.Add(took, usual)
	}
	g.siblings.Add(took)
	queue.byEstimate.Add(took, g.spec.Estimate)
}

// kind returns the kind of the group's work.
func (g *group) kind() aqspeed.Kind {
	if g.spec.Image != "" {
		return aqspeed.Kind(g.spec.Image)
	}
	return aqspeed.Kind(g.occurrence.job.queue.ID)
}

// EncodeSpeeds returns the measured speeds of workers for the next leader.
func (d *Decider) EncodeSpeeds() ([]byte, error) { return d.speeds.Encode(d.now) }

// RestoreSpeeds takes over the speeds that an earlier leader stored some time ago, unless this one has measured some
// already.
func (d *Decider) RestoreSpeeds(stored []byte, age time.Duration) error {
	speeds, err := aqspeed.Decode(stored, age, d.now)
	if err != nil {
		return err
	}
	if d.speeds.Len() > 0 {
		return nil
	}
	d.speeds = speeds
	for _, w := range d.fleet {
		w.slow = speeds.Of(w.info.ID, aqspeed.AllWork, d.now) > unnoticedSlowdown
	}
	return nil
}

func (d *Decider) slowdownOf(g *group, w *worker) aqspeed.Slowdown {
	return d.speeds.Of(w.info.ID, g.kind(), d.now)
}

// Parts of a run whose duration tells the speed of its worker. speedSpan is the least time, and speedGained the
// progress in percent for which less than longSpeedSpan is enough.
const (
	speedSpan     = 300 * time.Millisecond
	longSpeedSpan = time.Second
	speedGained   = 5
)

// noteSpeed records the speed of a run since it was noted last.
func (d *Decider) noteSpeed(r *run) {
	g := r.task.group
	if !g.timed() || r.state != runRunning || !r.measured || !r.onOwnRack() || r.baseClock <= 0 {
		return
	}
	if r.speedNotedAt == 0 {
		r.speedNotedAt, r.speedPercent = r.baseClock, r.basePercent
	}
	span, gained := r.measuredAt-r.speedNotedAt, r.percent-r.speedPercent
	if span < speedSpan || (span < longSpeedSpan && gained < speedGained) {
		return
	}
	usual, bySiblings := d.usualTime(g)
	r.speedNotedAt, r.speedPercent = r.measuredAt, r.percent
	if bySiblings {
		d.observeSpeed(r, span*100/time.Duration(max(1, gained)), usual)
	}
}

// sameSpeed is the ratio up to which two durations of parts of one run tell the same of its worker.
const sameSpeed = 1.5

// observeSpeed adds what a run, or a part of one, says of the duration of the whole task to the speeds, and keeps
// worker.slow. A run that goes on as before counts once: it may be a long task.
func (d *Decider) observeSpeed(r *run, took, usual time.Duration) {
	if before := float64(r.speedWhole); before > 0 && float64(took) < sameSpeed*before && before < sameSpeed*float64(took) {
		return
	}
	r.speedWhole = took
	w, kind := r.worker, r.task.group.kind()
	d.speeds.Observe(w.info.ID, kind, took, usual, d.now)
	slowdown := d.speeds.Of(w.info.ID, kind, d.now)
	switch {
	case slowdown > unnoticedSlowdown && !w.slow:
		w.slow = true
		d.options.Metrics.Inc(aqmetric.WorkersSlow)
		d.options.Log.Write(aqlog.WorkerSlow, workerAttr(w.info.ID), slog.String("Kind", string(kind)),
			slog.Float64("Slowdown", float64(slowdown)), slog.Int("Runs", len(w.runs)))
	case slowdown <= unnoticedSlowdown && w.slow:
		w.slow = d.speeds.Of(w.info.ID, aqspeed.AllWork, d.now) > unnoticedSlowdown
	}
}

const (
	// weightSlowWorker is the score of the slowest workers. It is less than weightOffRack.
	weightSlowWorker = 1.5
	// worstSlowdown is the slowdown that gets all of it, unnoticedSlowdown the one up to which nothing is added: tasks of
	// one group differ by as much.
	worstSlowdown     = 3.0
	unnoticedSlowdown = 1.6
)

// slowness returns the part of a worker's score that is due to its slowdown.
func (d *Decider) slowness(g *group, w *worker) float64 {
	if !w.slow || !g.timed() {
		return 0
	}
	slowdown := float64(d.slowdownOf(g, w))
	if slowdown <= unnoticedSlowdown {
		return 0
	}
	return weightSlowWorker * min(1, (slowdown-1)/(worstSlowdown-1))
}
