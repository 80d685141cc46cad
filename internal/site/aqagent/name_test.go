package aqagent

import (
	"context"
	"testing"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqpeer"
)

// Guards against TWICE (review/6): a process at the address of one that had been shut down answered the calls for that
// one as well. The ends in its answers were lost to the leader, and tasks that were done were started again.
func TestCallForAnotherProcessIsRefused(t *testing.T) {
	workers := &fakeWorkers{heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
		return aqworker.HeartbeatAnswer{Report: aqdecider.WorkerReport{Incarnation: 1}}, nil
	}}
	a := testAgent(workers, aqclock.NewFake())
	a.name = "added"
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := a.Orders(ctx, OrdersCall{Agent: "added", Fence: 5}); err != nil {
		t.Fatal(err)
	}
	a.events = []EventWire{{Worker: "w1", Fenced: &Fenced{}}}
	err := a.Orders(ctx, OrdersCall{Agent: "gone", Fence: 6})
	if code := aqpeer.CodeOf(err); err == nil || code != aqpeer.CodeNotFound {
		t.Errorf("orders for another process: %v", err)
	}
	_, err = a.Poll(ctx, PollCall{Agent: "gone", Fence: 6})
	if code := aqpeer.CodeOf(err); err == nil || code != aqpeer.CodeNotFound {
		t.Errorf("a poll for another process: %v", err)
	}
	if a.fence != 5 {
		t.Errorf("fence %d is that of a call for another process", a.fence)
	}
	answer, err := a.Poll(ctx, PollCall{Agent: "added", Fence: 5})
	if err != nil || len(answer.Events) != 1 {
		t.Errorf("%d events in the answer to the poll for this process, want 1: %v", len(answer.Events), err)
	}
}
