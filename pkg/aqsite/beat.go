package aqsite

import (
	"log/slog"
	"sync"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

// watchProbe compares what the leader writes with what its watch tells. While the watch
// is deaf, the list of workers is read whole.
type watchProbe struct {
	mu        sync.Mutex
	expected  aqstore.Revision
	writtenAt time.Time
	observed  aqstore.Revision
	stalled   bool
}

// written notes that the store has taken a beat.
func (b *watchProbe) written(revision aqstore.Revision, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.observed >= b.expected {
		b.expected = revision
		b.writtenAt = at
	}
}

// observe notes that the watch has told of something at a revision.
func (b *watchProbe) observe(revision aqstore.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observed = max(b.observed, revision)
}

// overdue reports whether the watch should have told of a beat, and whether that
// is news.
func (b *watchProbe) overdue(now time.Time) (overdue, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	overdue = b.observed < b.expected && now.Sub(b.writtenAt) > probeTimeout
	news = overdue != b.stalled
	b.stalled = overdue
	return overdue, news
}

// check has the list of workers read while the watch is deaf. A leader begins
// to watch once it has read the store.
func (b *watchProbe) check(l *leader) {
	if !l.hasRecovered() {
		return
	}
	overdue, news := b.overdue(l.node.clock.Now())
	if news {
		l.node.log.Write(aqlog.WatchStalled, slog.Bool("Deaf", overdue))
	}
	if overdue {
		signal(l.resync)
	}
}
