package aqagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

// Timing and limits of the calls to one worker.
const (
	// HeartbeatWaitIdle, HeartbeatWaitBusy and HeartbeatWaitTail are how long a worker
	// may hold a heartbeat while it has no ended run to report: with nothing running,
	// with running tasks, and while the leader follows the tail latency of its tasks.
	HeartbeatWaitIdle = 2 * time.Second
	HeartbeatWaitBusy = time.Second
	HeartbeatWaitTail = 500 * time.Millisecond
	// heartbeatMargin is how much longer than its wait a heartbeat may take.
	heartbeatMargin = 700 * time.Millisecond
	// heartbeatPause is the pause between two heartbeats, so that one answer reports
	// all runs that ended meanwhile.
	heartbeatPause = 90 * time.Millisecond
	// maxAckWait limits the pause while the leader has not acknowledged all reported
	// ends. A worker answers at once while it has such ends.
	maxAckWait = 140 * time.Millisecond
	// heartbeatRetry is the pause after a failed heartbeat.
	heartbeatRetry = 150 * time.Millisecond
	// OrderTimeout limits one attempt to deliver an order.
	OrderTimeout = 700 * time.Millisecond
	// startTries, stopTries and paceTries limit the attempts to deliver one order.
	startTries = 3
	stopTries  = 3
	paceTries  = 2
	// orderRetry is the pause between the attempts to deliver one order.
	orderRetry = 50 * time.Millisecond
	// workerClockWaits is how many pauses of orderRetry a start waits for the first
	// heartbeat.
	workerClockWaits = 10
	// maxOrdersInFlight limits the concurrent orders to one worker.
	maxOrdersInFlight = 3
	// failedHeartbeatLimit is how many heartbeats in a row must fail before a worker
	// counts as unresponsive.
	failedHeartbeatLimit = 2
)

// clockDrift is how much slower than this process's clock a worker's clock may run,
// as a fraction.
const clockDrift = 0.02

// expiryMargin is added to the computed expiry of a lease, since clock readings are
// inaccurate.
const expiryMargin = 100 * time.Millisecond

// MaxLeaseSpan is the longest time that a lease can last by this process's clock.
func MaxLeaseSpan(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + expiryMargin
}

// startDelivery is the state of the delivery of a start.
type startDelivery int

const (
	startDelivering startDelivery = iota + 1
	// startWithdrawn means that the run has been ordered to stop: no further attempt is made.
	startWithdrawn
)

// session manages one worker for an agent during one assignment: a loop of
// heartbeats that renew the worker's lease, and the delivery of orders.
type session struct {
	id     aqtype.WorkerID
	serial Serial
	fence  aqworker.Fence
	lease  time.Duration
	agent  *Agent
	ctx    context.Context
	// cancel ends the session. Its caller holds the agent's lock.
	cancel context.CancelFunc

	mu          sync.Mutex
	worker      aqdecider.Worker
	params      HeartbeatParams
	logicalTime aqdecider.LogicalTime
	workerClock clockReading
	// answered is the incarnation of the last answer, zero before the first.
	answered aqdecider.Incarnation
	// unsettled is set from a restart of the worker until the present incarnation has answered a heartbeat with the
	// token that the leader has raised for it. Until then it accepts calls to earlier incarnations, whose lease ends
	// are on other clocks: it may keep what it runs for the longest lease that it grants, beyond leaseEnd. Nothing
	// is started meanwhile, so that the leader can tell until when that holds for a run.
	unsettled bool
	// leaseEnd is the latest lease end that this session sent to this incarnation, or
	// that another agent may have sent before the worker first answered this one.
	leaseEnd aqworker.Time
	queue    []aqdecider.Order
	// received holds when the queued starts, and those that are being delivered, reached the agent.
	received map[aqdecider.RunID]receivedStart
	// starting holds the starts that are being delivered.
	starting map[aqdecider.RunID]startDelivery
	// pacing holds the runs of orders to pace that are being delivered, one for each run at a time.
	pacing           map[aqdecider.RunID]bool
	inFlight         int
	failedHeartbeats int
	// silences is the number of Unresponsive events so far.
	silences int
	// orderDoneAt is the logical time at which the last start or stop was answered or
	// abandoned.
	orderDoneAt aqdecider.LogicalTime
	// differ holds what the leader knows of the worker's reports.
	differ aqreport.Differ
	// lastEnd is the highest number of an end that this incarnation has reported.
	lastEnd int
	// runs holds the runs that the worker may have.
	runs runLog
	// acked wakes the heartbeat that waits for the acknowledgement of ends.
	acked chan struct{}
}

// Intervals of the reports in which nothing but measurements has changed: of a worker
// that runs nothing and has had no orders, of one that runs tasks, and while the leader
// follows the tail latency of its tasks.
const (
	idleReportInterval = 10 * time.Second
	busyReportInterval = 900 * time.Millisecond
	tailReportInterval = 250 * time.Millisecond
)

// reportInterval returns the interval for the wait of the heartbeats.
func reportInterval(wait time.Duration) time.Duration {
	switch {
	case wait <= HeartbeatWaitTail:
		return tailReportInterval
	case wait < HeartbeatWaitIdle:
		return busyReportInterval
	}
	return idleReportInterval
}

// clockReading is a worker's clock at a local time. The worker read its clock before
// that time.
type clockReading struct {
	at    time.Time
	value aqworker.Time
	known bool
}

// lowerBoundAt returns a lower bound of the worker's clock at a local time.
func (c clockReading) lowerBoundAt(at time.Time) aqworker.Time {
	return c.value + aqworker.Time(float64(at.Sub(c.at))*(1-clockDrift))
}

// passedBy returns a local time at which the worker's clock is certainly past a
// value.
func (c clockReading) passedBy(value aqworker.Time) time.Time {
	return c.at.Add(time.Duration(float64(value-c.value) / (1 - clockDrift))).Add(expiryMargin)
}

// updateWorker applies a new entry of the worker in service discovery. Its incarnation may be
// lower than that of the last entry, which may have come from another writer, but not than
// what the worker itself has answered.
func (s *session) updateWorker(w aqdecider.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Incarnation < s.answered {
		return
	}
	if w.Incarnation != s.worker.Incarnation {
		s.resetIncarnation()
	}
	s.worker = w
}

// setParams applies the leader's parameters for the heartbeats.
func (s *session) setParams(p HeartbeatParams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Number < s.params.Number {
		return
	}
	if p.Wait < HeartbeatWaitIdle && s.params.Wait >= HeartbeatWaitIdle {
		s.differ.Reset()
	}
	s.params = p
	if s.endsAcked() {
		aqsignal.Send(s.acked)
	}
}

// endsAcked reports whether the leader has acknowledged all reported ends. The caller
// holds the lock.
func (s *session) endsAcked() bool {
	return s.params.Incarnation == s.worker.Incarnation && s.params.AckedEnd >= s.lastEnd
}

// resetIncarnation drops what was known of an earlier incarnation, and the queued
// orders to start or pace runs in it. Orders to stop apply to every incarnation. The
// caller holds the lock.
func (s *session) resetIncarnation() {
	s.unsettled = true
	s.workerClock = clockReading{}
	s.leaseEnd = 0
	s.queue = slices.DeleteFunc(s.queue, func(o aqdecider.Order) bool {
		if start, isStart := o.(aqdecider.Start); isStart {
			delete(s.received, start.Run)
		}
		_, isStop := o.(aqdecider.Stop)
		return !isStop
	})
	s.differ.Reset()
	s.lastEnd = 0
	s.runs = runLog{}
}

// nextLogicalTime advances the logical time and returns it. The caller holds the lock.
func (s *session) nextLogicalTime() aqdecider.LogicalTime {
	s.logicalTime++
	return s.logicalTime
}

func (s *session) address() aqworker.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return aqworker.Address{Worker: s.worker, HostPort: s.worker.Address}
}

// run sends heartbeats to the worker until the session ends.
func (s *session) run() {
	for s.ctx.Err() == nil {
		answered := false
		if err := s.agent.guard.Run("heartbeat", func() { answered = s.heartbeat() }); err != nil || !answered {
			aqclock.Sleep(s.ctx, s.agent.clock, heartbeatRetry)
			continue
		}
		aqclock.Sleep(s.ctx, s.agent.clock, heartbeatPause)
		s.awaitAck()
	}
}

// awaitAck waits up to maxAckWait in all for the acknowledgement of the reported ends.
func (s *session) awaitAck() {
	s.mu.Lock()
	acked := s.endsAcked()
	s.mu.Unlock()
	if acked {
		return
	}
	select {
	case <-s.ctx.Done():
	case <-s.acked:
	case <-s.agent.clock.After(maxAckWait - heartbeatPause):
	}
}

// token returns the token of the next call.
func (s *session) token() aqworker.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lockedToken()
}

// lockedToken is token for a caller that holds the lock.
func (s *session) lockedToken() aqworker.Token { return s.fence.Token(s.params.Restarts) }

// unlessOvertaken returns the error of a call, but for a refusal of a token that the leader has raised since.
// The worker had a later call of this session before, so the call may be repeated.
func (s *session) unlessOvertaken(token aqworker.Token, err error) error {
	if errors.Is(err, aqworker.ErrFenced) && s.token() > token {
		return aqworker.ErrTooLate
	}
	return err
}

// mayRenew reports whether the leader lets the agent renew the lease. The caller holds the
// lock.
func (s *session) mayRenew() bool { return s.params.Renew && s.params.Silences == s.silences }

// nextLeaseEnd returns the lease end to request, zero while the lease must not be
// renewed. The caller holds the lock.
func (s *session) nextLeaseEnd() aqworker.Time {
	if !s.workerClock.known || !s.mayRenew() || s.failedHeartbeats > 0 {
		return 0
	}
	end := s.workerClock.lowerBoundAt(s.agent.clock.Now()) + aqworker.Time(s.lease)
	s.leaseEnd = max(s.leaseEnd, end)
	return end
}
