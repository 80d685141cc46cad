// Package aqinterference learns from workers' reports which batch tasks slow down which
// serving tasks that run beside them.
package aqinterference

import "math"

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
	// HarmfulFactor is the estimate above which a filler counts as harmful.
	HarmfulFactor = 2.0
	// maxPairs limits the memory of the model.
	maxPairs = 4096
)

// Model learns from the workers' reports which fillers slow down which
// serving tasks.
type Model struct {
	pairs map[imagePair]*effect
	// soloLogRatios holds the logarithm of each serving image's tail latency relative
	// to its target, without fillers.
	soloLogRatios map[string]float64
}

// New returns a model that has observed nothing.
func New() *Model {
	return &Model{
		pairs:         map[imagePair]*effect{},
		soloLogRatios: map[string]float64{},
	}
}

// SoloLogRatio returns the logarithm of the expected tail latency of a serving image, relative
// to its target, without fillers.
func (m *Model) SoloLogRatio(serving string) float64 {
	if base, known := m.soloLogRatios[serving]; known {
		return base
	}
	return math.Log(priorSoloRatio)
}

// Factor returns the estimate for a pair: by how much the logarithm of the serving image's tail
// latency rises next to a filler that uses a whole worker.
func (m *Model) Factor(serving, filler string) float64 {
	if e := m.pairs[imagePair{serving: serving, filler: filler}]; e != nil {
		return e.factor
	}
	return priorFactor
}

// predict returns the expected tail latency, relative to the target, next to
// fillers. fillers holds their shares of the worker's processors by image.
func (m *Model) predict(serving string, fillers map[string]float64) float64 {
	sum := m.SoloLogRatio(serving)
	for image, share := range fillers {
		sum += m.Factor(serving, image) * share
	}
	return math.Exp(sum)
}

// Observe updates the model with one measurement of a serving task. It spreads the
// prediction error over the co-located fillers by their shares.
func (m *Model) Observe(serving string, ratio float64, fillers map[string]float64) {
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
		m.soloLogRatios[serving] = m.SoloLogRatio(serving) + soloLearningRate*(measured-m.SoloLogRatio(serving))
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
func (m *Model) effect(serving, filler string) *effect {
	pair := imagePair{serving: serving, filler: filler}
	e := m.pairs[pair]
	if e == nil && len(m.pairs) < maxPairs {
		e = &effect{factor: priorFactor, weight: priorWeight}
		m.pairs[pair] = e
	}
	return e
}

// HarmedShare returns the fraction of the known serving images that a filler harms.
func (m *Model) HarmedShare(filler string) float64 {
	harmed := 0
	for serving := range m.soloLogRatios {
		if m.Factor(serving, filler) > HarmfulFactor {
			harmed++
		}
	}
	if len(m.soloLogRatios) == 0 {
		return 0
	}
	return float64(harmed) / float64(len(m.soloLogRatios))
}
