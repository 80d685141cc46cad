package aqspeed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqtype"
)

var start = time.Unix(1_800_000_000, 0)

// How the slowdown of a worker follows what its tasks take.
func TestSlowdowns(t *testing.T) {
	var out strings.Builder
	for _, test := range []struct {
		name  string
		ratio []float64
		later time.Duration
	}{
		{name: "unknown"},
		{name: "one long task", ratio: []float64{7}},
		{name: "one long task of several", ratio: []float64{1, 1, 7, 1, 1}},
		{name: "slow", ratio: []float64{5, 5, 5, 5}},
		{name: "slow, later", ratio: []float64{5, 5, 5, 5}, later: 8 * time.Second},
		{name: "slow, long ago", ratio: []float64{5, 5, 5, 5}, later: time.Minute},
		{name: "slow, then usual", ratio: []float64{5, 5, 5, 5, 1, 1, 1, 1}},
		{name: "fast", ratio: []float64{0.5, 0.5, 0.5, 0.5}},
	} {
		table := New()
		now := start
		for _, ratio := range test.ratio {
			now = now.Add(300 * time.Millisecond)
			table.Observe("w1", "queue", time.Duration(ratio*float64(time.Second)), time.Second, now)
		}
		now = now.Add(test.later)
		fmt.Fprintf(&out, "%s: %.2f, other work %.2f\n", test.name, table.Of("w1", "queue", now), table.Of("w1", "other", now))
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "slowdowns", []byte(out.String()))
}

// The next leader starts with the slowdowns that were stored, aged; the number of both is limited.
func TestStoredSlowdowns(t *testing.T) {
	table := New()
	for i := range maxEntries + 100 {
		table.Observe(aqtype.WorkerID(fmt.Sprintf("w%d", i)), "queue", 3*time.Second, time.Second, start)
	}
	table.Observe("w7", "queue", 3*time.Second, time.Second, start)
	if table.Len() != maxEntries {
		t.Fatalf("%d entries, want %d", table.Len(), maxEntries)
	}
	stored, err := table.Encode(start)
	if err != nil {
		t.Fatal(err)
	}
	next, err := Decode(stored, 2*halfLife, start.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	if next.Len() != maxRecords {
		t.Fatalf("%d entries are stored, want %d", next.Len(), maxRecords)
	}
	if now, then := next.Of("w7", "queue", start.Add(time.Hour)), table.Of("w7", "queue", start.Add(2*halfLife)); now != then {
		t.Fatalf("slowdown %v, want %v", now, then)
	}
	if _, err := Decode([]byte("?"), 0, start); err == nil {
		t.Fatal("malformed slowdowns were decoded")
	}
	table.Forget("w7")
	if table.Of("w7", "queue", start) != Usual {
		t.Fatal("the slowdown of a worker that has left is known")
	}
}

// Entries that are forgotten make room for others.
func TestForgottenEntriesMakeRoom(t *testing.T) {
	table := New()
	for i := range maxEntries {
		table.Observe(aqtype.WorkerID(fmt.Sprintf("w%d", i)), "queue", time.Second, time.Second, start)
	}
	later := start.Add(10 * halfLife)
	table.Observe("new", "queue", 3*time.Second, time.Second, later)
	if table.Of("new", "queue", later) <= Usual {
		t.Fatal("no room for a new worker")
	}
}
