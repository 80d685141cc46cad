package aqagent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// send queues an order for delivery in the background. Stops go first; a start waits for
// the payload of its job, and is not sent from the given time on.
func (s *session) send(o aqdecider.Order, until startDeadline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start, isStart := o.(aqdecider.Start); isStart {
		if _, repeated := s.received[start.Run]; repeated {
			return
		}
		s.queue = append(s.queue, o)
		s.received[start.Run] = receivedStart{
			at:    s.agent.clock.Now(),
			until: until,
		}
		if s.startNeedless(start.Run) || s.agent.payloads.Prepare(s.id, start.Run.Task.Job, start.PayloadSource, s.payloadReady) {
			s.deliver()
		}
		return
	}
	if stop, isStop := o.(aqdecider.Stop); isStop {
		s.withdrawStart(stop.Run)
		s.queue = append([]aqdecider.Order{o}, s.queue...)
	} else {
		s.withdrawPace(o)
		s.queue = append(s.queue, o)
	}
	s.deliver()
}

// payloadReady delivers the starts that waited for a payload.
func (s *session) payloadReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver()
}

// deliver starts one more delivery of queued orders, unless there are enough. The caller
// holds the lock.
func (s *session) deliver() {
	if s.inFlight >= maxOrdersInFlight || s.ctx.Err() != nil {
		return
	}
	s.inFlight++
	go func() {
		if err := s.agent.guard.Run("delivery of orders", s.deliverOrders); err != nil {
			s.mu.Lock()
			s.inFlight--
			s.mu.Unlock()
		}
	}()
}

// deliverOrders delivers queued orders one after the other until none is left that can be
// delivered.
func (s *session) deliverOrders() {
	for {
		o, ok := s.nextOrder()
		if !ok {
			return
		}
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

// nextOrder takes the first order from the queue that can be delivered. Without one it
// ends the delivery and returns false.
func (s *session) nextOrder() (aqdecider.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.queue {
		if start, isStart := o.(aqdecider.Start); isStart {
			if _, fetched, _ := s.agent.payloads.Get(start.Run.Task.Job); !fetched && !s.startNeedless(start.Run) {
				continue
			}
		}
		if pace, isPace := o.(aqdecider.Pace); isPace && s.pacing[pace.Run] {
			continue
		}
		if s.ctx.Err() == nil {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			switch order := o.(type) {
			case aqdecider.Start:
				s.starting[order.Run] = startDelivering
			case aqdecider.Pace:
				s.pacing[order.Run] = true
			}
			return o, true
		}
	}
	s.inFlight--
	return nil, false
}

// withdrawStart removes a queued start that a stop of the same run has overtaken, and ends the
// attempts to deliver one. The caller holds the lock.
func (s *session) withdrawStart(run aqdecider.RunID) {
	if _, delivering := s.starting[run]; delivering {
		s.starting[run] = startWithdrawn
	}
	for i, o := range s.queue {
		if start, ok := o.(aqdecider.Start); ok && start.Run == run {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			delete(s.received, run)
			return
		}
	}
}

func (s *session) start(order aqdecider.Start) {
	defer s.startDelivered(order.Run)
	started := s.agent.clock.Now()
	to := s.address()
	outcome := aqdecider.OutcomeNotSent
	uncertain := false
	if s.isStartNeedless(order.Run) {
		s.reportStart(to, order, aqdecider.OutcomeAccepted, uncertain)
		return
	}
	payload, _, err := s.agent.payloads.Get(order.Run.Task.Job)
	if err != nil {
		s.agent.metrics.Retried(aqmetric.RetryPayloadMissing)
		s.reportStart(to, order, aqdecider.OutcomeNotSent, uncertain)
		return
	}
	s.awaitWorkerClock(order.Run)
	for range startTries {
		end, err := s.tryStart(to, order, payload)
		if errors.Is(err, aqworker.ErrFenced) {
			s.agent.refused(s)
			return
		}
		if errors.Is(err, aqworker.ErrUnanswered) || errors.Is(err, aqworker.ErrTooLate) {
			if errors.Is(err, aqworker.ErrUnanswered) {
				uncertain = true
				outcome = aqdecider.OutcomeUnknown
				s.logUnansweredStart(to, order.Run, end)
			}
			s.agent.metrics.Retried(aqmetric.RetryOrderLost)
			aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
			continue
		}
		outcome = startOutcome(err, uncertain)
		switch {
		case errors.Is(err, errZoneClosed):
			s.logWithheldStart(to, order.Run)
		case errors.Is(err, errStartExpired):
			s.logExpiredStart(order.Run)
		}
		break
	}
	if s.ctx.Err() != nil {
		return
	}
	if s.isStartNeedless(order.Run) {
		outcome = aqdecider.OutcomeAccepted
	}
	s.agent.metrics.Observe(aqmetric.TimeStart, s.agent.clock.Now().Sub(started))
	s.reportStart(to, order, outcome, uncertain)
}

// startDelivered ends the delivery of a start.
func (s *session) startDelivered(run aqdecider.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, run)
	delete(s.received, run)
}

// reportStart reports the outcome of a start. unanswered is set if an attempt to deliver it got no answer.
func (s *session) reportStart(to aqworker.Address, order aqdecider.Start, outcome aqdecider.Outcome, unanswered bool) {
	s.agent.emit(s, StartResult{
		Incarnation: to.Worker.Incarnation,
		Run:         order.Run,
		Outcome:     outcome,
		Unanswered:  unanswered,
		At:          s.recordOrderDone(),
	})
}

// recordOrderDone records that a start or stop was answered or abandoned, and returns
// the logical time.
func (s *session) recordOrderDone() aqdecider.LogicalTime {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderDoneAt = s.nextLogicalTime()
	return s.orderDoneAt
}

// awaitWorkerClock waits a limited time until the worker's clock is known, its
// lease may be renewed and its restarts are settled, which a start needs, or until a report lists the run.
func (s *session) awaitWorkerClock(run aqdecider.RunID) {
	for range workerClockWaits {
		s.mu.Lock()
		ready := s.workerClock.known && s.mayRenew() && !s.unsettled || s.startNeedless(run)
		s.mu.Unlock()
		if ready {
			return
		}
		aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
	}
}

// startDelayLogged is the time after which the delivery of a start is logged. It is longer than a
// start takes whose worker answers.
const startDelayLogged = 250 * time.Millisecond

// logDelayedStart logs an attempt to deliver a start that its worker gets late or again, with the
// assignment that it is made in. The caller holds the lock.
func (s *session) logDelayedStart(run aqdecider.RunID) {
	waited := s.agent.clock.Now().Sub(s.received[run].at)
	if waited < startDelayLogged {
		return
	}
	s.agent.log.Write(aqlog.StartDelayed, slog.String("Task", run.Task.String()), slog.Int("Attempt", int(run.Attempt)),
		slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)), slog.Duration("Waited", waited))
}

// logUnansweredStart logs an attempt to deliver a start that may still take effect, unless the session
// has ended.
func (s *session) logUnansweredStart(to aqworker.Address, run aqdecider.RunID, end aqworker.Time) {
	if s.ctx.Err() != nil {
		return
	}
	s.agent.log.Write(aqlog.StartUnanswered, slog.String("Task", run.Task.String()), slog.Int("Attempt", int(run.Attempt)),
		slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)),
		slog.Int64("Life", int64(to.Worker.Incarnation)), slog.Duration("LeaseEnd", time.Duration(end)))
}

// errZoneClosed means that nothing may be started in the worker's zone, and that no call was made.
var errZoneClosed = errors.New("agent: zone is evacuated, or not known to be open")

// logWithheldStart logs a start that was not sent because of its worker's zone.
func (s *session) logWithheldStart(to aqworker.Address, run aqdecider.RunID) {
	s.agent.metrics.Retried(aqmetric.RetryZoneClosed)
	s.agent.log.Write(aqlog.StartWithheld, slog.String("Task", run.Task.String()), slog.Int("Attempt", int(run.Attempt)),
		slog.String("Worker", string(s.id)), slog.String("Zone", string(to.Worker.Zone)))
}

// tryStart makes one attempt to deliver a start. A worker that does not answer
// heartbeats gets no starts, since a start renews its lease. Nor does one that has or had the run: it has
// accepted the start. It returns the lease end in the call, zero if none was made.
func (s *session) tryStart(to aqworker.Address, order aqdecider.Start, payload string) (aqworker.Time, error) {
	if !s.agent.Permitted(s.fence) {
		return 0, aqworker.ErrTooLate
	}
	open := s.agent.mayStartIn(to.Worker.Zone)
	s.mu.Lock()
	if s.startNeedless(order.Run) {
		s.mu.Unlock()
		return 0, nil
	}
	if !open {
		s.mu.Unlock()
		return 0, errZoneClosed
	}
	if s.received[order.Run].until.passed(s.agent.clock.Elapsed()) {
		s.mu.Unlock()
		return 0, errStartExpired
	}
	end, token := s.nextLeaseEnd(), s.lockedToken()
	// An order to an earlier incarnation may have been carried out there.
	if s.starting[order.Run] == startWithdrawn || s.worker.Incarnation != to.Worker.Incarnation || s.unsettled {
		end = 0
	}
	if end > 0 {
		s.logDelayedStart(order.Run)
		s.runs.started(order.Run, s.agent.clock.Now())
	}
	s.mu.Unlock()
	if end == 0 {
		return 0, aqworker.ErrTooLate
	}
	bounded, cancel := context.WithTimeout(s.ctx, OrderTimeout)
	defer cancel()
	err := s.agent.workers.Start(bounded, to, aqworker.StartRequest{
		Token:    token,
		LeaseEnd: end,
		Order:    order,
		Payload:  payload,
	})
	return end, s.unlessOvertaken(token, err)
}

// startOutcome maps the answer to a start to its outcome. After an unanswered attempt,
// a refusal does not show whether that attempt took effect.
func startOutcome(err error, uncertain bool) aqdecider.Outcome {
	switch {
	case err == nil:
		return aqdecider.OutcomeAccepted
	case uncertain, errors.Is(err, aqworker.ErrSuperseded), errors.Is(err, aqworker.ErrOtherWorker):
		return aqdecider.OutcomeUnknown
	case errors.Is(err, errZoneClosed):
		return aqdecider.OutcomeNotSent
	case errors.Is(err, errStartExpired):
		return aqdecider.OutcomeExpired
	case errors.Is(err, aqworker.ErrNoRoom):
		return aqdecider.OutcomeNoRoom
	case errors.Is(err, aqworker.ErrNoTicket):
		return aqdecider.OutcomeNoTicket
	case errors.Is(err, aqworker.ErrUnhealthy):
		return aqdecider.OutcomeUnhealthy
	}
	return aqdecider.OutcomeInvalid
}

func (s *session) stop(order aqdecider.Stop) {
	to := s.address()
	for range stopTries {
		token := s.token()
		bounded, cancel := context.WithTimeout(s.ctx, OrderTimeout)
		err := s.unlessOvertaken(token, s.agent.workers.Stop(bounded, to, aqworker.StopRequest{Token: token, Run: order.Run}))
		cancel()
		if errors.Is(err, aqworker.ErrFenced) {
			s.agent.refused(s)
			return
		}
		if err == nil || errors.Is(err, aqworker.ErrSuperseded) {
			s.reportStop(to, order, true)
			return
		}
		s.agent.metrics.Retried(aqmetric.RetryOrderLost)
		aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
		if s.ctx.Err() != nil {
			return
		}
	}
	s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)),
		slog.String("Order", "stop"), slog.String("Task", order.Run.Task.String()))
	aqclock.Sleep(s.ctx, s.agent.clock, heartbeatRetry)
	s.reportStop(to, order, false)
}

func (s *session) reportStop(to aqworker.Address, order aqdecider.Stop, answered bool) {
	at := s.recordOrderDone()
	s.agent.emit(s, StopResult{
		Incarnation: to.Worker.Incarnation,
		Run:         order.Run,
		Answered:    answered,
		At:          at,
	})
}
