package aqsite

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// memberRetry is the delay after a failed poll of an agent, before the leader assigns
// workers to it again and repeats the poll.
const memberRetry = 700 * time.Millisecond

// member is one process that the leader may use as an agent.
type member struct {
	record nodeRecord
	link   agentLink
	// joinedAt is the elapsed time at which the leader learned of the process.
	joinedAt time.Duration
	// up is cleared when a call to the agent fails, and set again when the agent answers
	// a poll or memberRetry after a failed poll. persisted is set once the stored list of
	// agents includes the member. The member gets workers only while both are set.
	up        bool
	persisted bool
	// unregistered is set if the process is not registered. It leaves once it has not answered for goneTimeout;
	// before, the store may only have refused its renewals.
	unregistered bool
	// answeredAt is the elapsed time at which the agent last answered a poll, joinedAt before the first answer. answered
	// is the number of that answer, zero before the first.
	answeredAt time.Duration
	answered   uint64
	// starts is the limit of the pending starts.
	starts startLimit
	cancel context.CancelFunc
	ctx    context.Context
	// lastAnswer is the number of the last answer to a poll. Only the poll loop uses
	// it.
	lastAnswer uint64
	assigned   int
	// stale holds the workers whose heartbeat parameters may have changed.
	stale map[aqtype.WorkerID]bool
	// polledAt is when the last poll was sent.
	polledAt time.Time
	// workers are the assignments to this member; assigned is their number.
	workers map[aqtype.WorkerID]*workerAssignment
	// wakePoll ends the wait before the next poll of an idle member that gets a worker.
	wakePoll chan struct{}

	// pending is the content of the next orders call.
	pending  aqagent.OrdersCall
	wakeSend chan struct{}
	// undropped holds the workers that have been taken from the member, and of which no call
	// under way or answered has told its agent. The agent may still renew their leases.
	undropped map[aqtype.WorkerID]aqagent.Serial
	// dropsUnconfirmed is set from the loss of the member until a call has told its agent of all drops. The agent
	// gets no permit meanwhile.
	dropsUnconfirmed bool
	// sendsAllDrops is set while the call under way holds all drops. Only the send loop uses it.
	sendsAllDrops bool
}

// workerAssignment records which member manages a worker.
type workerAssignment struct {
	worker aqdecider.Worker
	// reported is the incarnation of the last report, zero before the first. Entries of earlier ones are
	// outdated.
	reported aqdecider.Incarnation
	member   *member
	serial   aqagent.Serial
	// leaseExpiresAt is when the lease has certainly expired, set while no agent
	// reaches the worker and zero otherwise.
	leaseExpiresAt time.Time
	// othersRenewedUntil is when the lease has certainly expired as far as earlier agents may have
	// renewed it, which had not been told that the worker was taken from them. The present agent
	// does not know of that.
	othersRenewedUntil time.Time
	// tried lists the members that found the worker unresponsive.
	tried map[string]bool
	// renew is set once the worker has answered in this assignment.
	renew bool
	// silences is the number of times that the agent has found the worker unresponsive in this
	// assignment.
	silences int
	params   aqagent.HeartbeatParams
	// listing is what the worker runs according to the reports of this assignment.
	listing aqreport.Listing
	// held is the last report with all ends since the assignment, nil once the leader has
	// read the stored jobs: without them every run would be an orphan.
	held *aqdecider.WorkerReport
}

// agentPool assigns workers to agents. Its lock may be taken while the leader's is
// held, not the other way round.
type agentPool struct {
	leader *leader

	mu      sync.Mutex
	members map[string]*member
	// ordered holds the same members by name. It is replaced when they change.
	ordered []*member
	// reportsReleased is set once workers' reports go to the decider.
	reportsReleased bool
	// heldLost holds the workers whose held report was discarded with their assignment. Their
	// leases may have been renewed since, which the decider does not know.
	heldLost map[aqtype.WorkerID]bool
	// reported holds the workers that have reported in this term, since their leases last expired, also after their removal.
	// An agent may have renewed their leases since.
	reported map[aqtype.WorkerID]bool
	// left holds the members that are no longer registered, by name. Their processes may
	// still run and register again.
	left map[string]*member
	// changes counts the changes of the members.
	changes uint64
	// restarts holds what is known of the restarts of each worker in this term, also after its removal: the
	// worker may return and must get no lower tokens than before.
	restarts    map[aqtype.WorkerID]workerRestarts
	assignments map[aqtype.WorkerID]*workerAssignment
	serial      aqagent.Serial
}

func newAgentPool(l *leader) *agentPool {
	return &agentPool{
		leader:      l,
		members:     map[string]*member{},
		left:        map[string]*member{},
		heldLost:    map[aqtype.WorkerID]bool{},
		reported:    map[aqtype.WorkerID]bool{},
		restarts:    map[aqtype.WorkerID]workerRestarts{},
		assignments: map[aqtype.WorkerID]*workerAssignment{},
	}
}

// join adds a member, or replaces one that has restarted. It returns false if the
// member is already known.
func (p *agentPool) join(ctx context.Context, record nodeRecord, link agentLink) bool {
	p.mu.Lock()
	before := p.members[record.Name]
	if before != nil && before.record == record {
		before.unregistered = false
		p.mu.Unlock()
		return false
	}
	m := p.newMember(ctx, record, link)
	if before != nil {
		// The record of an earlier leader may name an earlier incarnation: the sessions that
		// the process has begun since are then those of the member before.
		m.undropped = before.undropped
		m.dropsUnconfirmed = true
	}
	p.add(m)
	p.mu.Unlock()
	if before != nil {
		before.cancel()
		p.reassignWorkersOf(before)
		aqsignal.Send(m.wakeSend)
	}
	p.leader.spawn("orders", func() { p.sendLoop(m) })
	p.leader.spawn("polls", func() { p.pollLoop(m) })
	aqsignal.Send(p.leader.wakeStore)
	return true
}

// newMember returns a member that is up. The caller holds the lock.
func (p *agentPool) newMember(ctx context.Context, record nodeRecord, link agentLink) *member {
	memberCtx, cancel := context.WithCancel(ctx)
	undropped := map[aqtype.WorkerID]aqagent.Serial{}
	dropsUnconfirmed := false
	if before := p.left[record.Name]; before != nil {
		undropped = before.undropped
		dropsUnconfirmed = true
	}
	delete(p.left, record.Name)
	now := p.leader.node.clock.Elapsed()
	m := &member{
		record:           record,
		link:             link,
		joinedAt:         now,
		answeredAt:       now,
		up:               true,
		cancel:           cancel,
		ctx:              memberCtx,
		wakeSend:         make(chan struct{}, 1),
		workers:          map[aqtype.WorkerID]*workerAssignment{},
		stale:            map[aqtype.WorkerID]bool{},
		wakePoll:         make(chan struct{}, 1),
		undropped:        undropped,
		dropsUnconfirmed: dropsUnconfirmed,
	}
	if dropsUnconfirmed {
		aqsignal.Send(m.wakeSend)
	}
	return m
}

// records lists the members for the stored list of agents, with the number of
// changes so far.
func (p *agentPool) records() ([]nodeRecord, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]nodeRecord, 0, len(p.ordered))
	for _, m := range p.ordered {
		records = append(records, m.record)
	}
	return records, p.changes
}

// names lists the members.
func (p *agentPool) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.ordered))
	for _, m := range p.ordered {
		names = append(names, m.record.Name)
	}
	return names
}

// changeCount returns the number of changes of the members so far.
func (p *agentPool) changeCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}

// markPersisted marks the members that the stored list includes, which may get workers
// from now on.
func (p *agentPool) markPersisted(agents []nodeRecord) {
	p.mu.Lock()
	changed := false
	for _, record := range agents {
		if m := p.members[record.Name]; m != nil && m.record == record && !m.persisted {
			m.persisted = true
			changed = true
		}
	}
	p.mu.Unlock()
	if changed {
		p.rebalance()
	}
}

// leave removes a member that is no longer registered.
func (p *agentPool) leave(name string) {
	p.mu.Lock()
	m := p.members[name]
	delete(p.members, name)
	if m != nil {
		p.left[name] = m
	}
	p.membersChanged()
	p.mu.Unlock()
	if m != nil {
		m.cancel()
		p.reassignWorkersOf(m)
		aqsignal.Send(p.leader.wakeStore)
	}
}

// add adds a member and replaces one of the same name. The caller holds the lock.
func (p *agentPool) add(m *member) {
	p.members[m.record.Name] = m
	p.membersChanged()
}

// membersChanged counts a change and sorts the members again. The caller holds the
// lock.
func (p *agentPool) membersChanged() {
	p.changes++
	p.ordered = make([]*member, 0, len(p.members))
	for _, m := range p.members {
		p.ordered = append(p.ordered, m)
	}
	sort.Slice(p.ordered, func(i, j int) bool { return p.ordered[i].record.Name < p.ordered[j].record.Name })
}

// addWorker assigns a worker that service discovery lists, or updates its entry. The caller
// passes the entries of a worker in the order of their revisions. reassigned is set if a known worker that had no
// agent has got one: the decider must repeat its orders. restarted is set if the worker has been known in an earlier
// incarnation.
func (p *agentPool) addWorker(w aqdecider.Worker) (reassigned, restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.assignments[w.ID]
	known := a != nil
	if !known {
		a = &workerAssignment{}
		p.assignments[w.ID] = a
	}
	if w.Incarnation < a.reported || (a.member != nil && a.worker.SameInstance(w)) {
		return false, false
	}
	a.worker = w
	restarted = p.noteIncarnation(a, w.Incarnation)
	if a.member == nil {
		p.assign(a, p.pickMember(w, nil))
		return known && a.member != nil, restarted
	}
	a.member.pending.Assign = append(a.member.pending.Assign, aqagent.Assignment{
		Worker: w,
		Serial: a.serial,
		Params: a.params,
	})
	aqsignal.Send(a.member.wakeSend)
	return false, restarted
}

// workers lists all known workers, in no order.
func (p *agentPool) workers() []aqtype.WorkerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]aqtype.WorkerID, 0, len(p.assignments))
	for id := range p.assignments {
		ids = append(ids, id)
	}
	return ids
}

// hasStrongMember reports whether another process that claims the leadership without delay is
// up.
func (p *agentPool) hasStrongMember() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.ordered {
		if m.up && m.record.Processors >= strongProcessors && m.record.Name != p.leader.node.settings.Name {
			return true
		}
	}
	return false
}

// assign assigns a worker to a member, or to none when to is nil. The caller holds the
// lock.
func (p *agentPool) assign(a *workerAssignment, to *member) {
	if a.member != nil {
		a.member.assigned--
		delete(a.member.workers, a.worker.ID)
		delete(a.member.stale, a.worker.ID)
		a.member.undropped[a.worker.ID] = a.serial
		a.member.pending.Drop = append(a.member.pending.Drop, aqagent.Dropped{
			Worker: a.worker.ID,
			Serial: a.serial,
		})
		aqsignal.Send(a.member.wakeSend)
	}
	a.member = to
	a.params.Renew = false
	a.params.Silences = 0
	a.renew = false
	a.silences = 0
	a.listing = aqreport.Listing{}
	if a.held != nil {
		p.heldLost[a.worker.ID] = true
	}
	a.held = nil
	if to == nil {
		return
	}
	p.serial++
	a.serial = p.serial
	a.params.Serial = a.serial
	a.params.Restarts = p.restarts[a.worker.ID].number
	to.assigned++
	to.workers[a.worker.ID] = a
	to.stale[a.worker.ID] = true
	// The new assignment ends an earlier session of the agent.
	delete(to.undropped, a.worker.ID)
	p.leader.node.log.Write(aqlog.WorkerAssigned, slog.String("Worker", string(a.worker.ID)), slog.String("Agent", to.record.Name),
		slog.Uint64("Serial", uint64(a.serial)))
	aqsignal.Send(to.wakePoll)
	to.pending.Assign = append(to.pending.Assign, aqagent.Assignment{
		Worker: a.worker,
		Serial: a.serial,
		Params: a.params,
	})
	aqsignal.Send(to.wakeSend)
}

// removeWorker ends the assignment of a worker and removes it.
func (p *agentPool) removeWorker(id aqtype.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.assignments[id]; a != nil {
		p.assign(a, nil)
		delete(p.assignments, id)
		p.forgetRestarts(id)
	}
}
