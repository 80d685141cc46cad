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

// feed is what follows the keys under a prefix of the store.
type feed struct {
	prefix string
	// whole takes a reading of all keys that began at a revision.
	whole func(items []aqstore.Item, began aqstore.Revision)
	// news takes changes in their order.
	news func(events []aqstore.Event)
}

// follow tells a feed of changes after a revision until ctx ends. It reads all
// keys first when the revision is zero, and again after the store has dropped its
// history.
func (n *Node) follow(ctx context.Context, f feed, from aqstore.Revision) {
	for ctx.Err() == nil {
		next, err := n.followOnce(ctx, f, from)
		n.storeAnswered(err)
		if err != nil {
			aqclock.Sleep(ctx, n.clock, retryPause)
			continue
		}
		from = next
	}
}

// followOnce makes one watch, or one reading, and returns the revision to go on
// from.
func (n *Node) followOnce(ctx context.Context, f feed, from aqstore.Revision) (aqstore.Revision, error) {
	if from > 0 {
		events, next, err := n.store.Watch(ctx, f.prefix, from, watchWait)
		if err == nil {
			f.news(events)
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
	f.whole(items, began)
	return began, nil
}
