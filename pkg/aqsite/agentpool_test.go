package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// When a worker's lease expires, the worker gets a new assignment number. Otherwise
// an order still queued at its agent would be executed when the worker answers
// again.
func TestLapseTakesQueuedOrdersBack(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	m := addMember(l, "a1", true)
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	before := l.agents.assignments["w1"].serial
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	l.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: run}}, startLimit{})
	m.pending = aqagent.OrdersCall{}
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
		l.agents.workerUnresponsive(d, "w1", before, aqagent.Unresponsive{ExpiresIn: time.Second})
	})
	clock.Advance(2 * time.Second)
	l.decide(l.agents.expireLeases)
	if after := l.agents.assignments["w1"].serial; after <= before {
		t.Fatalf("lease expired, but the assignment number is still %d", after)
	}
	if len(m.pending.Drop) != 1 || len(m.pending.Assign) != 1 {
		t.Fatalf("the agent gets %+v, want one drop and one assignment", m.pending)
	}
	if l.agents.isCurrent(m, aqagent.EventWire{Worker: "w1", Serial: before}) {
		t.Fatal("events of the previous assignment are applied")
	}
}

// Guards against review/5: a crashed worker was given to an agent that was gone for good each time
// that agent was tried again, and each loss of the agent moved the end of the worker's lease.
func TestLeaseOfACrashedWorkerEndsThoughItsAgentIsTriedAgain(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	gone := addMember(l, "gone", true)
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
		d.MarkPersisted([]aqtype.WorkerID{"w1"})
		l.agents.reportsReleased = true
		l.agents.reportReceived(d, "w1", l.agents.assignments["w1"].serial, aqagent.ReportReceived{
			Difference: aqreport.Difference{Incarnation: 1, Sent: 1, Complete: true, Whole: true},
		})
	})
	lost := n.clock.Now()
	longest := l.agents.longestLease()
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); ; passed += step {
		if passed%memberRetry == 0 {
			l.agents.agentFailed(gone, errTest)
			l.agents.markUp(gone)
		}
		ended := false
		before := l.agents.assignments["w1"].leaseExpiresAt
		l.decide(l.agents.expireLeases)
		ended = l.agents.assignments["w1"].leaseExpiresAt.IsZero()
		if ended && passed <= longest {
			t.Fatalf("the lease counts as ended after %s, want %s", passed, longest)
		}
		if ended {
			return
		}
		if passed > longest+step {
			t.Fatalf("%s after the loss of the agent the lease still ends at %s", passed, before.Sub(lost))
		}
		clock.Advance(step)
	}
}

var errTest = errors.New("no answer")

// addMember adds a member to a leader's pool without running the member's loops.
func addMember(l *leader, name string, up bool) *member {
	m := l.agents.newMember(context.Background(), nodeRecord{Name: name, Processors: 1}, nil)
	m.up, m.persisted = up, true
	l.agents.add(m)
	return m
}

// A full read of the registered processes removes those whose removal the watch has
// not delivered, unless their agents still answer.
func TestMissedRemovalOfAMember(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	addMember(l, "gone", false)
	addMember(l, "refused by the store", true)
	l.applyMemberSnapshot(context.Background(), nil)
	if names := l.agents.names(); len(names) != 1 || names[0] != "refused by the store" {
		t.Errorf("members %v, want only the one that is up", names)
	}
}

// Guards against LOST (review/8): a process that was shut down removed its registration while its agent still answered, and
// stayed a member and a voter for good. Once half of the voters were gone no new leader had a majority.
func TestMemberThatWasShutDownLeaves(t *testing.T) {
	for _, test := range []struct {
		name string
		// meanwhile happens shortly before the agent fails for the last time.
		meanwhile func(l *leader, m *member)
		// after is how long the agent fails.
		after  time.Duration
		leaves bool
	}{
		{name: "shut down", after: goneTimeout, leaves: true},
		{name: "failed for a moment", after: goneTimeout - time.Millisecond},
		{name: "answers again", after: goneTimeout, meanwhile: func(l *leader, m *member) { l.agents.noteAnswer(m, 1) }},
		{name: "registered again", after: goneTimeout, meanwhile: func(l *leader, m *member) {
			l.agents.join(context.Background(), m.record, m.link)
		}},
	} {
		store := newFakeStore()
		n, clock := testNode(t, store)
		l := lead(t, n, store)
		m := addMember(l, "a1", true)
		addMember(l, "a2", true)
		l.memberUnregistered("a1")
		if len(l.agents.names()) != 2 {
			t.Fatalf("%s: a member that answers is removed", test.name)
		}
		clock.Advance(test.after)
		if test.meanwhile != nil {
			test.meanwhile(l, m)
		}
		l.agents.agentFailed(m, errTest)
		if left := len(l.agents.names()) == 1; left != test.leaves {
			t.Errorf("%s: left %v, want %v", test.name, left, test.leaves)
		}
		clock.Advance(proofLimit)
		if err := l.storeFleet(context.Background()); err != nil {
			t.Fatal(err)
		}
		if voters := l.support.Stored(); test.leaves && len(voters) != 1 {
			t.Errorf("%s: voters %v, want one", test.name, voters)
		}
	}
}

// A leader that was paused between a decision and its order sends nothing until it has
// proved its leadership again.
func TestPausedLeaderSendsNoOrders(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	m := addMember(l, "a1", true)
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	l.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: run}}, startLimit{})
	clock.Suspend(proofLimit)
	if call, ok := l.agents.takeOrders(m); ok {
		t.Fatalf("orders after a pause: %+v", call)
	}
	if _, err := l.prove(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	if call, ok := l.agents.takeOrders(m); !ok || len(call.Orders) != 1 {
		t.Fatalf("orders after a proof: %+v, %v", call, ok)
	}
}

// The leader's polls cost about the same share of its processor on every site, up to the
// longest delay that events may have.
func TestGatherTime(t *testing.T) {
	for _, test := range []struct {
		agents     int
		processors float64
		want       time.Duration
	}{
		{agents: 3, processors: 0.4, want: aqagent.MinGatherTime},
		{agents: 8, processors: 0.16, want: 40 * time.Millisecond},
		{agents: 18, processors: 0.8, want: 54 * time.Millisecond},
		{agents: 18, processors: 0.07, want: maxGatherTime},
		{agents: 300, processors: 4, want: maxGatherTime},
		{agents: 18, processors: 0, want: maxGatherTime},
	} {
		if got := gatherTime(test.agents, test.processors); got != test.want {
			t.Errorf("%d agents, %v cores: %s, want %s", test.agents, test.processors, got, test.want)
		}
	}
}

// fakeLink records the workers that calls of orders drop, or fails them.
type fakeLink struct {
	fail    bool
	dropped []aqtype.WorkerID
}

func (f *fakeLink) Orders(_ context.Context, call aqagent.OrdersCall) error {
	if f.fail {
		return errTest
	}
	for _, drop := range call.Drop {
		f.dropped = append(f.dropped, drop.Worker)
	}
	return nil
}

func (f *fakeLink) Poll(context.Context, aqagent.PollCall) (aqagent.PollAnswer, error) {
	return aqagent.PollAnswer{}, nil
}

// An agent that has been lost and answers again ends its sessions of the workers that others
// manage by then. Otherwise it would renew their leases for the rest of the term, and the leader
// would take a lease as expired that was renewed.
func TestLostAgentDropsItsWorkersWhenItAnswersAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(*leader, *member, *fakeLink)
	}{
		{
			name: "poll fails",
			lose: func(l *leader, m *member, _ *fakeLink) { l.agents.agentFailed(m, errTest) },
		},
		{
			name: "orders fail with the drop",
			lose: func(l *leader, m *member, link *fakeLink) {
				l.agents.mu.Lock()
				l.agents.assign(l.agents.assignments["w1"], l.agents.members["a2"])
				l.agents.mu.Unlock()
				link.fail = true
				l.agents.sendOrders(m)
				link.fail = false
			},
		},
		{
			name: "unregistered and registered again",
			lose: func(l *leader, m *member, _ *fakeLink) {
				l.agents.agentFailed(m, errTest)
				l.agents.leave(m.record.Name)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, _ := testNode(t, store)
			l := lead(t, n, store)
			link := &fakeLink{}
			m := addMember(l, "a1", true)
			m.link = link
			l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
			addMember(l, "a2", true).link = &fakeLink{}
			l.agents.sendOrders(m)
			test.lose(l, m, link)
			if assigned := l.agents.assignments["w1"].member.record.Name; assigned != "a2" {
				t.Fatalf("w1 is assigned to %s", assigned)
			}
			again := l.agents.members["a1"]
			if again == nil {
				again = l.agents.newMember(context.Background(), m.record, link)
				l.agents.add(again)
			}
			l.agents.markUp(again)
			l.agents.sendOrders(again)
			if len(link.dropped) != 1 || link.dropped[0] != "w1" {
				t.Fatalf("a1 drops %v, want w1", link.dropped)
			}
			l.agents.sendOrders(again)
			if len(link.dropped) != 1 {
				t.Fatalf("a1 drops %v after the first call was answered", link.dropped)
			}
		})
	}
}

// Guards against the TWICE of issue 35: after a restart of all processes the next leader reaches
// their agents by the stored records of the earlier incarnations. When a process registered, its
// workers were given to others, and it was not told: it renewed their leases for the rest of the
// term, and the leader took leases as expired that were renewed.
func TestProcessThatRegistersAgainDropsItsWorkers(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave bool
	}{
		{name: "replaced"},
		{name: "unregistered before", leave: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, _ := testNode(t, store)
			l := lead(t, n, store)
			link := &fakeLink{}
			m := addMember(l, "a1", true)
			m.link = link
			l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
			addMember(l, "a2", true).link = &fakeLink{}
			l.agents.sendOrders(m)
			if test.leave {
				l.agents.leave("a1")
			}
			registered := m.record
			registered.Incarnation++
			// The loops of the member end at once.
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			l.agents.join(ctx, registered, link)
			if assigned := l.agents.assignments["w1"].member.record.Name; assigned != "a2" {
				t.Fatalf("w1 is assigned to %s", assigned)
			}
			l.agents.sendOrders(l.agents.members["a1"])
			if len(link.dropped) != 1 || link.dropped[0] != "w1" {
				t.Fatalf("a1 drops %v, want w1", link.dropped)
			}
		})
	}
}

// A worker that comes back to an agent is not dropped there.
func TestWorkerThatComesBackIsNotDropped(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	link := &fakeLink{}
	m := addMember(l, "a1", true)
	m.link = link
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	l.agents.sendOrders(m)
	l.agents.agentFailed(m, errTest)
	l.agents.markUp(m)
	if l.agents.assignments["w1"].member != m {
		t.Fatal("w1 is not assigned to a1 again")
	}
	l.agents.sendOrders(m)
	if len(link.dropped) != 0 {
		t.Fatalf("a1 drops %v", link.dropped)
	}
}
