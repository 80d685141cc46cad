package aqsite

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
)

// Timing of the election.
const (
	// leadTTL is how long a leader that dies without a word keeps the key.
	leadTTL = 2 * time.Second
	// leadRenewInterval leaves room for two lost renewals.
	leadRenewInterval = 500 * time.Millisecond
	// claimJitter divides the tries of equally strong nodes, claimWeak delays
	// those that have few processors.
	claimJitter    = 60 * time.Millisecond
	weakClaimDelay = 100 * time.Millisecond
	// strongProcessors is the share of a core from which a node leads without
	// delay.
	strongProcessors = 0.5
	// refusedDials is how often a leader's host must refuse a connection before
	// its process counts as dead.
	refusedDials = 2
	// dialPause is the pause between these tries.
	dialPause = 100 * time.Millisecond
)

// attemptsPerTerm divides the numbers of attempts between terms.
const attemptsPerTerm = 1 << 12

// leadRecord is the value of the lead key.
type leadRecord struct {
	Node        string
	Address     string
	Incarnation int64
	Term        int64
}

// termRecord is the value of the term key.
type termRecord struct {
	Term int64
}

// elect follows the lead key and claims it when it is free.
func (n *Node) elect(ctx context.Context) {
	var from aqstore.Revision
	var held aqstore.Item
	for ctx.Err() == nil {
		var err error
		held, from, err = n.watchLead(ctx, held, from)
		n.recordStoreResult(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		if n.claimable(held) && n.eligible() {
			n.claim(ctx, held)
			from = 0
		}
	}
}

func (n *Node) eligible() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping
}

// watchLead reads the lead key when from is zero and waits for a change
// otherwise.
func (n *Node) watchLead(
	ctx context.Context, held aqstore.Item, from aqstore.Revision,
) (aqstore.Item, aqstore.Revision, error) {
	if from == 0 {
		items, as, err := n.store.Range(ctx, leadKey)
		if err != nil {
			return held, 0, err
		}
		held = aqstore.Item{}
		for _, item := range items {
			if item.Key == leadKey {
				held = item
			}
		}
		n.observeLead(held)
		return held, as, nil
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	dead := n.watchLeader(watching, cancel)
	moved := n.watchLeadKey(watching, cancel)
	events, next, err := n.store.Watch(watching, leadKey, from, watchWait)
	if moved() {
		return held, 0, nil
	}
	if dead() && ctx.Err() == nil {
		return aqstore.Item{Key: leadKey, ModRevision: held.ModRevision}, from, nil
	}
	if errors.Is(err, aqstore.ErrCompacted) {
		return held, 0, nil
	}
	if err != nil {
		return held, from, err
	}
	for _, e := range events {
		if e.Key != leadKey {
			continue
		}
		held = e.Item
		if e.Deleted {
			held = aqstore.Item{}
		}
		n.observeLead(held)
	}
	return held, next, nil
}

// observeLead takes the lead key as it stands.
func (n *Node) observeLead(held aqstore.Item) {
	n.leadRevision.set(held.ModRevision)
	var record *leadRecord
	if len(held.Value) > 0 {
		record = &leadRecord{}
		if err := decode(held.Value, record); err != nil {
			n.ignoreEntry(leadKey, err)
			record = nil
		}
	}
	n.mu.Lock()
	if Fence(held.ModRevision) < n.seenFence && record != nil {
		n.mu.Unlock()
		return
	}
	changed := record != nil && (n.seenLeader == nil || *n.seenLeader != *record)
	n.seenLeader = record
	n.seenFence = max(n.seenFence, Fence(held.ModRevision))
	n.mu.Unlock()
	if changed {
		n.log.Write(aqlog.LeaderSeen, slog.String("Leader", record.Node), slog.Int64("Term", record.Term),
			slog.Int64("Fence", int64(held.ModRevision)))
	}
}

// learnLeader takes a leader's own word, which may come before the store's.
func (n *Node) learnLeader(record leadRecord, fence Fence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if fence > n.seenFence {
		n.seenLeader = &record
		n.seenFence = fence
	}
}

// claimable reports whether the lead key is free, or held by a process that is
// certainly dead: an earlier one of this node, or one whose host refuses
// connections, which followLead shows by a key without value.
func (n *Node) claimable(held aqstore.Item) bool {
	if len(held.Value) == 0 {
		return true
	}
	var record leadRecord
	if err := decode(held.Value, &record); err != nil {
		return true
	}
	return record.Node == n.settings.Name && record.Incarnation != n.incarnation
}

// claimDelay lets strong nodes claim first, and spreads equal ones.
func (n *Node) claimDelay() time.Duration {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(n.settings.Name))
	delay := time.Duration(digest.Sum32()%8) * claimJitter / 8
	if n.settings.Processors < strongProcessors {
		delay += weakClaimDelay
	}
	return delay
}

// claim tries to take the leadership and leads while it is held.
func (n *Node) claim(ctx context.Context, held aqstore.Item) {
	if n.routes.config() == nil {
		aqclock.Sleep(ctx, n.clock, retryPause)
		return
	}
	aqclock.Sleep(ctx, n.clock, n.claimDelay())
	l, lease, err := n.acquireLead(ctx, held)
	if err != nil {
		var conflict *aqstore.ConflictError
		if !errors.As(err, &conflict) && ctx.Err() == nil {
			n.log.Write(aqlog.LeadershipAttemptFailed, aqlog.Err(err))
			aqclock.Sleep(ctx, n.clock, retryPause)
		}
		return
	}
	n.runTerm(ctx, l, lease)
}

func (n *Node) acquireLead(ctx context.Context, held aqstore.Item) (*leader, aqstore.LeaseID, error) {
	var term termRecord
	termItem, err := n.store.Get(ctx, termKey)
	if err == nil {
		err = decode(termItem.Value, &term)
		term.Term++
	} else if errors.Is(err, aqstore.ErrNotFound) {
		err = nil
	}
	if err != nil {
		return nil, 0, err
	}
	lease, err := n.store.Grant(ctx, leadTTL)
	if err != nil {
		return nil, 0, err
	}
	lead := leadRecord{
		Node:        n.settings.Name,
		Address:     n.settings.PeerAddress,
		Incarnation: n.incarnation,
		Term:        term.Term,
	}
	record, err := aqjob.Encode(lead)
	if err != nil {
		return nil, 0, err
	}
	counted, err := aqjob.Encode(term)
	if err != nil {
		return nil, 0, err
	}
	proof := n.clock.Elapsed()
	changed, err := n.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{
			{Key: leadKey, ModRevision: held.ModRevision},
			{Key: termKey, ModRevision: termItem.ModRevision},
		},
		Puts: []aqstore.Put{
			{Key: leadKey, Value: record, Lease: lease},
			{Key: termKey, Value: counted},
		},
	})
	if err != nil {
		return nil, 0, err
	}
	return n.newLeader(changed, lead, proof), lease, nil
}

func (n *Node) newLeader(changed aqstore.Revision, record leadRecord, proof time.Duration) *leader {
	l := &leader{
		node:            n,
		token:           Fence(changed),
		record:          record,
		leadKeyRevision: changed,
		proofAt:         proof,
		directory:       newDirectory(),
		unacknowledged:  map[string]bool{},
		notifiedJobs:    map[aqjob.ID]notifiedJob{},
		resync:          make(chan struct{}, 1),
		wakeTick:        make(chan struct{}, 1),
		wakeStore:       make(chan struct{}, 1),
		ended:           make(chan struct{}),
		decider: aqdecider.New(aqdecider.Options{
			Limits:       n.settings.Decider,
			FirstAttempt: aqdecider.Attempt(record.Term * attemptsPerTerm),
			Log:          n.log,
			Metrics:      n.metrics,
		}),
	}
	l.agents = newAgentPool(l)
	n.log.Write(aqlog.LeadershipAcquired, slog.Int64("Term", record.Term), slog.Int64("Fence", int64(changed)))
	n.metrics.Inc(aqmetric.LeadTerms)
	return l
}

// runTerm runs one term.
func (n *Node) runTerm(ctx context.Context, l *leader, lease aqstore.LeaseID) {
	n.leadRevision.set(l.leadKeyRevision)
	n.mu.Lock()
	n.current = l
	n.mu.Unlock()
	running, cancel := context.WithCancel(ctx)
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		n.renewLead(running, l, lease)
	}()
	err := l.run(running)
	cancel()
	n.mu.Lock()
	n.current = nil
	n.mu.Unlock()
	if ctx.Err() == nil {
		n.log.Write(aqlog.LeadershipLost, slog.Int64("Fence", int64(l.token)), aqlog.Err(err))
		return
	}
	n.releaseLead(lease)
}

// releaseLimit bounds the last call of a planned stop.
const releaseLimit = time.Second

func (n *Node) releaseLead(lease aqstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Write(aqlog.LeadershipAttemptFailed, aqlog.Err(err))
		return
	}
	n.log.Write(aqlog.LeadershipReleased)
}

// renewLead renews the lease. Each renewal proves the leadership.
func (n *Node) renewLead(ctx context.Context, l *leader, lease aqstore.LeaseID) {
	for {
		aqclock.Sleep(ctx, n.clock, leadRenewInterval)
		if ctx.Err() != nil {
			return
		}
		sent := n.clock.Elapsed()
		err := n.store.KeepAlive(ctx, lease)
		n.recordStoreResult(err)
		if errors.Is(err, aqstore.ErrNotFound) {
			l.lose(errors.New("lease ended"))
			return
		}
		if err == nil {
			l.recordProof(sent)
		}
	}
}
