package aqsite

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqdecider"
)

// The only agent that reaches a worker renews its lease again once the leader has received both the
// silence and the report after it.
func TestAgentIsToldThatTheLeaderKnowsOfASilence(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	m := addMember(l, "a1", true)
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	serial := l.agents.assignments["w1"].serial
	report := aqagent.EventWire{
		Worker: "w1",
		Serial: serial,
		Report: &aqagent.ReportReceived{Difference: aqreport.Difference{Incarnation: 1, Sent: 1, Complete: true, Whole: true}},
	}
	silence := aqagent.EventWire{
		Worker:       "w1",
		Serial:       serial,
		Unresponsive: &aqagent.Unresponsive{ExpiresIn: time.Second},
	}
	var number uint64
	for i, test := range []struct {
		events   []aqagent.EventWire
		renew    bool
		silences int
	}{
		{events: []aqagent.EventWire{report}, renew: true},
		{events: []aqagent.EventWire{silence}, silences: 1},
		{events: []aqagent.EventWire{report}, renew: true, silences: 1},
		{events: []aqagent.EventWire{silence, report}, renew: true, silences: 2},
	} {
		l.agents.applyEvents(m, test.events)
		params := l.agents.changedParams(m)
		if len(params) != 1 || params[0].Renew != test.renew || params[0].Silences != test.silences || params[0].Number <= number {
			t.Fatalf("step %d: parameters %+v after %d, want renew %v, silences %d", i, params, number, test.renew, test.silences)
		}
		number = params[0].Number
	}
}
