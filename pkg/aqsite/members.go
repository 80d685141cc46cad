package aqsite

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqquorum"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Timing of the registration of processes.
const (
	// nodeTTL is how long a crashed process stays registered.
	nodeTTL = 4 * time.Second
	// nodeRenewInterval is the interval between renewals. Two in a row may be lost.
	nodeRenewInterval = time.Second
	// goneTimeout is how long a process that is not registered must not have answered to have ended. It is several
	// times memberRetry.
	goneTimeout = nodeTTL
)

// nodeRecord is the value of a process's key under nodePrefix.
type nodeRecord struct {
	Name        string
	Address     string
	Zone        aqtype.Zone
	Processors  float64
	Incarnation int64
}

func (r nodeRecord) voter() aqquorum.Voter {
	return aqquorum.Voter{
		Name:    r.Name,
		Address: r.Address,
	}
}

func (n *Node) ownRecord() nodeRecord {
	return nodeRecord{
		Name:        n.settings.Name,
		Address:     n.settings.PeerAddress,
		Zone:        n.settings.Zone,
		Processors:  n.settings.Processors,
		Incarnation: n.incarnation,
	}
}

// register keeps this process registered until ctx ends.
func (n *Node) register(ctx context.Context) {
	var lease aqstore.LeaseID
	for ctx.Err() == nil {
		var err error
		lease, err = n.registerOnce(ctx, lease)
		n.recordStoreResult(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		n.keepRegistered(ctx, lease)
		if ctx.Err() != nil {
			n.unregister(lease)
		}
		lease = 0
	}
}

// registerOnce tries to store the registration with a lease, a new one if that is zero. It returns the lease of the next try:
// the same one, since a try without an answer may take effect later, and the registration ends with the lease that was written
// last.
func (n *Node) registerOnce(ctx context.Context, lease aqstore.LeaseID) (aqstore.LeaseID, error) {
	value, err := aqjob.Encode(n.ownRecord())
	if err != nil {
		return lease, err
	}
	if lease == 0 {
		if lease, err = n.store.Grant(ctx, nodeTTL); err != nil {
			return 0, err
		}
	}
	_, err = n.store.Commit(ctx, aqstore.Txn{
		Puts: []aqstore.Put{{Key: nodeKey(n.settings.Name), Value: value, Lease: lease}},
	})
	if errors.Is(err, aqstore.ErrNotFound) {
		// The lease has ended, so that no earlier try takes effect any more.
		return 0, err
	}
	return lease, err
}

// keepRegistered renews the lease until it has ended or ctx ends.
func (n *Node) keepRegistered(ctx context.Context, lease aqstore.LeaseID) {
	for {
		aqclock.Sleep(ctx, n.clock, nodeRenewInterval)
		if ctx.Err() != nil {
			return
		}
		err := n.store.KeepAlive(ctx, lease)
		n.recordStoreResult(err)
		if errors.Is(err, aqstore.ErrNotFound) {
			return
		}
	}
}

func (n *Node) unregister(lease aqstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Write(aqlog.UnregisterFailed, aqlog.Err(err))
	}
}

// watchMembers watches the registered processes.
func (l *leader) watchMembers(ctx context.Context) {
	l.node.watchPrefix(ctx, prefixWatch{
		prefix:     nodePrefix,
		wait:       watchWait,
		onSnapshot: func(items []aqstore.Item, _ aqstore.Revision) { l.applyMemberSnapshot(ctx, items) },
		onEvents: func(events []aqstore.Event) {
			for _, e := range events {
				if e.Deleted {
					l.memberUnregistered(strings.TrimPrefix(e.Key, nodePrefix))
					continue
				}
				l.applyMember(ctx, e.Item)
			}
		},
	}, 0)
}

// applyMemberSnapshot applies a snapshot of all registered processes.
func (l *leader) applyMemberSnapshot(ctx context.Context, items []aqstore.Item) {
	listed := map[string]bool{}
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, nodePrefix)] = true
		l.applyMember(ctx, item)
	}
	for _, name := range l.agents.names() {
		if !listed[name] {
			l.memberUnregistered(name)
		}
	}
}

// memberUnregistered removes a process whose registration has ended. One whose agent is up stays until that has
// not answered for goneTimeout: the store may have refused the process's renewals.
func (l *leader) memberUnregistered(name string) {
	if name != l.node.settings.Name && l.agents.noteUnregistered(name) {
		l.agents.leave(name)
	}
}

// noteUnregistered notes that a member is not registered and reports whether it is gone.
func (p *agentPool) noteUnregistered(name string) (gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil {
		return false
	}
	m.unregistered = true
	return !m.up || p.isGone(m)
}

// isGone reports whether a member that is not registered has not answered for so long that its process has ended. The
// caller holds the lock.
func (p *agentPool) isGone(m *member) bool {
	return m.unregistered && p.leader.node.clock.Elapsed()-m.answeredAt >= goneTimeout
}

func (l *leader) applyMember(ctx context.Context, item aqstore.Item) {
	var record nodeRecord
	if err := decode(item.Value, &record); err != nil {
		l.node.ignoreEntry(item.Key, err)
		return
	}
	if record.Name == l.node.settings.Name {
		return
	}
	if l.agents.join(ctx, record, remoteLink{peers: l.node.peers, address: record.Address}) {
		l.node.log.Write(aqlog.AgentJoined, slog.String("Agent", record.Name), slog.String("Zone", string(record.Zone)))
	}
}
