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
	// lookIdle, lookBusy and lookClose are how long a worker may hold a look
	// that has no end to tell: with nothing running, with tasks, and with tails
	// to follow.
	lookIdle  = 2 * time.Second
	lookBusy  = time.Second
	lookClose = 500 * time.Millisecond
	// lookMargin is how much longer than its wait a look may take.
	lookMargin = 700 * time.Millisecond
	// lookPause is the least time between two looks: one answer brings all ends
	// of that time.
	lookPause = 90 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 150 * time.Millisecond
	// orderTimeout bounds one try of an order.
	orderTimeout = 700 * time.Millisecond
	// startTries and stopTries bound the tries of one order.
	startTries = 3
	stopTries  = 3
	// orderRetry is the pause between the tries of one order.
	orderRetry = 50 * time.Millisecond
	// readingWaits is how many of these pauses a start waits for the first look.
	readingWaits = 10
	// sessionCalls bounds the orders to one worker that are under way.
	sessionCalls = 3
	// silentLooks is how many looks in a row must fail before a worker counts
	// as silent.
	silentLooks = 2
)

// clockDrift is how much slower than this process's a worker's clock may run.
const clockDrift = 0.02

// lapseMargin covers the reading of clocks when a lease is taken to have ended.
const lapseMargin = 100 * time.Millisecond

// session is an agent's dealing with one worker in one assignment: a loop of
// looks that keep the lease, and the orders.
type session struct {
	id     aqtype.WorkerID
	serial Serial
	fence  Fence
	lease  time.Duration
	agent  *agent
	ctx    context.Context
	// end is called under the agent's lock or before the session is known to it.
	end context.CancelFunc

	mu      sync.Mutex
	worker  aqdecider.Worker
	hint    hint
	moment  aqdecider.LogicalTime
	reading clockReading
	// leaseEnd is the highest end of a lease that was sent to this life.
	leaseEnd WorkerTime
	queue    []aqdecider.Order
	calls    int
	failed   int
	// answeredAt is the moment of the last answer to an order.
	answeredAt aqdecider.LogicalTime
	// quietSince is when the leader was told that the worker runs nothing, zero
	// when something may have changed since.
	quietSince time.Time
}

// quietTime is how long the leader is not told again of a worker that runs
// nothing, is not expected to, and has had no orders since.
const quietTime = 10 * time.Second

// clockReading is a worker's clock at a time of ours; it was read before.
type clockReading struct {
	at    time.Time
	value WorkerTime
	known bool
}

// now returns a lower bound of the worker's clock.
func (c clockReading) now(at time.Time) WorkerTime {
	return c.value + WorkerTime(float64(at.Sub(c.at))*(1-clockDrift))
}

// reaches returns a time of ours at which the worker's clock is certainly past
// a value.
func (c clockReading) reaches(value WorkerTime) time.Time {
	return c.at.Add(time.Duration(float64(value-c.value) / (1 - clockDrift))).Add(lapseMargin)
}

// relist takes a new listing of the worker by service discovery.
func (s *session) relist(w aqdecider.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Incarnation < s.worker.Incarnation {
		return
	}
	if w.Incarnation != s.worker.Incarnation {
		s.forgetLife()
	}
	s.worker = w
}

// advise takes what the leader wants of the looks.
func (s *session) advise(h hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hint = h
	if h.Wait < lookIdle {
		s.quietSince = time.Time{}
	}
}

// forgetLife drops what was known of an earlier life, and what was to be started
// or slowed down in it. Orders to stop hold in every life. The lock is held.
func (s *session) forgetLife() {
	s.reading = clockReading{}
	s.leaseEnd = 0
	s.queue = slices.DeleteFunc(s.queue, func(o aqdecider.Order) bool {
		_, stops := o.(aqdecider.Stop)
		return !stops
	})
	s.quietSince = time.Time{}
}

// tick returns the next moment. The lock is held.
func (s *session) tick() aqdecider.LogicalTime {
	s.moment++
	return s.moment
}

func (s *session) address() Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Address{Worker: s.worker, HostPort: s.worker.Address}
}

// run looks at the worker until the session ends.
func (s *session) run() {
	for s.ctx.Err() == nil {
		pause := lookPause
		if !s.look() {
			pause = lookRetry
		}
		aqclock.Sleep(s.ctx, s.agent.clock, pause)
	}
}

// look makes one look and reports whether it was answered.
func (s *session) look() bool {
	to, request, sent := s.nextLook()
	bounded, cancel := context.WithTimeout(s.ctx, request.Wait+lookMargin)
	answer, err := s.agent.workers.Look(bounded, to, request)
	cancel()
	if err != nil {
		s.lookFailed(to, err)
		return false
	}
	answer.Listing.Sent = sent
	s.answered(to, answer)
	return true
}

// nextLook prepares a look. A worker that did not answer the last one is not
// given a longer lease, so that the end of its lease comes nearer.
func (s *session) nextLook() (Address, LookRequest, aqdecider.LogicalTime) {
	permitted := s.agent.permitted(s.fence)
	s.mu.Lock()
	defer s.mu.Unlock()
	to := Address{Worker: s.worker, HostPort: s.worker.Address}
	request := LookRequest{Fence: s.fence}
	if permitted {
		request.LeaseEnd = s.nextLeaseEnd()
	}
	// An agent that was away may not know that the worker has restarted and counts
	// its ends anew.
	if permitted && s.failed == 0 && s.hint.Life == s.worker.Incarnation {
		request.Forget = s.hint.Forget
	}
	if request.LeaseEnd > 0 {
		request.Wait = s.hint.Wait
	}
	return to, request, s.tick()
}

// nextLeaseEnd returns the end of the lease to ask for, zero while it must not be
// prolonged. The lock is held.
func (s *session) nextLeaseEnd() WorkerTime {
	if !s.reading.known || !s.hint.Renew || s.failed > 0 {
		return 0
	}
	end := s.reading.now(s.agent.clock.Now()) + WorkerTime(s.lease)
	s.leaseEnd = max(s.leaseEnd, end)
	return end
}

func (s *session) answered(to Address, answer LookAnswer) {
	s.mu.Lock()
	life := answer.Listing.Incarnation
	if life < s.worker.Incarnation {
		s.mu.Unlock()
		return
	}
	if life != to.Worker.Incarnation || life != s.worker.Incarnation {
		s.forgetLife()
		s.worker.Incarnation = life
	}
	s.failed = 0
	s.reading = clockReading{at: s.agent.clock.Now(), value: answer.Clock, known: true}
	if s.leaseEnd == 0 {
		// Another agent may have prolonged the lease until now.
		s.leaseEnd = answer.Clock + WorkerTime(s.lease)
	}
	known := s.noteQuiet(answer.Listing)
	s.mu.Unlock()
	if !known {
		s.agent.emit(s, looked{Listing: answer.Listing})
	}
}

// noteQuiet reports whether a listing is one that the leader knows already: of a
// worker that runs nothing. The lock is held.
func (s *session) noteQuiet(l aqdecider.WorkerReport) bool {
	now := s.agent.clock.Now()
	settled := s.calls == 0 && len(s.queue) == 0 && l.Sent > s.answeredAt
	if !settled || len(l.Running) > 0 || len(l.Ended) > 0 || s.hint.Wait < lookIdle {
		s.quietSince = time.Time{}
		return false
	}
	if !s.quietSince.IsZero() && now.Sub(s.quietSince) < quietTime {
		return true
	}
	s.quietSince = now
	return false
}

func (s *session) lookFailed(to Address, err error) {
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
	s.failed++
	s.quietSince = time.Time{}
	failed := s.failed
	lapse := time.Duration(-1)
	if s.reading.known {
		lapse = max(0, s.reading.reaches(s.leaseEnd).Sub(s.agent.clock.Now()))
	}
	s.mu.Unlock()
	s.agent.metrics.Retried(aqmetric.RetryOrderLost)
	if failed != silentLooks {
		return
	}
	s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "look"), aqlog.Err(err))
	s.agent.emit(s, silent{LapseIn: lapse})
}
