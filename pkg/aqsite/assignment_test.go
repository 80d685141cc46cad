package aqsite

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// fakeWorker answers its agent once it is reachable, and records the starts.
type fakeWorker struct {
	mu        sync.Mutex
	reachable bool
	answers   int
	// renewed counts the heartbeats that renewed the lease.
	renewed int
	starts  []aqdecider.RunID
}

func (f *fakeWorker) Heartbeat(
	_ context.Context, _ aqworker.Address, r aqworker.HeartbeatRequest,
) (aqworker.HeartbeatAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reachable {
		return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
	}
	f.answers++
	if r.LeaseEnd > 0 {
		f.renewed++
	}
	return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1, Complete: true}}, nil
}

func (f *fakeWorker) Start(_ context.Context, _ aqworker.Address, r aqworker.StartRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, r.Order.Run)
	return nil
}

func (f *fakeWorker) Stop(context.Context, aqworker.Address, aqworker.StopRequest) error { return nil }

func (f *fakeWorker) Pace(context.Context, aqworker.Address, aqworker.PaceRequest) error { return nil }

// Payload implements aqpayload.Source.
func (f *fakeWorker) Payload(context.Context, aqjob.ID, string) (string, error) {
	return "payload", nil
}

// started returns the runs that the worker has been ordered to start.
func (f *fakeWorker) started() []aqdecider.RunID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]aqdecider.RunID(nil), f.starts...)
}

// heartbeats returns how many heartbeats the worker has answered.
func (f *fakeWorker) heartbeats() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers
}

// renewals returns how many of them have renewed the lease.
func (f *fakeWorker) renewals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewed
}

// assignmentRig is a leader with one agent, which manages one worker.
type assignmentRig struct {
	leader      *leader
	leaderClock aqclock.Instant
	member      *member
	// clock is the agent's.
	clock  *aqclock.Fake
	worker *fakeWorker
	// acked is the number of the agent's last answer to a poll.
	acked uint64
}

// newAssignmentRig returns a rig whose agent has its first assignment of w1.
func newAssignmentRig(t *testing.T, reachable bool) *assignmentRig {
	t.Helper()
	store := newFakeStore()
	n, leaderClock := testNode(t, store)
	l := lead(t, n, store)
	r := &assignmentRig{
		leader:      l,
		leaderClock: leaderClock,
		member:      addMember(l, "a1", true),
		clock:       aqclock.NewFake(),
		worker:      &fakeWorker{reachable: reachable},
	}
	agent := aqagent.New(aqagent.Options{
		Workers:  r.worker,
		Payloads: r.worker,
		Clock:    r.clock,
		Log:      aqlog.Discard(),
		Metrics:  aqmetric.New(),
		Name:     "a1",
	})
	t.Cleanup(agent.Stop)
	r.member.link = agent
	entry := aqdecider.Worker{ID: "w1", Incarnation: 1}
	l.agents.addWorker(entry)
	l.agents.sendOrders(r.member)
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(entry)
		d.MarkPersisted([]aqtype.WorkerID{"w1"})
		l.agents.reportsReleased = true
	})
	return r
}

// poll polls the agent with heartbeat parameters and returns its events.
func (r *assignmentRig) poll(t *testing.T, params []aqagent.HeartbeatParams) []aqagent.EventWire {
	t.Helper()
	// The agent answers a cancelled poll at once.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer, err := r.member.link.Poll(ctx, aqagent.PollCall{
		Agent:       r.member.record.Name,
		Fence:       r.leader.fence,
		AckedAnswer: r.acked,
		Params:      params,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.acked = answer.Number
	runtime.Gosched()
	return answer.Events
}

// pollUntilRenewed polls the agent until it may renew the worker's lease.
func (r *assignmentRig) pollUntilRenewed(t *testing.T) {
	t.Helper()
	for renewed := false; !renewed; {
		renewed = r.leader.agents.assignments["w1"].renew
		r.leader.agents.applyEvents(r.member, r.poll(t, r.leader.agents.changedParams(r.member)))
	}
}

// Guards against TWICE: a start that was on its way to a silent worker when the worker's lease expired was
// delivered in the worker's next assignment to the same agent, once the worker answered.
func TestLostRunIsNotStartedInTheNextAssignment(t *testing.T) {
	r := newAssignmentRig(t, false)
	l, m, worker := r.leader, r.member, r.worker
	task := aqjob.TaskID{Job: "j"}
	lost := aqdecider.RunID{Task: task, Attempt: 1}
	l.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: lost}}, startLimit{})
	l.decide(func(d *aqdecider.Decider) {
		l.agents.workerUnresponsive(d, "w1", l.agents.assignments["w1"].serial, aqagent.Unresponsive{ExpiresIn: time.Second})
	})
	r.leaderClock.Advance(2 * time.Second)
	l.decide(l.agents.expireLeases)
	worker.mu.Lock()
	worker.reachable = true
	worker.mu.Unlock()
	if _, err := l.prove(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	l.agents.sendOrders(m)
	r.pollUntilRenewed(t)
	next := aqdecider.RunID{Task: task, Attempt: 2}
	l.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: next}}, startLimit{})
	l.agents.sendOrders(m)
	for len(worker.started()) == 0 {
		runtime.Gosched()
	}
	// Wakes a start that waits for the worker's clock.
	for range 20 {
		r.clock.Advance(10 * time.Millisecond)
		runtime.Gosched()
	}
	for _, run := range worker.started() {
		if run != next {
			t.Fatalf("the worker is ordered to start %v, which is lost", run)
		}
	}
}

// Guards against TWICE: a delayed poll with the heartbeat parameters of an earlier assignment let the
// agent renew the worker's lease before the leader had a report of the present assignment.
func TestDelayedPollRenewsNoLeaseOfTheNextAssignment(t *testing.T) {
	r := newAssignmentRig(t, true)
	l, m, worker := r.leader, r.member, r.worker
	r.pollUntilRenewed(t)
	a := l.agents.assignments["w1"]
	delayed := []aqagent.HeartbeatParams{a.params}
	l.agents.mu.Lock()
	l.agents.assign(a, m)
	l.agents.mu.Unlock()
	before := worker.heartbeats()
	l.agents.sendOrders(m)
	for len(r.poll(t, delayed)) == 0 {
		runtime.Gosched()
	}
	r.poll(t, delayed)
	for worker.heartbeats() < before+3 {
		r.clock.Advance(10 * time.Millisecond)
		r.poll(t, delayed)
	}
	if renewals := worker.renewals(); renewals > 0 {
		t.Fatalf("%d renewals before the leader knows of a report", renewals)
	}
}

// newEventRig returns a leader with the agents a1, which manages w1, and a2.
func newEventRig(t *testing.T) (l *leader, clock aqclock.Instant, a1, a2 *member) {
	t.Helper()
	store := newFakeStore()
	n, clock := testNode(t, store)
	l = lead(t, n, store)
	a1 = addMember(l, "a1", true)
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	a2 = addMember(l, "a2", true)
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
		d.MarkPersisted([]aqtype.WorkerID{"w1"})
		l.agents.reportsReleased = true
	})
	return l, clock, a1, a2
}

// wholeReport is the first report of w1 in an assignment.
func wholeReport() *aqagent.ReportReceived {
	return &aqagent.ReportReceived{Difference: aqreport.Difference{
		Incarnation: 1,
		Sent:        1,
		Complete:    true,
		Whole:       true,
	}}
}

// applyEvent applies an event of the present assignment of w1.
func applyEvent(l *leader, m *member, e aqagent.EventWire) {
	e.Worker, e.Serial = "w1", l.agents.assignments["w1"].serial
	l.agents.applyEvents(m, []aqagent.EventWire{e})
}

// Guards against TWICE: an event of an agent that was lost while the leader applied it counted for the
// worker's next assignment.
func TestEventOfTheLastAssignmentDoesNotCountForTheNext(t *testing.T) {
	for _, test := range []struct {
		name  string
		event aqagent.EventWire
	}{
		{name: "report", event: aqagent.EventWire{Report: wholeReport()}},
		{name: "silence", event: aqagent.EventWire{Unresponsive: &aqagent.Unresponsive{ExpiresIn: time.Second}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, _, a1, a2 := newEventRig(t)
			a := l.agents.assignments["w1"]
			test.event.Worker, test.event.Serial = "w1", a.serial
			reassigned := make(chan struct{})
			l.decide(func(d *aqdecider.Decider) {
				if !l.agents.isCurrent(a1, test.event) {
					t.Fatal("the event is not of the present assignment")
				}
				go func() {
					defer close(reassigned)
					l.agents.agentFailed(a1, errTest)
				}()
				for moved := false; !moved; runtime.Gosched() {
					l.agents.mu.Lock()
					moved = a.member == a2
					l.agents.mu.Unlock()
				}
				l.agents.applyCurrent(d, test.event)
			})
			<-reassigned
			if a.renew || a.leaseExpiresAt.IsZero() {
				t.Errorf("renew %v, end of the lease known: %v", a.renew, !a.leaseExpiresAt.IsZero())
			}
			if a.silences != 0 || a.tried["a2"] {
				t.Errorf("%d silences, tried %v", a.silences, a.tried)
			}
		})
	}
}

// Guards against TWICE: the first report to a worker's next agent removed the end of the lease that the last
// one might still renew, and a silence after it counted only what the next agent had renewed.
func TestLeaseOfALostAgentIsAwaitedThoughItsWorkerReports(t *testing.T) {
	l, clock, a1, a2 := newEventRig(t)
	a := l.agents.assignments["w1"]
	applyEvent(l, a1, aqagent.EventWire{Report: wholeReport()})
	lost := clock.Now()
	l.agents.agentFailed(a1, errTest)
	if a.member != a2 {
		t.Fatal("w1 is not assigned to a2")
	}
	applyEvent(l, a2, aqagent.EventWire{Report: wholeReport()})
	const silent = 300 * time.Millisecond
	clock.Advance(silent)
	known := aqagent.MaxLeaseSpan(l.leaseDuration()) - silent
	applyEvent(l, a2, aqagent.EventWire{Unresponsive: &aqagent.Unresponsive{ExpiresIn: known}})
	if ends := lost.Add(aqagent.PermitTime + l.leaseDuration()); a.leaseExpiresAt.Before(ends) {
		t.Errorf("the lease counts as expired %s before it may end", ends.Sub(a.leaseExpiresAt))
	}
}

// A worker that is lost later is not waited for longer because it once had another agent.
func TestLeaseOfALostAgentIsForgottenInTime(t *testing.T) {
	l, clock, a1, a2 := newEventRig(t)
	a := l.agents.assignments["w1"]
	applyEvent(l, a1, aqagent.EventWire{Report: wholeReport()})
	l.agents.agentFailed(a1, errTest)
	applyEvent(l, a2, aqagent.EventWire{Report: wholeReport()})
	clock.Advance(l.agents.longestLease())
	applyEvent(l, a2, aqagent.EventWire{Unresponsive: &aqagent.Unresponsive{ExpiresIn: time.Second}})
	if want := clock.Now().Add(time.Second); !a.leaseExpiresAt.Equal(want) {
		t.Errorf("the lease counts as expired in %s, want 1s", a.leaseExpiresAt.Sub(clock.Now()))
	}
}

// Guards against TWICE: an agent that answered again after a loss got a permit before it was told which
// workers had been taken from it, and went on with them.
func TestAgentThatAnswersAgainGetsNoPermitBeforeItsDrops(t *testing.T) {
	l, _, a1, _ := newEventRig(t)
	link := &fakeLink{}
	a1.link = link
	l.agents.sendOrders(a1)
	a1.lastAnswer = 3
	if acked := l.agents.ackedAnswer(a1); acked != 3 {
		t.Fatalf("acknowledges answer %d, want 3", acked)
	}
	l.agents.agentFailed(a1, errTest)
	l.agents.markUp(a1)
	if acked := l.agents.ackedAnswer(a1); acked != 0 {
		t.Fatalf("acknowledges answer %d before the drop of w1 is sent", acked)
	}
	link.fail = true
	l.agents.sendOrders(a1)
	l.agents.markUp(a1)
	if acked := l.agents.ackedAnswer(a1); acked != 0 {
		t.Fatalf("acknowledges answer %d after the call with the drop has failed", acked)
	}
	link.fail = false
	l.agents.sendOrders(a1)
	if acked := l.agents.ackedAnswer(a1); acked != 3 || len(link.dropped) != 1 {
		t.Fatalf("acknowledges answer %d after the drop of %v, want 3", acked, link.dropped)
	}
}
