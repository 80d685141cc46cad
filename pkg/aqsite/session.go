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
	lookClose = 400 * time.Millisecond
	// lookMargin is how much longer than its wait a look may take.
	lookMargin = 700 * time.Millisecond
	// lookPause is the least time between two looks: one answer brings all ends
	// of that time.
	lookPause = 50 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 150 * time.Millisecond
	// orderTimeout bounds one try of an order.
	orderTimeout = 700 * time.Millisecond
	// startTries and stopTries bound the tries of one order.
	startTries = 3
	stopTries  = 3
	// orderRetry is the pause between the tries of one order.
	orderRetry = 50 * time.Millisecond
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

// overseer is what a session tells its leader.
type overseer interface {
	// decide runs one change of the decider.
	decide(change func(*aqdecider.Decider))
	// mayOrder reports whether leadership was proved lately.
	mayOrder() bool
	fence() Fence
	leaseLength() time.Duration
	// deposed is called when a worker has seen a higher fence.
	deposed(by error)
}

// session is a leader's dealing with one worker: a loop of looks that keep the
// lease, and the orders.
type session struct {
	id      aqtype.WorkerID
	leader  overseer
	workers Workers
	clock   aqclock.Clock
	log     *aqlog.Logger
	metrics *aqmetric.Set

	mu      sync.Mutex
	worker  aqdecider.Worker
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

// forgetLife drops what was known of an earlier life. The lock is held.
func (s *session) forgetLife() {
	s.reading = clockReading{}
	s.leaseEnd = 0
	s.queue = nil
}

func (s *session) address() Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Address{Worker: s.worker, HostPort: s.worker.Address}
}

// run looks at the worker until ctx ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.look(ctx) {
			aqclock.Sleep(ctx, s.clock, lookRetry)
			continue
		}
		aqclock.Sleep(ctx, s.clock, lookPause)
	}
}

// look makes one look and reports whether it was answered.
func (s *session) look(ctx context.Context) bool {
	to := s.address()
	request := LookRequest{Fence: s.leader.fence()}
	s.leader.decide(func(d *aqdecider.Decider) {
		number, life := d.Acknowledge(s.id)
		if life == to.Worker.Life {
			request.Forget = number
		}
		request.Wait = lookIdle
		if d.Occupied(s.id) {
			request.Wait = lookBusy
		}
		if d.WatchClosely(s.id) {
			request.Wait = lookClose
		}
	})
	request.LeaseEnd = s.nextLeaseEnd()
	if request.LeaseEnd == 0 {
		request.Wait = 0
	}
	sent := s.clock.Now()
	bounded, cancel := context.WithTimeout(ctx, request.Wait+lookMargin)
	answer, err := s.workers.Look(bounded, to, request)
	cancel()
	if err != nil {
		s.lookFailed(ctx, to, err)
		return false
	}
	answer.Listing.SentAt = sent
	s.looked(to, answer)
	return true
}

// nextLeaseEnd returns the end of the lease to ask for, zero while the worker's
// clock is unknown or leadership has not been proved for too long.
func (s *session) nextLeaseEnd() WorkerTime {
	if !s.leader.mayOrder() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reading.known {
		return 0
	}
	end := s.reading.now(s.clock.Now()) + WorkerTime(s.leader.leaseLength())
	s.leaseEnd = max(s.leaseEnd, end)
	return end
}

func (s *session) looked(to Address, answer LookAnswer) {
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
	s.reading = clockReading{at: s.clock.Now(), value: answer.Clock, known: true}
	if s.leaseEnd == 0 {
		// An earlier leader may have prolonged the lease until now.
		s.leaseEnd = answer.Clock + WorkerTime(s.leader.leaseLength())
	}
	s.mu.Unlock()
	s.leader.decide(func(d *aqdecider.Decider) { d.Listed(s.id, answer.Listing) })
}

func (s *session) lookFailed(ctx context.Context, to Address, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrFenced) {
		s.leader.deposed(err)
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	if to.Worker.Life != s.worker.Life {
		s.mu.Unlock()
		return
	}
	s.failed++
	failed := s.failed
	lapsed := s.reading.known && now.After(s.reading.reaches(s.leaseEnd))
	s.mu.Unlock()
	s.metrics.Retried(aqmetric.RetryOrderLost)
	if failed == silentLooks {
		s.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "look"), aqlog.Err(err))
	}
	if failed >= silentLooks {
		s.leader.decide(func(d *aqdecider.Decider) { d.Silent(s.id) })
	}
	if lapsed {
		s.leader.decide(func(d *aqdecider.Decider) { d.Lapsed(s.id) })
	}
}

// send carries out an order in the background.
func (s *session) send(ctx context.Context, o aqdecider.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, o)
	if s.calls >= sessionCalls {
		return
	}
	s.calls++
	go s.carry(ctx)
}

func (s *session) carry(ctx context.Context) {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || ctx.Err() != nil {
			s.calls--
			s.mu.Unlock()
			return
		}
		o := s.queue[0]
		s.queue = s.queue[1:]
		s.mu.Unlock()
		switch order := o.(type) {
		case aqdecider.Start:
			s.start(ctx, order)
		case aqdecider.Stop:
			s.stop(ctx, order)
		case aqdecider.Pace:
			s.pace(ctx, order)
		}
	}
}

func (s *session) start(ctx context.Context, order aqdecider.Start) {
	begun := s.clock.Now()
	to := s.address()
	outcome := aqdecider.OutcomeUnknown
	doubtful := false
	for range startTries {
		end := s.nextLeaseEnd()
		if end == 0 || !s.wanted(order) {
			break
		}
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.workers.Start(bounded, to, StartRequest{
			Fence:    s.leader.fence(),
			LeaseEnd: end,
			Order:    order,
		})
		cancel()
		if errors.Is(err, ErrFenced) {
			s.leader.deposed(err)
			return
		}
		if errors.Is(err, ErrUnanswered) || errors.Is(err, ErrTooLate) {
			doubtful = doubtful || errors.Is(err, ErrUnanswered)
			s.metrics.Retried(aqmetric.RetryOrderLost)
			aqclock.Sleep(ctx, s.clock, orderRetry)
			continue
		}
		outcome = startOutcome(err, doubtful)
		break
	}
	if ctx.Err() != nil {
		return
	}
	s.metrics.Observe(aqmetric.TimeStart, s.clock.Now().Sub(begun))
	s.leader.decide(func(d *aqdecider.Decider) { d.StartAnswered(s.id, to.Worker.Life, order.Run, outcome) })
}

// wanted reports whether a start has not been taken back.
func (s *session) wanted(order aqdecider.Start) bool {
	wanted := false
	s.leader.decide(func(d *aqdecider.Decider) { wanted = d.Starting(s.id, order.Run) })
	return wanted
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

func (s *session) stop(ctx context.Context, order aqdecider.Stop) {
	to := s.address()
	for range stopTries {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.workers.Stop(bounded, to, StopRequest{Fence: s.leader.fence(), Run: order.Run})
		cancel()
		if errors.Is(err, ErrFenced) {
			s.leader.deposed(err)
			return
		}
		if err == nil || errors.Is(err, ErrSuperseded) {
			s.leader.decide(func(d *aqdecider.Decider) { d.StopAnswered(s.id, to.Worker.Life, order.Run) })
			return
		}
		s.metrics.Retried(aqmetric.RetryOrderLost)
		aqclock.Sleep(ctx, s.clock, orderRetry)
		if ctx.Err() != nil {
			return
		}
	}
	s.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "stop"),
		slog.String("Task", order.Run.Task.String()))
	aqclock.Sleep(ctx, s.clock, lookRetry)
	s.leader.decide(func(d *aqdecider.Decider) { d.StopUnanswered(s.id, to.Worker.Life, order.Run) })
}

func (s *session) pace(ctx context.Context, order aqdecider.Pace) {
	to := s.address()
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.workers.Pace(bounded, to, PaceRequest{
		Fence:   s.leader.fence(),
		Run:     order.Run,
		Percent: order.Percent,
	})
	if errors.Is(err, ErrFenced) {
		s.leader.deposed(err)
		return
	}
	if err != nil {
		s.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.String("Order", "pace"),
			slog.String("Task", order.Run.Task.String()), aqlog.Err(err))
	}
}
