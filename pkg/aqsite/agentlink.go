package aqsite

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// agentLink calls one agent.
type agentLink interface {
	Orders(ctx context.Context, call aqagent.OrdersCall) error
	Poll(ctx context.Context, call aqagent.PollCall) (aqagent.PollAnswer, error)
}

// remoteLink calls an agent in another process.
type remoteLink struct {
	peers   *aqpeer.Pool
	address string
}

// Orders implements agentLink.
func (r remoteLink) Orders(ctx context.Context, call aqagent.OrdersCall) error {
	var none struct{}
	return r.peers.Call(ctx, r.address, aqagent.MethodOrders, call, &none)
}

// Poll implements agentLink.
func (r remoteLink) Poll(ctx context.Context, call aqagent.PollCall) (aqagent.PollAnswer, error) {
	var answer aqagent.PollAnswer
	err := r.peers.Call(ctx, r.address, aqagent.MethodPoll, call, &answer)
	return answer, err
}

// dispatch queues orders for the agents of their workers.
func (p *agentPool) dispatch(orders []aqdecider.Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range orders {
		a := p.assignments[o.Target()]
		if a == nil || a.member == nil {
			continue
		}
		a.member.stale[o.Target()] = true
		a.member.pending.Orders = append(a.member.pending.Orders, aqagent.WrapOrder(o))
		aqsignal.Send(a.member.wakeSend)
	}
}

// sendLoop sends a member's orders, one call at a time.
func (p *agentPool) sendLoop(m *member) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.wakeSend:
		}
		call, ok := p.takeOrders(m)
		if !ok {
			aqclock.Sleep(m.ctx, p.leader.node.clock, retryPause)
			aqsignal.Send(m.wakeSend)
			continue
		}
		if len(call.Assign)+len(call.Drop)+len(call.Params)+len(call.Orders) == 0 {
			continue
		}
		call.Fence = p.leader.fence
		call.Lease = p.leader.leaseDuration()
		if err := m.link.Orders(m.ctx, call); err != nil {
			p.agentFailed(m, err)
		}
	}
}

// takeOrders takes what waits for a member, unless the leader has no proof of its
// leadership: it may have been paused since it decided.
func (p *agentPool) takeOrders(m *member) (aqagent.OrdersCall, bool) {
	if !p.leader.mayOrder() {
		return aqagent.OrdersCall{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	call := m.pending
	m.pending = aqagent.OrdersCall{}
	return call, true
}

// pollLoop polls a member for its events.
func (p *agentPool) pollLoop(m *member) {
	for m.ctx.Err() == nil {
		if !p.leader.mayOrder() {
			aqclock.Sleep(m.ctx, p.leader.node.clock, retryPause)
			continue
		}
		p.mu.Lock()
		m.polledAt = p.leader.node.clock.Now()
		p.mu.Unlock()
		answer, err := m.link.Poll(m.ctx, aqagent.PollCall{
			Fence:       p.leader.fence,
			Leader:      p.leader.record,
			AckedAnswer: m.lastAnswer,
			Checked:     p.leader.node.lastCheck(),
			Params:      p.changedParams(m),
			Pending:     p.leader.pendingCounts(),
			Gather:      p.gatherTime(),
			Wait:        aqagent.PollWait,
		})
		if err != nil {
			p.agentFailed(m, err)
			aqclock.Sleep(m.ctx, p.leader.node.clock, memberRetry)
			p.markUp(m)
			continue
		}
		m.lastAnswer = answer.Number
		p.markUp(m)
		p.leader.acknowledged(m.record.Name)
		p.applyEvents(m, answer.Events)
		p.waitIdle(m)
	}
}

// Times of the polls.
const (
	// heldPollTime is the age from which a poll counts as held by its agent.
	heldPollTime = 100 * time.Millisecond
	// gatherPerAgent makes agents gather events the longer, the more agents there are, so
	// that the leader's polls per second stay the same; gatherPerAgentOfCore does so for a
	// leader of one core, and longer for one with a part of a core.
	gatherPerAgent       = 3 * time.Millisecond
	gatherPerAgentOfCore = 1250 * time.Microsecond
	maxGatherTime        = 120 * time.Millisecond
)

// gatherTime returns how long an agent gathers events into one answer.
func (p *agentPool) gatherTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := 0
	for _, m := range p.ordered {
		if m.assigned > 0 {
			busy++
		}
	}
	return gatherTime(busy, p.leader.node.settings.Processors)
}

// gatherTime returns the time for a number of agents with workers and a leader with a
// number of cores, possibly a fraction.
func gatherTime(agents int, processors float64) time.Duration {
	byAgents := time.Duration(agents) * gatherPerAgent
	byProcessors := time.Duration(float64(agents) * float64(gatherPerAgentOfCore) / max(processors, minProcessors))
	return min(maxGatherTime, max(aqagent.MinGatherTime, byAgents, byProcessors))
}

// minProcessors is the number of cores that a node counts as having at least.
const minProcessors = 0.01

// idlePoll is how often a member without workers is polled.
const idlePoll = 2 * time.Second

// waitIdle waits before the next poll of a member without workers.
func (p *agentPool) waitIdle(m *member) {
	p.mu.Lock()
	idle := m.assigned == 0
	p.mu.Unlock()
	if !idle {
		return
	}
	select {
	case <-m.ctx.Done():
	case <-m.wakePoll:
	case <-p.leader.node.clock.After(idlePoll):
	}
}

// agentFailed handles a failed call to a member's agent. The term ends if the agent has
// received a higher fencing token. Otherwise the leader assigns the member's workers to
// others, since the outcome of its orders and the events it held are unknown.
func (p *agentPool) agentFailed(m *member, err error) {
	if m.ctx.Err() != nil {
		return
	}
	if aqpeer.CodeOf(err) == aqpeer.CodeNotOwner {
		p.leader.deposed(err)
		return
	}
	p.mu.Lock()
	wasUp := m.up
	m.up = false
	p.mu.Unlock()
	p.leader.node.metrics.Retried(aqmetric.RetryAgentLost)
	if wasUp {
		p.leader.node.log.Write(aqlog.AgentLost, slog.String("Agent", m.record.Name), aqlog.Err(err))
	}
	p.reassignWorkersOf(m)
}

// markUp marks a member as up again: its agent has answered a poll, or memberRetry has
// passed since a poll of it failed.
func (p *agentPool) markUp(m *member) {
	p.mu.Lock()
	wasUp := m.up
	m.up = true
	p.mu.Unlock()
	if !wasUp {
		p.leader.node.log.Write(aqlog.AgentRecovered, slog.String("Agent", m.record.Name))
		p.rebalance()
	}
}

// changedParams returns the heartbeat parameters that have changed for a member's
// workers.
func (p *agentPool) changedParams(m *member) []aqagent.HeartbeatParams {
	var changed []aqagent.HeartbeatParams
	p.leader.decide(func(d *aqdecider.Decider) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for id := range m.stale {
			if a := m.workers[id]; a != nil && a.updateParams(d) {
				changed = append(changed, a.params)
			}
		}
		clear(m.stale)
	})
	return changed
}

// updateParams updates the heartbeat parameters of a worker and reports whether they have
// changed. The caller holds the pool's lock.
func (a *workerAssignment) updateParams(d *aqdecider.Decider) bool {
	id := a.worker.ID
	h := aqagent.HeartbeatParams{
		Worker: id,
		Number: a.params.Number,
		Wait:   aqagent.HeartbeatWaitIdle,
		Renew:  a.renew,
	}
	h.AckedEnd, h.Incarnation = d.AckedEnds(id)
	if d.Occupied(id) {
		h.Wait = aqagent.HeartbeatWaitBusy
	}
	if d.NeedsFrequentHeartbeats(id) {
		h.Wait = aqagent.HeartbeatWaitTail
	}
	if h == a.params {
		return false
	}
	h.Number++
	a.params = h
	return true
}

// sendAcks sends the agents of workers the acknowledgements of their stored ends: with the
// next poll, or at once to an agent that holds the last poll until something ends. A
// worker answers every heartbeat at once until its ends are acknowledged.
func (p *agentPool) sendAcks(ids []aqtype.WorkerID) {
	p.leader.decide(func(d *aqdecider.Decider) {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.leader.node.clock.Now()
		for _, id := range ids {
			a := p.assignments[id]
			if a == nil || a.member == nil {
				continue
			}
			a.member.stale[id] = true
			if now.Sub(a.member.polledAt) < heldPollTime || !a.updateParams(d) {
				continue
			}
			a.member.pending.Params = append(a.member.pending.Params, a.params)
			aqsignal.Send(a.member.wakeSend)
		}
	})
}

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
			id := wire.Worker
			p.markStale(m, id)
			switch e := wire.Unwrap().(type) {
			case aqagent.ReportReceived:
				p.reportReceived(d, id, e.Difference)
			case aqagent.Unresponsive:
				d.WorkerUnresponsive(id)
				p.workerUnresponsive(d, id, e)
			case aqagent.StartResult:
				d.StartAnswered(id, e.Incarnation, e.Run, e.Outcome, e.At)
			case aqagent.StopResult:
				if e.Answered {
					d.StopAnswered(id, e.Incarnation, e.Run, e.At)
				} else {
					d.StopUnanswered(id, e.Incarnation, e.Run)
				}
			case aqagent.Fenced:
				deposed = true
			}
		}
	})
	if deposed {
		p.leader.lose(aqworker.ErrFenced)
	}
}

// markStale makes the next poll of a member check the heartbeat parameters of a worker.
func (p *agentPool) markStale(m *member, id aqtype.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.stale[id] = true
}

// isCurrent reports whether an event belongs to the worker's current assignment.
func (p *agentPool) isCurrent(m *member, wire aqagent.EventWire) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.assignments[wire.Worker]
	return a != nil && a.member == m && a.serial == wire.Serial
}

// reportReceived rebuilds a worker's report and passes it on to the decider. A difference
// without its base makes the worker's agent report everything again.
func (p *agentPool) reportReceived(d *aqdecider.Decider, id aqtype.WorkerID, difference aqagent.Difference) {
	p.mu.Lock()
	a := p.assignments[id]
	report, err := a.listing.Apply(difference)
	if err != nil {
		a.leaseExpiresAt = p.leader.node.clock.Now().Add(p.longestLease())
		p.assign(a, a.member)
		p.mu.Unlock()
		p.leader.node.metrics.Retried(aqmetric.RetryReportBase)
		d.WorkerReassigned(id)
		return
	}
	a.leaseExpiresAt = time.Time{}
	a.tried = nil
	a.renew = true
	if !p.reportsReleased {
		if a.held != nil && a.held.Incarnation == report.Incarnation {
			report.Ended = append(a.held.Ended, report.Ended...)
		}
		a.held = &report
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
		p.mu.Unlock()
		for _, id := range slices.Sorted(maps.Keys(held)) {
			d.WorkerReported(id, *held[id])
		}
	})
}

// workerUnresponsive assigns an unresponsive worker to another member, which may
// reach it.
func (p *agentPool) workerUnresponsive(d *aqdecider.Decider, id aqtype.WorkerID, e aqagent.Unresponsive) {
	p.mu.Lock()
	a := p.assignments[id]
	if a == nil || a.member == nil {
		p.mu.Unlock()
		return
	}
	if a.leaseExpiresAt.IsZero() {
		expiresIn := e.ExpiresIn
		if expiresIn < 0 {
			expiresIn = p.longestLease()
		}
		a.leaseExpiresAt = p.leader.node.clock.Now().Add(expiresIn)
	}
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[a.member.record.Name] = true
	a.renew = false
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
			// The new assignment number invalidates orders still queued at the agent,
			// so that they cannot reach the worker later.
			p.assign(a, a.member)
			expired = append(expired, id)
		}
	}
	p.mu.Unlock()
	for _, id := range expired {
		d.LeaseExpired(id)
	}
}
