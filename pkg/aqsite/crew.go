package aqsite

import (
	"context"
	"sort"
	"sync"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

// memberRetry is the pause before a member whose agent failed is tried again.
const memberRetry = 700 * time.Millisecond

// member is one process that the leader may have as an agent.
type member struct {
	record nodeRecord
	link   agentLink
	// up is set while the agent answers, enlisted once the stored list of agents
	// names it. It gets no workers otherwise.
	up        bool
	persisted bool
	cancel    context.CancelFunc
	ctx       context.Context
	// lastAnswer is the number of the last answer to a poll. Only the poll loop uses it.
	lastAnswer uint64
	assigned   int
	// workers are those of its workers; there are as many as assigned says.
	workers map[aqtype.WorkerID]*workerAssignment
	// wakePoll wakes the poll of a member that gets its first worker.
	wakePoll chan struct{}

	// pending is what the next orders call carries.
	pending  ordersCall
	wakeSend chan struct{}
}

// workerAssignment is where a worker is assigned.
type workerAssignment struct {
	worker aqdecider.Worker
	member *member
	serial Serial
	// leaseExpiresAt is when the lease has certainly ended, while no agent hears of the
	// worker; zero otherwise.
	leaseExpiresAt time.Time
	// tried lists the members that found the worker silent.
	tried map[string]bool
	// renew is set when the worker was heard of in this assignment.
	renew bool
	hint  heartbeatParams
}

// agentPool divides the workers over the agents. Its lock is taken inside the
// leader's.
type agentPool struct {
	leader *leader

	mu      sync.Mutex
	members map[string]*member
	// ordered holds the same members by name. It is replaced when they change.
	ordered []*member
	// changes counts the changes of the members.
	changes     uint64
	assignments map[aqtype.WorkerID]*workerAssignment
	serial      Serial
}

func newAgentPool(l *leader) *agentPool {
	return &agentPool{
		leader:      l,
		members:     map[string]*member{},
		assignments: map[aqtype.WorkerID]*workerAssignment{},
	}
}

// join adds a member, or replaces one that has restarted. It returns false for one
// that is known.
func (c *agentPool) join(ctx context.Context, record nodeRecord, link agentLink) bool {
	c.mu.Lock()
	before := c.members[record.Name]
	if before != nil && before.record == record {
		c.mu.Unlock()
		return false
	}
	memberCtx, cancel := context.WithCancel(ctx)
	m := &member{
		record:   record,
		link:     link,
		up:       true,
		cancel:   cancel,
		ctx:      memberCtx,
		wakeSend: make(chan struct{}, 1),
		workers:  map[aqtype.WorkerID]*workerAssignment{},
		wakePoll: make(chan struct{}, 1),
	}
	c.add(m)
	c.mu.Unlock()
	if before != nil {
		before.cancel()
		c.reassignWorkersOf(before)
	}
	for _, loop := range []func(*member){c.sendLoop, c.pollLoop} {
		c.leader.work.Add(1)
		go func() {
			defer c.leader.work.Done()
			loop(m)
		}()
	}
	signal(c.leader.wakeStore)
	return true
}

// records lists the members for the stored list of agents, with the number of
// changes of it so far.
func (c *agentPool) records() ([]nodeRecord, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]nodeRecord, 0, len(c.ordered))
	for _, m := range c.ordered {
		records = append(records, m.record)
	}
	return records, c.changes
}

// names lists the members.
func (c *agentPool) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.ordered))
	for _, m := range c.ordered {
		names = append(names, m.record.Name)
	}
	return names
}

// changeCount counts the changes of the members.
func (c *agentPool) changeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes
}

// markPersisted lets members get workers that the stored list names.
func (c *agentPool) markPersisted(agents []nodeRecord) {
	c.mu.Lock()
	changed := false
	for _, record := range agents {
		if m := c.members[record.Name]; m != nil && m.record == record && !m.persisted {
			m.persisted = true
			changed = true
		}
	}
	c.mu.Unlock()
	if changed {
		c.rebalance()
	}
}

// leave removes a member that is not registered any more.
func (c *agentPool) leave(name string) {
	c.mu.Lock()
	m := c.members[name]
	delete(c.members, name)
	c.membersChanged()
	c.mu.Unlock()
	if m != nil {
		m.cancel()
		c.reassignWorkersOf(m)
	}
}

// add puts a member in place of one of the same name. The lock is held.
func (c *agentPool) add(m *member) {
	c.members[m.record.Name] = m
	c.membersChanged()
}

// membersChanged orders the members anew. The lock is held.
func (c *agentPool) membersChanged() {
	c.changes++
	c.ordered = make([]*member, 0, len(c.members))
	for _, m := range c.members {
		c.ordered = append(c.ordered, m)
	}
	sort.Slice(c.ordered, func(i, j int) bool { return c.ordered[i].record.Name < c.ordered[j].record.Name })
}

// addWorker assigns a worker that service discovery lists, or updates its entry.
func (c *agentPool) addWorker(w aqdecider.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.assignments[w.ID]
	if p == nil {
		p = &workerAssignment{}
		c.assignments[w.ID] = p
	}
	if w.Incarnation < p.worker.Incarnation || (p.member != nil && p.worker.SameInstance(w)) {
		return
	}
	p.worker = w
	if p.member == nil {
		c.assign(p, c.pickMember(w, nil))
		return
	}
	p.member.pending.Assign = append(p.member.pending.Assign, assignment{
		Worker: w,
		Serial: p.serial,
		Params: p.hint,
	})
	signal(p.member.wakeSend)
}

// assignUnassigned assigns the workers that nobody deals with.
func (c *agentPool) assignUnassigned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.assignments {
		if p.member == nil {
			c.assign(p, c.pickMember(p.worker, nil))
		}
	}
}

// workers lists the workers that somebody deals with, in no order.
func (c *agentPool) workers() []aqtype.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]aqtype.WorkerID, 0, len(c.assignments))
	for id := range c.assignments {
		ids = append(ids, id)
	}
	return ids
}

// responsive reports whether a member's agent answers.
func (c *agentPool) responsive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[name]
	return m != nil && m.up
}

// assign gives a worker to a member. The lock is held.
func (c *agentPool) assign(p *workerAssignment, to *member) {
	if p.member != nil {
		p.member.assigned--
		delete(p.member.workers, p.worker.ID)
		p.member.pending.Drop = append(p.member.pending.Drop, p.worker.ID)
		signal(p.member.wakeSend)
	}
	p.member = to
	p.hint.Renew = false
	p.renew = false
	if to == nil {
		return
	}
	c.serial++
	p.serial = c.serial
	to.assigned++
	to.workers[p.worker.ID] = p
	signal(to.wakePoll)
	to.pending.Assign = append(to.pending.Assign, assignment{
		Worker: p.worker,
		Serial: p.serial,
		Params: p.hint,
	})
	signal(to.wakeSend)
}

// removeWorker ends the dealings with a worker.
func (c *agentPool) removeWorker(id aqtype.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.assignments[id]; p != nil {
		c.assign(p, nil)
		delete(c.assignments, id)
	}
}

func (c *agentPool) sortedWorkers() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(c.assignments))
	for id := range c.assignments {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
