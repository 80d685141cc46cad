package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
)

func testSession(t *testing.T, workers Workers) (*session, *agent, *aqclock.Fake) {
	t.Helper()
	clock := instantClock{Fake: aqclock.NewFake()}
	a := newAgent(workers, clock, aqlog.Discard(), aqmetric.New())
	if err := a.acceptFence(5); err != nil {
		t.Fatal(err)
	}
	a.permitAt = clock.Elapsed()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &session{
		id:     "w1",
		serial: 1,
		fence:  5,
		lease:  5 * time.Second,
		agent:  a,
		ctx:    ctx,
		cancel: cancel,
		worker: aqdecider.Worker{ID: "w1", Incarnation: 1},
		params: heartbeatParams{Worker: "w1", Wait: time.Second},
	}
	a.sessions["w1"] = s
	return s, a, clock.Fake
}

// A lease is prolonged only after the leader has heard of the worker in this
// assignment, and no more once the worker does not answer.
func TestLeaseIsProlongedOnlyWhenTheLeaderKnows(t *testing.T) {
	var last HeartbeatRequest
	fail := false
	workers := &fakeWorkers{heartbeat: func(r HeartbeatRequest) (HeartbeatAnswer, error) {
		last = r
		if fail {
			return HeartbeatAnswer{}, ErrUnanswered
		}
		return HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}, Clock: WorkerTime(100 * time.Second)}, nil
	}}
	s, _, clock := testSession(t, workers)
	s.heartbeat()
	s.heartbeat()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease was prolonged before the leader heard of the worker")
	}
	s.setParams(heartbeatParams{Worker: "w1", Wait: time.Second, Renew: true})
	s.heartbeat()
	if last.LeaseEnd != WorkerTime(105*time.Second) {
		t.Fatalf("lease end %s", time.Duration(last.LeaseEnd))
	}
	fail = true
	s.heartbeat()
	s.heartbeat()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease of a silent worker was prolonged")
	}
	fail = false
	s.heartbeat()
	clock.Advance(permitTime)
	s.heartbeat()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease was prolonged without a word of the leader")
	}
}

// The end of a lease is reckoned for a worker whose clock is slow.
func TestLapseAllowsForASlowClock(t *testing.T) {
	now := time.Unix(1000, 0)
	reading := clockReading{at: now, value: WorkerTime(50 * time.Second), known: true}
	lapse := reading.passedBy(WorkerTime(55 * time.Second))
	slow := 50*time.Second + time.Duration(0.98*float64(lapse.Sub(now)))
	if slow < 55*time.Second {
		t.Fatalf("a clock that is 2%% slow shows %s at the reckoned end", slow)
	}
	if ahead := reading.lowerBoundAt(now.Add(10 * time.Second)); ahead > WorkerTime(60*time.Second) {
		t.Fatalf("the lower bound %s is above a true clock", time.Duration(ahead))
	}
}

// A refusal after a try without an answer says nothing of that try.
func TestStartOutcomes(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []error
		want    aqdecider.Outcome
	}{
		{name: "accepted", answers: []error{nil}, want: aqdecider.OutcomeAccepted},
		{name: "accepted on the second try", answers: []error{ErrUnanswered, nil}, want: aqdecider.OutcomeAccepted},
		{name: "no answer", answers: []error{ErrUnanswered, ErrUnanswered, ErrUnanswered}, want: aqdecider.OutcomeUnknown},
		{name: "no room", answers: []error{ErrNoRoom}, want: aqdecider.OutcomeNoRoom},
		{name: "no room after doubt", answers: []error{ErrUnanswered, ErrNoRoom}, want: aqdecider.OutcomeUnknown},
		{name: "unhealthy", answers: []error{ErrUnhealthy}, want: aqdecider.OutcomeUnhealthy},
		{name: "superseded", answers: []error{ErrSuperseded}, want: aqdecider.OutcomeUnknown},
		{name: "too late", answers: []error{ErrTooLate, ErrTooLate, ErrTooLate}, want: aqdecider.OutcomeNotSent},
	} {
		next := 0
		workers := &fakeWorkers{start: func(StartRequest) error {
			next++
			return test.answers[next-1]
		}}
		s, a, clock := testSession(t, workers)
		s.workerClock = clockReading{at: clock.Now(), value: 1, known: true}
		s.params.Renew = true
		s.start(aqdecider.Start{Worker: "w1"})
		if len(a.events) != 1 || a.events[0].StartResult == nil || a.events[0].StartResult.Outcome != test.want {
			t.Errorf("%s: %+v", test.name, a.events)
		}
	}
}

// An agent follows the highest fence and drops what it did for a lower one.
func TestAgentFollowsTheHighestFence(t *testing.T) {
	s, a, _ := testSession(t, &fakeWorkers{})
	if err := a.acceptFence(4); aqpeer.CodeOf(err) != aqpeer.CodeNotOwner {
		t.Fatalf("lower fence: %v", err)
	}
	if err := a.acceptFence(6); err != nil {
		t.Fatal(err)
	}
	if s.ctx.Err() == nil || len(a.sessions) != 0 || a.permitted(5) {
		t.Fatal("the session of the earlier leader goes on")
	}
}

// A worker that runs nothing is told of once, until an order or a failure makes
// the leader wait for news.
func TestIdleWorkerIsToldOnce(t *testing.T) {
	fail := false
	workers := &fakeWorkers{
		heartbeat: func(HeartbeatRequest) (HeartbeatAnswer, error) {
			if fail {
				return HeartbeatAnswer{}, ErrUnanswered
			}
			return HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1, Complete: true}}, nil
		},
		stop: func(StopRequest) error { return nil },
	}
	for _, test := range []struct {
		name  string
		hint  heartbeatParams
		event func(*session)
		want  int
	}{
		{name: "nothing happens", hint: heartbeatParams{Wait: heartbeatWaitIdle}, want: 1},
		{name: "tasks are expected", hint: heartbeatParams{Wait: heartbeatWaitBusy}, want: 3},
		{
			name:  "an order is answered",
			hint:  heartbeatParams{Wait: heartbeatWaitIdle},
			event: func(s *session) { s.stop(aqdecider.Stop{Worker: "w1"}) },
			want:  3,
		},
		{
			name: "the worker was silent",
			hint: heartbeatParams{Wait: heartbeatWaitIdle},
			event: func(s *session) {
				fail = true
				s.heartbeat()
				fail = false
			},
			want: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, a, _ := testSession(t, workers)
			s.setParams(test.hint)
			s.heartbeat()
			if test.event != nil {
				test.event(s)
			}
			s.heartbeat()
			s.heartbeat()
			if got := len(a.events); got != test.want {
				t.Errorf("%d events, want %d", got, test.want)
			}
		})
	}
}

// A restart of the worker drops the orders of its earlier life but those to stop,
// which the leader may have given for the new one.
func TestRestartKeepsOrdersToStop(t *testing.T) {
	s, _, _ := testSession(t, &fakeWorkers{})
	run := aqdecider.RunID{Attempt: 3}
	s.inFlight = maxOrdersInFlight
	s.send(aqdecider.Start{Worker: "w1", Run: aqdecider.RunID{Attempt: 4}})
	s.send(aqdecider.Stop{Worker: "w1", Run: run})
	s.updateWorker(aqdecider.Worker{ID: "w1", Incarnation: 2})
	if len(s.queue) != 1 || s.queue[0] != (aqdecider.Stop{Worker: "w1", Run: run}) {
		t.Errorf("queued %v", s.queue)
	}
}

// Time during which the host was suspended counts: an agent that wakes up starts
// nothing, prolongs no lease and acknowledges no ends before it hears of its
// leader.
func TestSuspensionEndsThePermit(t *testing.T) {
	var last HeartbeatRequest
	workers := &fakeWorkers{heartbeat: func(r HeartbeatRequest) (HeartbeatAnswer, error) {
		last = r
		return HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}, Clock: WorkerTime(100 * time.Second)}, nil
	}}
	s, a, clock := testSession(t, workers)
	s.heartbeat()
	s.setParams(heartbeatParams{Worker: "w1", Wait: time.Second, Renew: true, Incarnation: 1, AckedEnd: 6})
	s.heartbeat()
	if last.LeaseEnd == 0 || last.AckedEnd != 6 {
		t.Fatalf("with a permit: %+v", last)
	}
	clock.Suspend(permitTime)
	s.heartbeat()
	if last.LeaseEnd != 0 || last.AckedEnd != 0 {
		t.Errorf("after a suspension: %+v", last)
	}
	if err := s.tryStart(s.address(), aqdecider.Start{Worker: "w1"}); !errors.Is(err, ErrTooLate) {
		t.Errorf("a start after a suspension: %v", err)
	}
	if a.permitted(5) {
		t.Error("the agent goes on")
	}
}

// A poll permits an agent to go on from the answer that it acknowledges, not from
// its arrival: after a pause the agent finds polls that were sent long ago.
func TestLatePollGivesNoPermit(t *testing.T) {
	clock := instantClock{Fake: aqclock.NewFake()}
	a := newAgent(&fakeWorkers{}, clock, aqlog.Discard(), aqmetric.New())
	poll := func(heard uint64) uint64 {
		t.Helper()
		answer, err := a.Poll(context.Background(), pollCall{Fence: 5, AckedAnswer: heard})
		if err != nil {
			t.Fatal(err)
		}
		return answer.Number
	}
	first := poll(0)
	if a.permitted(5) {
		t.Fatal("a permit before the leader has heard of the agent")
	}
	second := poll(first)
	if !a.permitted(5) {
		t.Fatal("no permit after an answer was received")
	}
	clock.Suspend(permitTime)
	lost := poll(second)
	if a.permitted(5) {
		t.Fatal("a poll that came late permits the agent to go on")
	}
	poll(second)
	if a.permitted(5) {
		t.Fatal("a poll permits the agent though an answer was lost")
	}
	third := poll(lost)
	poll(third)
	if !a.permitted(5) {
		t.Fatal("no permit once answers are received again")
	}
}
