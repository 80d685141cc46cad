package aqsite

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
)

// Timing of the election.
const (
	// leadTTL is how long the lead key outlives a leader that stops without releasing
	// it.
	leadTTL = 2 * time.Second
	// leadRenewInterval leaves room for two lost renewals within leadTTL.
	leadRenewInterval = 500 * time.Millisecond
	// claimJitter is the range over which a hash of the nodes' names spreads their
	// claims. Nodes with fewer than strongProcessors wait weakClaimDelay longer.
	claimJitter    = 60 * time.Millisecond
	weakClaimDelay = 100 * time.Millisecond
	// strongProcessors is the number of cores, possibly a fraction, from which a node
	// claims the leadership without delay.
	strongProcessors = 0.5
	// maxRefusedDials is how many connections in a row a leader's host must refuse before
	// its process counts as dead.
	maxRefusedDials = 2
	// dialPause is the delay between these connection attempts.
	dialPause = 100 * time.Millisecond
)

// attemptsPerTerm is the size of the range of attempt numbers reserved for each
// term.
const attemptsPerTerm = 1 << 12

// termRecord is the value of the term key.
type termRecord struct {
	Term int64
	// Handover is an encoded handover of the leader of this term, empty unless that has released the leadership.
	Handover []byte `msgpack:",omitempty"`
}

// elect follows the lead key and claims it when it is free.
func (n *Node) elect(ctx context.Context) {
	var from aqstore.Revision
	var leadItem aqstore.Item
	for ctx.Err() == nil {
		var err error
		leadItem, from, err = n.watchLead(ctx, leadItem, from)
		n.recordStoreResult(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		if n.claimable(leadItem) && n.eligible() {
			n.claim(ctx, leadItem)
			from = 0
		}
	}
}

func (n *Node) eligible() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping
}

// watchLead reads the lead key when from is zero, and waits for a change otherwise.
func (n *Node) watchLead(
	ctx context.Context, leadItem aqstore.Item, from aqstore.Revision,
) (aqstore.Item, aqstore.Revision, error) {
	if from == 0 {
		items, revision, err := n.store.Range(ctx, leadKey)
		if err != nil {
			return leadItem, 0, err
		}
		leadItem = aqstore.Item{}
		for _, item := range items {
			if item.Key == leadKey {
				leadItem = item
			}
		}
		n.observeLead(leadItem)
		return leadItem, revision, nil
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	dead := n.watchLeader(watching, cancel)
	keyChanged := n.watchLeadKey(watching, cancel)
	events, next, err := n.store.Watch(watching, leadKey, from, watchWait)
	if keyChanged() {
		return leadItem, 0, nil
	}
	if dead() && ctx.Err() == nil {
		return aqstore.Item{Key: leadKey, ModRevision: leadItem.ModRevision}, from, nil
	}
	if errors.Is(err, aqstore.ErrCompacted) {
		return leadItem, 0, nil
	}
	if err != nil {
		return leadItem, from, err
	}
	for _, e := range events {
		if e.Key != leadKey {
			continue
		}
		leadItem = e.Item
		if e.Deleted {
			leadItem = aqstore.Item{}
		}
		n.observeLead(leadItem)
	}
	return leadItem, next, nil
}

// observeLead records the current value of the lead key.
func (n *Node) observeLead(leadItem aqstore.Item) {
	n.leadRevision.set(leadItem.ModRevision)
	var record *aqagent.LeadRecord
	if len(leadItem.Value) > 0 {
		record = &aqagent.LeadRecord{}
		if err := decode(leadItem.Value, record); err != nil {
			n.ignoreEntry(leadKey, err)
			record = nil
		}
	}
	n.mu.Lock()
	if aqworker.Fence(leadItem.ModRevision) < n.seenFence && record != nil {
		n.mu.Unlock()
		return
	}
	changed := record != nil && (n.seenLeader == nil || *n.seenLeader != *record)
	n.seenLeader = record
	n.seenFence = max(n.seenFence, aqworker.Fence(leadItem.ModRevision))
	n.mu.Unlock()
	if record != nil {
		n.noteTerm(record.Term)
	}
	if changed {
		n.log.Write(aqlog.LeaderSeen, slog.String("Leader", record.Node), slog.Int64("Term", record.Term),
			slog.Int64("Fence", int64(leadItem.ModRevision)))
	}
}

// learnLeader records a leader from its own poll, which may arrive before the
// store's watch reports the leader.
func (n *Node) learnLeader(record aqagent.LeadRecord, fence aqworker.Fence) {
	n.noteTerm(record.Term)
	n.mu.Lock()
	defer n.mu.Unlock()
	if fence > n.seenFence {
		n.seenLeader = &record
		n.seenFence = fence
	}
}

// claimable reports whether the lead key is free, cannot be decoded, or is held by a
// process that is certainly dead: an earlier process of this node, or one whose host
// refuses connections. watchLead marks the latter by an item without value.
func (n *Node) claimable(leadItem aqstore.Item) bool {
	if len(leadItem.Value) == 0 {
		return true
	}
	var record aqagent.LeadRecord
	if err := decode(leadItem.Value, &record); err != nil {
		return true
	}
	return record.Node == n.settings.Name && record.Incarnation != n.incarnation
}

// claimDelay lets nodes with more processors claim first and spreads equal ones by a
// hash of their names.
func (n *Node) claimDelay() time.Duration {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(n.settings.Name))
	delay := time.Duration(digest.Sum32()%8) * claimJitter / 8
	if n.settings.Processors < strongProcessors {
		delay += weakClaimDelay
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.yielded && n.clock.Elapsed()-n.yieldedAt < restTime {
		delay += restDelay
	}
	return delay
}

// claim tries to acquire the leadership and leads while it is held.
func (n *Node) claim(ctx context.Context, leadItem aqstore.Item) {
	if n.routes.config() == nil {
		aqclock.Sleep(ctx, n.clock, retryPause)
		return
	}
	aqclock.Sleep(ctx, n.clock, n.claimDelay())
	l, lease, err := n.acquireLead(ctx, leadItem)
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

func (n *Node) acquireLead(ctx context.Context, leadItem aqstore.Item) (*leader, aqstore.LeaseID, error) {
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
	inherited := n.decodeHandover(term.Handover)
	term.Handover = nil
	lease, err := n.store.Grant(ctx, leadTTL)
	if err != nil {
		return nil, 0, err
	}
	lead := aqagent.LeadRecord{
		Node:        n.settings.Name,
		Address:     n.settings.PeerAddress,
		Incarnation: n.incarnation,
		Term:        term.Term,
	}
	leadValue, err := aqjob.Encode(lead)
	if err != nil {
		return nil, 0, err
	}
	termValue, err := aqjob.Encode(term)
	if err != nil {
		return nil, 0, err
	}
	proofAt := n.clock.Elapsed()
	revision, err := n.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{
			{Key: leadKey, ModRevision: leadItem.ModRevision},
			{Key: termKey, ModRevision: termItem.ModRevision},
		},
		Puts: []aqstore.Put{
			{Key: leadKey, Value: leadValue, Lease: lease},
			{Key: termKey, Value: termValue},
		},
	})
	if err != nil {
		return nil, 0, err
	}
	l := n.newLeader(revision, lead, proofAt)
	l.inherited = inherited
	return l, lease, nil
}

func (n *Node) newLeader(revision aqstore.Revision, record aqagent.LeadRecord, proofAt time.Duration) *leader {
	l := &leader{
		node:            n,
		fence:           aqworker.Fence(revision),
		record:          record,
		beganAt:         n.clock.Elapsed(),
		leadKeyRevision: revision,
		proofAt:         proofAt,
		directory:       newDirectory(),
		evacuations:     newEvacuations(n.settings.EvacuateWithin),
		unacknowledged:  map[string]bool{},
		notifiedJobs:    map[aqjob.ID]notifiedJob{},
		cancellations:   newCancellations(n.settings.CancelWithin),
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
	n.noteTerm(record.Term)
	n.log.Write(aqlog.LeadershipAcquired, slog.Int64("Term", record.Term), slog.Int64("Fence", int64(revision)))
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
	var err error
	if failure := n.guard.Run("term", func() { err = l.run(running) }); failure != nil {
		err = failure
		l.lose(failure)
	}
	cancel()
	n.mu.Lock()
	n.current = nil
	n.mu.Unlock()
	if ctx.Err() == nil {
		n.log.Write(aqlog.LeadershipLost, slog.Int64("Fence", int64(l.fence)), aqlog.Err(err))
		if !errors.Is(err, errSlow) {
			return
		}
		n.mu.Lock()
		n.yielded, n.yieldedAt = true, n.clock.Elapsed()
		n.mu.Unlock()
	}
	n.releaseLead(l, lease)
}

// Timeouts of the last store calls of a planned stop.
const (
	handOverTimeout = 500 * time.Millisecond
	releaseTimeout  = time.Second
)

// within makes a call with a timeout.
func within(timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return call(ctx)
}

// releaseLead releases the leadership of an ended term.
func (n *Node) releaseLead(l *leader, lease aqstore.LeaseID) {
	if err := within(handOverTimeout, l.handOver); err != nil {
		n.log.Write(aqlog.LeadershipAttemptFailed, aqlog.Err(err))
	}
	if err := within(releaseTimeout, func(ctx context.Context) error { return n.store.Revoke(ctx, lease) }); err != nil {
		n.log.Write(aqlog.LeadershipAttemptFailed, aqlog.Err(err))
		return
	}
	n.log.Write(aqlog.LeadershipReleased)
}

// renewLead renews the lease of the lead key. Each successful renewal proves the
// leadership.
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
			l.lose(errors.New("lease of the lead key expired"))
			return
		}
		if err == nil {
			l.recordProof(sent)
		}
	}
}
