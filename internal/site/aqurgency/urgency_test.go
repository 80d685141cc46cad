package aqurgency

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqtype"
)

var now = time.Unix(1_800_000_000, 0)

func ago(span time.Duration) time.Time { return now.Add(-span) }

// The order in which waiting groups are placed, and their standings.
func TestRanks(t *testing.T) {
	const allowed = 2 * time.Second
	groups := []struct {
		name string
		work Work
	}{
		{name: "hopeless urgent", work: Work{DueAt: ago(7 * time.Second), Allowed: allowed}},
		{name: "batch on time", work: Work{Priority: 2, DueAt: now, Allowed: allowed}},
		{name: "batch late", work: Work{Priority: 2, DueAt: ago(3 * time.Second), Allowed: allowed}},
		{name: "hopeless batch", work: Work{Priority: 2, DueAt: ago(7 * time.Second), Allowed: allowed}},
		{name: "lasting that waits long", work: Work{DueAt: ago(time.Minute), Allowed: allowed, Lasting: true}},
		{name: "lasting", work: Work{DueAt: now, Allowed: allowed, Lasting: true}},
		{name: "interrupted lasting", work: Work{DueAt: now, Allowed: allowed, Lasting: true, Interrupted: true}},
		{name: "interrupted lasting of a batch queue", work: Work{Priority: 2, DueAt: now, Lasting: true, Interrupted: true}},
		{name: "urgent late", work: Work{DueAt: ago(3 * time.Second), Allowed: allowed}},
		{name: "urgent", work: Work{DueAt: now, Allowed: allowed}},
		{name: "urgent due soon", work: Work{DueAt: ago(time.Second), Allowed: allowed}},
		{name: "urgent that cannot be in time", work: Work{DueAt: ago(time.Second), Allowed: allowed, Left: 1500 * time.Millisecond}},
		{name: "urgent that can be of use no more", work: Work{DueAt: ago(5 * time.Second), Allowed: allowed, Left: 1500 * time.Millisecond}},
	}
	slices.SortFunc(groups, func(a, b struct {
		name string
		work Work
	},
	) int {
		switch ra, rb := RankOf(a.work, now), RankOf(b.work, now); {
		case ra.Less(rb):
			return -1
		case rb.Less(ra):
			return 1
		}
		return 0
	})
	var out strings.Builder
	for _, g := range groups {
		fmt.Fprintf(&out, "%d %s\n", RankOf(g.work, now).Standing(), g.name)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "ranks", []byte(out.String()))
}

// Which runs of a worker give way.
func TestChoices(t *testing.T) {
	size := func(cpu, memory int64) aqtype.Resources {
		return aqtype.Resources{MilliCPU: aqtype.MilliCPU(cpu), Memory: aqtype.MebiBytes(memory)}
	}
	run := func(cpu, memory int64, h Holding) Run {
		return Run{Reserved: size(cpu, memory), Loss: Loss(size(cpu, memory), h)}
	}
	serving := run(3200, 6400, Serving{})
	small := run(1000, 2000, Serving{})
	alone := run(3200, 6400, Serving{Alone: true})
	filler := Run{Reserved: size(0, 3200), Loss: Loss(size(1800, 0), Resuming{})}
	fresh := Run{Reserved: size(0, 3200), Loss: Loss(size(1800, 0), Repeating{})}
	aged := Run{Reserved: size(0, 3200), Loss: Loss(size(1800, 0), Repeating{Done: 3 * time.Second})}
	var out strings.Builder
	for _, test := range []struct {
		name    string
		missing aqtype.Resources
		runs    []Run
	}{
		{name: "nothing runs", missing: size(100, 0)},
		{name: "fillers free no processors", missing: size(100, 0), runs: []Run{filler, filler}},
		{name: "a filler before a serving task", missing: size(-1000, 3000), runs: []Run{serving, filler}},
		{name: "one that resumes before one that repeats", missing: size(0, 3000), runs: []Run{aged, filler}},
		{name: "one that has just begun is as good", missing: size(0, 3000), runs: []Run{aged, fresh}},
		{name: "the smaller serving task", missing: size(800, 0), runs: []Run{serving, small}},
		{name: "one alone of its image", missing: size(3000, 0), runs: []Run{serving, alone}},
		{name: "no superfluous ones", missing: size(2500, 0), runs: []Run{small, small, serving}},
		{name: "two serving tasks", missing: size(4000, 0), runs: []Run{serving, small, serving}},
		{name: "processors and memory", missing: size(2000, 9000), runs: []Run{filler, serving, filler}},
		{name: "not enough", missing: size(9000, 0), runs: []Run{serving, serving}},
	} {
		chosen, loss, ok := Choose(test.missing, test.runs)
		fmt.Fprintf(&out, "%s: %v %v %.1f\n", test.name, ok, chosen, loss)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "choices", []byte(out.String()))
}

func TestStopsThatDoNotPay(t *testing.T) {
	const grace = 200 * time.Millisecond
	for _, test := range []struct {
		name  string
		waits Waits
		want  bool
	}{
		{name: "room may come by itself", waits: Waits{Since: grace / 2}},
		{name: "on time", waits: Waits{Since: grace}, want: true},
		{name: "late and of use", waits: Waits{Since: time.Minute, Standing: Late}, want: true},
		{name: "of no use", waits: Waits{Since: time.Minute, Standing: Hopeless}},
	} {
		if got := Pays(test.waits, grace); got != test.want {
			t.Errorf("%s: pays is %v", test.name, got)
		}
	}
	if !MayStop(time.Time{}, now) || MayStop(ago(restTime-1), now) || !MayStop(ago(restTime), now) {
		t.Error("a task may be stopped again too soon, or never")
	}
}

// Rough estimates count less the rougher they are, good ones stay, and other queues do not matter.
func TestDurations(t *testing.T) {
	const work = time.Second
	learn := func(off func(n int) (estimate, took time.Duration)) time.Duration {
		var d Durations
		for n := range 100 {
			estimate, took := off(n)
			d.Observe("batch", estimate, took)
		}
		d.Observe("batch", 0, work)
		if got := d.Expect("other", work); got != work {
			t.Errorf("a queue without observations expects %s", got)
		}
		return d.Expect("batch", 4*work).Round(10 * time.Millisecond)
	}
	for _, test := range []struct {
		name string
		off  func(n int) (estimate, took time.Duration)
		want time.Duration
	}{
		{name: "good", off: func(n int) (time.Duration, time.Duration) {
			return time.Duration(1+n%8) * work, time.Duration(1+n%8) * work
		}, want: 4 * work},
		{name: "half", off: func(n int) (time.Duration, time.Duration) {
			return time.Duration(1+n%8) * work, time.Duration(2+2*(n%8)) * work
		}, want: 8 * work},
		{name: "of no use", off: func(n int) (time.Duration, time.Duration) { return time.Duration(1+n%8) * work, 2 * work }, want: 2 * work},
		{name: "all alike", off: func(int) (time.Duration, time.Duration) { return work, 2 * work }, want: 2 * work},
	} {
		if got := learn(test.off); got != test.want {
			t.Errorf("%s: expected %s, want %s", test.name, got, test.want)
		}
	}
}
