package aqdecider

import (
	"log/slog"
	"slices"
	"time"

	"acaciaquay/pkg/aqlog"
)

// Shares of a task's speed, in percent.
const (
	fullPace = 100
	// readyPercent is the progress of a perpetual task that is at work.
	readyPercent = 100
	// relocatePace is the share below which a filler is moved when another worker
	// suits it.
	relocatePace = 40
	raiseStep    = 25
	// lowPace is the first step down; the next one is a halt.
	lowPace = 25
)

// Parts of a tail latency target.
const (
	// tailPlan is the expected tail up to which fillers are placed and let go.
	tailPlan = 0.58
	// tailOver is the measured tail from which fillers are slowed down.
	tailOver = 0.95
	// tailClear is the measured tail below which they are let go again.
	tailClear = 0.65
)

const (
	// reportSpan is the time that a worker's figures cover.
	reportSpan = 500 * time.Millisecond
	// staleReport is the age from which a worker's figures decide nothing.
	staleReport = 2 * time.Second
	// blameAll is how long a tail may stay over its target before every filler
	// beside it is slowed down, whatever the model says.
	blameAll = 1500 * time.Millisecond
	// crawlTime is how long a filler crawls before it is moved.
	crawlTime = time.Second
)

// paceFillers slows fillers down beside serving tasks whose tails near their targets,
// and lets them go again.
func (d *Decider) paceFillers(w *worker) {
	for _, r := range w.runs {
		if r.task.group.spec.Filler && r.state == runRunning {
			d.paceRun(w, r)
		}
	}
}

// paceRun adjusts one filler to the tails beside it.
func (d *Decider) paceRun(w *worker, filler *run) {
	if d.now.Sub(filler.paceAt) < reportSpan+d.options.Limits.PaceDelay {
		return
	}
	image := filler.task.group.spec.Image
	worst, over := 0.0, 0.0
	for _, r := range w.runs {
		target := r.task.group.spec.TailTarget
		if target <= 0 || r.state != runRunning || d.now.Sub(r.reportAt) > staleReport || r.report.Percent < readyPercent {
			continue
		}
		ratio := float64(r.report.Tail) / float64(target)
		worst = max(worst, ratio)
		blamed := d.model.factor(r.task.group.spec.Image, image) > harmfulFactor
		longOver := !r.overTargetSince.IsZero() && d.now.Sub(r.overTargetSince) > blameAll
		if ratio >= tailOver && (blamed || longOver) {
			over = max(over, ratio)
		}
	}
	switch {
	case over > 0 && filler.pace > lowPace:
		d.setPace(filler, lowPace, over)
	case over > 0 && filler.pace > 0:
		d.setPace(filler, 0, over)
	case worst <= tailClear && filler.pace < fullPace && d.worstPredictedTail(w, nil) <= tailPlan:
		d.setPace(filler, min(fullPace, filler.pace+raiseStep), worst)
	}
}

func (d *Decider) setPace(r *run, percent int, ratio float64) {
	d.options.Log.Write(aqlog.RunPaced, taskAttr(r.id.Task), workerAttr(r.worker.info.ID),
		slog.Int("From", r.pace), slog.Int("To", percent), slog.Float64("TailRatio", ratio))
	if percent < relocatePace && r.pace >= relocatePace {
		r.slowSince = d.now
	}
	if percent >= relocatePace && r.pace < relocatePace {
		r.progressAt = d.now
	}
	r.pace = percent
	r.worker.invalidateLoad()
	r.paceAt = d.now
	d.addOrder(Pace{Worker: r.worker.info.ID, Run: r.id, Percent: percent})
}

// noteTail follows how long a serving run's tail is over its target.
func (r *run) noteTail(now time.Time) {
	target := r.task.group.spec.TailTarget
	switch {
	case target <= 0 || r.report.Percent < readyPercent || r.report.Tail < target:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
}

// strained reports whether a serving task of the worker is over its target.
func (w *worker) strained(now time.Time) bool {
	for _, r := range w.runs {
		if !r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) > reportSpan {
			return true
		}
	}
	return false
}

// relocate moves a worker's checkpointing fillers that crawl to workers that suit
// them, and tasks that stand still to others.
func (d *Decider) relocate(w *worker) {
	for _, r := range w.runs {
		switch {
		case r.state != runRunning:
		case d.standsStill(r):
			d.options.Log.Write(aqlog.RunStalled, taskAttr(r.id.Task), workerAttr(w.info.ID),
				slog.Int("Percent", r.percent), slog.Duration("Since", d.now.Sub(r.progressAt)))
			r.task.avoidWorker(w.info.ID)
			w.health.failed(r.id.Task.Job, d.now)
			d.stop(r, "makes no progress")
		case r.crawls(d.now) && r.task.group.mayDisturb():
			if other := d.choose(r.task, nil); other != nil && other != w {
				d.stop(r, "tails beside it are over their targets")
			}
		}
	}
}

// mayDisturb reports whether a sound task of the group may be stopped to run
// elsewhere: of those that last, no more may be away than the group bears.
func (g *group) mayDisturb() bool {
	if !g.spec.Perpetual {
		return true
	}
	away := 0
	for _, t := range g.tasks {
		if t.run == nil || t.run.state != runRunning || t.run.report.Percent < readyPercent {
			away++
		}
	}
	return away < max(1, g.spec.DisruptionBudget)
}

// crawls reports whether a filler that can be moved has been slowed down for a
// while.
func (r *run) crawls(now time.Time) bool {
	spec := r.task.group.spec
	return spec.Filler && spec.Checkpointing && r.pace < relocatePace && now.Sub(r.slowSince) >= crawlTime
}

// Bounds of the time without progress after which a run counts as stuck.
const (
	// stuckLeast covers a few looks at the worker.
	stuckLeast = 2 * time.Second
	// stuckPart is the part of the estimated run time in which at least one
	// hundredth must be done, however busy the worker is.
	stuckPart = 0.5
	// atWorkLeast is how long a perpetual task may take to be at work.
	atWorkLeast = 4 * time.Second
)

// standsStill reports whether a run has made no progress for longer than a busy
// worker explains, by figures that are not old.
func (d *Decider) standsStill(r *run) bool {
	if d.now.Sub(r.reportAt) > staleReport || r.pace < relocatePace {
		return false
	}
	spec := r.task.group.spec
	if spec.Perpetual {
		return r.report.Percent < readyPercent && d.now.Sub(r.progressAt) > atWorkLeast
	}
	return d.now.Sub(r.progressAt) > max(stuckLeast, time.Duration(stuckPart*float64(spec.Estimate)))
}

// Weights of the scores by kind of task.
const (
	// weightMixed counts each other serving image on a worker: fillers must suit
	// all of them.
	weightMixed = 1.0
	// weightOpened keeps workers without serving tasks free of them.
	weightOpened = 0.6
	// weightHarmed keeps serving tasks away from fillers that harm them.
	weightHarmed = 3.0
	// weightFree keeps workers without serving tasks for the fillers that harm.
	weightFree = 0.5
	// maxDemand is how far fillers may exceed what is expected to be left over.
	maxDemand = 1.15
)

// servingScore packs serving tasks with others of the same image.
func (d *Decider) servingScore(g *group, w *worker) float64 {
	images := w.currentLoad().serving
	same := slices.Contains(images, g.spec.Image)
	score := 0.0
	switch {
	case len(images) == 0:
		score += weightOpened
	case !same:
		score += weightMixed
	}
	others := len(images)
	if same {
		others--
	}
	score += weightMixed / 2 * float64(others)
	if d.predictedTail(w, g.spec.Image, nil) > tailPlan {
		score += weightHarmed
	}
	return score - share(int64(w.used.MilliCPU), int64(w.info.Capacity.MilliCPU))
}

// fillerScore is low where processors are left over, and unsuited where the
// filler would do harm.
func (d *Decider) fillerScore(g *group, w *worker) float64 {
	l := w.currentLoad()
	demand := l.fillerDemand + float64(g.spec.Size.MilliCPU)
	if demand > maxDemand*l.leftover || w.strained(d.now) || d.worstPredictedTail(w, g) > tailPlan {
		return forbiddenScore
	}
	score := demand / l.leftover
	if len(l.serving) == 0 {
		score += weightFree * (1 - d.model.harmedShare(g.spec.Image))
	}
	return score
}

// forbiddenScore is the score of a worker that must not get the task.
const forbiddenScore = 1e6
