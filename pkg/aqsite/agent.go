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
	// pollWait is how long an agent holds a poll without events. Each poll
	// permits the agent to go on.
	pollWait = 500 * time.Millisecond
	// permitTime is how long an agent goes on without a word of its leader.
	permitTime = 1500 * time.Millisecond
	// batchDelay lets events gather into one answer.
	batchDelay = 30 * time.Millisecond
)

// agent deals with workers for the leader of the highest fence that it has
// heard of.
type agent struct {
	workers Workers
	clock   aqclock.Clock
	log     *aqlog.Logger
	metrics *aqmetric.Set

	mu    sync.Mutex
	fence Fence
	lease time.Duration
	// permitAt is the time elapsed when the last answer was sent that the leader is
	// known to have received.
	permitAt time.Duration
	// answers counts the answers to polls, answeredAt is when the last was sent.
	answers    uint64
	answeredAt time.Duration
	sessions   map[aqtype.WorkerID]*session
	events     []eventWire
	wake       chan struct{}
	// onPoll is told of the leader that calls.
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

// acceptFence checks a leader's fence. The lock is held.
func (a *agent) acceptFence(fence Fence) error {
	if fence < a.fence {
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "fence %d is below %d", fence, a.fence)
	}
	if fence > a.fence {
		a.endSessions()
		a.fence = fence
		a.permitAt = noPermit
		a.answers++
	}
	return nil
}

func (a *agent) endSessions() {
	for id, s := range a.sessions {
		s.cancel()
		delete(a.sessions, id)
	}
	a.events = nil
}

// noPermit is before every time that counts.
const noPermit = -permitTime

// permitted reports whether the leader of a fence was heard of lately.
func (a *agent) permitted(fence Fence) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fence == a.fence && a.clock.Elapsed()-a.permitAt < permitTime
}

// Orders implements crewLink.
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

// assign begins or updates a session. The lock is held.
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

// Poll implements crewLink.
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

func (a *agent) acceptPoll(call pollCall) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.acceptFence(call.Fence); err != nil {
		return err
	}
	if call.AckedAnswer == a.answers {
		a.permitAt = a.answeredAt
	}
	for _, h := range call.Params {
		if s := a.sessions[h.Worker]; s != nil {
			s.setParams(h)
		}
	}
	return nil
}

func (a *agent) hasEvents() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.events) > 0
}

// emit tells the leader of an event, unless the session has been replaced.
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

// registerHandlers registers the answers to a leader's calls.
func (a *agent) registerHandlers(server *aqpeer.Server) {
	aqpeer.Handle(server, methodOrders, func(ctx context.Context, in ordersCall) (struct{}, error) {
		return struct{}{}, a.Orders(ctx, in)
	})
	aqpeer.Handle(server, methodPoll, a.Poll)
}
