package aqsite

import (
	"maps"
	"slices"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// applyEvents passes a member's events on to the decider.
func (p *agentPool) applyEvents(m *member, events []aqagent.EventWire) {
	if len(events) == 0 {
		return
	}
	deposed := false
	p.leader.decide(func(d *aqdecider.Decider) {
		for _, wire := range events {
			if !p.isCurrent(m, wire) {
				continue
			}
			p.markStale(m, wire.Worker)
			deposed = p.applyCurrent(d, wire) || deposed
		}
	})
	if deposed {
		p.leader.lose(aqworker.ErrFenced)
	}
}

// applyCurrent passes an event of a current assignment on to the decider. It returns true if the worker
// has received a higher fencing token.
func (p *agentPool) applyCurrent(d *aqdecider.Decider, wire aqagent.EventWire) (deposed bool) {
	id := wire.Worker
	switch e := wire.Unwrap().(type) {
	case aqagent.ReportReceived:
		p.reportReceived(d, id, wire.Serial, e)
	case aqagent.Unresponsive:
		d.WorkerUnresponsive(id)
		p.workerUnresponsive(d, id, wire.Serial, e)
	case aqagent.StartResult:
		if !e.Unanswered {
			d.StartSettled(id, e.Incarnation, e.Run)
		}
		d.StartAnswered(id, e.Incarnation, e.Run, e.Outcome, e.At)
	case aqagent.StopResult:
		if e.Answered {
			d.StopAnswered(id, e.Incarnation, e.Run, e.At)
		} else {
			d.StopUnanswered(id, e.Incarnation, e.Run)
		}
	case aqagent.Fenced:
		return true
	}
	return false
}

// isCurrent reports whether an event belongs to the worker's current assignment.
func (p *agentPool) isCurrent(m *member, wire aqagent.EventWire) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.assignment(wire.Worker, wire.Serial)
	return a != nil && a.member == m
}

// assignment returns a worker's assignment with a serial, nil if it has ended. The caller holds the lock.
func (p *agentPool) assignment(id aqtype.WorkerID, serial aqagent.Serial) *workerAssignment {
	if a := p.assignments[id]; a != nil && a.member != nil && a.serial == serial {
		return a
	}
	return nil
}

// reportReceived rebuilds a worker's report and passes it on to the decider, unless the
// assignment has ended. A difference without its base makes the worker's agent report
// everything again.
func (p *agentPool) reportReceived(
	d *aqdecider.Decider, id aqtype.WorkerID, serial aqagent.Serial, e aqagent.ReportReceived,
) {
	p.mu.Lock()
	a := p.assignment(id, serial)
	if a == nil {
		p.mu.Unlock()
		return
	}
	report, err := a.listing.Apply(e.Difference)
	if err != nil {
		a.leaseEndsBy(p.leader.node.clock.Now().Add(p.longestLease()))
		p.assign(a, a.member)
		p.mu.Unlock()
		p.leader.node.metrics.Retried(aqmetric.RetryReportBase)
		d.WorkerReassigned(id)
		return
	}
	report.Settled = e.Settled
	p.noteIncarnation(a, report.Incarnation)
	// The next assignment must not name an earlier incarnation than the orders that come with it.
	a.reported = report.Incarnation
	a.worker.Incarnation = report.Incarnation
	a.leaseExpiresAt = time.Time{}
	a.tried = nil
	a.renew = true
	p.reported[id] = true
	if !p.reportsReleased {
		if a.held != nil && a.held.Incarnation == report.Incarnation {
			report.Ended = append(a.held.Ended, report.Ended...)
			report.Settled = report.Settled || a.held.Settled
		}
		a.held = &report
		delete(p.heldLost, id)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	d.WorkerReported(id, report)
}

// releaseReports passes the reports on that were held back while the stored jobs were
// read, and no longer holds any back.
func (p *agentPool) releaseReports() {
	p.leader.decide(func(d *aqdecider.Decider) {
		p.mu.Lock()
		p.reportsReleased = true
		held := map[aqtype.WorkerID]*aqdecider.WorkerReport{}
		for _, id := range p.sortedWorkers() {
			if a := p.assignments[id]; a.held != nil {
				held[id] = a.held
				a.held = nil
			}
		}
		p.awaitHeldLost(d)
		p.mu.Unlock()
		for _, id := range slices.Sorted(maps.Keys(held)) {
			d.WorkerReported(id, *held[id])
		}
	})
}

// awaitHeldLost makes the tasks of workers whose held reports were discarded wait until the
// leases that this leader has renewed have ended. The caller holds the lock.
func (p *agentPool) awaitHeldLost(d *aqdecider.Decider) {
	for id := range p.heldLost {
		until := p.leader.node.clock.Now().Add(p.longestLease())
		if a := p.assignments[id]; a != nil && !a.leaseExpiresAt.IsZero() {
			until = a.leaseExpiresAt
		}
		d.AwaitReports([]aqtype.WorkerID{id}, until)
	}
	clear(p.heldLost)
}

// leaseEndsBy records that the worker's agent may renew its lease no more, so that the lease ends
// by a time. A deadline that is known stays: without a report since, no agent was told to renew the
// lease, however many have been tried.
func (a *workerAssignment) leaseEndsBy(until time.Time) {
	if !a.leaseExpiresAt.IsZero() {
		return
	}
	a.leaseExpiresAt = until
	if a.othersRenewedUntil.After(until) {
		a.leaseExpiresAt = a.othersRenewedUntil
	}
}

// mayBeRenewedUntil records that the worker is taken from an agent that does not know of it yet. The
// leases that this agent still renews have expired by a time.
func (a *workerAssignment) mayBeRenewedUntil(until time.Time) {
	if a.renew {
		a.othersRenewedUntil = until
	}
	a.leaseEndsBy(until)
}

// workerUnresponsive assigns an unresponsive worker to another member, which may
// reach it, unless the assignment has ended.
func (p *agentPool) workerUnresponsive(
	d *aqdecider.Decider, id aqtype.WorkerID, serial aqagent.Serial, e aqagent.Unresponsive,
) {
	p.mu.Lock()
	a := p.assignment(id, serial)
	if a == nil {
		p.mu.Unlock()
		return
	}
	expiresIn := e.ExpiresIn
	if expiresIn < 0 {
		expiresIn = p.longestLease()
	}
	a.leaseEndsBy(p.leader.node.clock.Now().Add(expiresIn))
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[a.member.record.Name] = true
	a.renew = false
	a.silences++
	to := p.pickMember(a.worker, a.tried)
	if to != nil {
		p.assign(a, to)
	}
	p.mu.Unlock()
	if to != nil {
		d.WorkerReassigned(id)
	}
}

// expireLeases reports to the decider the workers whose lease has certainly expired.
func (p *agentPool) expireLeases(d *aqdecider.Decider) {
	now := p.leader.node.clock.Now()
	p.mu.Lock()
	var expired []aqtype.WorkerID
	for id, a := range p.assignments {
		if !a.leaseExpiresAt.IsZero() && now.After(a.leaseExpiresAt) {
			a.leaseExpiresAt = time.Time{}
			delete(p.reported, id)
			// The new assignment number invalidates orders still queued at the agent,
			// so that they cannot reach the worker later.
			p.assign(a, a.member)
			expired = append(expired, id)
		}
	}
	p.mu.Unlock()
	for _, id := range expired {
		if heldUntil := d.LeaseExpired(id); !heldUntil.IsZero() {
			p.awaitHeldRuns(id, heldUntil)
		}
	}
}

// awaitHeldRuns makes the decider decide again on the runs of an unreachable worker by a time.
func (p *agentPool) awaitHeldRuns(id aqtype.WorkerID, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.assignments[id]; a != nil {
		a.leaseEndsBy(until)
	}
}
