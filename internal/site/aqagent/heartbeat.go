package aqagent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// heartbeat sends one heartbeat and reports whether the worker answered.
func (s *session) heartbeat() bool {
	next := s.nextHeartbeat()
	bounded, cancel := context.WithTimeout(s.ctx, next.request.Wait+heartbeatMargin)
	answer, err := s.agent.workers.Heartbeat(bounded, next.to, next.request)
	cancel()
	if err != nil {
		s.heartbeatFailed(next.to, s.unlessOvertaken(next.request.Token, err))
		return false
	}
	answer.Report.Sent = next.sent
	answer.Report.Clock = time.Duration(answer.Clock)
	s.heartbeatAnswered(next, answer)
	return true
}

// sentHeartbeat is a heartbeat request and what was known when it was built.
type sentHeartbeat struct {
	to      aqworker.Address
	request aqworker.HeartbeatRequest
	sent    aqdecider.LogicalTime
	// tokenOf is the incarnation for which the leader has chosen the token.
	tokenOf aqdecider.Incarnation
}

// nextHeartbeat builds a heartbeat request. It does not renew the lease of a worker that
// did not answer the last heartbeat, so that the lease can expire.
func (s *session) nextHeartbeat() sentHeartbeat {
	permitted := s.agent.Permitted(s.fence)
	s.mu.Lock()
	defer s.mu.Unlock()
	to := aqworker.Address{Worker: s.worker, HostPort: s.worker.Address}
	request := aqworker.HeartbeatRequest{Token: s.lockedToken()}
	if permitted {
		request.LeaseEnd = s.nextLeaseEnd()
	}
	// An agent that was suspended or partitioned may not know that the worker has
	// restarted and numbers its ends from one again.
	if permitted && s.failedHeartbeats == 0 && s.params.Incarnation == s.worker.Incarnation {
		request.AckedEnd = s.params.AckedEnd
	}
	// The heartbeat that ends the time in which the worker accepts calls to its earlier incarnations must
	// not wait.
	if request.LeaseEnd > 0 && !s.unsettled && s.params.Incarnation == s.worker.Incarnation {
		request.Wait = s.params.Wait
	}
	s.runs.heartbeatSent(s.agent.clock.Now())
	return sentHeartbeat{
		to:      to,
		request: request,
		sent:    s.nextLogicalTime(),
		tokenOf: s.params.Incarnation,
	}
}

func (s *session) heartbeatAnswered(asked sentHeartbeat, answer aqworker.HeartbeatAnswer) {
	s.mu.Lock()
	incarnation := answer.Report.Incarnation
	if incarnation < s.worker.Incarnation {
		s.mu.Unlock()
		return
	}
	if incarnation != asked.to.Worker.Incarnation || incarnation != s.worker.Incarnation {
		s.logLifeMet(answer)
		s.resetIncarnation()
		s.worker.Incarnation = incarnation
	}
	answer.Report.Settled = s.unsettled && asked.tokenOf == incarnation
	if answer.Report.Settled {
		s.unsettled = false
	}
	s.answered = incarnation
	s.failedHeartbeats = 0
	s.workerClock = clockReading{at: s.agent.clock.Now(), value: answer.Clock, known: true}
	if s.leaseEnd == 0 {
		// Another agent may have renewed the lease until now.
		s.leaseEnd = answer.Clock + aqworker.Time(s.lease)
	}
	s.runs.reported(answer.Report, s.agent.clock.Now())
	s.answerListedStarts()
	for _, e := range answer.Report.Ended {
		s.lastEnd = max(s.lastEnd, e.Number)
	}
	// The leader waits for a report of the time after an order.
	afterOrder := answer.Report.Sent > s.orderDoneAt && s.differ.Sent() <= s.orderDoneAt
	difference, news := s.differ.Difference(
		answer.Report, s.agent.clock.Now(), reportInterval(s.params.Wait), afterOrder || answer.Report.Settled,
	)
	s.mu.Unlock()
	if news {
		s.agent.emit(s, ReportReceived{
			Difference: difference,
			Settled:    answer.Report.Settled,
		})
	}
}

// logLifeMet logs an answer of a later incarnation than the worker was taken to be in. The caller holds the lock.
func (s *session) logLifeMet(answer aqworker.HeartbeatAnswer) {
	s.agent.log.Write(aqlog.WorkerLifeMet, slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)),
		slog.Int64("Life", int64(answer.Report.Incarnation)), slog.Int64("Before", int64(s.worker.Incarnation)),
		slog.Duration("Clock", time.Duration(answer.Clock)), slog.Duration("LeaseEnd", time.Duration(s.leaseEnd)))
}

func (s *session) heartbeatFailed(to aqworker.Address, err error) {
	if s.ctx.Err() != nil {
		return
	}
	if errors.Is(err, aqworker.ErrFenced) {
		s.agent.refused(s)
		return
	}
	s.mu.Lock()
	if to.Worker.Incarnation != s.worker.Incarnation {
		s.mu.Unlock()
		return
	}
	s.failedHeartbeats++
	s.differ.Reset()
	failed := s.failedHeartbeats
	if failed == failedHeartbeatLimit {
		s.silences++
	}
	expiresIn, leaseEnd := time.Duration(-1), s.leaseEnd
	if s.workerClock.known {
		expiresIn = max(0, s.workerClock.passedBy(s.leaseEnd).Sub(s.agent.clock.Now()))
	}
	s.mu.Unlock()
	s.agent.metrics.Retried(aqmetric.RetryOrderLost)
	if failed != failedHeartbeatLimit {
		return
	}
	s.agent.log.Write(aqlog.OrderFailed, slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)),
		slog.String("Order", "look"), slog.Duration("LeaseEnd", time.Duration(leaseEnd)), slog.Duration("ExpiresIn", expiresIn),
		aqlog.Err(err))
	s.agent.emit(s, Unresponsive{ExpiresIn: expiresIn})
}
