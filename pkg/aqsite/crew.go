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
	link   crewLink
	// up is set while the agent answers, enlisted once the stored list of agents
	// names it. It gets no workers otherwise.
	up       bool
	enlisted bool
	cancel   context.CancelFunc
	ctx      context.Context
	// heard is the number of the last answer to a poll. Only the poll loop uses it.
	heard    uint64
	assigned int
	// posts are those of its workers; there are as many as assigned says.
	posts map[aqtype.WorkerID]*post
	// busy wakes the poll of a member that gets its first worker.
	busy chan struct{}

	// pending is what the next orders call carries.
	pending ordersCall
	wake    chan struct{}
}

// post is where a worker is assigned.
type post struct {
	worker aqdecider.Worker
	member *member
	serial Serial
	// lapseAt is when the lease has certainly ended, while no agent hears of the
	// worker; zero otherwise.
	lapseAt time.Time
	// tried lists the members that found the worker silent.
	tried map[string]bool
	// renew is set when the worker was heard of in this assignment.
	renew bool
	hint  hint
}

// crew divides the workers over the agents. Its lock is taken inside the
// leader's.
type crew struct {
	leader *leader

	mu      sync.Mutex
	members map[string]*member
	// ordered holds the same members by name. It is replaced when they change.
	ordered []*member
	// changes counts the changes of the members.
	changes uint64
	posts   map[aqtype.WorkerID]*post
	serial  Serial
}

func newCrew(l *leader) *crew {
	return &crew{
		leader:  l,
		members: map[string]*member{},
		posts:   map[aqtype.WorkerID]*post{},
	}
}

// join adds a member, or replaces one that has restarted. It returns false for one
// that is known.
func (c *crew) join(ctx context.Context, record nodeRecord, link crewLink) bool {
	c.mu.Lock()
	before := c.members[record.Name]
	if before != nil && before.record == record {
		c.mu.Unlock()
		return false
	}
	memberCtx, cancel := context.WithCancel(ctx)
	m := &member{
		record: record,
		link:   link,
		up:     true,
		cancel: cancel,
		ctx:    memberCtx,
		wake:   make(chan struct{}, 1),
		posts:  map[aqtype.WorkerID]*post{},
		busy:   make(chan struct{}, 1),
	}
	c.add(m)
	c.mu.Unlock()
	if before != nil {
		before.cancel()
		c.abandon(before)
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
func (c *crew) records() ([]nodeRecord, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]nodeRecord, 0, len(c.ordered))
	for _, m := range c.ordered {
		records = append(records, m.record)
	}
	return records, c.changes
}

// names lists the members.
func (c *crew) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.ordered))
	for _, m := range c.ordered {
		names = append(names, m.record.Name)
	}
	return names
}

// changesSoFar counts the changes of the members.
func (c *crew) changesSoFar() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes
}

// enlist lets members get workers that the stored list names.
func (c *crew) enlist(agents []nodeRecord) {
	c.mu.Lock()
	changed := false
	for _, record := range agents {
		if m := c.members[record.Name]; m != nil && m.record == record && !m.enlisted {
			m.enlisted = true
			changed = true
		}
	}
	c.mu.Unlock()
	if changed {
		c.rebalance()
	}
}

// leave removes a member that is not registered any more.
func (c *crew) leave(name string) {
	c.mu.Lock()
	m := c.members[name]
	delete(c.members, name)
	c.membersChanged()
	c.mu.Unlock()
	if m != nil {
		m.cancel()
		c.abandon(m)
	}
}

// add puts a member in place of one of the same name. The lock is held.
func (c *crew) add(m *member) {
	c.members[m.record.Name] = m
	c.membersChanged()
}

// membersChanged orders the members anew. The lock is held.
func (c *crew) membersChanged() {
	c.changes++
	c.ordered = make([]*member, 0, len(c.members))
	for _, m := range c.members {
		c.ordered = append(c.ordered, m)
	}
	sort.Slice(c.ordered, func(i, j int) bool { return c.ordered[i].record.Name < c.ordered[j].record.Name })
}

// place assigns a worker that service discovery lists, or updates its entry.
func (c *crew) place(w aqdecider.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.posts[w.ID]
	if p == nil {
		p = &post{}
		c.posts[w.ID] = p
	}
	if w.Life < p.worker.Life || (p.member != nil && p.worker.Same(w)) {
		return
	}
	p.worker = w
	if p.member == nil {
		c.assign(p, c.pick(w, nil))
		return
	}
	p.member.pending.Assign = append(p.member.pending.Assign, assignment{
		Worker: w,
		Serial: p.serial,
		Hint:   p.hint,
	})
	signal(p.member.wake)
}

// placeIdle assigns the workers that nobody deals with.
func (c *crew) placeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.posts {
		if p.member == nil {
			c.assign(p, c.pick(p.worker, nil))
		}
	}
}

// workers lists the workers that somebody deals with, in no order.
func (c *crew) workers() []aqtype.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]aqtype.WorkerID, 0, len(c.posts))
	for id := range c.posts {
		ids = append(ids, id)
	}
	return ids
}

// answers reports whether a member's agent answers.
func (c *crew) answers(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[name]
	return m != nil && m.up
}

// assign gives a worker to a member. The lock is held.
func (c *crew) assign(p *post, to *member) {
	if p.member != nil {
		p.member.assigned--
		delete(p.member.posts, p.worker.ID)
		p.member.pending.Drop = append(p.member.pending.Drop, p.worker.ID)
		signal(p.member.wake)
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
	to.posts[p.worker.ID] = p
	signal(to.busy)
	to.pending.Assign = append(to.pending.Assign, assignment{
		Worker: p.worker,
		Serial: p.serial,
		Hint:   p.hint,
	})
	signal(to.wake)
}

// remove ends the dealings with a worker.
func (c *crew) remove(id aqtype.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.posts[id]; p != nil {
		c.assign(p, nil)
		delete(c.posts, id)
	}
}

func (c *crew) sortedPosts() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(c.posts))
	for id := range c.posts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
