package aqsite

import (
	"context"
	"testing"
	"time"
)

func TestSlowLeaderYieldsOnlyToAnotherThatCanLead(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*leader)
		want   bool
	}{
		{name: "another strong process", want: true, change: func(l *leader) { addMember(l, "n2", true) }},
		{name: "no other process", change: func(l *leader) { addMember(l, l.node.settings.Name, true) }},
		{name: "the other is down", change: func(l *leader) { addMember(l, "n2", false) }},
		{name: "the other is weak", change: func(l *leader) {
			addMember(l, "n2", true).record.Processors = strongProcessors / 2
		}},
		{name: "the term has just begun", change: func(l *leader) {
			addMember(l, "n2", true)
			l.beganAt = l.node.clock.Elapsed()
		}},
		{name: "the leader changes all the time", change: func(l *leader) {
			addMember(l, "n2", true)
			for range maxLeadChanges + 1 {
				l.node.countLeadChange()
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, clock := testNode(t, store)
			l := lead(t, n, store)
			clock.Advance(minTermToYield)
			test.change(l)
			if got := l.mayYield(); got != test.want {
				t.Errorf("may yield: %v, want %v", got, test.want)
			}
		})
	}
}

func TestYieldedLeadershipIsReleasedAndClaimedLater(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	before := n.claimDelay()
	l.lose(errSlow)
	n.runTerm(context.Background(), l, 1)
	if store.revoked != 1 {
		t.Errorf("the lease of the lead key was ended %d times, want once", store.revoked)
	}
	if got := n.claimDelay(); got != before+restDelay {
		t.Errorf("claims after %s, want %s more than before", got, restDelay)
	}
	clock.Advance(restTime)
	if got := n.claimDelay(); got != before {
		t.Errorf("claims after %s once it has rested, want %s", got, before)
	}
}

func TestLeaderChangesCountForAWhile(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	for term := range maxLeadChanges + 1 {
		n.countLeadChange()
		if got, want := n.leadIsSettled(), term < maxLeadChanges; got != want {
			t.Errorf("settled after %d changes: %v", term+1, got)
		}
	}
	clock.Advance(settledTime + time.Second)
	if !n.leadIsSettled() {
		t.Error("changes count for ever")
	}
}
