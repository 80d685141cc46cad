package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqstore"
)

// A leader whose watch does not deliver its own probe reads the list of workers in
// full.
func TestDeafWatchIsNoticed(t *testing.T) {
	for _, test := range []struct {
		name      string
		delivered bool
		after     time.Duration
		want      bool
	}{
		{name: "delivered", delivered: true, after: time.Minute, want: false},
		{name: "not delivered yet", delivered: false, after: probeTimeout, want: false},
		{name: "not delivered", delivered: false, after: probeTimeout + time.Millisecond, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, clock := testNode(t, store)
			l := lead(t, n, store)
			n.current = l
			l.recovered = true
			n.leadRevision.set(l.leadKeyRevision)
			n.check(context.Background())
			item := store.items[probeKey]
			if item.ModRevision == 0 {
				t.Fatal("no watch probe was written")
			}
			if test.delivered {
				l.applyEvents([]aqstore.Event{{Item: item}})
			}
			clock.Advance(test.after)
			n.check(context.Background())
			if got := len(l.resync) > 0; got != test.want {
				t.Errorf("full read of the list triggered: %v, want %v", got, test.want)
			}
		})
	}
}

// A process that receives a leader's check report delays its own next check, unless
// the two know different configurations; a newer one at the leader triggers a check
// at once.
func TestLeadersCheckSparesOthers(t *testing.T) {
	for _, test := range []struct {
		name   string
		report aqagent.CheckReport
		want   time.Duration
	}{
		{name: "fresh", report: aqagent.CheckReport{Config: 3, Age: 100 * time.Millisecond}, want: checkPeriod - 100*time.Millisecond},
		{name: "old", report: aqagent.CheckReport{Config: 3, Age: time.Minute}, want: 0},
		{name: "older configuration", report: aqagent.CheckReport{Config: 2}, want: 0},
		{name: "newer configuration", report: aqagent.CheckReport{Config: 4}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, clock := testNode(t, newFakeStore())
			n.configRevision.set(3)
			n.checkedAt.set(clock.Now().Add(-time.Hour))
			n.applyCheckReport(test.report)
			if got := max(0, n.checkedAt.get().Add(checkPeriod).Sub(clock.Now())); got != test.want {
				t.Errorf("next check in %s, want %s", got, test.want)
			}
			if got := len(n.checkNow) > 0; got != (test.report.Config > 3) {
				t.Errorf("check at once triggered: %v", got)
			}
		})
	}
}
