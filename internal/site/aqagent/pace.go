package aqagent

import (
	"context"
	"log/slog"
	"slices"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// withdrawPace removes a queued order to pace that a later one for the same run replaces. The caller holds the lock.
func (s *session) withdrawPace(later aqdecider.Order) {
	pace, isPace := later.(aqdecider.Pace)
	if !isPace {
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(o aqdecider.Order) bool {
		queued, ok := o.(aqdecider.Pace)
		return ok && queued.Run == pace.Run
	})
}

// hasLaterPace reports whether an order to pace a run is queued.
func (s *session) hasLaterPace(run aqdecider.RunID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.queue, func(o aqdecider.Order) bool {
		queued, ok := o.(aqdecider.Pace)
		return ok && queued.Run == run
	})
}

// paceDelivered ends the delivery of an order to pace.
func (s *session) paceDelivered(run aqdecider.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pacing, run)
}

// pace delivers an order to pace. Without an answer it repeats it, unless a later one for the run waits.
func (s *session) pace(order aqdecider.Pace) {
	defer s.paceDelivered(order.Run)
	var err error
	for range paceTries {
		if err = s.tryPace(order); !errors.Is(err, aqworker.ErrUnanswered) && !errors.Is(err, aqworker.ErrTooLate) {
			break
		}
		s.agent.metrics.Retried(aqmetric.RetryOrderLost)
		aqclock.Sleep(s.ctx, s.agent.clock, orderRetry)
		if s.ctx.Err() != nil || s.hasLaterPace(order.Run) {
			return
		}
	}
	if errors.Is(err, aqworker.ErrFenced) {
		s.agent.refused(s)
		return
	}
	if err != nil && s.ctx.Err() == nil {
		s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)),
			slog.String("Order", "pace"), slog.String("Task", order.Run.Task.String()), aqlog.Err(err))
	}
}

// tryPace makes one attempt to deliver an order to pace.
func (s *session) tryPace(order aqdecider.Pace) error {
	to, token := s.address(), s.token()
	bounded, cancel := context.WithTimeout(s.ctx, OrderTimeout)
	defer cancel()
	return s.unlessOvertaken(token, s.agent.workers.Pace(bounded, to, aqworker.PaceRequest{
		Token:   token,
		Run:     order.Run,
		Percent: order.Percent,
	}))
}
