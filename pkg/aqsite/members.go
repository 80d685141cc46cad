package aqsite

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Timing of the registration of processes.
const (
	// nodeTTL is how long a process that dies without a word stays registered.
	nodeTTL = 4 * time.Second
	// nodeRenew leaves room for two lost renewals.
	nodeRenew = time.Second
)

// nodeRecord is the value of a process's own key.
type nodeRecord struct {
	Name        string
	Address     string
	Zone        aqtype.Zone
	Processors  float64
	Incarnation int64
}

func (n *Node) record() nodeRecord {
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
	for ctx.Err() == nil {
		lease, err := n.registerOnce(ctx)
		n.storeAnswered(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		n.keepRegistered(ctx, lease)
		if ctx.Err() != nil {
			n.unregister(lease)
		}
	}
}

func (n *Node) registerOnce(ctx context.Context) (aqstore.LeaseID, error) {
	value, err := aqjob.Encode(n.record())
	if err != nil {
		return 0, err
	}
	lease, err := n.store.Grant(ctx, nodeTTL)
	if err != nil {
		return 0, err
	}
	_, err = n.store.Commit(ctx, aqstore.Txn{
		Writes: []aqstore.Write{{Key: nodeKey(n.settings.Name), Value: value, Lease: lease}},
	})
	return lease, err
}

// keepRegistered returns when the lease has ended.
func (n *Node) keepRegistered(ctx context.Context, lease aqstore.LeaseID) {
	for {
		aqclock.Sleep(ctx, n.clock, nodeRenew)
		if ctx.Err() != nil {
			return
		}
		err := n.store.KeepAlive(ctx, lease)
		n.storeAnswered(err)
		if errors.Is(err, aqstore.ErrNotFound) {
			return
		}
	}
}

func (n *Node) unregister(lease aqstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Write(aqlog.RegistrationKept, aqlog.Err(err))
	}
}

// watchMembers follows the registered processes.
func (l *leader) watchMembers(ctx context.Context) {
	var from aqstore.Revision
	for ctx.Err() == nil {
		next, err := l.followMembers(ctx, from)
		l.node.storeAnswered(err)
		if err != nil {
			aqclock.Sleep(ctx, l.node.clock, retryPause)
		}
		from = next
	}
}

func (l *leader) followMembers(ctx context.Context, from aqstore.Revision) (aqstore.Revision, error) {
	if from == 0 {
		items, as, err := l.node.store.Range(ctx, nodePrefix)
		if err != nil {
			return 0, err
		}
		for _, item := range items {
			l.takeMember(ctx, item)
		}
		return as, nil
	}
	events, next, err := l.node.store.Watch(ctx, nodePrefix, from, watchWait)
	if errors.Is(err, aqstore.ErrCompacted) {
		l.node.metrics.Retried(aqmetric.RetryWatchReset)
		return 0, nil
	}
	if err != nil {
		return from, err
	}
	for _, e := range events {
		if e.Deleted {
			l.memberGone(strings.TrimPrefix(e.Key, nodePrefix))
			continue
		}
		l.takeMember(ctx, e.Item)
	}
	return next, nil
}

// memberGone removes a process whose registration has ended, unless its agent
// still answers: the store may have turned it away.
func (l *leader) memberGone(name string) {
	if name == l.node.settings.Name || l.crew.answers(name) {
		return
	}
	l.crew.leave(name)
}

func (l *leader) takeMember(ctx context.Context, item aqstore.Item) {
	var record nodeRecord
	if err := decode(item.Value, &record); err != nil {
		l.node.ignoreEntry(item.Key, err)
		return
	}
	if record.Name == l.node.settings.Name {
		return
	}
	l.node.log.Write(aqlog.AgentJoined, slog.String("Agent", record.Name), slog.String("Zone", string(record.Zone)))
	l.crew.join(ctx, record, remoteLink{peers: l.node.peers, address: record.Address})
}
