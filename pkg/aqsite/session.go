package aqsite

import (
	"context"
	"log/slog"
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
	moment  aqdecider.Moment
	reading clockReading
	// leaseEnd is the highest end of a lease that was sent to this life.
	leaseEnd WorkerTime
	queue    []aqdecider.Order
	calls    int
	failed   int
}

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
	if w.Life < s.worker.Life {
		return
	}
	if w.Life != s.worker.Life {
		s.forgetLife()
	}
	s.worker = w
}

// advise takes what the leader wants of the looks.
func (s *session) advise(h hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hint = h
}

// forgetLife drops what was known of an earlier life. The lock is held.
func (s *session) forgetLife() {
	s.reading = clockReading{}
	s.leaseEnd = 0
	s.queue = nil
}

// tick returns the next moment. The lock is held.
func (s *session) tick() aqdecider.Moment {
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
func (s *session) nextLook() (Address, LookRequest, aqdecider.Moment) {
	permitted := s.agent.permitted(s.fence)
	s.mu.Lock()
	defer s.mu.Unlock()
	to := Address{Worker: s.worker, HostPort: s.worker.Address}
	request := LookRequest{Fence: s.fence}
	if s.hint.Life == s.worker.Life {
		request.Forget = s.hint.Forget
	}
	if permitted {
		request.LeaseEnd = s.nextLeaseEnd()
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
	life := answer.Listing.Life
	if life < s.worker.Life {
		s.mu.Unlock()
		return
	}
	if life != to.Worker.Life || life != s.worker.Life {
		s.forgetLife()
		s.worker.Life = life
	}
	s.failed = 0
	s.reading = clockReading{at: s.agent.clock.Now(), value: answer.Clock, known: true}
	if s.leaseEnd == 0 {
		// Another agent may have prolonged the lease until now.
		s.leaseEnd = answer.Clock + WorkerTime(s.lease)
	}
	s.mu.Unlock()
	s.agent.emit(s, looked{Listing: answer.Listing})
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
	if to.Worker.Life != s.worker.Life {
		s.mu.Unlock()
		return
	}
	s.failed++
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

// send carries out an order in the background. Stops go first.
func (s *session) send(o aqdecider.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, first := o.(aqdecider.Stop); first {
		s.queue = append([]aqdecider.Order{o}, s.queue...)
	} else {
		s.queue = append(s.queue, o)
	}
	if s.calls >= sessionCalls {
		return
	}
	s.calls++
	go s.carry()
}

func (s *session) carry() {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.ctx.Err() != nil {
			s.calls--
			s.mu.Unlock()
			return
		}
		o := s.queue[0]
		s.queue = s.queue[1:]
		s.mu.Unlock()
		switch order := o.(type) {
		case aqdecider.Start:
			s.start(order)
		case aqdecider.Stop:
			s.stop(order)
		case aqdecider.Pace:
			s.pace(order)
		}
	}
}

// stopQueued takes a start out of the queue that a stop has overtaken, and
// reports whether it was there. The lock is held.
func (s *session) stopQueued(run aqdecider.RunID) bool {
	for i, o := range s.queue {
		if start, ok := o.(aqdecider.Start); ok && start.Run == run {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (s *session) start(order aqdecider.Start) {
	begun := s.agent.clock.Now()
	to := s.address()
	outcome := aqdecider.OutcomeNotSent
	doubtful := false
	s.awaitReading()
	for range startTries {
		err := s.tryStart(to, order)
		if errors.Is(err, ErrFenced) {
			s.agent.emit(s, fenced{})
			return
		}
		if errors.Is(err, ErrUnanswered) || errors.Is(err, ErrTooLate) {
			if errors.Is(err, ErrUnanswered) {
				doubtful = true
				outcome = aqdecider.OutcomeUnknown
			}
			s.agent.metrics.Retried(aqmetric.RetryOrderLost)
			aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
			continue
		}
		outcome = startOutcome(err, doubtful)
		break
	}
	if s.ctx.Err() != nil {
		return
	}
	s.agent.metrics.Observe(aqmetric.TimeStart, s.agent.clock.Now().Sub(begun))
	s.mu.Lock()
	at := s.tick()
	s.mu.Unlock()
	s.agent.emit(s, startAnswered{
		Life:    to.Worker.Life,
		Run:     order.Run,
		Outcome: outcome,
		At:      at,
	})
}

// awaitReading gives a new session the time to learn the worker's clock.
func (s *session) awaitReading() {
	for range readingWaits {
		s.mu.Lock()
		known := s.reading.known && s.hint.Renew
		s.mu.Unlock()
		if known {
			return
		}
		aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
	}
}

// tryStart makes one try of a start. A worker that does not answer looks gets no
// starts, which would prolong its lease.
func (s *session) tryStart(to Address, order aqdecider.Start) error {
	if !s.agent.permitted(s.fence) {
		return ErrTooLate
	}
	s.mu.Lock()
	end := s.nextLeaseEnd()
	s.mu.Unlock()
	if end == 0 {
		return ErrTooLate
	}
	bounded, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	return s.agent.workers.Start(bounded, to, StartRequest{
		Fence:    s.fence,
		LeaseEnd: end,
		Order:    order,
	})
}

// startOutcome tells what an answer means. A refusal after a try without answer
// says nothing of that try.
func startOutcome(err error, doubtful bool) aqdecider.Outcome {
	switch {
	case err == nil:
		return aqdecider.OutcomeAccepted
	case doubtful, errors.Is(err, ErrSuperseded), errors.Is(err, ErrOtherLife):
		return aqdecider.OutcomeUnknown
	case errors.Is(err, ErrNoRoom):
		return aqdecider.OutcomeNoRoom
	case errors.Is(err, ErrNoTicket):
		return aqdecider.OutcomeNoTicket
	case errors.Is(err, ErrUnhealthy):
		return aqdecider.OutcomeUnhealthy
	}
	return aqdecider.OutcomeInvalid
}

func (s *session) stop(order aqdecider.Stop) {
	s.mu.Lock()
	s.stopQueued(order.Run)
	s.mu.Unlock()
	to := s.address()
	for range stopTries {
		bounded, cancel := context.WithTimeout(s.ctx, orderTimeout)
		err := s.agent.workers.Stop(bounded, to, StopRequest{Fence: s.fence, Run: order.Run})
		cancel()
		if errors.Is(err, ErrFenced) {
			s.agent.emit(s, fenced{})
			return
		}
		if err == nil || errors.Is(err, ErrSuperseded) {
			s.stopDone(to, order, true)
			return
		}
		s.agent.metrics.Retried(aqmetric.RetryOrderLost)
		aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
		if s.ctx.Err() != nil {
			return
		}
	}
	s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "stop"),
		slog.String("Task", order.Run.Task.String()))
	aqclock.Sleep(s.ctx, s.agent.clock, lookRetry)
	s.stopDone(to, order, false)
}

func (s *session) stopDone(to Address, order aqdecider.Stop, taken bool) {
	s.mu.Lock()
	at := s.tick()
	s.mu.Unlock()
	s.agent.emit(s, stopAnswered{
		Life:  to.Worker.Life,
		Run:   order.Run,
		Taken: taken,
		At:    at,
	})
}

func (s *session) pace(order aqdecider.Pace) {
	to := s.address()
	bounded, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	err := s.agent.workers.Pace(bounded, to, PaceRequest{
		Fence:   s.fence,
		Run:     order.Run,
		Percent: order.Percent,
	})
	if errors.Is(err, ErrFenced) {
		s.agent.emit(s, fenced{})
		return
	}
	if err != nil && s.ctx.Err() == nil {
		s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "pace"),
			slog.String("Task", order.Run.Task.String()), aqlog.Err(err))
	}
}
