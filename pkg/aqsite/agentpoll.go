package aqsite

import (
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

// pollLoop polls a member for its events.
func (p *agentPool) pollLoop(m *member) {
	for m.ctx.Err() == nil {
		if !p.leader.mayPoll() {
			aqclock.Sleep(m.ctx, p.leader.node.clock, retryPause)
			continue
		}
		acked := p.ackedAnswer(m)
		sent := p.leader.node.clock.Elapsed()
		p.mu.Lock()
		m.polledAt = p.leader.node.clock.Now()
		p.mu.Unlock()
		answer, err := m.link.Poll(m.ctx, aqagent.PollCall{
			Agent:       m.record.Name,
			Fence:       p.leader.fence,
			Leader:      p.leader.record,
			AckedAnswer: acked,
			Checked:     p.leader.node.lastCheck(),
			Params:      p.changedParams(m),
			Pending:     p.leader.pendingCounts(),
			Evacuations: p.leader.evacuationReport(),
			Backlog:     p.leader.tellBacklog(),
			Gather:      p.gatherTime(),
			Wait:        p.pollWait(),
		})
		if err != nil {
			p.agentFailed(m, err)
			aqclock.Sleep(m.ctx, p.leader.node.clock, memberRetry)
			if m.ctx.Err() == nil {
				p.markUp(m)
			}
			continue
		}
		m.lastAnswer = answer.Number
		p.noteAnswer(m, answer.Number)
		p.markUp(m)
		p.leader.acknowledged(m.record)
		if answer.Instance == m.record.Incarnation {
			p.leader.followed(m, sent)
		}
		p.noteEarlier(answer.Earlier)
		p.applyEvents(m, answer.Events)
		p.waitIdle(m)
	}
}

// noteAnswer notes that a member's agent has answered a poll.
func (p *agentPool) noteAnswer(m *member, number uint64) {
	now := p.leader.node.clock.Elapsed()
	p.mu.Lock()
	defer p.mu.Unlock()
	m.answeredAt = now
	m.answered = number
}

// ackedAnswer returns the number of the answer that the next poll of a member acknowledges. Without an
// acknowledgement a poll gives no permit; its answer still shows whom the agent follows.
func (p *agentPool) ackedAnswer(m *member) uint64 {
	if !p.leader.mayOrder() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.dropsUnconfirmed {
		return 0
	}
	return m.lastAnswer
}

// noteEarlier passes an agent's runs of an earlier term on to the decider.
func (p *agentPool) noteEarlier(earlier []aqdecider.EarlierRuns) {
	if len(earlier) == 0 {
		return
	}
	p.leader.decide(func(d *aqdecider.Decider) {
		for _, e := range earlier {
			d.NoteEarlierRuns(e)
		}
	})
}

// Times of the polls.
const (
	// heldPollTime is the age from which a poll counts as held by its agent.
	heldPollTime = 100 * time.Millisecond
	// gatherPerAgent makes agents gather events the longer, the more agents there are, so
	// that the leader's polls per second stay the same; gatherPerAgentOfCore does so for a
	// leader of one core, and longer for one with a part of a core.
	gatherPerAgent       = 3 * time.Millisecond
	gatherPerAgentOfCore = 800 * time.Microsecond
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

// agingProof is the age of the last proof of leadership from which the leader asks its agents more
// often whether they follow it.
const agingProof = 600 * time.Millisecond

// agingPollWait is how long an agent holds a poll meanwhile.
const agingPollWait = 150 * time.Millisecond

// pollWait returns how long an agent may hold a poll.
func (p *agentPool) pollWait() time.Duration {
	if p.leader.proofAge() > agingProof {
		return agingPollWait
	}
	return aqagent.PollWait
}

// wakeIdle makes the leader poll the members without workers at once.
func (p *agentPool) wakeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.ordered {
		if m.assigned == 0 {
			aqsignal.Send(m.wakePoll)
		}
	}
}

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
		Worker:   id,
		Serial:   a.serial,
		Number:   a.params.Number,
		Restarts: a.params.Restarts,
		Wait:     aqagent.HeartbeatWaitIdle,
		Renew:    a.renew,
		Silences: a.silences,
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

// markStale makes the next poll of a member check the heartbeat parameters of a worker.
func (p *agentPool) markStale(m *member, id aqtype.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.stale[id] = true
}
