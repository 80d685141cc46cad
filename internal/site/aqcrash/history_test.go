package aqcrash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqtype"
)

// crash returns the crash of a worker. A run in isolation is marked by an i.
func crash(worker string, seen time.Duration) Crash {
	return Crash{
		Instance: Instance{
			Worker:      aqtype.WorkerID(worker),
			Incarnation: 1,
		},
		Seen:     seen,
		Isolated: strings.HasPrefix(worker, "i"),
	}
}

// What follows from the crashes under a task.
func TestVerdicts(t *testing.T) {
	var out strings.Builder
	for _, test := range []struct {
		name    string
		crashes []Crash
	}{
		{name: "none"},
		{name: "one, long after the start", crashes: []Crash{crash("w1", 3*time.Second)}},
		{name: "one, at the start", crashes: []Crash{crash("w1", -time.Second)}},
		{name: "two at one age", crashes: []Crash{crash("w1", 3*time.Second), crash("w2", 4*time.Second)}},
		{name: "two at different ages", crashes: []Crash{crash("w1", 6*time.Second), crash("w2", time.Second)}},
		{name: "two at the start", crashes: []Crash{crash("w1", -time.Second), crash("w2", 100*time.Millisecond)}},
		{name: "the same twice", crashes: []Crash{crash("w1", 3*time.Second), crash("w1", 3*time.Second)}},
		{name: "many beside others", crashes: []Crash{crash("w1", 0), crash("w2", 0), crash("w3", 0), crash("w4", 0)}},
		{name: "one in isolation", crashes: []Crash{crash("w1", 0), crash("w2", 0), crash("i3", 0)}},
		{name: "two in isolation of two", crashes: []Crash{crash("i1", 0), crash("i2", 0)}},
		{name: "two in isolation of three", crashes: []Crash{crash("w1", 0), crash("i2", 0), crash("i3", 0)}},
		{name: "late, two in isolation", crashes: []Crash{crash("w1", 8*time.Second), crash("i2", 0), crash("i3", 0)}},
	} {
		var h History
		known := 0
		for _, c := range test.crashes {
			if !h.Add(c) {
				known++
			}
		}
		fmt.Fprintf(&out, "%s: suspected %v, guilty %v, trial %s, settled after %s, known before %d\n",
			test.name, h.Suspected(), h.Guilty(), h.TrialTime(), h.SettledAfter(), known)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "verdicts", []byte(out.String()))
}

// A worker that returns has not crashed, and the stored crashes of one task are limited.
func TestRetractAndLimit(t *testing.T) {
	var h History
	for n := range 2 * maxCrashes {
		h.Add(crash(fmt.Sprintf("w%d", n), 0))
	}
	if len(h.Crashes) != maxCrashes {
		t.Fatalf("%d crashes are kept, want %d", len(h.Crashes), maxCrashes)
	}
	before := h
	last := h.Crashes[maxCrashes-1].Instance
	if !h.Retract(last) || h.Retract(last) {
		t.Fatal("want one retraction")
	}
	if len(before.Crashes) != maxCrashes || before.Crashes[maxCrashes-1].Instance != last {
		t.Fatal("a copy that is being stored has changed")
	}
}
