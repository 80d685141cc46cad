package aqagent

import (
	"context"

	"acaciaquay/internal/site/aqworker"
)

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
