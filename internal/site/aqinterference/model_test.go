package aqinterference

import (
	"fmt"
	"testing"
)

// The model must learn which of two co-located fillers slows a serving image down.
func TestModelFindsTheHarmfulFiller(t *testing.T) {
	m := New()
	serving, harmless, harmful := m.Image("serving"), m.Image("harmless"), m.Image("harmful")
	for range 20 {
		m.Observe(serving, 0.45, nil)
		m.Observe(serving, 0.45, []Filler{{Image: harmless, Usage: 0.2}})
		m.Observe(serving, 1.2, []Filler{{Image: harmful, Usage: 0.15}, {Image: harmless, Usage: 0.1}})
	}
	if f := m.Factor(serving, harmless); f > HarmfulFactor {
		t.Errorf("harmless filler has factor %.1f", f)
	}
	if f := m.Factor(serving, harmful); f < HarmfulFactor {
		t.Errorf("harmful filler has factor %.1f", f)
	}
	if share := m.HarmedShare(harmful); share != 1 {
		t.Errorf("harmful filler harms the share %.1f", share)
	}
}

func TestFullModelExpectsThePrior(t *testing.T) {
	m := New()
	serving := m.Image("serving")
	for n := range maxImages {
		m.Image(fmt.Sprintf("filler-%d", n))
	}
	last := m.Image("one more")
	m.Observe(serving, 5, []Filler{{Image: last, Usage: 0.5}})
	m.Observe(last, 5, nil)
	if last != NoImage || m.Factor(serving, last) != priorFactor || m.Factor(last, serving) != priorFactor {
		t.Errorf("image %d with factors %.1f and %.1f", last, m.Factor(serving, last), m.Factor(last, serving))
	}
	if got, want := m.LogRatio(last, []Filler{{Image: last, Usage: 2}}, 0.25), priorSoloLogRatio+0.5*priorFactor; got != want {
		t.Errorf("predicts %.3f, want %.3f", got, want)
	}
}
