package aqsite

import (
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

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

func gatherTime(agents int, processors float64) time.Duration {
	byAgents := time.Duration(agents) * gatherPerAgent
	byProcessors := time.Duration(float64(agents) * float64(gatherPerAgentOfCore) / max(processors, minProcessors))
	return min(maxGatherTime, max(aqagent.MinGatherTime, byAgents, byProcessors))
}

const minProcessors = 0.01

const idlePoll = 2 * time.Second

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

func (p *agentPool) markStale(m *member, id aqtype.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.stale[id] = true
}
