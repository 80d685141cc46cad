package aqagent

import (
	"testing"

	"acaciaquay/internal/site/aqpayload"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// startOf returns an order to start one task of the job j1.
func startOf(index int) aqdecider.Start {
	return aqdecider.Start{
		Worker:        "w1",
		Run:           aqdecider.RunID{Task: aqjob.TaskID{Job: "j1", Index: index}, Attempt: 1},
		PayloadSource: "acceptor",
	}
}

// All starts of a job share one fetch of its payload. An order to stop does not wait for
// it, and a start that the stop has overtaken is not sent.
func TestStartsShareOnePayload(t *testing.T) {
	started := make(chan aqworker.StartRequest, 8)
	stopped := make(chan aqdecider.RunID, 1)
	workers := &fakeWorkers{
		start: func(r aqworker.StartRequest) error {
			started <- r
			return nil
		},
		stop: func(r aqworker.StopRequest) error {
			stopped <- r.Run
			return nil
		},
	}
	s, a, clock := testSession(t, workers)
	payloads := &fakePayloads{hold: make(chan struct{})}
	a.payloads = aqpayload.New(payloads, a.clock, a.log, a.guard)
	s.workerClock = clockReading{at: clock.Now(), value: 1, known: true}
	s.params.Renew = true
	for index := range 4 {
		s.send(startOf(index), startDeadline{})
	}
	s.send(aqdecider.Stop{Worker: "w1", Run: startOf(3).Run}, startDeadline{})
	if run := <-stopped; run != startOf(3).Run {
		t.Fatalf("stopped %+v", run)
	}
	close(payloads.hold)
	for range 3 {
		if r := <-started; r.Payload != "payload of j1 from acceptor" || r.Order.Run.Task.Index == 3 {
			t.Errorf("started %+v", r)
		}
	}
	if payloads.fetches != 1 {
		t.Errorf("%d fetches, want one", payloads.fetches)
	}
}

// A start whose payload cannot be fetched is reported as not sent, and the next start of
// the job fetches again.
func TestMissingPayloadIsFetchedAgain(t *testing.T) {
	s, a, clock := testSession(t, &fakeWorkers{start: func(aqworker.StartRequest) error { return nil }})
	payloads := &fakePayloads{failures: aqpayload.Tries}
	a.payloads = aqpayload.New(payloads, a.clock, a.log, a.guard)
	s.workerClock = clockReading{at: clock.Now(), value: 1, known: true}
	s.params.Renew = true
	for _, want := range []aqdecider.Outcome{aqdecider.OutcomeNotSent, aqdecider.OutcomeAccepted} {
		awaitPayload(t, s, "j1")
		s.start(startOf(0))
		last := a.events[len(a.events)-1]
		if last.StartResult == nil || last.StartResult.Outcome != want {
			t.Errorf("event %+v, want outcome %s", last, want)
		}
	}
}
