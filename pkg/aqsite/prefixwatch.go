package aqsite

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
)

// prefixWatch follows the keys under a prefix of the store.
type prefixWatch struct {
	prefix string
	// onSnapshot handles a full read of the prefix that started at a revision.
	onSnapshot func(items []aqstore.Item, revision aqstore.Revision)
	// onEvents handles changes in their order.
	onEvents func(events []aqstore.Event)
	// wait is how long the store may hold one call without events. A connection that has fallen silent is noticed only
	// then.
	wait time.Duration
	// gather is the pause between two calls, in which changes gather for one answer.
	gather time.Duration
}

// watchPrefix delivers the changes after a revision until ctx ends. It reads all
// keys first when the revision is zero, and again after the store has compacted its
// history.
func (n *Node) watchPrefix(ctx context.Context, w prefixWatch, from aqstore.Revision) {
	for ctx.Err() == nil {
		next, err := n.watchPrefixOnce(ctx, w, from)
		n.recordStoreResult(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		from = next
		if w.gather > 0 {
			aqclock.Sleep(ctx, n.clock, w.gather)
		}
	}
}

// watchPrefixOnce makes one watch call or one full read, and returns the revision to
// continue from.
func (n *Node) watchPrefixOnce(ctx context.Context, w prefixWatch, from aqstore.Revision) (aqstore.Revision, error) {
	if from > 0 {
		events, next, err := n.store.Watch(ctx, w.prefix, from, w.wait)
		if err == nil {
			w.onEvents(events)
			return next, nil
		}
		if !errors.Is(err, aqstore.ErrCompacted) {
			return from, err
		}
		n.metrics.Retried(aqmetric.RetryWatchReset)
		n.log.Write(aqlog.WatchReset, slog.String("Prefix", w.prefix))
	}
	items, revision, err := n.store.Range(ctx, w.prefix)
	if err != nil {
		return from, err
	}
	w.onSnapshot(items, revision)
	return revision, nil
}
