package aqdecider

import (
	"math"
	"slices"
	"time"

	"acaciaquay/pkg/aqtype"
)

// imagePair is the image of a serving task and that of a filler co-located with it.
type imagePair struct {
	serving string
	filler  string
}

// effect is the estimate for a pair: the logarithm of the serving task's tail
// latency rises by factor times the fraction of the worker's processors that the
// filler uses.
type effect struct {
	factor float64
	// weight is the accumulated evidence, with decay.
	weight float64
}

// Parameters of the interference model.
const (
	// priorFactor is the estimate for a pair that was never observed. It expects
	// some harm, but permits one filler next to a serving task, so that the pair is
	// observed.
	priorFactor = 1.5
	// priorWeight is the evidence that the prior counts as.
	priorWeight = 0.02
	// maxFactor is the upper limit of an estimate, however large an outlier is.
	maxFactor = 15.0
	// weightDecay discounts old evidence, because effects change.
	weightDecay = 0.998
	// soloShare is the fraction of a worker's processors below which the use by
	// fillers is neglected.
	soloShare = 0.01
	// priorSoloRatio is the expected tail latency, relative to the target, of a
	// solo serving task that was never observed.
	priorSoloRatio = 0.45
	// soloLearningRate is the weight of a new measurement of a solo task.
	soloLearningRate = 0.03
	// harmfulFactor is the estimate above which a filler counts as harmful.
	harmfulFactor = 2.0
	// maxPairs limits the memory of the model.
	maxPairs = 4096
)

// interference learns from the workers' reports which fillers slow down which
// serving tasks.
type interference struct {
	pairs map[imagePair]*effect
	// soloLogRatios holds the logarithm of each serving image's tail latency relative
	// to its target, without fillers.
	soloLogRatios map[string]float64
}

func newInterference() *interference {
	return &interference{
		pairs:         map[imagePair]*effect{},
		soloLogRatios: map[string]float64{},
	}
}

func (m *interference) soloLogRatio(serving string) float64 {
	if base, known := m.soloLogRatios[serving]; known {
		return base
	}
	return math.Log(priorSoloRatio)
}

func (m *interference) factor(serving, filler string) float64 {
	if e := m.pairs[imagePair{serving: serving, filler: filler}]; e != nil {
		return e.factor
	}
	return priorFactor
}

// predict returns the expected tail latency, relative to the target, next to
// fillers. fillers holds their shares of the worker's processors by image.
func (m *interference) predict(serving string, fillers map[string]float64) float64 {
	sum := m.soloLogRatio(serving)
	for image, share := range fillers {
		sum += m.factor(serving, image) * share
	}
	return math.Exp(sum)
}

// observe updates the model with one measurement of a serving task. It spreads the
// prediction error over the co-located fillers by their shares.
func (m *interference) observe(serving string, ratio float64, fillers map[string]float64) {
	if ratio <= 0 {
		return
	}
	measured := math.Log(ratio)
	total, squares := 0.0, 0.0
	for _, share := range fillers {
		total += share
		squares += share * share
	}
	if total < soloShare {
		m.soloLogRatios[serving] = m.soloLogRatio(serving) + soloLearningRate*(measured-m.soloLogRatio(serving))
		return
	}
	residual := measured - math.Log(m.predict(serving, fillers))
	for image, share := range fillers {
		e := m.effect(serving, image)
		if e == nil || share <= 0 {
			continue
		}
		e.weight = weightDecay*e.weight + share*share
		e.factor += residual * share / max(e.weight, squares)
		e.factor = max(0, min(maxFactor, e.factor))
	}
}

// effect returns the estimate of a pair, nil when the model is full.
func (m *interference) effect(serving, filler string) *effect {
	pair := imagePair{serving: serving, filler: filler}
	e := m.pairs[pair]
	if e == nil && len(m.pairs) < maxPairs {
		e = &effect{factor: priorFactor, weight: priorWeight}
		m.pairs[pair] = e
	}
	return e
}

// harmedShare returns the fraction of the known serving images that a filler harms.
func (m *interference) harmedShare(filler string) float64 {
	harmed := 0
	for serving := range m.soloLogRatios {
		if m.factor(serving, filler) > harmfulFactor {
			harmed++
		}
	}
	if len(m.soloLogRatios) == 0 {
		return 0
	}
	return float64(harmed) / float64(len(m.soloLogRatios))
}

// harmedShare returns the model's share, computed once a round of decisions.
func (d *Decider) harmedShare(filler string) float64 {
	if share, known := d.harmedShares[filler]; known {
		return share
	}
	share := d.model.harmedShare(filler)
	d.harmedShares[filler] = share
	return share
}

// fillerShares returns the shares of a worker's processors that fillers used, by
// image, according to recent reports.
func (w *worker) fillerShares(now time.Time) map[string]float64 {
	shares := map[string]float64{}
	for _, r := range w.runs {
		if spec := r.task.group.spec; spec.Filler && now.Sub(r.reportAt) < staleReport {
			shares[spec.Image] += share(int64(r.report.Usage), int64(w.info.Capacity.MilliCPU))
		}
	}
	return shares
}

// servingLoad is the fraction of their reservation that serving tasks are expected
// to use.
const servingLoad = 0.5

// load sums up a worker's runs. It is computed on demand after a change.
type load struct {
	// serving lists the images of the serving tasks on the worker.
	serving []string
	// fillers holds, by image, the processors that fillers would use at their pace.
	fillers map[string]float64
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
	l := &load{
		fillers:  map[string]float64{},
		leftover: float64(w.info.Capacity.MilliCPU),
	}
	for _, r := range w.runs {
		spec := r.task.group.spec
		size := float64(spec.Size.MilliCPU)
		if since := r.overTargetSince; !since.IsZero() && (l.overTargetSince.IsZero() || since.Before(l.overTargetSince)) {
			l.overTargetSince = since
		}
		switch {
		case spec.Filler:
			if r.state != runStopping {
				l.fillers[spec.Image] += size * float64(r.pace) / fullPace
				l.fillerDemand += size * float64(r.pace) / fullPace
			}
		case spec.TailTarget > 0:
			l.leftover -= servingLoad * size
			if !slices.Contains(l.serving, spec.Image) {
				l.serving = append(l.serving, spec.Image)
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

// worstPredictedTailRatio returns the highest expected tail ratio of a worker's serving
// tasks next to its fillers and, unless extra is nil, one more task of that group.
func (d *Decider) worstPredictedTailRatio(w *worker, extra *group) float64 {
	worst := 0.0
	for _, image := range w.currentLoad().serving {
		worst = max(worst, d.predictedTailRatio(w, image, extra))
	}
	return worst
}

// predictedTailRatio returns the expected tail ratio of a serving image on a worker.
func (d *Decider) predictedTailRatio(w *worker, serving string, extra *group) float64 {
	l := w.currentLoad()
	capacity := float64(w.info.Capacity.MilliCPU)
	if capacity <= 0 {
		return math.Exp(d.model.soloLogRatio(serving))
	}
	added := 0.0
	if extra != nil {
		added = float64(extra.spec.Size.MilliCPU)
	}
	scale := 1.0
	if total := l.fillerDemand + added; total > l.leftover {
		scale = l.leftover / total
	}
	sum := d.model.soloLogRatio(serving)
	for image, demand := range l.fillers {
		sum += d.model.factor(serving, image) * scale * demand / capacity
	}
	if extra != nil {
		sum += d.model.factor(serving, extra.spec.Image) * scale * added / capacity
	}
	return math.Exp(sum)
}

// observeTails updates the model with the tail latencies of a worker's report. It
// is called after each report.
func (d *Decider) observeTails(w *worker) {
	var fillers map[string]float64
	for _, r := range w.runs {
		target := r.task.group.spec.TailTarget
		if target <= 0 || !r.reportAt.Equal(d.now) || r.report.Percent < readyPercent || r.report.Tail <= 0 {
			continue
		}
		if fillers == nil {
			fillers = w.fillerShares(d.now)
		}
		d.model.observe(r.task.group.spec.Image, float64(r.report.Tail)/float64(target), fillers)
	}
}
