package aqagent

import (
	"context"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqjob"
)

// errNoPayload is the error of a fetch that fails.
var errNoPayload = errors.New("no payload")

// fakePayloads answers fetches. While hold is set, a fetch waits until it is closed.
type fakePayloads struct {
	hold chan struct{}

	mu      sync.Mutex
	fetches int
	// failures is how many of the next fetches fail.
	failures int
}

func (f *fakePayloads) Payload(_ context.Context, job aqjob.ID, from string) (string, error) {
	if f.hold != nil {
		<-f.hold
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetches++
	if f.failures > 0 {
		f.failures--
		return "", errNoPayload
	}
	return "payload of " + string(job) + " from " + from, nil
}

// awaitPayload makes the payload of a job available to a session.
func awaitPayload(t *testing.T, s *session, job aqjob.ID) {
	t.Helper()
	ready := make(chan struct{}, 1)
	if !s.agent.payloads.Prepare(s.id, job, "", func() { ready <- struct{}{} }) {
		<-ready
	}
}

// fakeWorkers answers each call with a function.
type fakeWorkers struct {
	heartbeat func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error)
	start     func(aqworker.StartRequest) error
	stop      func(aqworker.StopRequest) error
}

func (f *fakeWorkers) Heartbeat(_ context.Context, _ aqworker.Address, r aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
	return f.heartbeat(r)
}

func (f *fakeWorkers) Start(_ context.Context, _ aqworker.Address, r aqworker.StartRequest) error {
	return f.start(r)
}

func (f *fakeWorkers) Stop(_ context.Context, _ aqworker.Address, r aqworker.StopRequest) error {
	return f.stop(r)
}

func (f *fakeWorkers) Pace(context.Context, aqworker.Address, aqworker.PaceRequest) error { return nil }
