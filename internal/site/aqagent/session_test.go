package aqagent

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
)

// testAgent returns an agent whose payload source knows every job.
func testAgent(workers aqworker.Client, clock aqclock.Clock) *Agent {
	return New(Options{
		Workers:  workers,
		Payloads: &fakePayloads{},
		Clock:    clock,
		Log:      aqlog.Discard(),
		Metrics:  aqmetric.New(),
	})
}

func testSession(t *testing.T, workers aqworker.Client) (*session, *Agent, *aqclock.Fake) {
	t.Helper()
	clock := aqclock.NewInstant()
	a := testAgent(workers, clock)
	if err := a.acceptFence(5); err != nil {
		t.Fatal(err)
	}
	a.permitAt = clock.Elapsed()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &session{
		id:       "w1",
		serial:   1,
		fence:    5,
		lease:    5 * time.Second,
		agent:    a,
		ctx:      ctx,
		cancel:   cancel,
		acked:    make(chan struct{}, 1),
		worker:   aqdecider.Worker{ID: "w1", Incarnation: 1},
		params:   HeartbeatParams{Worker: "w1", Wait: time.Second},
		received: map[aqdecider.RunID]receivedStart{},
		starting: map[aqdecider.RunID]startDelivery{},
		pacing:   map[aqdecider.RunID]bool{},
	}
	a.sessions["w1"] = s
	return s, a, clock.Fake
}

// An agent renews a worker's lease only once the leader has received a report of the
// worker in this assignment, and not after the worker has failed to answer or while the
// agent has no permit. Otherwise the leader could not tell when the lease expires.
func TestLeaseIsProlongedOnlyWhenTheLeaderKnows(t *testing.T) {
	var last aqworker.HeartbeatRequest
	fail := false
	workers := &fakeWorkers{heartbeat: func(r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		last = r
		if fail {
			return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
		}
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}, Clock: aqworker.Time(100 * time.Second)}, nil
	}}
	s, _, clock := testSession(t, workers)
	s.heartbeat()
	s.heartbeat()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease was renewed before the leader received a report of the worker")
	}
	s.setParams(HeartbeatParams{Worker: "w1", Wait: time.Second, Renew: true})
	s.heartbeat()
	if last.LeaseEnd != aqworker.Time(105*time.Second) {
		t.Fatalf("lease end %s, want 105s", time.Duration(last.LeaseEnd))
	}
	fail = true
	s.heartbeat()
	s.heartbeat()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease of an unresponsive worker was renewed")
	}
	fail = false
	s.heartbeat()
	clock.Advance(PermitTime)
	s.heartbeat()
	if last.LeaseEnd != 0 {
		t.Fatal("the lease was renewed without a permit of the leader")
	}
}

// Guards against the TWICE of issue 35: an agent that had reported a worker as unresponsive, and
// when its lease expires, renewed the lease as soon as the worker answered again, while the leader
// still counted on that time.
func TestLeaseIsNotRenewedUntilTheLeaderKnowsOfTheSilence(t *testing.T) {
	var last aqworker.HeartbeatRequest
	fail := false
	workers := &fakeWorkers{heartbeat: func(r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		last = r
		if fail {
			return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
		}
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}, Clock: aqworker.Time(100 * time.Second)}, nil
	}}
	s, _, _ := testSession(t, workers)
	s.heartbeat()
	renew := HeartbeatParams{
		Worker: "w1",
		Number: 1,
		Wait:   time.Second,
		Renew:  true,
	}
	s.setParams(renew)
	for silences := 1; silences <= 3; silences++ {
		fail = true
		for range failedHeartbeatLimit {
			s.heartbeat()
		}
		fail = false
		s.heartbeat()
		s.heartbeat()
		if last.LeaseEnd != 0 {
			t.Fatalf("silence %d: the lease is renewed before the leader knows", silences)
		}
		// Parameters that the leader has sent before it knew.
		renew.Number++
		s.setParams(renew)
		s.heartbeat()
		if last.LeaseEnd != 0 {
			t.Fatalf("silence %d: earlier parameters renew the lease", silences)
		}
		renew.Number++
		renew.Silences = silences
		s.setParams(renew)
		s.heartbeat()
		if last.LeaseEnd == 0 {
			t.Fatalf("silence %d: the lease is not renewed though the leader knows", silences)
		}
	}
}

// Guards against a start that is repeated after its run has been ordered to stop: if the order to
// stop is delayed, the worker executes the repeated start, whose task may be done by then.
func TestStartIsNotRepeatedAfterItsStop(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	other := aqdecider.RunID{Task: aqjob.TaskID{Job: "j", Index: 1}, Attempt: 1}
	for _, test := range []struct {
		name    string
		stopped aqdecider.RunID
		want    int
	}{
		{name: "its stop", stopped: run, want: 1},
		{name: "another's stop", stopped: other, want: startTries},
	} {
		t.Run(test.name, func(t *testing.T) {
			starts := 0
			var s *session
			workers := &fakeWorkers{
				start: func(aqworker.StartRequest) error {
					starts++
					s.send(aqdecider.Stop{Worker: "w1", Run: test.stopped}, startDeadline{})
					return aqworker.ErrUnanswered
				},
				stop: func(aqworker.StopRequest) error { return aqworker.ErrUnanswered },
			}
			var clock *aqclock.Fake
			s, _, clock = testSession(t, workers)
			s.workerClock = clockReading{at: clock.Now(), value: 1, known: true}
			s.params.Renew = true
			// Stops are not delivered.
			s.inFlight = maxOrdersInFlight
			awaitPayload(t, s, "j")
			s.send(aqdecider.Start{Worker: "w1", Run: run}, startDeadline{})
			order, ok := s.nextOrder()
			if !ok {
				t.Fatal("no start to deliver")
			}
			s.start(order.(aqdecider.Start))
			if starts != test.want {
				t.Fatalf("%d attempts to start, want %d", starts, test.want)
			}
			if len(s.starting) != 0 {
				t.Fatalf("deliveries %v after the end", s.starting)
			}
		})
	}
}

// An assignment ends with its drop, in whatever order the two reach the agent, and a drop ends no
// later assignment.
func TestDropEndsTheAssignmentsUpToItsSerial(t *testing.T) {
	assign := func(serial Serial) OrdersCall {
		return OrdersCall{
			Fence:  6,
			Assign: []Assignment{{Worker: aqdecider.Worker{ID: "w1", Incarnation: 1}, Serial: serial}},
		}
	}
	drop := func(serial Serial) OrdersCall {
		return OrdersCall{
			Fence: 6,
			Drop:  []Dropped{{Worker: "w1", Serial: serial}},
		}
	}
	both := assign(5)
	both.Drop = drop(5).Drop
	nextTerm := assign(1)
	nextTerm.Fence++
	for _, test := range []struct {
		name  string
		calls []OrdersCall
		want  Serial
	}{
		{name: "assigned", calls: []OrdersCall{assign(5)}, want: 5},
		{name: "dropped", calls: []OrdersCall{assign(5), drop(5)}},
		{name: "dropped in the same call", calls: []OrdersCall{both}},
		{name: "assignment arrives later", calls: []OrdersCall{drop(5), assign(5)}},
		{name: "assigned again", calls: []OrdersCall{assign(5), drop(5), assign(6)}, want: 6},
		{name: "drop arrives after the next assignment", calls: []OrdersCall{assign(5), assign(6), drop(5)}, want: 6},
		{name: "next term", calls: []OrdersCall{drop(5), nextTerm}, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			workers := &fakeWorkers{heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
				return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
			}}
			a := testAgent(workers, aqclock.NewFake())
			defer a.Stop()
			for _, call := range test.calls {
				if err := a.Orders(context.Background(), call); err != nil {
					t.Fatal(err)
				}
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			got := Serial(0)
			if s := a.sessions["w1"]; s != nil {
				got = s.serial
			}
			if got != test.want {
				t.Fatalf("session with serial %d, want %d", got, test.want)
			}
		})
	}
}

// The computed lease expiry must not be too early for a worker whose clock is slow by
// clockDrift.
func TestLapseAllowsForASlowClock(t *testing.T) {
	now := time.Unix(1000, 0)
	reading := clockReading{at: now, value: aqworker.Time(50 * time.Second), known: true}
	expiry := reading.passedBy(aqworker.Time(55 * time.Second))
	slow := 50*time.Second + time.Duration(0.98*float64(expiry.Sub(now)))
	if slow < 55*time.Second {
		t.Fatalf("a clock that is 2%% slow shows %s at the computed expiry", slow)
	}
	if ahead := reading.lowerBoundAt(now.Add(10 * time.Second)); ahead > aqworker.Time(60*time.Second) {
		t.Fatalf("the lower bound %s is above an accurate clock", time.Duration(ahead))
	}
}

// The outcome of a start after the answers to its attempts. A refusal after an unanswered
// attempt leaves the outcome unknown, since the unanswered one may take effect.
func TestStartOutcomes(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []error
		want    aqdecider.Outcome
	}{
		{name: "accepted", answers: []error{nil}, want: aqdecider.OutcomeAccepted},
		{name: "accepted on the second attempt", answers: []error{aqworker.ErrUnanswered, nil}, want: aqdecider.OutcomeAccepted},
		{name: "no answer", answers: []error{aqworker.ErrUnanswered, aqworker.ErrUnanswered, aqworker.ErrUnanswered}, want: aqdecider.OutcomeUnknown},
		{name: "no room", answers: []error{aqworker.ErrNoRoom}, want: aqdecider.OutcomeNoRoom},
		{name: "no room after no answer", answers: []error{aqworker.ErrUnanswered, aqworker.ErrNoRoom}, want: aqdecider.OutcomeUnknown},
		{name: "unhealthy", answers: []error{aqworker.ErrUnhealthy}, want: aqdecider.OutcomeUnhealthy},
		{name: "superseded", answers: []error{aqworker.ErrSuperseded}, want: aqdecider.OutcomeUnknown},
		{name: "too late", answers: []error{aqworker.ErrTooLate, aqworker.ErrTooLate, aqworker.ErrTooLate}, want: aqdecider.OutcomeNotSent},
	} {
		next := 0
		workers := &fakeWorkers{start: func(aqworker.StartRequest) error {
			next++
			return test.answers[next-1]
		}}
		s, a, clock := testSession(t, workers)
		s.workerClock = clockReading{at: clock.Now(), value: 1, known: true}
		s.params.Renew = true
		awaitPayload(t, s, "")
		s.start(aqdecider.Start{Worker: "w1"})
		if len(a.events) != 1 || a.events[0].StartResult == nil || a.events[0].StartResult.Outcome != test.want {
			t.Errorf("%s: unexpected events %+v", test.name, a.events)
		}
	}
}

// An agent accepts the highest fencing token and ends the sessions of a lower one.
func TestAgentFollowsTheHighestFence(t *testing.T) {
	s, a, _ := testSession(t, &fakeWorkers{})
	if err := a.acceptFence(4); aqpeer.CodeOf(err) != aqpeer.CodeNotOwner {
		t.Fatalf("lower fencing token: %v", err)
	}
	if err := a.acceptFence(6); err != nil {
		t.Fatal(err)
	}
	if s.ctx.Err() == nil || len(a.sessions) != 0 || a.Permitted(5) {
		t.Fatal("the session of the earlier leader continues")
	}
}

// An agent reports a worker that runs nothing only once, until an order, a failure or
// expected tasks make the leader wait for a new report. Expected tasks do so once a
// busyReportInterval.
func TestIdleWorkerIsToldOnce(t *testing.T) {
	fail := false
	workers := &fakeWorkers{
		heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
			if fail {
				return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
			}
			return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1, Complete: true}}, nil
		},
		stop: func(aqworker.StopRequest) error { return nil },
	}
	for _, test := range []struct {
		name   string
		params HeartbeatParams
		pause  time.Duration
		event  func(*session)
		want   int
	}{
		{name: "nothing happens", params: HeartbeatParams{Wait: HeartbeatWaitIdle}, want: 1},
		{name: "tasks are expected", params: HeartbeatParams{Wait: HeartbeatWaitBusy}, want: 3},
		{name: "tasks are expected soon", params: HeartbeatParams{Wait: HeartbeatWaitBusy}, pause: busyReportInterval / 2, want: 2},
		{
			name:   "an order is answered",
			params: HeartbeatParams{Wait: HeartbeatWaitIdle},
			event:  func(s *session) { s.stop(aqdecider.Stop{Worker: "w1"}) },
			want:   3,
		},
		{
			name:   "the worker was unresponsive",
			params: HeartbeatParams{Wait: HeartbeatWaitIdle},
			event: func(s *session) {
				fail = true
				s.heartbeat()
				fail = false
			},
			want: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, a, clock := testSession(t, workers)
			pause := busyReportInterval
			if test.pause > 0 {
				pause = test.pause
			}
			s.setParams(test.params)
			s.heartbeat()
			if test.event != nil {
				test.event(s)
			}
			for range 2 {
				clock.Advance(pause)
				s.heartbeat()
			}
			if got := len(a.events); got != test.want {
				t.Errorf("%d events, want %d", got, test.want)
			}
		})
	}
}

// A restart of the worker drops the orders to its earlier incarnation except stops, which
// the leader may have sent for the new incarnation.
func TestRestartKeepsOrdersToStop(t *testing.T) {
	s, _, _ := testSession(t, &fakeWorkers{})
	run := aqdecider.RunID{Attempt: 3}
	s.inFlight = maxOrdersInFlight
	s.send(aqdecider.Start{Worker: "w1", Run: aqdecider.RunID{Attempt: 4}}, startDeadline{})
	s.send(aqdecider.Stop{Worker: "w1", Run: run}, startDeadline{})
	s.updateWorker(aqdecider.Worker{ID: "w1", Incarnation: 2})
	if len(s.queue) != 1 || s.queue[0] != (aqdecider.Stop{Worker: "w1", Run: run}) {
		t.Errorf("queued %v, want only the stop", s.queue)
	}
}

// A permit also expires while the host is suspended: an agent that resumes starts
// nothing, renews no lease and acknowledges no ends before its leader has polled it
// again.
func TestSuspensionEndsThePermit(t *testing.T) {
	var last aqworker.HeartbeatRequest
	workers := &fakeWorkers{heartbeat: func(r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		last = r
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}, Clock: aqworker.Time(100 * time.Second)}, nil
	}}
	s, a, clock := testSession(t, workers)
	s.heartbeat()
	s.setParams(HeartbeatParams{Worker: "w1", Wait: time.Second, Renew: true, Incarnation: 1, AckedEnd: 6})
	s.heartbeat()
	if last.LeaseEnd == 0 || last.AckedEnd != 6 {
		t.Fatalf("with a permit: %+v", last)
	}
	clock.Suspend(PermitTime)
	s.heartbeat()
	if last.LeaseEnd != 0 || last.AckedEnd != 0 {
		t.Errorf("after a suspension: %+v", last)
	}
	if _, err := s.tryStart(s.address(), aqdecider.Start{Worker: "w1"}, ""); !errors.Is(err, aqworker.ErrTooLate) {
		t.Errorf("a start after a suspension: %v", err)
	}
	if a.Permitted(5) {
		t.Error("the agent still has a permit")
	}
}

// A permit starts when the acknowledged answer was sent, not when the poll arrives: after
// a pause the agent receives polls that were sent long ago.
func TestLatePollGivesNoPermit(t *testing.T) {
	clock := aqclock.NewInstant()
	a := testAgent(&fakeWorkers{}, clock)
	poll := func(acked uint64) uint64 {
		t.Helper()
		answer, err := a.Poll(context.Background(), PollCall{Fence: 5, AckedAnswer: acked})
		if err != nil {
			t.Fatal(err)
		}
		return answer.Number
	}
	first := poll(0)
	if a.Permitted(5) {
		t.Fatal("a permit before the leader has acknowledged an answer")
	}
	second := poll(first)
	if !a.Permitted(5) {
		t.Fatal("no permit after an answer was received")
	}
	clock.Suspend(PermitTime)
	lost := poll(second)
	if a.Permitted(5) {
		t.Fatal("a delayed poll renewed the permit")
	}
	poll(second)
	if a.Permitted(5) {
		t.Fatal("a poll renewed the permit though an answer was lost")
	}
	third := poll(lost)
	poll(third)
	if !a.Permitted(5) {
		t.Fatal("no permit once answers are received again")
	}
}

// An agent does not ask a worker again at once while the leader has not acknowledged the
// worker's ends, and goes on as soon as it has.
func TestHeartbeatWaitsForTheAcknowledgement(t *testing.T) {
	workers := &fakeWorkers{heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{
			Incarnation: 1,
			Ended:       []aqdecider.EndReport{{Number: 3, Reason: aqdecider.EndDone}},
			Complete:    true,
		}}, nil
	}}
	s, _, clock := testSession(t, workers)
	waited := func() time.Duration {
		before := clock.Now()
		s.awaitAck()
		return clock.Now().Sub(before)
	}
	s.setParams(HeartbeatParams{Worker: "w1", Number: 1, Incarnation: 1})
	if got := waited(); got != 0 {
		t.Errorf("waited %s without unacknowledged ends", got)
	}
	s.heartbeat()
	if got := waited(); got != maxAckWait-heartbeatPause {
		t.Errorf("waited %s for an acknowledgement that does not come", got)
	}
	s.setParams(HeartbeatParams{Worker: "w1", Number: 2, Incarnation: 1, AckedEnd: 3})
	if got := waited(); got != 0 {
		t.Errorf("waited %s after the acknowledgement", got)
	}
	s.setParams(HeartbeatParams{Worker: "w1", Number: 1, Incarnation: 1, AckedEnd: 2})
	if s.params.AckedEnd != 3 {
		t.Error("parameters that were overtaken have been applied")
	}
}

func TestLeaseIsRenewedAfterAnEntryWithAFalseStart(t *testing.T) {
	var last aqworker.HeartbeatRequest
	workers := &fakeWorkers{heartbeat: func(r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		last = r
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}, Clock: aqworker.Time(100 * time.Second)}, nil
	}}
	s, _, _ := testSession(t, workers)
	s.setParams(HeartbeatParams{Worker: "w1", Wait: time.Second, Renew: true})
	s.heartbeat()
	s.updateWorker(aqdecider.Worker{ID: "w1", Incarnation: 1 << 40})
	s.heartbeat()
	s.updateWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
	s.heartbeat()
	s.heartbeat()
	if last.LeaseEnd == 0 {
		t.Error("the lease is not renewed any more")
	}
	s.updateWorker(aqdecider.Worker{ID: "w1", Incarnation: 0, Address: "earlier"})
	if s.address().HostPort == "earlier" {
		t.Error("an entry of an earlier incarnation replaced the one that answers")
	}
}
