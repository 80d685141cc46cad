package aqjob

import (
	"strings"
	"testing"
)

func TestProgressIsEncodedWithinALimit(t *testing.T) {
	progress := &Progress{
		State:       StateRunning,
		Occurrences: map[Occurrence]*OccurrenceProgress{},
	}
	for k := range Occurrence(3) {
		o := &OccurrenceProgress{
			Done:        []byte{0xff},
			Checkpoints: map[int]string{},
		}
		for position := range 100 {
			o.Checkpoints[position] = strings.Repeat("c", 50)
		}
		progress.Occurrences[k] = o
	}
	whole, omitted, err := progress.EncodeWithin(1 << 20)
	if err != nil || omitted != 0 {
		t.Fatalf("%d checkpoints are left out, want none: %v", omitted, err)
	}
	for _, limit := range []int{len(whole), len(whole) - 1, len(whole) / 2, 200} {
		data, omitted, err := progress.EncodeWithin(limit)
		if err != nil || len(data) > limit {
			t.Fatalf("limit %d: %d bytes, %v", limit, len(data), err)
		}
		got, err := DecodeProgress(data)
		if err != nil {
			t.Fatal(err)
		}
		kept := 0
		for k, o := range got.Occurrences {
			kept += len(o.Checkpoints)
			if len(o.Done) != 1 || o.Done[0] != 0xff {
				t.Errorf("limit %d: occurrence %d has lost what is done", limit, k)
			}
		}
		if kept+omitted != 300 {
			t.Errorf("limit %d: %d checkpoints are kept and %d left out, want 300 in all", limit, kept, omitted)
		}
	}
	if len(progress.Occurrences[0].Checkpoints) != 100 {
		t.Error("the progress itself has changed")
	}
}
