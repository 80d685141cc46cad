package aqsite

import (
	"log/slog"
	"sync"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

// beat compares what the leader writes with what its watch tells. While the watch
// is deaf, the list of workers is read whole.
type beat struct {
	mu        sync.Mutex
	expected  aqstore.Revision
	writtenAt time.Time
	heard     aqstore.Revision
	deaf      bool
}

// written notes that the store has taken a beat.
func (b *beat) written(revision aqstore.Revision, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heard >= b.expected {
		b.expected = revision
		b.writtenAt = at
	}
}

// told notes that the watch has told of something at a revision.
func (b *beat) told(revision aqstore.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = max(b.heard, revision)
}

// overdue reports whether the watch should have told of a beat, and whether that
// is news.
func (b *beat) overdue(now time.Time) (overdue, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	overdue = b.heard < b.expected && now.Sub(b.writtenAt) > beatPatience
	news = overdue != b.deaf
	b.deaf = overdue
	return overdue, news
}

// review has the list of workers read while the watch is deaf. A leader begins
// to watch once it has read the store.
func (b *beat) review(l *leader) {
	if !l.hasRecovered() {
		return
	}
	overdue, news := b.overdue(l.node.clock.Now())
	if news {
		l.node.log.Write(aqlog.WatchDeaf, slog.Bool("Deaf", overdue))
	}
	if overdue {
		signal(l.resync)
	}
}
