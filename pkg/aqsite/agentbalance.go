package aqsite

import (
	"sort"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

const (
	// leaderWeight makes the leader's own process manage fewer workers.
	leaderWeight = 0.3
	// workersPerCore is how many workers an agent manages per core; see
	// docs/CAPACITY.md for the cost of one.
	workersPerCore = 100
	// These penalties are added to a member's load: for workers beyond its capacity,
	// for its first worker, and for a worker in another availability zone.
	overloadPenalty    = 10
	firstWorkerPenalty = 1
	otherZonePenalty   = 1.5
)

// weight is the share of workers that a member should manage, relative to others.
func (p *agentPool) weight(m *member) float64 {
	weight := m.record.Processors
	if m.record.Name == p.leader.node.settings.Name {
		weight *= leaderWeight
	}
	return max(weight, 0.01)
}

// pickMember returns the usable member, except those in tried, for which the load of
// one more worker is lowest, or nil when there is none. The caller holds the lock.
func (p *agentPool) pickMember(w aqdecider.Worker, tried map[string]bool) *member {
	var best *member
	var bestLoad float64
	for _, m := range p.ordered {
		if !m.up || !m.persisted || tried[m.record.Name] {
			continue
		}
		load := p.load(m, w)
		if best == nil || load < bestLoad {
			best, bestLoad = m, load
		}
	}
	return best
}

// load is the cost of one more worker for a member. It is lower for members in the
// worker's availability zone, and for members that already have workers: few agents
// with many workers each gather more events into one message.
func (p *agentPool) load(m *member, w aqdecider.Worker) float64 {
	used := float64(m.assigned+1) / (workersPerCore * p.weight(m))
	if used > 1 {
		used += overloadPenalty
	}
	if m.assigned == 0 {
		used += firstWorkerPenalty
	}
	if m.record.Zone != w.Zone {
		used += otherZonePenalty
	}
	return used
}

// reassignWorkersOf assigns to others the workers of a member that does not answer,
// has left or has restarted.
func (p *agentPool) reassignWorkersOf(m *member) {
	now := p.leader.node.clock.Now()
	var moved []aqtype.WorkerID
	p.mu.Lock()
	for _, id := range p.workersOf(m) {
		a := p.assignments[id]
		a.mayBeRenewedUntil(now.Add(p.longestLease()))
		p.assign(a, p.pickMember(a.worker, nil))
		moved = append(moved, id)
	}
	m.takePending()
	p.mu.Unlock()
	p.reportReassigned(moved)
}

func (p *agentPool) workersOf(m *member) []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(m.workers))
	for id := range m.workers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (p *agentPool) reportReassigned(ids []aqtype.WorkerID) {
	if len(ids) == 0 {
		return
	}
	p.leader.decide(func(d *aqdecider.Decider) {
		for _, id := range ids {
			d.WorkerReassigned(id)
		}
	})
}

// assignUnassigned assigns the workers that no member manages.
func (p *agentPool) assignUnassigned() {
	var assigned []aqtype.WorkerID
	p.mu.Lock()
	for _, id := range p.sortedWorkers() {
		a := p.assignments[id]
		if a.member != nil {
			continue
		}
		p.assign(a, p.pickMember(a.worker, nil))
		if a.member != nil {
			assigned = append(assigned, id)
		}
	}
	p.mu.Unlock()
	p.reportReassigned(assigned)
}

// rebalance assigns workers without an agent, and moves workers from members that
// exceed their capacity.
func (p *agentPool) rebalance() {
	var moved []aqtype.WorkerID
	now := p.leader.node.clock.Now()
	p.mu.Lock()
	for _, id := range p.sortedWorkers() {
		a := p.assignments[id]
		if a.member != nil && float64(a.member.assigned) <= workersPerCore*p.weight(a.member) {
			continue
		}
		to := p.pickMember(a.worker, nil)
		if to == nil || to == a.member || (a.member != nil && p.load(to, a.worker) > overloadPenalty) {
			continue
		}
		if a.member != nil {
			a.mayBeRenewedUntil(now.Add(p.longestLease()))
		}
		p.assign(a, to)
		moved = append(moved, id)
	}
	p.mu.Unlock()
	p.reportReassigned(moved)
}

// longestLease is how long a worker may keep its tasks after its agent last answered
// the leader: the agent renews leases until its permit ends, and the worker keeps
// its tasks until its lease expires.
func (p *agentPool) longestLease() time.Duration {
	return aqagent.PermitTime + aqagent.MaxLeaseSpan(p.leader.leaseDuration())
}

func (p *agentPool) sortedWorkers() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(p.assignments))
	for id := range p.assignments {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
