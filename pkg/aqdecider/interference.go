package aqdecider

import (
	"math"
	"slices"
	"time"

	"acaciaquay/internal/site/aqinterference"
	"acaciaquay/pkg/aqtype"
)

// harmedShare returns the model's share, computed once a round of decisions.
func (d *Decider) harmedShare(filler aqinterference.Image) float64 {
	if share, known := d.harmedShares[filler]; known {
		return share
	}
	share := d.model.HarmedShare(filler)
	d.harmedShares[filler] = share
	return share
}

// fillerShares returns the shares of a worker's processors that fillers used, according to
// recent reports.
func (w *worker) fillerShares(now time.Time) []aqinterference.Filler {
	var shares []aqinterference.Filler
	for _, r := range w.runs {
		if r.task.group.spec.Filler && now.Sub(r.reportAt) < staleReport {
			shares = addFiller(shares, r.task.group.image, share(int64(r.report.Usage), int64(w.info.Capacity.MilliCPU)))
		}
	}
	return shares
}

// addFiller adds the usage of a task to those of its image.
func addFiller(fillers []aqinterference.Filler, image aqinterference.Image, usage float64) []aqinterference.Filler {
	for i := range fillers {
		if fillers[i].Image == image {
			fillers[i].Usage += usage
			return fillers
		}
	}
	return append(fillers, aqinterference.Filler{
		Image: image,
		Usage: usage,
	})
}

// servingLoad is the fraction of their reservation that serving tasks are expected
// to use.
const servingLoad = 0.5

// load sums up a worker's runs. It is computed on demand after a change.
type load struct {
	// serving lists the images of the serving tasks on the worker.
	serving []aqinterference.Image
	// fillers holds the processors that fillers would use at their pace, in thousandths.
	fillers []aqinterference.Filler
	// shortReserved is what tasks reserve that are neither fillers nor serving
	// tasks. It includes perpetual tasks without a tail latency target.
	shortReserved aqtype.MilliCPU
	// fillerDemand is the sum of fillers.
	fillerDemand float64
	// leftover is the processors that other tasks are expected to leave to fillers.
	leftover float64
	// overTargetSince is the earliest time since when a serving task has been over its
	// tail latency target, zero when none is.
	overTargetSince time.Time
}

// invalidateLoad drops the cached load after a change of the worker's runs or their
// paces.
func (w *worker) invalidateLoad() { w.load = nil }

func (w *worker) currentLoad() *load {
	if w.load != nil {
		return w.load
	}
	l := &load{leftover: float64(w.info.Capacity.MilliCPU)}
	for _, r := range w.runs {
		spec := r.task.group.spec
		size := float64(spec.Size.MilliCPU)
		if since := r.overTargetSince; !since.IsZero() && (l.overTargetSince.IsZero() || since.Before(l.overTargetSince)) {
			l.overTargetSince = since
		}
		switch {
		case spec.Filler:
			if r.state != runStopping {
				l.fillers = addFiller(l.fillers, r.task.group.image, size*float64(r.pace)/fullPace)
				l.fillerDemand += size * float64(r.pace) / fullPace
			}
		case spec.TailTarget > 0:
			l.leftover -= servingLoad * size
			if !slices.Contains(l.serving, r.task.group.image) {
				l.serving = append(l.serving, r.task.group.image)
			}
		default:
			l.leftover -= size
			l.shortReserved += spec.Size.MilliCPU
		}
	}
	slices.Sort(l.serving)
	l.leftover = max(0, l.leftover)
	w.load = l
	return l
}

// filler returns a task of the group at a pace in percent, as a filler of a worker's load.
func (g *group) filler(pace int) aqinterference.Filler {
	return aqinterference.Filler{
		Image: g.image,
		Usage: float64(g.spec.Size.MilliCPU) * float64(pace) / fullPace,
	}
}

// worstLogTail returns the highest expected tail latency of a worker's serving tasks next to
// its fillers and an extra one, as the logarithm of its ratio to the target.
func (d *Decider) worstLogTail(w *worker, extra aqinterference.Filler) float64 {
	worst := math.Inf(-1)
	for _, image := range w.currentLoad().serving {
		worst = max(worst, d.logTail(w, image, extra))
	}
	return worst
}

// logTail returns the same for one serving image.
func (d *Decider) logTail(w *worker, serving aqinterference.Image, extra aqinterference.Filler) float64 {
	l := w.currentLoad()
	scale := 0.0
	if w.info.Capacity.MilliCPU > 0 {
		scale = 1 / float64(w.info.Capacity.MilliCPU)
	}
	if total := l.fillerDemand + extra.Usage; total > l.leftover {
		scale *= l.leftover / total
	}
	added := 0.0
	if extra.Usage > 0 {
		added = d.model.Factor(serving, extra.Image) * extra.Usage * scale
	}
	return d.model.LogRatio(serving, l.fillers, scale) + added
}

// observeTails updates the model with the tail latencies of a worker's report. It
// is called after each report.
func (d *Decider) observeTails(w *worker) {
	var fillers []aqinterference.Filler
	known := false
	for _, r := range w.runs {
		target := r.task.group.spec.TailTarget
		if target <= 0 || !r.reportAt.Equal(d.now) || r.report.Percent < readyPercent || r.report.Tail <= 0 {
			continue
		}
		if !known {
			fillers, known = w.fillerShares(d.now), true
		}
		d.model.Observe(r.task.group.image, float64(r.report.Tail)/float64(target), fillers)
	}
}
