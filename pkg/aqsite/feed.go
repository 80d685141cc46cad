package aqsite

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
)

// prefixWatch is what follows the keys under a prefix of the store.
type prefixWatch struct {
	prefix string
	// onSnapshot takes a reading of all keys that began at a revision.
	onSnapshot func(items []aqstore.Item, began aqstore.Revision)
	// onEvents takes changes in their order.
	onEvents func(events []aqstore.Event)
}

// watchPrefix tells a feed of changes after a revision until ctx ends. It reads all
// keys first when the revision is zero, and again after the store has dropped its
// history.
func (n *Node) watchPrefix(ctx context.Context, f prefixWatch, from aqstore.Revision) {
	for ctx.Err() == nil {
		next, err := n.watchPrefixOnce(ctx, f, from)
		n.recordStoreResult(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		from = next
	}
}

// watchPrefixOnce makes one watch, or one reading, and returns the revision to go on
// from.
func (n *Node) watchPrefixOnce(ctx context.Context, f prefixWatch, from aqstore.Revision) (aqstore.Revision, error) {
	if from > 0 {
		events, next, err := n.store.Watch(ctx, f.prefix, from, watchWait)
		if err == nil {
			f.onEvents(events)
			return next, nil
		}
		if !errors.Is(err, aqstore.ErrCompacted) {
			return from, err
		}
		n.metrics.Retried(aqmetric.RetryWatchReset)
		n.log.Write(aqlog.WatchReset, slog.String("Prefix", f.prefix))
	}
	items, began, err := n.store.Range(ctx, f.prefix)
	if err != nil {
		return from, err
	}
	f.onSnapshot(items, began)
	return began, nil
}
