package aqsite

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// Bounds of the calls to one worker.
const (
	// heartbeatWaitIdle, lookBusy and lookClose are how long a worker may hold a look
	// that has no end to tell: with nothing running, with tasks, and with tails
	// to follow.
	heartbeatWaitIdle = 2 * time.Second
	heartbeatWaitBusy = time.Second
	heartbeatWaitTail = 500 * time.Millisecond
	// heartbeatMargin is how much longer than its wait a look may take.
	heartbeatMargin = 700 * time.Millisecond
	// heartbeatPause is the least time between two looks: one answer brings all ends
	// of that time.
	heartbeatPause = 90 * time.Millisecond
	// heartbeatRetry is the pause after a look that failed.
	heartbeatRetry = 150 * time.Millisecond
	// orderTimeout bounds one try of an order.
	orderTimeout = 700 * time.Millisecond
	// startTries and stopTries bound the tries of one order.
	startTries = 3
	stopTries  = 3
	// orderRetry is the pause between the tries of one order.
	orderRetry = 50 * time.Millisecond
	// workerClockWaits is how many of these pauses a start waits for the first look.
	workerClockWaits = 10
	// maxOrdersInFlight bounds the orders to one worker that are under way.
	maxOrdersInFlight = 3
	// failedHeartbeatLimit is how many looks in a row must fail before a worker counts
	// as silent.
	failedHeartbeatLimit = 2
)

// clockDrift is how much slower than this process's a worker's clock may run.
const clockDrift = 0.02

// expiryMargin covers the reading of clocks when a lease is taken to have ended.
const expiryMargin = 100 * time.Millisecond

// session is an agent's dealing with one worker in one assignment: a loop of
// looks that keep the lease, and the orders.
type session struct {
	id     aqtype.WorkerID
	serial Serial
	fence  Fence
	lease  time.Duration
	agent  *agent
	ctx    context.Context
	// cancel is called under the agent's lock or before the session is known to it.
	cancel context.CancelFunc

	mu          sync.Mutex
	worker      aqdecider.Worker
	params      heartbeatParams
	logicalTime aqdecider.LogicalTime
	workerClock clockReading
	// leaseEnd is the highest end of a lease that was sent to this life.
	leaseEnd         WorkerTime
	queue            []aqdecider.Order
	inFlight         int
	failedHeartbeats int
	// answeredAt is the moment of the last answer to an order.
	answeredAt aqdecider.LogicalTime
	// idleReportedAt is when the leader was told that the worker runs nothing, zero
	// when something may have changed since.
	idleReportedAt time.Time
}

// idleReportInterval is how long the leader is not told again of a worker that runs
// nothing, is not expected to, and has had no orders since.
const idleReportInterval = 10 * time.Second

// clockReading is a worker's clock at a time of ours; it was read before.
type clockReading struct {
	at    time.Time
	value WorkerTime
	known bool
}

// lowerBoundAt returns a lower bound of the worker's clock.
func (c clockReading) lowerBoundAt(at time.Time) WorkerTime {
	return c.value + WorkerTime(float64(at.Sub(c.at))*(1-clockDrift))
}

// passedBy returns a time of ours at which the worker's clock is certainly past
// a value.
func (c clockReading) passedBy(value WorkerTime) time.Time {
	return c.at.Add(time.Duration(float64(value-c.value) / (1 - clockDrift))).Add(expiryMargin)
}

// updateWorker takes a new listing of the worker by service discovery.
func (s *session) updateWorker(w aqdecider.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Incarnation < s.worker.Incarnation {
		return
	}
	if w.Incarnation != s.worker.Incarnation {
		s.resetIncarnation()
	}
	s.worker = w
}

// setParams takes what the leader wants of the looks.
func (s *session) setParams(h heartbeatParams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.params = h
	if h.Wait < heartbeatWaitIdle {
		s.idleReportedAt = time.Time{}
	}
}

// resetIncarnation drops what was known of an earlier life, and what was to be started
// or slowed down in it. Orders to stop hold in every life. The lock is held.
func (s *session) resetIncarnation() {
	s.workerClock = clockReading{}
	s.leaseEnd = 0
	s.queue = slices.DeleteFunc(s.queue, func(o aqdecider.Order) bool {
		_, stops := o.(aqdecider.Stop)
		return !stops
	})
	s.idleReportedAt = time.Time{}
}

// nextLogicalTime returns the next moment. The lock is held.
func (s *session) nextLogicalTime() aqdecider.LogicalTime {
	s.logicalTime++
	return s.logicalTime
}

func (s *session) address() Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Address{Worker: s.worker, HostPort: s.worker.Address}
}

// run looks at the worker until the session ends.
func (s *session) run() {
	for s.ctx.Err() == nil {
		pause := heartbeatPause
		if !s.heartbeat() {
			pause = heartbeatRetry
		}
		aqclock.Sleep(s.ctx, s.agent.clock, pause)
	}
}

// heartbeat makes one look and reports whether it was answered.
func (s *session) heartbeat() bool {
	to, request, sent := s.nextHeartbeat()
	bounded, cancel := context.WithTimeout(s.ctx, request.Wait+heartbeatMargin)
	answer, err := s.agent.workers.Heartbeat(bounded, to, request)
	cancel()
	if err != nil {
		s.heartbeatFailed(to, err)
		return false
	}
	answer.Report.Sent = sent
	s.heartbeatAnswered(to, answer)
	return true
}

// nextHeartbeat prepares a look. A worker that did not answer the last one is not
// given a longer lease, so that the end of its lease comes nearer.
func (s *session) nextHeartbeat() (Address, HeartbeatRequest, aqdecider.LogicalTime) {
	permitted := s.agent.permitted(s.fence)
	s.mu.Lock()
	defer s.mu.Unlock()
	to := Address{Worker: s.worker, HostPort: s.worker.Address}
	request := HeartbeatRequest{Fence: s.fence}
	if permitted {
		request.LeaseEnd = s.nextLeaseEnd()
	}
	// An agent that was away may not know that the worker has restarted and counts
	// its ends anew.
	if permitted && s.failedHeartbeats == 0 && s.params.Incarnation == s.worker.Incarnation {
		request.AckedEnd = s.params.AckedEnd
	}
	if request.LeaseEnd > 0 {
		request.Wait = s.params.Wait
	}
	return to, request, s.nextLogicalTime()
}

// nextLeaseEnd returns the end of the lease to ask for, zero while it must not be
// prolonged. The lock is held.
func (s *session) nextLeaseEnd() WorkerTime {
	if !s.workerClock.known || !s.params.Renew || s.failedHeartbeats > 0 {
		return 0
	}
	end := s.workerClock.lowerBoundAt(s.agent.clock.Now()) + WorkerTime(s.lease)
	s.leaseEnd = max(s.leaseEnd, end)
	return end
}

func (s *session) heartbeatAnswered(to Address, answer HeartbeatAnswer) {
	s.mu.Lock()
	life := answer.Report.Incarnation
	if life < s.worker.Incarnation {
		s.mu.Unlock()
		return
	}
	if life != to.Worker.Incarnation || life != s.worker.Incarnation {
		s.resetIncarnation()
		s.worker.Incarnation = life
	}
	s.failedHeartbeats = 0
	s.workerClock = clockReading{at: s.agent.clock.Now(), value: answer.Clock, known: true}
	if s.leaseEnd == 0 {
		// Another agent may have prolonged the lease until now.
		s.leaseEnd = answer.Clock + WorkerTime(s.lease)
	}
	known := s.alreadyReported(answer.Report)
	s.mu.Unlock()
	if !known {
		s.agent.emit(s, reportReceived{Report: answer.Report})
	}
}

// alreadyReported reports whether a listing is one that the leader knows already: of a
// worker that runs nothing. The lock is held.
func (s *session) alreadyReported(l aqdecider.WorkerReport) bool {
	now := s.agent.clock.Now()
	settled := s.inFlight == 0 && len(s.queue) == 0 && l.Sent > s.answeredAt
	if !settled || len(l.Running) > 0 || len(l.Ended) > 0 || s.params.Wait < heartbeatWaitIdle {
		s.idleReportedAt = time.Time{}
		return false
	}
	if !s.idleReportedAt.IsZero() && now.Sub(s.idleReportedAt) < idleReportInterval {
		return true
	}
	s.idleReportedAt = now
	return false
}

func (s *session) heartbeatFailed(to Address, err error) {
	if s.ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrFenced) {
		s.agent.emit(s, fenced{})
		return
	}
	s.mu.Lock()
	if to.Worker.Incarnation != s.worker.Incarnation {
		s.mu.Unlock()
		return
	}
	s.failedHeartbeats++
	s.idleReportedAt = time.Time{}
	failed := s.failedHeartbeats
	lapse := time.Duration(-1)
	if s.workerClock.known {
		lapse = max(0, s.workerClock.passedBy(s.leaseEnd).Sub(s.agent.clock.Now()))
	}
	s.mu.Unlock()
	s.agent.metrics.Retried(aqmetric.RetryOrderLost)
	if failed != failedHeartbeatLimit {
		return
	}
	s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "look"), aqlog.Err(err))
	s.agent.emit(s, unresponsive{ExpiresIn: lapse})
}
