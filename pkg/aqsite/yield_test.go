package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqround"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
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
			for term := range int64(maxLeadChanges + 2) {
				l.node.noteTerm(term)
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

func TestTermsOfEveryLeaderCountForAWhile(t *testing.T) {
	for _, test := range []struct {
		name string
		note func(n *Node, term int64)
	}{
		{name: "this process", note: func(n *Node, term int64) { n.newLeader(1, aqagent.LeadRecord{Term: term}, 0) }},
		{name: "by a poll", note: func(n *Node, term int64) {
			n.learnLeader(aqagent.LeadRecord{Node: "n2", Term: term}, aqworker.Fence(term))
		}},
		{name: "by the lead key", note: func(n *Node, term int64) {
			value, err := aqjob.Encode(aqagent.LeadRecord{Node: "n2", Term: term})
			if err != nil {
				t.Fatal(err)
			}
			n.observeLead(aqstore.Item{Key: leadKey, Value: value, ModRevision: aqstore.Revision(term)})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, clock := testNode(t, newFakeStore())
			n.noteTerm(6)
			for change := range maxLeadChanges + 1 {
				clock.Advance(time.Second)
				test.note(n, int64(7+change))
				if got, want := n.leadIsSettled(), change < maxLeadChanges; got != want {
					t.Errorf("settled after %d changes: %v", change+1, got)
				}
			}
			clock.Advance(settledTime + time.Second)
			if !n.leadIsSettled() {
				t.Error("changes count for ever")
			}
		})
	}
}

// slowClock advances with every reading, so that each round takes long.
type slowClock struct{ aqclock.Instant }

func (c slowClock) Now() time.Time {
	c.Advance(2 * aqround.SlowRound)
	return c.Instant.Now()
}

func TestSlowRoundsEndTheTerm(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	addMember(l, "n2", true)
	clock.Advance(minTermToYield)
	n.clock = slowClock{Instant: clock}
	l.tickLoop(context.Background())
	if !errors.Is(l.lost, errSlow) {
		t.Fatalf("the term ended with %v", l.lost)
	}
}
