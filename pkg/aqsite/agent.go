package aqsite

import (
	"context"
	"sync"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// Timing between a leader and its agents.
const (
	// pollWait is how long an agent holds a poll while it has no events. A poll that
	// acknowledges the last answer renews the agent's permit.
	pollWait = 500 * time.Millisecond
	// permitTime is how long an agent starts runs, renews leases and acknowledges ends
	// without contact with its leader.
	permitTime = 1500 * time.Millisecond
	// batchDelay is how long an agent collects further events into one answer.
	batchDelay = 30 * time.Millisecond
)

// agent manages workers for the leader with the highest fencing token that it has
// received.
type agent struct {
	workers Workers
	clock   aqclock.Clock
	log     *aqlog.Logger
	metrics *aqmetric.Set

	mu    sync.Mutex
	fence Fence
	lease time.Duration
	// permitAt is the elapsed time at which the agent sent the last answer that the
	// leader has acknowledged.
	permitAt time.Duration
	// answers is the number of the last answer to a poll, answeredAt the elapsed time at
	// which the agent sent it.
	answers    uint64
	answeredAt time.Duration
	sessions   map[aqtype.WorkerID]*session
	events     []eventWire
	wake       chan struct{}
	// onPoll is called with every accepted poll.
	onPoll func(pollCall)
}

func newAgent(workers Workers, clock aqclock.Clock, log *aqlog.Logger, metrics *aqmetric.Set) *agent {
	return &agent{
		workers:  workers,
		clock:    clock,
		log:      log,
		metrics:  metrics,
		sessions: map[aqtype.WorkerID]*session{},
		wake:     make(chan struct{}, 1),
	}
}

// acceptFence refuses a fencing token below the highest one received. For a higher one
// it ends the sessions of the earlier leader. The caller holds the lock.
func (a *agent) acceptFence(fence Fence) error {
	if fence < a.fence {
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "fence %d is below %d", fence, a.fence)
	}
	if fence > a.fence {
		a.endSessions()
		a.fence = fence
		a.permitAt = noPermit
		// Skipping a number keeps a poll that acknowledges an earlier answer, or none,
		// from giving a permit.
		a.answers++
	}
	return nil
}

// endSessions ends all sessions and drops their events. The caller holds the lock.
func (a *agent) endSessions() {
	for id, s := range a.sessions {
		s.cancel()
		delete(a.sessions, id)
	}
	a.events = nil
}

// noPermit is a value of permitAt that gives no permit at any elapsed time.
const noPermit = -permitTime

// permitted reports whether the agent has a permit of the leader with this fencing
// token: the leader has acknowledged an answer that was sent within permitTime.
func (a *agent) permitted(fence Fence) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fence == a.fence && a.clock.Elapsed()-a.permitAt < permitTime
}

// Orders implements agentLink.
func (a *agent) Orders(_ context.Context, call ordersCall) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.acceptFence(call.Fence); err != nil {
		return err
	}
	a.lease = call.Lease
	for _, id := range call.Drop {
		if s := a.sessions[id]; s != nil {
			s.cancel()
			delete(a.sessions, id)
		}
	}
	for _, next := range call.Assign {
		a.assign(next)
	}
	for _, wire := range call.Orders {
		order := wire.unwrap()
		if order == nil {
			continue
		}
		if s := a.sessions[order.Target()]; s != nil {
			s.send(order)
		}
	}
	return nil
}

// assign starts or updates a session. The caller holds the lock.
func (a *agent) assign(next assignment) {
	id := next.Worker.ID
	if s := a.sessions[id]; s != nil {
		if s.serial == next.Serial {
			s.updateWorker(next.Worker)
			return
		}
		s.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		id:     id,
		serial: next.Serial,
		fence:  a.fence,
		lease:  a.lease,
		agent:  a,
		worker: next.Worker,
		params: next.Params,
		ctx:    ctx,
		cancel: cancel,
	}
	a.sessions[id] = s
	go s.run()
}

// Poll implements agentLink.
func (a *agent) Poll(ctx context.Context, call pollCall) (pollAnswer, error) {
	if err := a.acceptPoll(call); err != nil {
		return pollAnswer{}, err
	}
	if a.onPoll != nil {
		a.onPoll(call)
	}
	if !a.hasEvents() && a.permitted(call.Fence) {
		select {
		case <-ctx.Done():
		case <-a.wake:
			aqclock.Sleep(ctx, a.clock, batchDelay)
		case <-a.clock.After(call.Wait):
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.Fence != a.fence {
		return pollAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "fence %d is below %d", call.Fence, a.fence)
	}
	a.answers++
	a.answeredAt = a.clock.Elapsed()
	answer := pollAnswer{Number: a.answers, Events: a.events}
	a.events = nil
	return answer, nil
}

// acceptPoll checks a poll's fencing token, renews the permit when the poll acknowledges
// the last answer, and applies the parameters of heartbeats.
func (a *agent) acceptPoll(call pollCall) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.acceptFence(call.Fence); err != nil {
		return err
	}
	if call.AckedAnswer == a.answers {
		a.permitAt = a.answeredAt
	}
	for _, p := range call.Params {
		if s := a.sessions[p.Worker]; s != nil {
			s.setParams(p)
		}
	}
	return nil
}

func (a *agent) hasEvents() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.events) > 0
}

// emit queues an event for the leader, unless the session has ended.
func (a *agent) emit(s *session, e event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.id] != s {
		return
	}
	a.events = append(a.events, wrapEvent(s.id, s.serial, e))
	signal(a.wake)
}

// stop ends every session.
func (a *agent) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endSessions()
}

// registerHandlers registers the handlers of a leader's calls.
func (a *agent) registerHandlers(server *aqpeer.Server) {
	aqpeer.Handle(server, methodOrders, func(ctx context.Context, in ordersCall) (struct{}, error) {
		return struct{}{}, a.Orders(ctx, in)
	})
	aqpeer.Handle(server, methodPoll, a.Poll)
}
