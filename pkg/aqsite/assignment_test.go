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

// fakeWorker answers its agent once it is reachable, and records the starts.
type fakeWorker struct {
	mu        sync.Mutex
	reachable bool
	starts    []aqdecider.RunID
}

func (f *fakeWorker) Heartbeat(context.Context, aqworker.Address, aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reachable {
		return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
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

// Guards against TWICE: a start that was on its way to a silent worker when the worker's lease expired was
// delivered in the worker's next assignment to the same agent, once the worker answered.
func TestLostRunIsNotStartedInTheNextAssignment(t *testing.T) {
	store := newFakeStore()
	n, leaderClock := testNode(t, store)
	l := lead(t, n, store)
	clock := aqclock.NewFake()
	worker := &fakeWorker{}
	agent := aqagent.New(aqagent.Options{
		Workers:  worker,
		Payloads: worker,
		Clock:    clock,
		Log:      aqlog.Discard(),
		Metrics:  aqmetric.New(),
	})
	defer agent.Stop()
	m := addMember(l, "a1", true)
	m.link = agent
	entry := aqdecider.Worker{ID: "w1", Incarnation: 1}
	l.agents.addWorker(entry)
	l.agents.sendOrders(m)

	task := aqjob.TaskID{Job: "j"}
	lost := aqdecider.RunID{Task: task, Attempt: 1}
	l.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: lost}})
	l.decide(func(d *aqdecider.Decider) {
		d.UpdateWorker(entry)
		d.MarkPersisted([]aqtype.WorkerID{"w1"})
		l.agents.reportsReleased = true
		l.agents.workerUnresponsive(d, "w1", aqagent.Unresponsive{ExpiresIn: time.Second})
	})
	leaderClock.Advance(2 * time.Second)
	l.decide(l.agents.expireLeases)
	worker.mu.Lock()
	worker.reachable = true
	worker.mu.Unlock()
	if err := l.prove(context.Background()); err != nil {
		t.Fatal(err)
	}
	l.agents.sendOrders(m)
	pollUntilRenewed(t, l, m)
	next := aqdecider.RunID{Task: task, Attempt: 2}
	l.agents.dispatch([]aqdecider.Order{aqdecider.Start{Worker: "w1", Run: next}})
	l.agents.sendOrders(m)
	for len(worker.started()) == 0 {
		runtime.Gosched()
	}
	// Wakes a start that waits for the worker's clock.
	for range 20 {
		clock.Advance(10 * time.Millisecond)
		runtime.Gosched()
	}
	for _, run := range worker.started() {
		if run != next {
			t.Fatalf("the worker is ordered to start %v, which is lost", run)
		}
	}
}

// pollUntilRenewed polls a member's agent until the agent may renew the lease of w1.
func pollUntilRenewed(t *testing.T, l *leader, m *member) {
	t.Helper()
	// The agent answers a cancelled poll at once.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	acked := uint64(0)
	for renewed := false; !renewed; {
		renewed = l.agents.assignments["w1"].renew
		answer, err := m.link.Poll(ctx, aqagent.PollCall{
			Fence:       l.fence,
			AckedAnswer: acked,
			Params:      l.agents.changedParams(m),
		})
		if err != nil {
			t.Fatal(err)
		}
		acked = answer.Number
		l.agents.applyEvents(m, answer.Events)
		runtime.Gosched()
	}
}
