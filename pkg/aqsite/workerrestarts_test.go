package aqsite

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// restartingWorker checks tokens as a worker does, and forgets everything when it restarts under its id.
type restartingWorker struct {
	mu          sync.Mutex
	reachable   bool
	incarnation aqdecider.Incarnation
	token       aqworker.Token
	running     map[aqdecider.RunID]bool
	// delaysStarts makes starts be delayed without an answer.
	delaysStarts bool
	delayed      []aqworker.StartRequest
	// delayedHolds holds the first heartbeat that renewed the lease.
	delayedHolds []aqworker.HeartbeatRequest
	// heartbeats counts those of the present incarnation.
	heartbeats int
	// stops holds the runs that the present incarnation was ordered to stop.
	stops map[aqdecider.RunID]bool
}

func newRestartingWorker() *restartingWorker {
	w := &restartingWorker{reachable: true}
	w.restart()
	return w
}

func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.token = 0
	w.heartbeats = 0
	w.running = map[aqdecider.RunID]bool{}
	w.stops = map[aqdecider.RunID]bool{}
}

// accept checks a call's token. The caller holds the lock.
func (w *restartingWorker) accept(token aqworker.Token) error {
	if token < w.token {
		return aqworker.ErrFenced
	}
	w.token = token
	return nil
}

func (w *restartingWorker) Heartbeat(
	_ context.Context, _ aqworker.Address, r aqworker.HeartbeatRequest,
) (aqworker.HeartbeatAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reachable {
		return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
	}
	if r.LeaseEnd > 0 && len(w.delayedHolds) == 0 {
		w.delayedHolds = append(w.delayedHolds, r)
	}
	if err := w.accept(r.Token); err != nil {
		return aqworker.HeartbeatAnswer{}, err
	}
	w.heartbeats++
	report := aqdecider.WorkerReport{Incarnation: w.incarnation, Complete: true}
	for run := range w.running {
		report.Running = append(report.Running, aqdecider.RunReport{Run: run})
	}
	return aqworker.HeartbeatAnswer{Report: report}, nil
}

func (w *restartingWorker) Start(_ context.Context, _ aqworker.Address, r aqworker.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delaysStarts {
		w.delayed = append(w.delayed, r)
		return aqworker.ErrUnanswered
	}
	return w.start(r)
}

// start carries a start out. The caller holds the lock.
func (w *restartingWorker) start(r aqworker.StartRequest) error {
	if err := w.accept(r.Token); err != nil {
		return err
	}
	if w.stops[r.Order.Run] {
		return aqworker.ErrSuperseded
	}
	w.running[r.Order.Run] = true
	return nil
}

func (w *restartingWorker) Stop(_ context.Context, _ aqworker.Address, r aqworker.StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reachable {
		return aqworker.ErrUnanswered
	}
	if err := w.accept(r.Token); err != nil {
		return err
	}
	w.stops[r.Run] = true
	delete(w.running, r.Run)
	return nil
}

func (w *restartingWorker) Pace(context.Context, aqworker.Address, aqworker.PaceRequest) error {
	return nil
}

// Payload implements aqpayload.Source.
func (w *restartingWorker) Payload(context.Context, aqjob.ID, string) (string, error) {
	return "payload", nil
}

func (w *restartingWorker) locked(look func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	look()
}

// testLeaseMax is the longest lease that the workers of restart rigs grant, longer than those that agents renew.
const testLeaseMax = 10 * time.Second

// restartRig is a leader with one agent, which manages one worker that may restart.
type restartRig struct {
	t      *testing.T
	leader *leader
	clock  aqclock.Instant
	member *member
	// agentClock is the agent's.
	agentClock *aqclock.Fake
	worker     *restartingWorker
	acked      uint64
}

func newRestartRig(t *testing.T) *restartRig {
	t.Helper()
	store := newFakeStore()
	n, clock := testNode(t, store)
	n.settings.Decider.LeaseMax = aqagent.MaxLeaseSpan(testLeaseMax)
	l := lead(t, n, store)
	r := &restartRig{
		t:          t,
		leader:     l,
		clock:      clock,
		member:     addMember(l, "a1", true),
		agentClock: aqclock.NewFake(),
		worker:     newRestartingWorker(),
	}
	agent := aqagent.New(aqagent.Options{
		Workers:  r.worker,
		Payloads: r.worker,
		Clock:    r.agentClock,
		Log:      aqlog.Discard(),
		Metrics:  aqmetric.New(),
		Name:     "a1",
	})
	t.Cleanup(agent.Stop)
	r.member.link = agent
	l.decide(func(_ *aqdecider.Decider) { l.agents.reportsReleased = true })
	r.list()
	r.until("the lease is renewed", func() (renewed bool) {
		r.worker.locked(func() { renewed = len(r.worker.delayedHolds) > 0 })
		return renewed
	})
	return r
}

// list applies the worker's entry in service discovery.
func (r *restartRig) list() {
	entry := aqdecider.Worker{
		ID:       "w1",
		Service:  "s",
		Labels:   []string{"a", "r1-1"},
		Capacity: aqtype.Resources{MilliCPU: 1000, Memory: 1000},
	}
	r.worker.locked(func() { entry.Incarnation = r.worker.incarnation })
	r.leader.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(entry)
		d.MarkPersisted([]aqtype.WorkerID{"w1"})
	})
	r.leader.agents.addWorker(entry)
}

// step lets the leader and its agent exchange messages, and 10 ms pass for the agent.
func (r *restartRig) step() {
	r.t.Helper()
	if _, err := r.leader.prove(context.Background(), nil); err != nil {
		r.t.Fatal(err)
	}
	r.leader.agents.sendOrders(r.member)
	// The agent answers a cancelled poll at once.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer, err := r.member.link.Poll(ctx, aqagent.PollCall{
		Agent:       "a1",
		Fence:       r.leader.fence,
		AckedAnswer: r.acked,
		Params:      r.leader.agents.changedParams(r.member),
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.acked = answer.Number
	r.leader.agents.applyEvents(r.member, answer.Events)
	r.agentClock.Advance(10 * time.Millisecond)
	runtime.Gosched()
}

// until steps until a condition holds.
func (r *restartRig) until(what string, holds func() bool) {
	r.t.Helper()
	for range 100_000 {
		if holds() {
			return
		}
		r.step()
		time.Sleep(10 * time.Microsecond)
	}
	r.t.Fatalf("never: %s", what)
}

// heartbeats steps until the worker's present incarnation has answered a number of heartbeats.
func (r *restartRig) heartbeats(count int) {
	r.t.Helper()
	r.until("heartbeats", func() (enough bool) {
		r.worker.locked(func() { enough = r.worker.heartbeats >= count })
		return enough
	})
}

// delayStart orders a start whose first attempt the worker gets late.
func (r *restartRig) delayStart(run aqdecider.RunID) {
	r.t.Helper()
	r.worker.locked(func() { r.worker.delaysStarts = true })
	r.leader.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: run}}, startLimit{})
	r.until("an attempt to start", func() (sent bool) {
		r.worker.locked(func() { sent = len(r.worker.delayed) > 0 })
		return sent
	})
	r.worker.locked(func() { r.worker.delaysStarts = false })
	r.until("an answered start", func() (running bool) {
		r.worker.locked(func() { running = r.worker.running[run] })
		return running
	})
}

// Guards against TWICE (review/2): a delayed start reached the next incarnation of its worker, which knew neither the run
// nor a token that refuses it.
func TestDelayedStartIsRefusedAfterARestart(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed bool
	}{
		{name: "restart seen by the agent"},
		{name: "restart seen in service discovery", listed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRestartRig(t)
			run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
			r.delayStart(run)
			r.worker.restart()
			if test.listed {
				r.list()
			}
			r.heartbeats(4)
			r.worker.locked(func() {
				if err := r.worker.start(r.worker.delayed[0]); err == nil {
					t.Error("the next incarnation of the worker has started the run")
				}
				if err := r.worker.accept(r.worker.delayedHolds[0].Token); err == nil {
					t.Error("a delayed heartbeat has renewed the lease of the next incarnation")
				}
			})
			select {
			case <-r.leader.ended:
				t.Error("the leader gave up its term")
			default:
			}
		})
	}
}

// runTask adds a job with one task and steps until it runs on the worker.
func (r *restartRig) runTask() {
	r.t.Helper()
	r.leader.decide(func(d *aqdecider.Decider) {
		d.AddJob(&aqjob.Job{
			ID:     "0000000000000001",
			Queue:  aqjob.Queue{ID: "q", Service: "s", MaxAttempts: 2, Stretch: 2},
			Groups: []aqjob.Group{{Count: 1, Size: aqtype.Resources{MilliCPU: 1000, Memory: 10}, Estimate: time.Second}},
		}, nil, 0, false)
	})
	if err := r.leader.storeFleet(context.Background()); err != nil {
		r.t.Fatal(err)
	}
	r.until("a run", func() (running bool) {
		var orders []aqdecider.Order
		r.leader.decide(func(d *aqdecider.Decider) { orders = d.Tick() })
		r.leader.agents.dispatch(orders, startLimit{})
		r.worker.locked(func() { running = len(r.worker.running) > 0 })
		return running
	})
}

// Guards against TWICE: a call to the earlier incarnation of a worker, with a lease end on the clock of that one, gave the
// present one the longest lease. After a silence the leader gave its run up by the lease that the agent had renewed.
func TestRunIsKeptWhileALeaseOfACallToAnEarlierIncarnationMayLast(t *testing.T) {
	r := newRestartRig(t)
	r.worker.restart()
	r.list()
	r.until("a call with the raised token", func() (raised bool) {
		r.worker.locked(func() { raised = r.worker.token > r.worker.delayedHolds[0].Token })
		return raised
	})
	// The worker has accepted such a call just before.
	end := r.clock.Now().Add(testLeaseMax)
	r.runTask()
	r.worker.locked(func() { r.worker.reachable = false })
	r.until("the agent finds the worker unresponsive", func() bool {
		return !r.leader.agents.assignments["w1"].leaseExpiresAt.IsZero()
	})
	const step = 100 * time.Millisecond
	for occupied := true; occupied; {
		r.clock.Advance(step)
		r.leader.decide(r.leader.agents.expireLeases)
		r.leader.decide(func(d *aqdecider.Decider) { occupied = d.Occupied("w1") })
		now := r.clock.Now()
		if !occupied && !now.After(end) {
			t.Fatalf("the run is given up %s before its lease has ended", end.Sub(now))
		}
		if latest := end.Add(aqagent.MaxLeaseSpan(testLeaseMax) - testLeaseMax + step); occupied && now.After(latest) {
			t.Fatalf("the run is held %s longer than its lease can last", now.Sub(latest))
		}
	}
}

// Guards against a leader that deposes itself: a worker that is removed and listed again must not get lower
// tokens than before.
func TestTokenOfAWorkerDoesNotFall(t *testing.T) {
	l, _, a1, _ := newEventRig(t)
	for _, test := range []struct {
		name        string
		incarnation aqdecider.Incarnation
		removed     bool
		want        aqworker.Restarts
	}{
		{name: "first entry", incarnation: 1, want: 0},
		{name: "restart", incarnation: 2, want: 1},
		{name: "removed and listed again", incarnation: 2, removed: true, want: 1},
		{name: "removed and restarted", incarnation: 3, removed: true, want: 2},
		{name: "entry of another writer", incarnation: 1, want: 3},
	} {
		if test.removed {
			l.agents.removeWorker("w1")
		}
		l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: test.incarnation})
		if got := l.agents.assignments["w1"].params.Restarts; got != test.want {
			t.Errorf("%s: %d restarts, want %d", test.name, got, test.want)
		}
	}
	sent := a1.pending.Assign
	for _, m := range l.agents.ordered {
		sent = append(sent, m.pending.Assign...)
	}
	var highest aqworker.Restarts
	for _, a := range sent {
		highest = max(highest, a.Params.Restarts)
	}
	if highest != 3 {
		t.Errorf("the agents are told of %d restarts, want 3", highest)
	}
}

func TestRemovedWorkersAreForgotten(t *testing.T) {
	l, clock, _, _ := newEventRig(t)
	for _, id := range []aqtype.WorkerID{"w1", "w2", "w3"} {
		l.agents.addWorker(aqdecider.Worker{ID: id, Incarnation: 1})
	}
	l.agents.addWorker(aqdecider.Worker{ID: "w2", Incarnation: 2})
	l.agents.removeWorker("w1")
	l.agents.removeWorker("w2")
	clock.Advance(restartMemory + time.Second)
	l.agents.removeWorker("w3")
	if _, known := l.agents.restarts["w1"]; known {
		t.Error("w1, which never restarted, is remembered for good")
	}
	if l.agents.restarts["w2"].number != 1 {
		t.Error("the token of w2 would fall if it returned")
	}
	if _, known := l.agents.restarts["w3"]; !known {
		t.Error("w3 is forgotten while orders may be on their way to it")
	}
}

// Guards against starts that vanish: the next assignment named the incarnation of the last entry, though the leader
// had a report of a later one. Its agent dropped the orders as those of an earlier incarnation.
func TestAssignmentNamesTheReportedIncarnation(t *testing.T) {
	l, _, a1, a2 := newEventRig(t)
	report := wholeReport()
	report.Difference.Incarnation = 2
	applyEvent(l, a1, aqagent.EventWire{Report: report})
	l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	applyEvent(l, a1, aqagent.EventWire{Unresponsive: &aqagent.Unresponsive{ExpiresIn: time.Second}})
	if len(a2.pending.Assign) != 1 {
		t.Fatalf("assignments %+v", a2.pending.Assign)
	}
	if got := a2.pending.Assign[0].Worker.Incarnation; got != 2 {
		t.Errorf("the next agent is told of incarnation %d, the leader knows of 2", got)
	}
	if got := a2.pending.Assign[0].Params.Restarts; got != 1 {
		t.Errorf("%d restarts, want 1", got)
	}
}
