package aqsite

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// newUnassignedRig returns a leader whose worker w1 has been ordered to start a run and then lost its only agent.
// The agent is up again, as it is before the pool is rebalanced.
func newUnassignedRig(t *testing.T) (*leader, *member, aqdecider.Start) {
	t.Helper()
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	m := addMember(l, "a1", true)
	entry := aqdecider.Worker{
		ID:          "w1",
		Service:     "s",
		Labels:      []string{"a", "r1-1"},
		Capacity:    aqtype.Resources{MilliCPU: 1000, Memory: 1000},
		Incarnation: 1,
	}
	l.node.catalog.WorkerIDOf = func(string) string { return "w1" }
	l.node.catalog.DecodeWorker = func(aqstore.Item) (aqdecider.Worker, error) { return entry, nil }
	applyEntry(l, 2)
	l.decide(func(d *aqdecider.Decider) {
		d.MarkPersisted([]aqtype.WorkerID{"w1"})
		d.AddJob(&aqjob.Job{
			ID:     "0000000000000001",
			Queue:  aqjob.Queue{ID: "q", Service: "s", MaxAttempts: 2, Stretch: 2},
			Groups: []aqjob.Group{{Count: 1, Size: aqtype.Resources{MilliCPU: 1000, Memory: 10}, Estimate: time.Second}},
		}, nil, 0, false)
		l.agents.reportsReleased = true
	})
	applyEvent(l, m, aqagent.EventWire{Report: wholeReport()})
	orders := dispatchTick(l)
	if len(orders) != 1 {
		t.Fatalf("%d orders, want a start", len(orders))
	}
	l.agents.agentFailed(m, errTest)
	if a := l.agents.assignments["w1"]; a.member != nil {
		t.Fatal("w1 has an agent")
	}
	// The order that is repeated for the loss has no agent to go to.
	dispatchTick(l)
	m.up = true
	m.pending = aqagent.OrdersCall{}
	return l, m, orders[0].(aqdecider.Start)
}

// applyEntry applies the entry of w1 in service discovery.
func applyEntry(l *leader, revision aqstore.Revision) {
	l.applyWorkerEvent(aqstore.Event{Item: aqstore.Item{Key: "workers/w1", ModRevision: revision}})
}

// dispatchTick dispatches the orders of one round of the decider and returns them.
func dispatchTick(l *leader) (orders []aqdecider.Order) {
	l.decide(func(d *aqdecider.Decider) { orders = d.Tick() })
	l.agents.dispatch(orders, startLimit{})
	return orders
}

// A worker that gets an agent again gets the orders of the time without one at once, not after their time-outs.
func TestOrdersOfTheTimeWithoutAnAgentAreRepeated(t *testing.T) {
	for _, test := range []struct {
		name   string
		assign func(*leader)
	}{
		{
			name:   "full read of service discovery",
			assign: func(l *leader) { l.applyWorkerSnapshot(nil, 1) },
		},
		{
			name:   "entry in service discovery",
			assign: func(l *leader) { applyEntry(l, 3) },
		},
	} {
		for _, stopped := range []bool{false, true} {
			name := test.name + ", start"
			if stopped {
				name = test.name + ", stop"
			}
			t.Run(name, func(t *testing.T) {
				l, m, start := newUnassignedRig(t)
				want := aqdecider.Order(start)
				if stopped {
					l.decide(func(d *aqdecider.Decider) { d.Cancel(start.Run.Task.Job) })
					dispatchTick(l)
					want = aqdecider.Stop{Worker: "w1", Run: start.Run}
				}
				test.assign(l)
				if a := l.agents.assignments["w1"]; a.member != m {
					t.Fatal("w1 has no agent")
				}
				dispatchTick(l)
				serial := l.agents.assignments["w1"].serial
				sent := m.pending.Orders
				if len(sent) != 1 || sent[0].Serial != serial || sent[0].Unwrap() != want {
					t.Fatalf("the agent gets the orders %+v, want %+v in assignment %d", sent, want, serial)
				}
			})
		}
	}
}

// The leader repeats orders only for a known worker that gets an agent, not for one that is new or that still has none.
func TestOnlyAKnownWorkerIsReassignedByItsEntry(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	m := addMember(l, "a1", false)
	for _, test := range []struct {
		name string
		up   bool
		id   aqtype.WorkerID
		want bool
	}{
		{name: "new, no agent", id: "w1"},
		{name: "known, no agent", id: "w1"},
		{name: "known, an agent", up: true, id: "w1", want: true},
		{name: "known, the same agent", up: true, id: "w1"},
		{name: "new, an agent", up: true, id: "w2"},
	} {
		m.up = test.up
		if got, _ := l.agents.addWorker(aqdecider.Worker{ID: test.id, Incarnation: 1}); got != test.want {
			t.Errorf("%s: reassigned %v, want %v", test.name, got, test.want)
		}
	}
}
