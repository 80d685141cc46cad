package aqdecider

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"acaciaquay/internal/site/aqinterference"
	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// Paces and progress, in percent.
const (
	fullPace = 100
	// readyPercent is the progress of a perpetual task that is ready.
	readyPercent = 100
	// relocatePace is the pace below which a filler is moved if another worker suits
	// it.
	relocatePace = 40
	paceStep     = 25
	// reducedPace is the first step when a filler is slowed down. The second step is
	// zero, which suspends it.
	reducedPace = 25
)

// Thresholds as fractions of a tail latency target.
const (
	// maxPredictedTail is the predicted tail latency up to which fillers are placed and
	// sped up again.
	maxPredictedTail = 0.58
	// slowDownTail is the measured tail latency from which fillers are slowed down.
	slowDownTail = 0.95
	// speedUpTail is the measured tail latency up to which they are sped up again.
	speedUpTail = 0.65
)

// maxLogTail is maxPredictedTail as a logarithm.
var maxLogTail = math.Log(maxPredictedTail)

const (
	// reportSpan is the time over which a worker measures tail latency and CPU use.
	reportSpan = 500 * time.Millisecond
	// staleReport is the age from which measurements are not used any more.
	staleReport = 2 * time.Second
	// slowAllAfter is how long a tail latency may stay over its target before all
	// co-located fillers are slowed down, whatever the interference model predicts.
	slowAllAfter = 1500 * time.Millisecond
	// suspendedPatience is how long a filler stays suspended beside serving tasks that are well
	// under their targets, whatever the interference model predicts.
	suspendedPatience = 5 * time.Second
	// maxSuspended is how long a filler stays suspended at a time, whatever its neighbours measure.
	maxSuspended = 10 * time.Second
	// relocateDelay is how long a filler stays below relocatePace before it is moved.
	relocateDelay = time.Second
	// moveInterval is the time between two moves of a task whose run was started slowly: no worker
	// suited it then.
	moveInterval = 10 * time.Second
	// moveRetryPerWorker gives the interval between two searches for another worker for one
	// run, and maxWorkersSearched limits the workers that the searches of one round of
	// decisions look at: each looks at every worker.
	moveRetryPerWorker = 450 * time.Microsecond
	maxWorkersSearched = 6600
)

// paceFillers slows fillers down when the tail latency of a co-located serving task
// nears its target, and speeds them up again later.
func (d *Decider) paceFillers(w *worker) {
	if !w.needsPacing(d.now) {
		return
	}
	for _, r := range w.runs {
		if r.task.group.spec.Filler && r.state == runRunning {
			d.adjustPace(w, r)
		}
	}
}

// needsPacing reports whether a filler of the worker may have to change its pace: one is not
// at full pace, or a serving task nears its target.
func (w *worker) needsPacing(now time.Time) bool {
	fillers, needed := false, false
	for _, r := range w.runs {
		switch {
		case r.state != runRunning:
		case r.task.group.spec.Filler:
			fillers = true
			needed = needed || r.pace < fullPace
		default:
			needed = needed || r.tailRatio(now) >= slowDownTail
		}
	}
	return fillers && needed
}

// tailRatio returns a serving run's measured tail latency relative to its target, zero if it
// has none or no recent measurement.
func (r *run) tailRatio(now time.Time) float64 {
	target := r.task.group.spec.TailTarget
	if target <= 0 || r.state != runRunning || now.Sub(r.reportAt) > staleReport || r.report.Percent < readyPercent {
		return 0
	}
	return float64(r.report.Tail) / float64(target)
}

// adjustPace adjusts the pace of one filler to the co-located tail latencies.
func (d *Decider) adjustPace(w *worker, filler *run) {
	if d.now.Sub(filler.paceAt) < reportSpan+d.options.Limits.PaceDelay {
		return
	}
	worst, over := 0.0, 0.0
	for _, r := range w.runs {
		ratio := r.tailRatio(d.now)
		if ratio <= 0 {
			continue
		}
		worst = max(worst, ratio)
		harmful := d.model.Factor(r.task.group.image, filler.task.group.image) > aqinterference.HarmfulFactor
		longOver := !r.overTargetSince.IsZero() && d.now.Sub(r.overTargetSince) > slowAllAfter
		if ratio >= slowDownTail && (harmful || longOver) {
			over = max(over, ratio)
		}
	}
	switch {
	case filler.pace == 0 && d.now.Sub(filler.paceAt) > maxSuspended && w.disturbable(d.now):
		w.disturbed(d.now)
		d.setPace(filler, reducedPace, worst)
	case over > 0 && filler.pace > reducedPace:
		d.setPace(filler, reducedPace, over)
	case over > 0 && filler.pace > 0:
		d.setPace(filler, 0, over)
	case worst <= speedUpTail && filler.pace < fullPace && d.worstLogTail(w, aqinterference.Filler{}) <= maxLogTail:
		d.setPace(filler, min(fullPace, filler.pace+paceStep), worst)
	case worst <= speedUpTail && filler.pace == 0 && d.now.Sub(filler.paceAt) > suspendedPatience:
		d.setPace(filler, reducedPace, worst)
	}
}

func (d *Decider) setPace(r *run, percent int, ratio float64) {
	d.options.Log.Write(aqlog.RunPaced, taskAttr(r.id.Task), workerAttr(r.worker.info.ID),
		slog.Int("From", r.pace), slog.Int("To", percent), slog.Float64("TailRatio", ratio))
	if percent < relocatePace && r.pace >= relocatePace {
		r.slowSince = d.now
	}
	if percent >= relocatePace && r.pace < relocatePace {
		r.measured = false
	}
	r.pace = percent
	r.worker.invalidateLoad()
	r.paceAt = d.now
	d.addOrder(Pace{Worker: r.worker.info.ID, Run: r.id, Percent: percent})
}

// fullPaceUsage is the fraction of its declared size that an adopted filler must use to
// count as running at full pace.
const fullPaceUsage = 0.5

// adoptPace gives an adopted filler a known pace. The earlier leader may have slowed it down
// or suspended it, which its worker does not report.
func (d *Decider) adoptPace(r *run) {
	spec := r.task.group.spec
	if spec.Filler && float64(r.report.Usage) < fullPaceUsage*float64(spec.Size.MilliCPU) {
		d.setPace(r, reducedPace, 0)
	}
}

// trackTail records since when a serving run's tail latency has been over its target.
func (r *run) trackTail(now time.Time) {
	target := r.task.group.spec.TailTarget
	over := target > 0 && r.report.Percent >= readyPercent && r.report.Tail >= target
	switch {
	case over == !r.overTargetSince.IsZero():
		return
	case over:
		r.overTargetSince = now
	default:
		r.overTargetSince = time.Time{}
	}
	r.worker.invalidateLoad()
}

// overTarget reports whether a serving task of the worker has been over its tail latency
// target for longer than one measurement.
func (w *worker) overTarget(now time.Time) bool {
	since := w.currentLoad().overTargetSince
	return !since.IsZero() && now.Sub(since) > reportSpan
}

// relocate stops a worker's stuck tasks, and, if another worker suits them, its slow
// checkpointing fillers and the perpetual tasks for which its capacity no longer suffices,
// so that they are placed elsewhere.
func (d *Decider) relocate(w *worker) {
	for _, r := range w.runs {
		switch {
		case r.state != runRunning:
		case d.stuck(r):
			d.options.Log.Write(aqlog.RunStalled, taskAttr(r.id.Task), workerAttr(w.info.ID),
				slog.Int("Percent", r.percent), slog.Duration("Since", r.still()))
			r.task.avoidWorker(w.info.ID)
			d.runFailed(w, r.id.Task.Job)
			d.stop(r, "makes no progress")
		case r.task.group.spec.Perpetual && d.overCapacity(w) && r.task.group.canDisrupt():
			if to := d.betterWorker(r); to != nil {
				d.move(r, to, "worker's capacity shrank")
			}
		case r.slowForLong(d.now) && d.mayMove(r) && r.task.group.canDisrupt():
			if to := d.betterWorker(r); to != nil {
				d.move(r, to, "co-located tail latency over target")
			}
		}
	}
}

// mayMove reports whether a slow filler may be moved again.
func (d *Decider) mayMove(r *run) bool {
	gentle := r.startedSlowly || r.task.group.spec.Gang
	return !gentle || d.now.Sub(r.task.movedAt) >= moveInterval
}

// betterWorker returns a worker that suits a run's task better than its own, nil if there is
// none or searches are due later.
func (d *Decider) betterWorker(r *run) *worker {
	if d.workersSearched >= maxWorkersSearched || d.now.Sub(r.moveTriedAt) < time.Duration(len(d.fleet))*moveRetryPerWorker {
		return nil
	}
	r.moveTriedAt = d.now
	if d.fillerShort(r.task.group) {
		return nil
	}
	own, ownSuits := d.candidateFor(r.task, r.worker)
	for _, w := range d.fleet {
		if w == r.worker {
			continue
		}
		d.workersSearched++
		if c, suits := d.candidateFor(r.task, w); suits && (!ownSuits || c.better(own)) {
			return w
		}
	}
	return nil
}

// canDisrupt reports whether a healthy task of the group may be stopped to run
// elsewhere. A perpetual group allows it while fewer of its tasks than its disruption
// budget, at least one, are unavailable.
func (g *group) canDisrupt() bool { return !g.spec.Perpetual || g.disruptions() > 0 }

// disruptions returns how many more tasks of a perpetual group may be stopped now.
func (g *group) disruptions() int {
	allowed := max(1, g.spec.DisruptionBudget)
	for _, t := range g.tasks {
		if t.run == nil || t.run.state != runRunning || t.run.report.Percent < readyPercent {
			allowed--
		}
	}
	return allowed
}

// slowForLong reports whether a filler with checkpoints has been below relocatePace for
// relocateDelay.
func (r *run) slowForLong(now time.Time) bool {
	spec := r.task.group.spec
	return spec.Filler && spec.Checkpointing && r.pace < relocatePace && now.Sub(r.slowSince) >= relocateDelay
}

// Limits of the time without progress after which a run counts as stuck.
const (
	// minStuckTime covers a few heartbeats.
	minStuckTime = 2 * time.Second
	// stuckShare is the fraction of the estimated run time within which progress must
	// rise by at least one percent, however busy the worker is.
	stuckShare = 0.5
	// readyTimeout is how long a perpetual task may take to become ready.
	readyTimeout = 4 * time.Second
)

// still returns how long a run has been measured without progress, on its worker's clock.
func (r *run) still() time.Duration { return r.measuredAt - r.progressAt }

// stuck reports whether a run has made no progress for longer than a busy worker
// explains. A run with a stale report or a pace below relocatePace is never stuck.
func (d *Decider) stuck(r *run) bool {
	if !r.measured || d.now.Sub(r.reportAt) > staleReport || r.pace < relocatePace {
		return false
	}
	spec := r.task.group.spec
	if spec.Perpetual {
		return r.report.Percent < readyPercent && r.still() > readyTimeout
	}
	return r.still() > aqspeculation.LeastStill && r.still() > d.stillLimit(r)
}

// Weights of the scores of serving tasks and fillers.
const (
	// weightMixed counts against workers that serve only other images. Half of it is
	// added for each other image: a filler there must be harmless to all of them.
	weightMixed = 1.0
	// weightEmptyWorker counts against placing serving tasks on workers that have none
	// yet.
	weightEmptyWorker = 0.6
	// weightHarmed counts against placing serving tasks next to fillers that harm them.
	weightHarmed = 3.0
	// weightKeepEmpty counts against placing harmless fillers on workers without serving
	// tasks, which are the place for harmful ones.
	weightKeepEmpty = 0.5
	// maxFillerDemand is the ratio of the fillers' demand to the expected leftover
	// processors up to which a worker gets fillers.
	maxFillerDemand = 1.15
)

// servingScore packs serving tasks with others of the same image.
func (d *Decider) servingScore(g *group, w *worker) float64 {
	images := w.currentLoad().serving
	same := slices.Contains(images, g.image)
	score := 0.0
	switch {
	case len(images) == 0:
		score += weightEmptyWorker
	case !same:
		score += weightMixed
	}
	others := len(images)
	if same {
		others--
	}
	score += weightMixed / 2 * float64(others)
	if d.logTail(w, g.image, aqinterference.Filler{}) > maxLogTail {
		score += weightHarmed
	}
	return score - share(int64(w.used.MilliCPU), int64(w.info.Capacity.MilliCPU))
}

// fillerScore prefers workers with leftover processors. It is forbiddenScore where the
// filler would do harm, unless that is permitted.
func (d *Decider) fillerScore(g *group, w *worker, tentative aqtype.Resources) float64 {
	obstacle := d.fillerObstacle(g, w, fullPace)
	switch {
	case obstacle == "":
	case w.currentLoad().leftover > 0 && d.mayHarm(g):
		return overdueScore + d.slowStartScore(g, w, 1+tentativeTasks(g, tentative))
	default:
		return forbiddenScore
	}
	l := w.currentLoad()
	score := (l.fillerDemand + float64(g.spec.Size.MilliCPU)) / l.leftover
	if len(l.serving) == 0 {
		score += weightKeepEmpty * (1 - d.harmedShare(g.image))
	}
	return score
}

// Obstacles of a filler on a worker that has room for it.
const (
	// obstacleLeftover means that the fillers would use more than the other tasks leave.
	obstacleLeftover = "NoLeftover"
	// obstacleOverTarget means that a serving task is over its tail latency target.
	obstacleOverTarget = "OverTarget"
	// obstaclePredictedTail means that the filler is expected to bring a serving task there.
	obstaclePredictedTail = "PredictedTail"
)

// fillerObstacle returns why a worker must not get a filler at a pace, empty if it may.
func (d *Decider) fillerObstacle(g *group, w *worker, pace int) string {
	l := w.currentLoad()
	extra := g.filler(pace)
	switch {
	case l.fillerDemand+extra.Usage > maxFillerDemand*l.leftover:
		return obstacleLeftover
	case w.overTarget(d.now):
		return obstacleOverTarget
	case d.worstLogTail(w, extra) > maxLogTail:
		return obstaclePredictedTail
	}
	return ""
}

// forbiddenScore is the score of a worker that must not get the task.
const forbiddenScore = 1e6
