package aqevacuation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

var testTimes = Times{
	Bound: 5 * time.Second,
	Call:  700 * time.Millisecond,
	Tell:  650 * time.Millisecond,
}

const testLimit = 4300 * time.Millisecond

// What a leader and an agent of it know, step by step.
func TestKnowledge(t *testing.T) {
	var out strings.Builder
	now := 100 * time.Second
	leader := New(testTimes)
	zones := []aqtype.Zone{"a", "b"}
	show := func(step string) {
		agent := FromReport(leader.Report(now), now-200*time.Millisecond)
		fmt.Fprintf(&out, "%s\n", step)
		for _, zone := range []aqtype.Zone{"a", "b", "c"} {
			fmt.Fprintf(&out, "  %s: leader %s, agent %s\n", zone, leader.Conditions(now)[zone], agent.Condition(zone, now))
		}
	}
	show("nothing is read")
	leader.Read(map[aqtype.Zone]aqstore.Revision{"b": 7}, zones, now)
	show("b is evacuated")
	now += testLimit - 300*time.Millisecond
	show("old")
	now += 100 * time.Millisecond
	show("too old for the agent")
	now += 200 * time.Millisecond
	show("too old")
	states := leader.Watched([]aqtype.Zone{"a", "c"})
	leader.Verify(states, now)
	show("a check has passed, with a worker in c")
	leader.Read(nil, zones, now+time.Millisecond)
	leader.Verify(states, now+2*time.Millisecond)
	now += 2 * time.Millisecond
	show("b is taken back while a check is on its way")
	now += testTimes.Tell
	show("the agents know")
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "knowledge", []byte(out.String()))
}

// Where nobody evacuates zones everything is open, and nothing is sent.
func TestUnused(t *testing.T) {
	k := New(Times{Call: time.Second})
	if k.Used() || !k.MayStart("a", time.Hour) || k.Conditions(time.Hour) != nil || k.Report(time.Hour) != nil {
		t.Errorf("%+v", k)
	}
	if k := FromReport(nil, 0); k.Used() || !k.MayStart("a", time.Hour) {
		t.Errorf("%+v", k)
	}
}

// A bound that is shorter than a call leaves time to both.
func TestShortBound(t *testing.T) {
	k := New(Times{
		Bound: time.Second,
		Call:  700 * time.Millisecond,
	})
	k.Read(nil, []aqtype.Zone{"a"}, 0)
	if !k.MayStart("a", 499*time.Millisecond) || k.MayStart("a", 500*time.Millisecond) {
		t.Error("want half of the bound")
	}
}

func TestJudge(t *testing.T) {
	var out strings.Builder
	perpetual := Perpetual{
		Disruptable: true,
		Places:      1,
		Members:     1,
	}
	for _, test := range []struct {
		run    Run
		closed bool
		moving int
	}{
		{run: perpetual},
		{run: perpetual, moving: MaxMoves - 1},
		{run: perpetual, moving: MaxMoves},
		{run: perpetual, closed: true},
		{run: Perpetual{Places: 1, Members: 1}},
		{run: Perpetual{Disruptable: true, Places: 3, Members: 4}},
		{run: Perpetual{Disruptable: true, Places: MaxMoves + 1, Members: MaxMoves + 1}},
		{run: Finite{}},
		{run: Finite{}, closed: true},
		{run: Filler{Checkpointing: true, Slowed: true, Rested: true}},
		{run: Filler{Checkpointing: true, Slowed: true, Rested: true}, closed: true},
		{run: Filler{Checkpointing: true, Slowed: true}},
		{run: Filler{Checkpointing: true, Rested: true}},
		{run: Filler{Slowed: true, Rested: true}},
	} {
		fmt.Fprintf(&out, "%+v %T open %v, %d moving: %s\n", test.run, test.run, !test.closed, test.moving,
			Judge(test.run, !test.closed, test.moving))
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "verdicts", []byte(out.String()))
}
