package aqinterference

import "testing"

// The model must learn which of two co-located fillers slows a serving image down.
func TestModelFindsTheHarmfulFiller(t *testing.T) {
	m := New()
	for range 20 {
		m.Observe("serving", 0.45, nil)
		m.Observe("serving", 0.45, map[string]float64{"harmless": 0.2})
		m.Observe("serving", 1.2, map[string]float64{"harmful": 0.15, "harmless": 0.1})
	}
	if f := m.Factor("serving", "harmless"); f > HarmfulFactor {
		t.Errorf("harmless filler has factor %.1f", f)
	}
	if f := m.Factor("serving", "harmful"); f < HarmfulFactor {
		t.Errorf("harmful filler has factor %.1f", f)
	}
}
