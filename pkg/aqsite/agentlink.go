package aqsite

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
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

// dispatch queues orders for the agents of their workers, starts with a limit.
func (p *agentPool) dispatch(orders []aqdecider.Order, limit startLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range orders {
		a := p.assignments[o.Target()]
		if a == nil || a.member == nil {
			continue
		}
		a.member.stale[o.Target()] = true
		if _, isStart := o.(aqdecider.Start); isStart && limit.limited {
			a.member.limitStarts(limit.until)
		}
		a.member.pending.Orders = append(a.member.pending.Orders, aqagent.WrapOrder(a.serial, o))
		aqsignal.Send(a.member.wakeSend)
	}
}

// limitStarts limits until which elapsed time the pending starts may be sent. The caller holds the lock.
func (m *member) limitStarts(until time.Duration) {
	if !m.starts.limited || until < m.starts.until {
		m.starts.until = until
	}
	m.starts.limited = true
}

// takePending takes the pending call, with the limit of its starts in the form in which the agent can tell their age. The
// caller holds the lock.
func (m *member) takePending() aqagent.OrdersCall {
	call := m.pending
	if m.starts.limited {
		call.Starts = &aqagent.StartLimit{
			Answer: m.answered,
			Within: m.starts.until - m.answeredAt,
		}
	}
	m.pending = aqagent.OrdersCall{}
	m.starts = startLimit{}
	return call
}

// sendLoop sends a member's orders, one call at a time.
func (p *agentPool) sendLoop(m *member) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.wakeSend:
		}
		if !p.sendOrders(m) {
			aqclock.Sleep(m.ctx, p.leader.node.clock, retryPause)
			aqsignal.Send(m.wakeSend)
		}
	}
}

// sendOrders sends what waits for a member. It returns false if that may not be sent now.
func (p *agentPool) sendOrders(m *member) bool {
	call, ok := p.takeOrders(m)
	if !ok {
		return false
	}
	if len(call.Assign)+len(call.Drop)+len(call.Params)+len(call.Orders) == 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.confirmDrops()
		return true
	}
	call.Agent = m.record.Name
	call.Fence = p.leader.fence
	call.Lease = p.leader.leaseDuration()
	if err := m.link.Orders(m.ctx, call); err != nil {
		p.keepDrops(m, call.Drop)
		p.agentFailed(m, err)
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.confirmDrops()
	return true
}

// confirmDrops records that a member's agent has received its drops, unless the member has been lost
// again. The caller holds the lock.
func (m *member) confirmDrops() {
	if m.up && m.sendsAllDrops && len(m.undropped) == 0 {
		m.dropsUnconfirmed = false
	}
}

// keepDrops notes that a call which told a member's agent to drop workers has failed.
func (p *agentPool) keepDrops(m *member, drops []aqagent.Dropped) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, drop := range drops {
		if m.workers[drop.Worker] == nil {
			m.undropped[drop.Worker] = max(m.undropped[drop.Worker], drop.Serial)
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
	call := m.takePending()
	m.sendsAllDrops = m.up
	if m.up {
		for _, id := range slices.Sorted(maps.Keys(m.undropped)) {
			drop := aqagent.Dropped{
				Worker: id,
				Serial: m.undropped[id],
			}
			if !slices.Contains(call.Drop, drop) {
				call.Drop = append(call.Drop, drop)
			}
		}
		clear(m.undropped)
	}
	return call, true
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
	m.dropsUnconfirmed = true
	// The process may have restarted, and its answers may begin anew.
	m.answered = 0
	gone := p.isGone(m) && p.members[m.record.Name] == m
	p.mu.Unlock()
	p.leader.node.metrics.Retried(aqmetric.RetryAgentLost)
	if wasUp {
		p.leader.node.log.Write(aqlog.AgentLost, slog.String("Agent", m.record.Name), aqlog.Err(err))
	}
	if gone {
		p.leave(m.record.Name)
		return
	}
	p.reassignWorkersOf(m)
}

// markUp marks a member as up again: its agent has answered a poll, or memberRetry has
// passed since a poll of it failed.
func (p *agentPool) markUp(m *member) {
	p.mu.Lock()
	wasUp := m.up
	m.up = true
	if m.dropsUnconfirmed || len(m.undropped) > 0 {
		aqsignal.Send(m.wakeSend)
	}
	p.mu.Unlock()
	if !wasUp {
		p.leader.node.log.Write(aqlog.AgentRecovered, slog.String("Agent", m.record.Name))
		p.rebalance()
	}
}
