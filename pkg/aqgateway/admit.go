package aqgateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqadmit"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqroute"
	"acaciaquay/pkg/aqtype"
)

// Reasons why admission refuses a request. A refused request did not run.
var (
	errNoEndpoint = errors.New("gateway: the service has no endpoint")
	errQueueFull  = errors.New("gateway: too many requests wait")
	errDeadline   = errors.New("gateway: the deadline cannot be met")
)

// serviceState holds what this gateway knows of a service: its endpoints and the
// requests that wait for a slot.
type serviceState struct {
	clock    aqclock.Clock
	maxQueue int
	// probe reports whether an endpoint answers on a new connection.
	probe func(address string) bool
	// done is closed when the gateway stops.
	done <-chan struct{}

	mu    sync.Mutex
	table *aqroute.Table
	queue *aqadmit.Queue
	// uploads holds the uploads in progress, uploadQueue those that wait.
	uploads     map[*upload]bool
	uploadQueue *aqadmit.Queue
	// serviceTime is a moving average of how long a request holds a slot.
	serviceTime time.Duration
}

// slotResult ends the wait of a queued request: with a slot at an endpoint or with an
// error.
type slotResult struct {
	endpoint *aqroute.Endpoint
	err      error
}

func newServiceState(g *Gateway, random *rand.Rand) *serviceState {
	return &serviceState{
		clock:    g.options.Clock,
		maxQueue: g.options.MaxQueue,
		probe:    g.forwarder.probe,
		done:     g.done,
		table:    aqroute.NewTable(random),
		queue:    aqadmit.NewQueue(g.options.Config.Current()),
		uploads:  map[*upload]bool{},

		uploadQueue: aqadmit.NewQueue(g.options.Config.Current()),
	}
}

// update applies a snapshot of the platform's host list.
func (s *serviceState) update(hosts []aqplatform.EndpointHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Update(hosts)
	s.grantSlots()
	s.grantUploads()
}

func (s *serviceState) setShares(config aqconfig.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetShares(config)
	s.uploadQueue.SetShares(config)
}

// acquire returns an endpoint with a slot taken for the request. If no slot is free or
// other requests are queued, the request waits in the queue until its deadline.
func (s *serviceState) acquire(ctx context.Context, r request) (*aqroute.Endpoint, error) {
	s.mu.Lock()
	if s.queue.Len() == 0 {
		if e := s.table.Pick(); e != nil {
			s.mu.Unlock()
			return e, nil
		}
	}
	ticket, err := s.enqueue(r)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	result := ticket.Value.(chan slotResult)
	select {
	case g := <-result:
		return g.endpoint, g.err
	case <-s.clock.After(r.deadline.Sub(s.clock.Now())):
		return s.withdraw(ticket, errDeadline)
	case <-ctx.Done():
		return s.withdraw(ticket, ctx.Err())
	}
}

// enqueue adds a request to the queue. It refuses the request if the service has no
// endpoint, the queue is full, or the request could not start before its deadline. The
// lock must be held.
func (s *serviceState) enqueue(r request) (*aqadmit.Ticket, error) {
	switch {
	case s.table.Len() == 0:
		return nil, errNoEndpoint
	case s.queue.Len() >= s.maxQueue:
		return nil, errQueueFull
	case s.clock.Now().Add(s.expectedWait(r.urgency)).After(r.deadline):
		return nil, errDeadline
	}
	ticket := &aqadmit.Ticket{
		Urgency:  r.urgency,
		Caller:   r.caller,
		Deadline: r.deadline,
		Value:    make(chan slotResult, 1),
	}
	s.queue.Push(ticket)
	return ticket, nil
}

// expectedWait estimates how long a new request of an urgency would wait: the time to
// serve the queued requests of that urgency and the new one, with the urgency's share
// of the slots.
func (s *serviceState) expectedWait(u aqtype.Urgency) time.Duration {
	slots := s.table.Slots()
	if slots == 0 {
		return 0
	}
	requests := float64(s.queue.Waiting(u) + 1)
	grantInterval := float64(s.serviceTime) / float64(slots)
	return time.Duration(requests * grantInterval / s.queue.Share(u))
}

// withdraw removes a request from the queue, or releases the slot that it was
// granted in the meantime.
func (s *serviceState) withdraw(ticket *aqadmit.Ticket, err error) (*aqroute.Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Remove(ticket) {
		return nil, err
	}
	if g := <-ticket.Value.(chan slotResult); g.endpoint != nil {
		g.endpoint.Release()
		s.grantSlots()
	}
	return nil, err
}

// grantSlots gives free slots to queued requests in queue order. The lock must be held.
func (s *serviceState) grantSlots() {
	now := s.clock.Now()
	for s.queue.Len() > 0 {
		e := s.table.Pick()
		if e == nil {
			return
		}
		ticket := s.queue.Pop(now, expire)
		if ticket == nil {
			e.Release()
			return
		}
		ticket.Value.(chan slotResult) <- slotResult{endpoint: e}
	}
}

func expire(t *aqadmit.Ticket) { t.Value.(chan slotResult) <- slotResult{err: errDeadline} }

// serviceTimeWeight is the weight of the latest request in the moving average.
const serviceTimeWeight = 0.05

// recordSuccess releases a slot after an answer that took the given time.
func (s *serviceState) recordSuccess(e *aqroute.Endpoint, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serviceTime == 0 {
		s.serviceTime = took
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
	e.RecordSuccess()
	s.grantSlots()
}

// recordFailure releases a slot after a failure and reports whether it was the first
// since the endpoint's last success.
func (s *serviceState) recordFailure(e *aqroute.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := e.RecordFailure()
	if first {
		go s.probeUntilAnswered(e)
	}
	s.grantSlots()
	return first
}

// probeUntilAnswered probes a failed endpoint until it answers or is removed from the
// table, so that no caller's request serves as the probe.
func (s *serviceState) probeUntilAnswered(e *aqroute.Endpoint) {
	for {
		s.mu.Lock()
		pause, removed := e.Backoff(), e.Removed()
		s.mu.Unlock()
		if removed {
			return
		}
		select {
		case <-s.done:
			return
		case <-s.clock.After(pause):
		}
		answered := s.probe(e.Address)
		s.mu.Lock()
		e.RecordProbe(answered)
		s.grantSlots()
		s.mu.Unlock()
		if answered {
			return
		}
	}
}

// release releases a slot that was not used, or whose caller disconnected or timed
// out.
func (s *serviceState) release(e *aqroute.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Release()
	s.grantSlots()
}

// recordAnswer records whether an answer announced the close of its connection, as the
// header Connection: close does. An endpoint that shuts down announces it before the
// host list shows the endpoint as draining.
func (s *serviceState) recordAnswer(e *aqroute.Endpoint, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.RecordAnswer(closing)
}
