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
	if err := a.admit(5); err != nil {
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
		end:    cancel,
		worker: aqdecider.Worker{ID: "w1", Incarnation: 1},
		hint:   hint{Worker: "w1", Wait: time.Second},
	}
	a.sessions["w1"] = s
	return s, a, clock.Fake
}

// A lease is prolonged only after the leader has heard of the worker in this
// assignment, and no more once the worker does not answer.
func TestLeaseIsProlongedOnlyWhenTheLeaderKnows(t *testing.T) {
	var last LookRequest
	fail := false
	workers := &fakeWorkers{look: func(r LookRequest) (LookAnswer, error) {
		last = r
		if fail {
			return LookAnswer{}, ErrUnanswered
		}
		return LookAnswer{Listing: aqdecider.WorkerReport{Incarnation: 1}, Clock: WorkerTime(100 * time.Second)}, nil
	}}
	s, _, clock := testSession(t, workers)
	s.look()
	s.look()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease was prolonged before the leader heard of the worker")
	}
	s.advise(hint{Worker: "w1", Wait: time.Second, Renew: true})
	s.look()
	if last.LeaseEnd != WorkerTime(105*time.Second) {
		t.Fatalf("lease end %s", time.Duration(last.LeaseEnd))
	}
	fail = true
	s.look()
	s.look()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease of a silent worker was prolonged")
	}
	fail = false
	s.look()
	clock.Advance(permitTime)
	s.look()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease was prolonged without a word of the leader")
	}
}

// The end of a lease is reckoned for a worker whose clock is slow.
func TestLapseAllowsForASlowClock(t *testing.T) {
	now := time.Unix(1000, 0)
	reading := clockReading{at: now, value: WorkerTime(50 * time.Second), known: true}
	lapse := reading.reaches(WorkerTime(55 * time.Second))
	slow := 50*time.Second + time.Duration(0.98*float64(lapse.Sub(now)))
	if slow < 55*time.Second {
		t.Fatalf("a clock that is 2%% slow shows %s at the reckoned end", slow)
	}
	if ahead := reading.now(now.Add(10 * time.Second)); ahead > WorkerTime(60*time.Second) {
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
		s.reading = clockReading{at: clock.Now(), value: 1, known: true}
		s.hint.Renew = true
		s.start(aqdecider.Start{Worker: "w1"})
		if len(a.events) != 1 || a.events[0].Started == nil || a.events[0].Started.Outcome != test.want {
			t.Errorf("%s: %+v", test.name, a.events)
		}
	}
}

// An agent follows the highest fence and drops what it did for a lower one.
func TestAgentFollowsTheHighestFence(t *testing.T) {
	s, a, _ := testSession(t, &fakeWorkers{})
	if err := a.admit(4); aqpeer.CodeOf(err) != aqpeer.CodeNotOwner {
		t.Fatalf("lower fence: %v", err)
	}
	if err := a.admit(6); err != nil {
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
		look: func(LookRequest) (LookAnswer, error) {
			if fail {
				return LookAnswer{}, ErrUnanswered
			}
			return LookAnswer{Listing: aqdecider.WorkerReport{Incarnation: 1, Complete: true}}, nil
		},
		stop: func(StopRequest) error { return nil },
	}
	for _, test := range []struct {
		name  string
		hint  hint
		event func(*session)
		want  int
	}{
		{name: "nothing happens", hint: hint{Wait: lookIdle}, want: 1},
		{name: "tasks are expected", hint: hint{Wait: lookBusy}, want: 3},
		{
			name:  "an order is answered",
			hint:  hint{Wait: lookIdle},
			event: func(s *session) { s.stop(aqdecider.Stop{Worker: "w1"}) },
			want:  3,
		},
		{
			name: "the worker was silent",
			hint: hint{Wait: lookIdle},
			event: func(s *session) {
				fail = true
				s.look()
				fail = false
			},
			want: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, a, _ := testSession(t, workers)
			s.advise(test.hint)
			s.look()
			if test.event != nil {
				test.event(s)
			}
			s.look()
			s.look()
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
	s.calls = sessionCalls
	s.send(aqdecider.Start{Worker: "w1", Run: aqdecider.RunID{Attempt: 4}})
	s.send(aqdecider.Stop{Worker: "w1", Run: run})
	s.relist(aqdecider.Worker{ID: "w1", Incarnation: 2})
	if len(s.queue) != 1 || s.queue[0] != (aqdecider.Stop{Worker: "w1", Run: run}) {
		t.Errorf("queued %v", s.queue)
	}
}

// Time during which the host was suspended counts: an agent that wakes up starts
// nothing, prolongs no lease and acknowledges no ends before it hears of its
// leader.
func TestSuspensionEndsThePermit(t *testing.T) {
	var last LookRequest
	workers := &fakeWorkers{look: func(r LookRequest) (LookAnswer, error) {
		last = r
		return LookAnswer{Listing: aqdecider.WorkerReport{Incarnation: 1}, Clock: WorkerTime(100 * time.Second)}, nil
	}}
	s, a, clock := testSession(t, workers)
	s.look()
	s.advise(hint{Worker: "w1", Wait: time.Second, Renew: true, Life: 1, Forget: 6})
	s.look()
	if last.LeaseEnd == 0 || last.Forget != 6 {
		t.Fatalf("with a permit: %+v", last)
	}
	clock.Suspend(permitTime)
	s.look()
	if last.LeaseEnd != 0 || last.Forget != 0 {
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
		answer, err := a.Poll(context.Background(), pollCall{Fence: 5, Heard: heard})
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
