package aqsite

import (
	"sort"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

const (
	// leaderWeight makes the leader's own process deal with fewer workers.
	leaderWeight = 0.3
	// workersPerCore is how many workers an agent deals with for each core that
	// it has; see docs/CAPACITY.md for what one costs.
	workersPerCore = 100
	// overloadPenalty, opened and foreignZone are added to a member's load: beyond what
	// it can carry, for its first worker, and for a worker in another zone.
	overloadPenalty    = 10
	firstWorkerPenalty = 1
	otherZonePenalty   = 1.5
)

// weight is how many workers a member should deal with, relative to others.
func (c *agentPool) weight(m *member) float64 {
	weight := m.record.Processors
	if m.record.Name == c.leader.node.settings.Name {
		weight *= leaderWeight
	}
	return max(weight, 0.01)
}

// pickMember returns the member that a worker should be with: the least loaded one,
// in its zone if possible. The lock is held.
func (c *agentPool) pickMember(w aqdecider.Worker, tried map[string]bool) *member {
	var best *member
	var bestLoad float64
	for _, m := range c.ordered {
		if !m.up || !m.persisted || tried[m.record.Name] {
			continue
		}
		load := c.load(m, w)
		if best == nil || load < bestLoad {
			best, bestLoad = m, load
		}
	}
	return best
}

// load compares members for one more worker. Members that have workers already
// are filled up first: few agents with many workers each gather more into one
// message.
func (c *agentPool) load(m *member, w aqdecider.Worker) float64 {
	used := float64(m.assigned+1) / (workersPerCore * c.weight(m))
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

// reassignWorkersOf gives the workers of a member that does not answer to others.
func (c *agentPool) reassignWorkersOf(m *member) {
	now := c.leader.node.clock.Now()
	var moved []aqtype.WorkerID
	c.mu.Lock()
	for _, id := range c.workersOf(m) {
		p := c.assignments[id]
		p.leaseExpiresAt = now.Add(c.longestLease())
		c.assign(p, c.pickMember(p.worker, nil))
		moved = append(moved, id)
	}
	m.pending = ordersCall{}
	c.mu.Unlock()
	c.reportReassigned(moved)
}

func (c *agentPool) workersOf(m *member) []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(m.workers))
	for id := range m.workers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (c *agentPool) reportReassigned(ids []aqtype.WorkerID) {
	if len(ids) == 0 {
		return
	}
	c.leader.decide(func(d *aqdecider.Decider) {
		for _, id := range ids {
			d.WorkerReassigned(id)
		}
	})
}

// rebalance gives workers without an agent to members, and moves some from
// members that have more than they can carry.
func (c *agentPool) rebalance() {
	var moved []aqtype.WorkerID
	now := c.leader.node.clock.Now()
	c.mu.Lock()
	for _, id := range c.sortedWorkers() {
		p := c.assignments[id]
		if p.member != nil && float64(p.member.assigned) <= workersPerCore*c.weight(p.member) {
			continue
		}
		to := c.pickMember(p.worker, nil)
		if to == nil || to == p.member || (p.member != nil && c.load(to, p.worker) > overloadPenalty) {
			continue
		}
		if p.member != nil {
			p.leaseExpiresAt = now.Add(c.longestLease())
		}
		c.assign(p, to)
		moved = append(moved, id)
	}
	c.mu.Unlock()
	c.reportReassigned(moved)
}

// longestLease is how long a worker may keep its tasks after its agent was last
// heard of: the agent goes on until its permit ends, and the worker until its
// lease.
func (c *agentPool) longestLease() time.Duration {
	return permitTime + maxLeaseSpan(c.leader.leaseDuration())
}
