package aqagent

import (
	"runtime"
	"testing"
	"time"

	"acaciaquay/internal/site/aqpayload"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
)

// reportOf returns the report of a worker's incarnation with the runs of some tasks of the job j1.
func reportOf(incarnation aqdecider.Incarnation, running, ended []int) aqdecider.WorkerReport {
	report := aqdecider.WorkerReport{Incarnation: incarnation, Complete: true}
	for _, index := range running {
		report.Running = append(report.Running, aqdecider.RunReport{Run: startOf(index).Run})
	}
	for _, index := range ended {
		report.Ended = append(report.Ended, aqdecider.EndReport{
			Run:    startOf(index).Run,
			Number: 1,
			Reason: aqdecider.EndDone,
		})
	}
	return report
}

// startResults returns the results of starts that a session has told the leader.
func startResults(s *session) (results []StartResult) {
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	for _, e := range s.agent.events {
		if e.StartResult != nil {
			results = append(results, *e.StartResult)
		}
	}
	return results
}

// awaitDeliveries waits until no order is being delivered.
func awaitDeliveries(s *session) {
	for inFlight := 1; inFlight > 0; runtime.Gosched() {
		s.mu.Lock()
		inFlight = s.inFlight
		s.mu.Unlock()
	}
}

// checkStartResult checks the only result of a start.
func checkStartResult(t *testing.T, s *session, want aqdecider.Outcome) {
	t.Helper()
	results := startResults(s)
	if len(results) != 1 || results[0].Run != startOf(0).Run || results[0].Outcome != want {
		t.Fatalf("results %+v, want the outcome %s of %v", results, want, startOf(0).Run)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if results[0].At != s.orderDoneAt || results[0].Incarnation != 1 {
		t.Errorf("result %+v, want the time %d of the last order and incarnation 1", results[0], s.orderDoneAt)
	}
	if len(s.received) != 0 || len(s.starting) != 0 || len(s.queue) != 0 {
		t.Errorf("received %v, starting %v, queued %v after the result", s.received, s.starting, s.queue)
	}
}

// listingSession returns a session of a worker that answers heartbeats with the reports that next returns, and starts
// with what start returns.
func listingSession(
	t *testing.T, next func() aqdecider.WorkerReport, start func(aqworker.StartRequest) error,
) *session {
	t.Helper()
	s, _, clock := testSession(t, &fakeWorkers{
		heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
			return aqworker.HeartbeatAnswer{Report: next(), Clock: aqworker.Time(100 * time.Second)}, nil
		},
		start: start,
		stop:  func(aqworker.StopRequest) error { return aqworker.ErrUnanswered },
	})
	s.workerClock = clockReading{at: clock.Now(), value: 1, known: true}
	s.params.Renew = true
	return s
}

// Guards against a start that is sent after its run has ended: a worker that restarts under its id knows neither the
// run nor its end. A report that lists the run answers the start.
func TestStartIsNotRepeatedOnceAReportListsItsRun(t *testing.T) {
	none := reportOf(1, nil, nil)
	for _, test := range []struct {
		name string
		// reports are what the worker reports during each attempt, which answers are the answers to.
		reports  [][]aqdecider.WorkerReport
		answers  []error
		stopped  bool
		attempts int
		want     aqdecider.Outcome
	}{
		{
			name:     "running",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, []int{0}, nil)}},
			attempts: 1,
			want:     aqdecider.OutcomeAccepted,
		},
		{
			name:     "ended",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, []int{1}, []int{0})}},
			attempts: 1,
			want:     aqdecider.OutcomeAccepted,
		},
		{
			name:     "ended, and listed no more",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, nil, []int{0}), none}},
			attempts: 1,
			want:     aqdecider.OutcomeAccepted,
		},
		{
			name:     "listed during the second attempt",
			reports:  [][]aqdecider.WorkerReport{{none}, {reportOf(1, []int{0}, nil)}},
			attempts: 2,
			want:     aqdecider.OutcomeAccepted,
		},
		{
			name:     "listed during the last attempt",
			reports:  [][]aqdecider.WorkerReport{{none}, {none}, {reportOf(1, []int{0}, nil)}},
			attempts: startTries,
			want:     aqdecider.OutcomeAccepted,
		},
		{
			name:     "refused as its run has ended",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, nil, []int{0})}},
			answers:  []error{aqworker.ErrSuperseded},
			attempts: 1,
			want:     aqdecider.OutcomeAccepted,
		},
		{
			name:     "another run",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, []int{1}, []int{2})}},
			attempts: startTries,
			want:     aqdecider.OutcomeUnknown,
		},
		{
			name:     "listed by an earlier incarnation",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, []int{0}, nil), reportOf(2, nil, nil)}},
			attempts: 1,
			want:     aqdecider.OutcomeUnknown,
		},
		{
			name:     "ordered to stop",
			reports:  [][]aqdecider.WorkerReport{{reportOf(1, []int{0}, nil)}},
			stopped:  true,
			attempts: 1,
			want:     aqdecider.OutcomeUnknown,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s *session
			var report aqdecider.WorkerReport
			attempts := 0
			s = listingSession(t, func() aqdecider.WorkerReport { return report }, func(aqworker.StartRequest) error {
				attempts++
				if attempts <= len(test.reports) {
					for _, report = range test.reports[attempts-1] {
						s.heartbeat()
					}
				}
				if test.stopped {
					s.send(aqdecider.Stop{Worker: "w1", Run: startOf(0).Run}, startDeadline{})
				}
				if attempts <= len(test.answers) {
					return test.answers[attempts-1]
				}
				return aqworker.ErrUnanswered
			})
			awaitPayload(t, s, "j1")
			// Stops are not delivered.
			s.inFlight = maxOrdersInFlight
			s.send(startOf(0), startDeadline{})
			order, ok := s.nextOrder()
			if !ok {
				t.Fatal("no start to deliver")
			}
			s.start(order.(aqdecider.Start))
			s.queue = nil
			if attempts != test.attempts {
				t.Errorf("%d attempts, want %d", attempts, test.attempts)
			}
			checkStartResult(t, s, test.want)
		})
	}
}

// A start that has not been sent is answered by a report that lists its run: it was repeated in a new assignment, and the
// worker has the run since an earlier one. It waits neither for its payload nor for the lease.
func TestWaitingStartIsAnsweredByAReport(t *testing.T) {
	for _, test := range []struct {
		name string
		// play makes the session get the start and the report. The payload is not there.
		play func(*session)
	}{
		{name: "report of the waiting start", play: func(s *session) {
			s.send(startOf(0), startDeadline{})
			s.heartbeat()
		}},
		{name: "report before the start", play: func(s *session) {
			s.heartbeat()
			s.send(startOf(0), startDeadline{})
		}},
		{name: "start without a permit", play: func(s *session) {
			s.send(startOf(0), startDeadline{})
			s.agent.clock.(interface{ Suspend(time.Duration) }).Suspend(PermitTime)
			s.heartbeat()
		}},
		{name: "start without a renewed lease", play: func(s *session) {
			s.params.Renew = false
			s.send(startOf(0), startDeadline{})
			s.heartbeat()
		}},
	} {
		for _, report := range []aqdecider.WorkerReport{reportOf(1, []int{0}, nil), reportOf(1, nil, []int{0})} {
			name := test.name + ", running"
			if len(report.Ended) > 0 {
				name = test.name + ", ended"
			}
			t.Run(name, func(t *testing.T) {
				attempts := make(chan struct{}, startTries)
				s := listingSession(t, func() aqdecider.WorkerReport { return report }, func(aqworker.StartRequest) error {
					attempts <- struct{}{}
					return nil
				})
				payloads := &fakePayloads{hold: make(chan struct{})}
				t.Cleanup(func() { close(payloads.hold) })
				s.agent.payloads = aqpayload.New(payloads, s.agent.clock, s.agent.log, s.agent.guard)
				test.play(s)
				awaitDeliveries(s)
				checkStartResult(t, s, aqdecider.OutcomeAccepted)
				if len(attempts) > 0 {
					t.Errorf("%d attempts", len(attempts))
				}
			})
		}
	}
}

// A start whose payload cannot be had counts as answered if a report lists its run.
func TestListedStartNeedsNoPayload(t *testing.T) {
	s := listingSession(t,
		func() aqdecider.WorkerReport { return reportOf(1, []int{0}, nil) },
		func(aqworker.StartRequest) error { return nil },
	)
	s.heartbeat()
	s.start(startOf(0))
	checkStartResult(t, s, aqdecider.OutcomeAccepted)
}

// A start that a report had answered is not sent without its payload if the worker restarts meanwhile.
func TestListedStartIsNotSentWithoutItsPayload(t *testing.T) {
	attempts := 0
	report := reportOf(1, []int{0}, nil)
	s := listingSession(t,
		func() aqdecider.WorkerReport { return report },
		func(aqworker.StartRequest) error {
			attempts++
			return nil
		},
	)
	s.inFlight = maxOrdersInFlight
	s.heartbeat()
	s.send(startOf(0), startDeadline{})
	order, ok := s.nextOrder()
	if !ok {
		t.Fatal("no start to deliver")
	}
	report = reportOf(2, nil, nil)
	s.heartbeat()
	s.start(order.(aqdecider.Start))
	if results := startResults(s); attempts != 0 || len(results) != 1 || results[0].Outcome != aqdecider.OutcomeNotSent {
		t.Fatalf("%d attempts, results %+v, want the outcome NotSent", attempts, results)
	}
}

// A stop withdraws a waiting start also when a report lists its run.
func TestStopWithdrawsAListedStart(t *testing.T) {
	s := listingSession(t,
		func() aqdecider.WorkerReport { return reportOf(1, []int{0}, nil) },
		func(aqworker.StartRequest) error { return nil },
	)
	s.inFlight = maxOrdersInFlight
	s.send(startOf(0), startDeadline{})
	s.heartbeat()
	s.send(aqdecider.Stop{Worker: "w1", Run: startOf(0).Run}, startDeadline{})
	if o, _ := s.nextOrder(); o != (aqdecider.Stop{Worker: "w1", Run: startOf(0).Run}) {
		t.Fatalf("delivers %+v, want the stop", o)
	}
	if o, ok := s.nextOrder(); ok {
		t.Fatalf("delivers %+v after the stop", o)
	}
}

// A session does not remember the runs of a worker for good.
func TestListedRunsAreForgotten(t *testing.T) {
	report := reportOf(1, []int{0}, []int{1})
	s := listingSession(t, func() aqdecider.WorkerReport { return report }, nil)
	s.heartbeat()
	report = reportOf(1, []int{0}, nil)
	s.agent.clock.(interface{ Advance(time.Duration) }).Advance(2 * time.Hour)
	s.heartbeat()
	if !s.runs.hasListed(startOf(0).Run) || s.runs.hasListed(startOf(1).Run) {
		t.Error("the session must know the run that is listed and forget the one that was")
	}
}
