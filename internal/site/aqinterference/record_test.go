package aqinterference

import (
	"bytes"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestRecordIsRestored(t *testing.T) {
	m := New()
	serving, harmful := m.Image("serving"), m.Image("harmful")
	for range 20 {
		m.Observe(serving, 0.3, nil)
		m.Observe(serving, 1.2, []Filler{{Image: harmful, Usage: 0.15}})
	}
	value, err := m.Record()
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := m.Record(); !bytes.Equal(value, again) {
		t.Error("two records of the same model differ")
	}
	next := New()
	next.Image("other")
	if err := next.Restore(value); err != nil {
		t.Fatal(err)
	}
	if got, want := next.Factor(next.Image("serving"), next.Image("harmful")), m.Factor(serving, harmful); math.Abs(got-want) > 1e-5 {
		t.Errorf("factor %.3f, want %.3f", got, want)
	}
	if got, want := next.LogRatio(next.Image("serving"), nil, 1), m.LogRatio(serving, nil, 1); math.Abs(got-want) > 1e-5 {
		t.Errorf("solo log ratio %.3f, want %.3f", got, want)
	}
	own := New()
	for range 20 {
		own.Observe(own.Image("serving"), 0.3, []Filler{{Image: own.Image("harmful"), Usage: 0.15}})
	}
	before := own.Factor(own.Image("serving"), own.Image("harmful"))
	if err := own.Restore(value); err != nil || own.Factor(own.Image("serving"), own.Image("harmful")) != before {
		t.Errorf("what was observed has been replaced, error %v", err)
	}
}

func TestUnusableRecordChangesNothing(t *testing.T) {
	encode := func(r record) []byte {
		value, err := msgpack.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	images := []string{"serving", "filler"}
	for name, value := range map[string][]byte{
		"empty":          {},
		"not a record":   []byte("harmless"),
		"cut":            encode(record{Version: recordVersion, Images: images})[:9],
		"later version":  encode(record{Version: recordVersion + 1, Images: images}),
		"unknown image":  encode(record{Version: recordVersion, Images: images, Effects: []recordEffect{{Serving: 0, Filler: 2, Factor: 1, Weight: 1}}}),
		"negative":       encode(record{Version: recordVersion, Images: images, Effects: []recordEffect{{Serving: -1, Filler: 0, Factor: 1, Weight: 1}}}),
		"not a number":   encode(record{Version: recordVersion, Images: images, Effects: []recordEffect{{Filler: 1, Factor: float32(math.NaN()), Weight: 1}}}),
		"solo too large": encode(record{Version: recordVersion, Images: images, Solo: []recordSolo{{Image: 1, LogRatio: 1e9}}}),
	} {
		m := New()
		if err := m.Restore(value); err == nil || len(m.images) > 0 {
			t.Errorf("%s: error %v, %d images", name, err, len(m.images))
		}
	}
}
