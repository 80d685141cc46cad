package aqagent

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// overtakingWorkers returns workers that refuse tokens below the highest one.
func overtakingWorkers(highest *aqworker.Token, check func(aqworker.Token)) *fakeWorkers {
	accept := func(token aqworker.Token) error {
		check(token)
		if token < *highest {
			return aqworker.ErrFenced
		}
		return nil
	}
	return &fakeWorkers{
		heartbeat: func(r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
			answer := aqworker.HeartbeatAnswer{
				Report: aqdecider.WorkerReport{Incarnation: 1},
				Clock:  aqworker.Time(100 * time.Second),
			}
			return answer, accept(r.Token)
		},
		start: func(r aqworker.StartRequest) error { return accept(r.Token) },
		stop:  func(r aqworker.StopRequest) error { return accept(r.Token) },
	}
}

// A call that a later one with a raised token has overtaken is repeated and does not end the leader's term. A higher
// token of another leader does.
func TestOvertakenCallIsNotTakenForAnotherLeader(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	for _, test := range []struct {
		name string
		// raised is set if the leader raises the token during the call.
		raised bool
		call   func(*session)
	}{
		{name: "heartbeat", raised: true, call: func(s *session) { s.heartbeat() }},
		{name: "start", raised: true, call: func(s *session) { s.start(aqdecider.Start{Worker: "w1", Run: run}) }},
		{name: "stop", raised: true, call: func(s *session) { s.stop(aqdecider.Stop{Worker: "w1", Run: run}) }},
		{name: "heartbeat", call: func(s *session) { s.heartbeat() }},
		{name: "start", call: func(s *session) { s.start(aqdecider.Start{Worker: "w1", Run: run}) }},
		{name: "stop", call: func(s *session) { s.stop(aqdecider.Stop{Worker: "w1", Run: run}) }},
	} {
		highest := aqworker.Fence(5).Token(0)
		var s *session
		raise := func(token aqworker.Token) {
			if test.raised && token == aqworker.Fence(5).Token(0) && highest > token {
				s.setParams(HeartbeatParams{
					Worker:   "w1",
					Number:   2,
					Wait:     time.Second,
					Renew:    true,
					Restarts: 1,
				})
			}
		}
		session, agent, _ := testSession(t, overtakingWorkers(&highest, raise))
		s = session
		awaitPayload(t, s, "j")
		s.setParams(HeartbeatParams{Worker: "w1", Number: 1, Wait: time.Second, Renew: true})
		s.heartbeat()
		agent.events = nil
		highest = aqworker.Fence(5).Token(1)
		if !test.raised {
			highest = aqworker.Fence(6).Token(0)
		}
		test.call(s)
		deposed := false
		for _, e := range agent.events {
			deposed = deposed || e.Fenced != nil
		}
		if deposed == test.raised {
			t.Errorf("%s, raised %v: deposed %v", test.name, test.raised, deposed)
		}
		if test.raised && s.token() != highest {
			t.Errorf("%s: token %d, want %d", test.name, s.token(), highest)
		}
	}
}

// Tokens order calls by their leader first, then by the worker's restarts.
func TestTokensOrderLeadersAndRestarts(t *testing.T) {
	ordered := []aqworker.Token{
		aqworker.Fence(5).Token(0),
		aqworker.Fence(5).Token(1),
		aqworker.Fence(5).Token(1<<16 - 1),
		aqworker.Fence(6).Token(0),
		aqworker.Fence(6).Token(2),
	}
	for i := 1; i < len(ordered); i++ {
		if ordered[i] <= ordered[i-1] {
			t.Errorf("token %d is not above %d", ordered[i], ordered[i-1])
		}
	}
}

// Until the leader knows of a restart and raises the token, no heartbeat waits at the worker.
func TestHeartbeatAfterARestartDoesNotWait(t *testing.T) {
	var last aqworker.HeartbeatRequest
	incarnation := aqdecider.Incarnation(1)
	workers := &fakeWorkers{heartbeat: func(r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		last = r
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: incarnation}, Clock: aqworker.Time(time.Second)}, nil
	}}
	s, _, _ := testSession(t, workers)
	params := HeartbeatParams{
		Worker:      "w1",
		Number:      1,
		Wait:        time.Second,
		Renew:       true,
		Incarnation: 1,
	}
	s.setParams(params)
	s.heartbeat()
	s.heartbeat()
	if last.Wait != time.Second {
		t.Fatalf("a heartbeat waits %s, want 1s", last.Wait)
	}
	incarnation = 2
	s.heartbeat()
	s.heartbeat()
	if last.Wait != 0 {
		t.Fatalf("a heartbeat waits %s though the leader does not know of the restart", last.Wait)
	}
	params.Number++
	params.Incarnation = 2
	params.Restarts = 1
	s.setParams(params)
	s.heartbeat()
	if last.Wait != 0 || last.Token != aqworker.Fence(5).Token(1) {
		t.Fatalf("the first heartbeat with the raised token waits %s, its token is %d", last.Wait, last.Token)
	}
	s.heartbeat()
	if last.Wait != time.Second || last.Token != aqworker.Fence(5).Token(1) {
		t.Fatalf("a heartbeat waits %s with token %d", last.Wait, last.Token)
	}
}

// Guards against TWICE: until a worker that has restarted refuses calls to its earlier incarnations, nobody knows
// until when a lease of one of them may last, and nothing may be started there.
func TestNothingIsStartedBeforeARestartIsSettled(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	incarnation := aqdecider.Incarnation(1)
	starts := 0
	workers := &fakeWorkers{
		heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
			report := aqdecider.WorkerReport{Incarnation: incarnation, Complete: true}
			return aqworker.HeartbeatAnswer{Report: report, Clock: aqworker.Time(100 * time.Second)}, nil
		},
		start: func(aqworker.StartRequest) error {
			starts++
			return nil
		},
	}
	s, agent, _ := testSession(t, workers)
	awaitPayload(t, s, "j")
	params := HeartbeatParams{
		Worker:      "w1",
		Number:      1,
		Wait:        time.Second,
		Renew:       true,
		Incarnation: 1,
	}
	s.setParams(params)
	s.heartbeat()
	settled := func() (count int) {
		for _, e := range agent.events {
			if e.Report != nil && e.Report.Settled {
				count++
			}
		}
		return count
	}
	for _, step := range []struct {
		name    string
		do      func()
		starts  int
		settled int
	}{
		{name: "restart", do: func() { incarnation = 2; s.heartbeat(); s.heartbeat() }},
		{name: "raised token", do: func() {
			params.Number, params.Incarnation, params.Restarts = 2, 2, 1
			s.setParams(params)
		}},
		{name: "answer", do: s.mustAnswer, starts: 1, settled: 1},
		{name: "another answer", do: s.mustAnswer, starts: 2, settled: 1},
	} {
		step.do()
		s.start(aqdecider.Start{Worker: "w1", Run: run})
		if starts != step.starts || settled() != step.settled {
			t.Errorf("%s: %d starts and %d settled reports, want %d and %d", step.name, starts, settled(), step.starts, step.settled)
		}
		run.Attempt++
	}
}

func (s *session) mustAnswer() {
	if !s.heartbeat() {
		panic("the worker does not answer")
	}
}

// Guards against TWICE: a start that was being delivered when its worker restarted was repeated there with the
// raised token, though the run might have been done before.
func TestStartIsNotRepeatedAfterARestart(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	incarnation := aqdecider.Incarnation(1)
	var s *session
	workers := &fakeWorkers{
		heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
			report := aqdecider.WorkerReport{Incarnation: incarnation, Complete: true}
			return aqworker.HeartbeatAnswer{Report: report, Clock: aqworker.Time(100 * time.Second)}, nil
		},
		start: func(r aqworker.StartRequest) error {
			if incarnation == 2 {
				t.Errorf("the start is repeated with token %d", r.Token)
				return nil
			}
			incarnation = 2
			s.heartbeat()
			s.setParams(HeartbeatParams{
				Worker:      "w1",
				Number:      2,
				Wait:        time.Second,
				Renew:       true,
				Incarnation: 2,
				Restarts:    1,
			})
			return aqworker.ErrUnanswered
		},
	}
	s, _, _ = testSession(t, workers)
	awaitPayload(t, s, "j")
	s.setParams(HeartbeatParams{
		Worker:      "w1",
		Number:      1,
		Wait:        time.Second,
		Renew:       true,
		Incarnation: 1,
	})
	s.heartbeat()
	s.start(aqdecider.Start{Worker: "w1", Run: run})
}

// An agent that is cut off from its leader does not go on with a token that the worker has refused, since another agent
// has been given the worker with a raised one.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	highest := aqworker.Fence(5).Token(0)
	refusals := 0
	workers := overtakingWorkers(&highest, func(token aqworker.Token) {
		if token < highest {
			refusals++
		}
	})
	s, agent, clock := testSession(t, workers)
	s.setParams(HeartbeatParams{Worker: "w1", Number: 1, Wait: time.Second, Renew: true})
	s.heartbeat()
	highest = aqworker.Fence(5).Token(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run()
	}()
	for range 60 {
		clock.Advance(heartbeatRetry)
	}
	<-done
	s.send(aqdecider.Stop{Worker: "w1", Run: run}, startDeadline{})
	fenced := 0
	for _, e := range agent.events {
		if e.Fenced != nil {
			fenced++
		}
	}
	if refusals != 1 || fenced != 1 {
		t.Errorf("%d refused calls, %d events, want one each", refusals, fenced)
	}
}
