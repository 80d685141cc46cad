// Package aqinterference learns from workers' reports which batch tasks slow down which
// serving tasks that run beside them.
package aqinterference

import "math"

// Image is the number of an image in a model.
type Image int

// NoImage stands for the images for which the model has no room. Nothing is learned of them.
const NoImage Image = -1

// Filler is what batch tasks of one image use of a worker's processors.
type Filler struct {
	Image Image
	// Usage is in a unit of the caller's choice.
	Usage float64
}

// effect is the estimate for a pair: the logarithm of the serving task's tail
// latency rises by factor times the fraction of the worker's processors that the
// filler uses. The zero value is no estimate.
type effect struct {
	factor float64
	// weight is the accumulated evidence, with decay.
	weight float64
}

// serving holds the estimates for one serving image.
type serving struct {
	// observed is set once the image has been measured without fillers.
	observed bool
	// soloLogRatio is the logarithm of its tail latency relative to its target, without
	// fillers.
	soloLogRatio float64
	// effects are indexed by the image of the filler.
	effects []effect
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
	// maxImages limits the memory of the model, which grows with the square.
	maxImages = 512
)

var priorSoloLogRatio = math.Log(priorSoloRatio)

// Model learns from the workers' reports which fillers slow down which
// serving tasks.
type Model struct {
	images map[string]Image
	// serving is indexed by image; images of fillers have no estimates.
	serving []serving
}

// New returns a model that has observed nothing.
func New() *Model { return &Model{images: map[string]Image{}} }

// Image returns the number of an image, NoImage when the model is full.
func (m *Model) Image(name string) Image {
	if image, known := m.images[name]; known {
		return image
	}
	if len(m.images) >= maxImages {
		return NoImage
	}
	image := Image(len(m.images))
	m.images[name] = image
	m.serving = append(m.serving, serving{soloLogRatio: priorSoloLogRatio})
	return image
}

func (m *Model) soloLogRatio(image Image) float64 {
	if image == NoImage {
		return priorSoloLogRatio
	}
	return m.serving[image].soloLogRatio
}

// Factor returns the estimate for a pair: by how much the logarithm of the serving image's tail
// latency rises next to a filler that uses a whole worker.
func (m *Model) Factor(image, filler Image) float64 {
	if image == NoImage || filler == NoImage {
		return priorFactor
	}
	effects := m.serving[image].effects
	if int(filler) >= len(effects) || effects[filler].weight == 0 {
		return priorFactor
	}
	return effects[filler].factor
}

// LogRatio returns the logarithm of a serving image's expected tail latency, relative to its
// target, next to fillers. scale makes a worker's share of their usage.
func (m *Model) LogRatio(image Image, fillers []Filler, scale float64) float64 {
	sum := 0.0
	for _, f := range fillers {
		sum += m.Factor(image, f.Image) * f.Usage
	}
	return m.soloLogRatio(image) + sum*scale
}

// Observe updates the model with one measurement of a serving task next to fillers, whose
// usage is a share of the worker's processors. It spreads the prediction error over them by
// their shares.
func (m *Model) Observe(image Image, ratio float64, fillers []Filler) {
	if ratio <= 0 || image == NoImage {
		return
	}
	measured := math.Log(ratio)
	total, squares := 0.0, 0.0
	for _, f := range fillers {
		total += f.Usage
		squares += f.Usage * f.Usage
	}
	if total < soloShare {
		s := &m.serving[image]
		s.observed = true
		s.soloLogRatio += soloLearningRate * (measured - s.soloLogRatio)
		return
	}
	residual := measured - m.LogRatio(image, fillers, 1)
	for _, f := range fillers {
		if f.Usage <= 0 || f.Image == NoImage {
			continue
		}
		e := m.effect(image, f.Image)
		e.weight = weightDecay*e.weight + f.Usage*f.Usage
		e.factor += residual * f.Usage / max(e.weight, squares)
		e.factor = max(0, min(maxFactor, e.factor))
	}
}

// effect returns the estimate of a pair, which begins with the prior.
func (m *Model) effect(image, filler Image) *effect {
	s := &m.serving[image]
	for len(s.effects) <= int(filler) {
		s.effects = append(s.effects, effect{})
	}
	e := &s.effects[filler]
	if e.weight == 0 {
		*e = effect{
			factor: priorFactor,
			weight: priorWeight,
		}
	}
	return e
}

// HarmedShare returns the fraction of the known serving images that a filler harms.
func (m *Model) HarmedShare(filler Image) float64 {
	known, harmed := 0, 0
	for image := range m.serving {
		if !m.serving[image].observed {
			continue
		}
		known++
		if m.Factor(Image(image), filler) > HarmfulFactor {
			harmed++
		}
	}
	if known == 0 {
		return 0
	}
	return float64(harmed) / float64(known)
}
