package aqsite

import (
	"context"
	"log/slog"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// agentLink reaches one agent.
type agentLink interface {
	Orders(ctx context.Context, call ordersCall) error
	Poll(ctx context.Context, call pollCall) (pollAnswer, error)
}

// remoteLink reaches an agent in another process.
type remoteLink struct {
	peers   *aqpeer.Pool
	address string
}

// Orders implements crewLink.
func (r remoteLink) Orders(ctx context.Context, call ordersCall) error {
	var none struct{}
	return r.peers.Call(ctx, r.address, methodOrders, call, &none)
}

// Poll implements crewLink.
func (r remoteLink) Poll(ctx context.Context, call pollCall) (pollAnswer, error) {
	var answer pollAnswer
	err := r.peers.Call(ctx, r.address, methodPoll, call, &answer)
	return answer, err
}

// dispatch queues orders for the agents of their workers.
func (c *agentPool) dispatch(orders []aqdecider.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range orders {
		p := c.assignments[o.Target()]
		if p == nil || p.member == nil {
			continue
		}
		p.member.pending.Orders = append(p.member.pending.Orders, wrapOrder(o))
		signal(p.member.wakeSend)
	}
}

// sendLoop sends a member's orders, one call at a time.
func (c *agentPool) sendLoop(m *member) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.wakeSend:
		}
		c.mu.Lock()
		call := m.pending
		m.pending = ordersCall{}
		c.mu.Unlock()
		if len(call.Assign)+len(call.Drop)+len(call.Orders) == 0 {
			continue
		}
		call.Fence = c.leader.token
		call.Lease = c.leader.leaseDuration()
		if err := m.link.Orders(m.ctx, call); err != nil {
			c.agentFailed(m, err)
		}
	}
}

// pollLoop takes a member's events.
func (c *agentPool) pollLoop(m *member) {
	for m.ctx.Err() == nil {
		if !c.leader.mayOrder() {
			aqclock.Sleep(m.ctx, c.leader.node.clock, retryPause)
			continue
		}
		answer, err := m.link.Poll(m.ctx, pollCall{
			Fence:       c.leader.token,
			Leader:      c.leader.record,
			AckedAnswer: m.lastAnswer,
			Checked:     c.leader.node.lastCheck(),
			Params:      c.hints(m),
			Wait:        pollWait,
		})
		if err != nil {
			c.agentFailed(m, err)
			aqclock.Sleep(m.ctx, c.leader.node.clock, memberRetry)
			c.agentAnswered(m)
			continue
		}
		m.lastAnswer = answer.Number
		c.agentAnswered(m)
		c.leader.acknowledged(m.record.Name)
		c.applyEvents(m, answer.Events)
		c.waitIdle(m)
	}
}

// idlePoll is how often a member without workers is polled.
const idlePoll = 2 * time.Second

// waitIdle waits before the next poll of a member that deals with no worker.
func (c *agentPool) waitIdle(m *member) {
	c.mu.Lock()
	idle := m.assigned == 0
	c.mu.Unlock()
	if !idle {
		return
	}
	select {
	case <-m.ctx.Done():
	case <-m.wakePoll:
	case <-c.leader.node.clock.After(idlePoll):
	}
}

// agentFailed notes that a member's agent does not answer: what it was to do, and
// what it was about to tell, is unknown.
func (c *agentPool) agentFailed(m *member, err error) {
	if m.ctx.Err() != nil {
		return
	}
	if aqpeer.CodeOf(err) == aqpeer.CodeNotOwner {
		c.leader.deposed(err)
		return
	}
	c.mu.Lock()
	was := m.up
	m.up = false
	c.mu.Unlock()
	c.leader.node.metrics.Retried(aqmetric.RetryAgentLost)
	if was {
		c.leader.node.log.Write(aqlog.AgentLost, slog.String("Agent", m.record.Name), aqlog.Err(err))
	}
	c.reassignWorkersOf(m)
}

// agentAnswered uses a member again that has answered.
func (c *agentPool) agentAnswered(m *member) {
	c.mu.Lock()
	was := m.up
	m.up = true
	c.mu.Unlock()
	if !was {
		c.leader.node.log.Write(aqlog.AgentRecovered, slog.String("Agent", m.record.Name))
		c.rebalance()
	}
}

// hints returns what has changed for a member's looks.
func (c *agentPool) hints(m *member) []heartbeatParams {
	var changed []heartbeatParams
	c.leader.decide(func(d *aqdecider.Decider) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, p := range m.workers {
			h := heartbeatParams{Worker: id, Wait: heartbeatWaitIdle, Renew: p.renew}
			h.AckedEnd, h.Incarnation = d.AckedEnds(id)
			if d.Occupied(id) {
				h.Wait = heartbeatWaitBusy
			}
			if d.NeedsFrequentHeartbeats(id) {
				h.Wait = heartbeatWaitTail
			}
			if h != p.hint {
				p.hint = h
				changed = append(changed, h)
			}
		}
	})
	return changed
}

// applyEvents passes a member's events on to the decider.
func (c *agentPool) applyEvents(m *member, events []eventWire) {
	if len(events) == 0 {
		return
	}
	deposed := false
	c.leader.decide(func(d *aqdecider.Decider) {
		for _, wire := range events {
			if !c.isCurrent(m, wire) {
				continue
			}
			id := wire.Worker
			switch e := wire.unwrap().(type) {
			case reportReceived:
				c.workerAnswered(id)
				d.WorkerReported(id, e.Report)
			case unresponsive:
				d.WorkerUnresponsive(id)
				c.workerUnresponsive(d, id, e)
			case startResult:
				d.StartAnswered(id, e.Incarnation, e.Run, e.Outcome, e.At)
			case stopResult:
				if e.Answered {
					d.StopAnswered(id, e.Incarnation, e.Run, e.At)
				} else {
					d.StopUnanswered(id, e.Incarnation, e.Run)
				}
			case fenced:
				deposed = true
			}
		}
	})
	if deposed {
		c.leader.lose(ErrFenced)
	}
}

// isCurrent reports whether an event is of the assignment in force.
func (c *agentPool) isCurrent(m *member, wire eventWire) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.assignments[wire.Worker]
	return p != nil && p.member == m && p.serial == wire.Serial
}

// workerAnswered notes that a worker answers.
func (c *agentPool) workerAnswered(id aqtype.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.assignments[id]; p != nil {
		p.leaseExpiresAt = time.Time{}
		p.tried = nil
		p.renew = true
	}
}

// workerUnresponsive gives a silent worker to another member, which may reach it.
func (c *agentPool) workerUnresponsive(d *aqdecider.Decider, id aqtype.WorkerID, e unresponsive) {
	c.mu.Lock()
	p := c.assignments[id]
	if p == nil || p.member == nil {
		c.mu.Unlock()
		return
	}
	if p.leaseExpiresAt.IsZero() {
		lapseIn := e.ExpiresIn
		if lapseIn < 0 {
			lapseIn = c.longestLease()
		}
		p.leaseExpiresAt = c.leader.node.clock.Now().Add(lapseIn)
	}
	if p.tried == nil {
		p.tried = map[string]bool{}
	}
	p.tried[p.member.record.Name] = true
	p.renew = false
	to := c.pickMember(p.worker, p.tried)
	if to != nil {
		c.assign(p, to)
	}
	c.mu.Unlock()
	if to != nil {
		d.WorkerReassigned(id)
	}
}

// expireLeases tells the decider of workers whose lease has certainly ended.
func (c *agentPool) expireLeases(d *aqdecider.Decider) {
	now := c.leader.node.clock.Now()
	c.mu.Lock()
	var ended []aqtype.WorkerID
	for id, p := range c.assignments {
		if !p.leaseExpiresAt.IsZero() && now.After(p.leaseExpiresAt) {
			p.leaseExpiresAt = time.Time{}
			// An order that waits at the agent must not reach the worker later.
			c.assign(p, p.member)
			ended = append(ended, id)
		}
	}
	c.mu.Unlock()
	for _, id := range ended {
		d.LeaseExpired(id)
	}
}
