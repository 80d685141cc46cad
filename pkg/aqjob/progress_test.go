package aqjob

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqtype"
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
	if err != nil || omitted.Any() {
		t.Fatalf("%+v is left out, want nothing: %v", omitted, err)
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
		if kept+omitted.Checkpoints != 300 {
			t.Errorf("limit %d: %d checkpoints are kept and %d left out, want 300 in all", limit, kept, omitted.Checkpoints)
		}
	}
	if len(progress.Occurrences[0].Checkpoints) != 100 {
		t.Error("the progress itself has changed")
	}
}

// crashes returns a history of a number of crashes at one age.
func crashes(count int, trial *aqcrash.Instance) *aqcrash.History {
	h := &aqcrash.History{Trial: trial}
	for n := range count {
		h.Add(aqcrash.Crash{
			Instance: aqcrash.Instance{
				Worker:      aqtype.WorkerID(fmt.Sprintf("worker-%d", n)),
				Incarnation: 1_700_000_000_000,
			},
			Seen: time.Second,
		})
	}
	return h
}

// Crashes are left out before checkpoints unless they speak against their task, and trials go last.
func TestCrashesAreLeftOutByWhatTheySay(t *testing.T) {
	const unsuspected, suspected, tried = 50, 20, 10
	o := &OccurrenceProgress{
		Done:        []byte{1},
		Checkpoints: map[int]string{0: strings.Repeat("c", 200)},
		Crashes:     map[int]*aqcrash.History{},
	}
	for n := range unsuspected + suspected + tried {
		switch {
		case n < unsuspected:
			o.Crashes[n] = crashes(1, nil)
		case n < unsuspected+suspected:
			o.Crashes[n] = crashes(2, nil)
		default:
			o.Crashes[n] = crashes(3, &aqcrash.Instance{Worker: "w"})
		}
	}
	progress := &Progress{
		State:       StateRunning,
		Occurrences: map[Occurrence]*OccurrenceProgress{0: o},
	}
	whole, err := Encode(progress)
	if err != nil {
		t.Fatal(err)
	}
	last := Omitted{}
	for limit := len(whole); limit >= 100; limit -= 100 {
		data, omitted, err := progress.EncodeWithin(limit)
		if err != nil || len(data) > limit {
			t.Fatalf("limit %d: %d bytes, %v", limit, len(data), err)
		}
		if omitted.Crashes < last.Crashes || omitted.Checkpoints < last.Checkpoints {
			t.Errorf("limit %d: %+v is left out, less than at a higher limit (%+v)", limit, omitted, last)
		}
		last = omitted
		if _, err := DecodeProgress(data); err != nil {
			t.Errorf("limit %d: %v", limit, err)
		}
		if omitted.Checkpoints > 0 != (omitted.Crashes > unsuspected) && omitted.Crashes != unsuspected {
			t.Errorf("limit %d: %+v is left out of %d unsuspected tasks", limit, omitted, unsuspected)
		}
	}
	if last.Crashes != unsuspected+suspected+tried || last.Checkpoints != 1 {
		t.Errorf("%+v is left out at last, want everything", last)
	}
	if len(o.Crashes) != unsuspected+suspected+tried {
		t.Error("the progress itself has changed")
	}
}
