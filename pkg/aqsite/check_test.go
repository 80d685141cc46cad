package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqstore"
)

// A leader whose watch does not tell of its own beat has the list of workers
// read.
func TestDeafWatchIsNoticed(t *testing.T) {
	for _, test := range []struct {
		name  string
		heard bool
		after time.Duration
		want  bool
	}{
		{name: "told", heard: true, after: time.Minute, want: false},
		{name: "not told yet", heard: false, after: probeTimeout, want: false},
		{name: "not told", heard: false, after: probeTimeout + time.Millisecond, want: true},
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
				t.Fatal("no beat was written")
			}
			if test.heard {
				l.applyEvents([]aqstore.Event{{Item: item}})
			}
			clock.Advance(test.after)
			n.check(context.Background())
			if got := len(l.resync) > 0; got != test.want {
				t.Errorf("the list is to be read: %v, want %v", got, test.want)
			}
		})
	}
}

// A process that hears of its leader's check makes none of its own for a while,
// unless the leader knows a newer configuration.
func TestLeadersCheckSparesOthers(t *testing.T) {
	for _, test := range []struct {
		name string
		word checkReport
		want time.Duration
	}{
		{name: "fresh", word: checkReport{Config: 3, Age: 100 * time.Millisecond}, want: checkPeriod - 100*time.Millisecond},
		{name: "old", word: checkReport{Config: 3, Age: time.Minute}, want: 0},
		{name: "older configuration", word: checkReport{Config: 2}, want: 0},
		{name: "newer configuration", word: checkReport{Config: 4}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, clock := testNode(t, newFakeStore())
			n.configRevision.set(3)
			n.checkedAt.set(clock.Now().Add(-time.Hour))
			n.applyCheckReport(test.word)
			if got := max(0, n.checkedAt.get().Add(checkPeriod).Sub(clock.Now())); got != test.want {
				t.Errorf("next check in %s, want %s", got, test.want)
			}
			if got := len(n.checkNow) > 0; got != (test.word.Config > 3) {
				t.Errorf("check at once: %v", got)
			}
		})
	}
}
