package aqspeculation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const ms = time.Millisecond

// usualTasks returns the durations of a thousand tasks of which one in a hundred takes seven times as long.
func usualTasks() *Distribution {
	d := &Distribution{}
	for i := range 1000 {
		took := time.Duration(400+i%5*50) * ms
		if i%100 == 99 {
			took *= 7
		}
		d.Add(took, 500*ms)
	}
	return d
}

// Whether a copy pays, for runs of tasks that usually take half a second.
func TestDecisions(t *testing.T) {
	var out strings.Builder
	need := Need{
		Takes:   600 * ms,
		Until:   time.Second,
		Lost:    4 * time.Second,
		Room:    true,
		Running: 100,
	}
	slow := Progress{
		Elapsed:        time.Second,
		Percent:        20,
		Gained:         20,
		MeasuredFor:    time.Second,
		WorkerSlowdown: 1,
	}
	for _, test := range []struct {
		name   string
		change func(*Progress, *Need, *Outcomes)
	}{
		{name: "slow task", change: func(*Progress, *Need, *Outcomes) {}},
		{name: "slow worker", change: func(p *Progress, _ *Need, _ *Outcomes) { p.WorkerSlowdown = 3 }},
		{name: "stands still", change: func(p *Progress, _ *Need, _ *Outcomes) { p.Hung = true }},
		{name: "nearly done", change: func(p *Progress, _ *Need, _ *Outcomes) { p.Percent, p.Gained = 90, 90 }},
		{name: "resumed", change: func(p *Progress, _ *Need, _ *Outcomes) { p.Percent, p.Gained = 90, 10 }},
		{name: "not measured, usual age", change: func(p *Progress, _ *Need, _ *Outcomes) { p.MeasuredFor, p.Elapsed = 0, 450*ms }},
		{name: "not measured, old", change: func(p *Progress, _ *Need, _ *Outcomes) { p.MeasuredFor = 0 }},
		{name: "job in time", change: func(_ *Progress, n *Need, _ *Outcomes) { n.Until = 10 * time.Second }},
		{name: "late either way", change: func(p *Progress, n *Need, _ *Outcomes) { n.Until, n.Lost, p.Percent, p.Gained = 0, 0, 40, 40 }},
		{name: "no room", change: func(_ *Progress, n *Need, _ *Outcomes) { n.Room = false }},
		{name: "many copies", change: func(_ *Progress, n *Need, _ *Outcomes) { n.Copies = 10 }},
		{name: "first copy of a small queue", change: func(_ *Progress, n *Need, _ *Outcomes) { n.Running = 1 }},
		{
			name: "copies have lost",
			change: func(_ *Progress, _ *Need, o *Outcomes) {
				for range 20 {
					o.Add(SlowTask{}, false)
				}
			},
		},
		{
			name: "copies on other workers have lost",
			change: func(_ *Progress, _ *Need, o *Outcomes) {
				for range 20 {
					o.Add(SlowWorker{}, false)
				}
			},
		},
	} {
		p, n, o := slow, need, &Outcomes{}
		test.change(&p, &n, o)
		left := p.Left(usualTasks(), 500*ms)
		fmt.Fprintf(&out, "%s: %s, %s left, lags %v: %s\n", test.name, p.Cause(), left.Round(10*ms),
			p.Lags(p.Cause(), 500*ms, true), Decide(left, p.Cause(), n, o))
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "decisions", []byte(out.String()))
}

// Where copies never win, one in probeInterval is still started.
func TestCopiesThatLoseAreProbed(t *testing.T) {
	o := &Outcomes{}
	for range 40 {
		o.Add(SlowTask{}, false)
	}
	need := Need{
		Takes:   600 * ms,
		Until:   time.Second,
		Room:    true,
		Running: 100,
	}
	started := 0
	for range 10 * probeInterval {
		if Decide(3*time.Second, SlowTask{}, need, o) == Pays {
			started++
			o.Started(SlowTask{})
		}
	}
	if started != 10 {
		t.Fatalf("%d of %d copies were started", started, 10*probeInterval)
	}
	for range probeInterval - 1 {
		Decide(3*time.Second, SlowTask{}, need, o)
	}
	for range 2 {
		if verdict := Decide(3*time.Second, SlowTask{}, need, o); verdict != Pays {
			t.Fatalf("%s while the copy that is due has not been started", verdict)
		}
	}
	need.Declined = true
	for range probeInterval {
		if verdict := Decide(3*time.Second, SlowTask{}, need, o); verdict != Unhelpful {
			t.Fatalf("%s for a run that has been declined before", verdict)
		}
	}
}

// For how long the progress of tasks may not rise.
func TestStillLimits(t *testing.T) {
	var out strings.Builder
	few := &Distribution{}
	few.Add(time.Second, time.Second)
	for _, test := range []struct {
		name     string
		d        *Distribution
		expected time.Duration
		lost     time.Duration
		whole    time.Duration
	}{
		{name: "little is known", d: few, expected: 10 * time.Second},
		{name: "short", d: usualTasks(), expected: 500 * ms},
		{name: "long", d: usualTasks(), expected: 10 * time.Second},
		{name: "long, most of it would be lost", d: usualTasks(), expected: 10 * time.Second, lost: 4900 * ms},
		{name: "long, advanced before", d: usualTasks(), expected: 10 * time.Second, whole: 10 * time.Second},
		{name: "long, advanced, most of it would be lost", d: usualTasks(), expected: 10 * time.Second, lost: 4 * time.Second, whole: 10 * time.Second},
	} {
		still := Still{
			Estimate: test.expected,
			Whole:    test.whole,
			Lost:     test.lost,
			Longest:  max(2*time.Second, test.expected/2),
		}
		fmt.Fprintf(&out, "%s: %s of %s\n", test.name, still.Limit(test.d).Round(10*ms), still.Longest)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "still", []byte(out.String()))
}
