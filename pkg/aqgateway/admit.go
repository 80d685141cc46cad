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
	// serviceTime is a moving average of how long a request holds a slot.
	serviceTime time.Duration
}

// grant is what a waiting request receives: an endpoint or a refusal.
type grant struct {
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
	}
}

// update applies a snapshot of the platform's host list.
func (s *serviceState) update(hosts []aqplatform.EndpointHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Update(hosts)
	s.grantSlots()
}

func (s *serviceState) setShares(config aqconfig.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetShares(config)
}

// acquire takes a slot at an endpoint, waiting for its turn until the deadline.
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
	granted := ticket.Value.(chan grant)
	select {
	case g := <-granted:
		return g.endpoint, g.err
	case <-s.clock.After(r.deadline.Sub(s.clock.Now())):
		return s.withdraw(ticket, errDeadline)
	case <-ctx.Done():
		return s.withdraw(ticket, ctx.Err())
	}
}

// enqueue adds a request to the queue. It refuses a request that could not start
// before its deadline. The lock must be held.
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
		Value:    make(chan grant, 1),
	}
	s.queue.Push(ticket)
	return ticket, nil
}

// expectedWait estimates how long a new request of an urgency would wait: the
// requests of its urgency before it, served at the urgency's share of the slots.
func (s *serviceState) expectedWait(u aqtype.Urgency) time.Duration {
	slots := s.table.Slots()
	if slots == 0 {
		return 0
	}
	before := float64(s.queue.Waiting(u) + 1)
	perGrant := float64(s.serviceTime) / float64(slots)
	return time.Duration(before * perGrant / s.queue.Share(u))
}

// withdraw removes a request from the queue, or releases the slot that it was
// granted in the meantime.
func (s *serviceState) withdraw(ticket *aqadmit.Ticket, err error) (*aqroute.Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Remove(ticket) {
		return nil, err
	}
	if g := <-ticket.Value.(chan grant); g.endpoint != nil {
		g.endpoint.Abandoned()
		s.grantSlots()
	}
	return nil, err
}

// grantSlots gives free slots to queued requests in their order. The lock must be
// held.
func (s *serviceState) grantSlots() {
	now := s.clock.Now()
	for s.queue.Len() > 0 {
		e := s.table.Pick()
		if e == nil {
			return
		}
		ticket := s.queue.Pop(now, expire)
		if ticket == nil {
			e.Abandoned()
			return
		}
		ticket.Value.(chan grant) <- grant{endpoint: e}
	}
}

func expire(t *aqadmit.Ticket) { t.Value.(chan grant) <- grant{err: errDeadline} }

// serviceTimeWeight is the weight of one request in the moving average.
const serviceTimeWeight = 0.05

// succeeded releases a slot after an answer that took the given time.
func (s *serviceState) succeeded(e *aqroute.Endpoint, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serviceTime == 0 {
		s.serviceTime = took
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
	e.Succeeded()
	s.grantSlots()
}

// failed releases a slot after a failure and reports whether it was the first since
// the endpoint's last success.
func (s *serviceState) failed(e *aqroute.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := e.Failed()
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
		pause, dropped := e.Backoff(), e.Removed()
		s.mu.Unlock()
		if dropped {
			return
		}
		select {
		case <-s.done:
			return
		case <-s.clock.After(pause):
		}
		answered := s.probe(e.Address)
		s.mu.Lock()
		e.Probed(answered)
		s.grantSlots()
		s.mu.Unlock()
		if answered {
			return
		}
	}
}

// abandoned releases a slot that was not used, or whose caller disconnected or timed
// out.
func (s *serviceState) abandoned(e *aqroute.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Abandoned()
	s.grantSlots()
}

// recordAnswer records whether an answer announced the close of its connection.
func (s *serviceState) recordAnswer(e *aqroute.Endpoint, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.RecordAnswer(closing)
}
