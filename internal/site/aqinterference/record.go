package aqinterference

import (
	"math"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxRecordEffects limits a record to some 100 kB. Pairs with more evidence go first.
const maxRecordEffects = 3000

// recordVersion changes with the meaning of a record's fields.
const recordVersion = 1

// record is what a model keeps for the next one.
type record struct {
	Version int
	Images  []string
	// Solo holds the solo log ratios of the serving images that have been observed.
	Solo    []recordSolo
	Effects []recordEffect
}

type recordSolo struct {
	Image    int
	LogRatio float32
}

type recordEffect struct {
	Serving, Filler int
	Factor, Weight  float32
}

// Record encodes what has been learned. The same knowledge gives the same bytes.
func (m *Model) Record() ([]byte, error) {
	r := record{
		Version: recordVersion,
		Images:  make([]string, len(m.images)),
	}
	for name, image := range m.images {
		r.Images[image] = name
	}
	for image, s := range m.serving {
		if s.observed {
			r.Solo = append(r.Solo, recordSolo{
				Image:    image,
				LogRatio: float32(s.soloLogRatio),
			})
		}
		for filler, e := range s.effects {
			if e.weight > 0 {
				r.Effects = append(r.Effects, recordEffect{
					Serving: image,
					Filler:  filler,
					Factor:  float32(e.factor),
					Weight:  float32(e.weight),
				})
			}
		}
	}
	if len(r.Effects) > maxRecordEffects {
		slices.SortStableFunc(r.Effects, func(a, b recordEffect) int { return int(math.Copysign(1, float64(b.Weight-a.Weight))) })
		r.Effects = r.Effects[:maxRecordEffects]
	}
	value, err := msgpack.Marshal(r)
	return value, errors.Wrap(err, "interference: encode the model")
}

// Restore adds what an earlier model has recorded, where this one has observed nothing itself. It
// applies all of a record or nothing.
func (m *Model) Restore(value []byte) error {
	var r record
	if err := msgpack.Unmarshal(value, &r); err != nil {
		return errors.Wrap(err, "interference: decode the model")
	}
	if err := r.check(); err != nil {
		return err
	}
	images := make([]Image, len(r.Images))
	for i, name := range r.Images {
		images[i] = m.Image(name)
	}
	for _, s := range r.Solo {
		if image := images[s.Image]; image != NoImage && !m.serving[image].observed {
			m.serving[image].observed = true
			m.serving[image].soloLogRatio = float64(s.LogRatio)
		}
	}
	for _, e := range r.Effects {
		serving, filler := images[e.Serving], images[e.Filler]
		if serving == NoImage || filler == NoImage {
			continue
		}
		if known := m.effect(serving, filler); known.weight <= priorWeight {
			*known = effect{
				factor: float64(e.Factor),
				weight: float64(e.Weight),
			}
		}
	}
	return nil
}

// check refuses a record with which the model would predict nonsense.
func (r record) check() error {
	if r.Version != recordVersion || len(r.Images) > maxImages || len(r.Effects) > maxRecordEffects {
		return errors.Errorf("interference: record of version %d with %d images and %d effects", r.Version, len(r.Images), len(r.Effects))
	}
	known := func(image int) bool { return image >= 0 && image < len(r.Images) }
	for _, s := range r.Solo {
		if ratio := float64(s.LogRatio); !known(s.Image) || math.IsNaN(ratio) || math.Abs(ratio) > maxFactor {
			return errors.Errorf("interference: record of image %d with %v", s.Image, s.LogRatio)
		}
	}
	for _, e := range r.Effects {
		if !known(e.Serving) || !known(e.Filler) || !(e.Factor >= 0 && e.Factor <= maxFactor) || !(e.Weight > 0) || math.IsInf(float64(e.Weight), 0) {
			return errors.Errorf("interference: record of images %d and %d with factor %v and weight %v", e.Serving, e.Filler, e.Factor, e.Weight)
		}
	}
	return nil
}
