package aqsite

import (
	"log/slog"
	"sync"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

// watchProbe compares the revisions that the leader writes to the probe key with
// those that its watch delivers. While the watch is stalled, the list of workers is
// read in full.
type watchProbe struct {
	mu        sync.Mutex
	expected  aqstore.Revision
	writtenAt time.Time
	observed  aqstore.Revision
	stalled   bool
}

// written records that the store has committed a probe.
func (p *watchProbe) written(revision aqstore.Revision, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observed >= p.expected {
		p.expected = revision
		p.writtenAt = at
	}
}

// observe records that the watch has delivered a revision.
func (p *watchProbe) observe(revision aqstore.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed = max(p.observed, revision)
}

// overdue reports whether the watch should have delivered a probe by now, and
// whether that has changed since the last call.
func (p *watchProbe) overdue(now time.Time) (overdue, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	overdue = p.observed < p.expected && now.Sub(p.writtenAt) > probeTimeout
	changed = overdue != p.stalled
	p.stalled = overdue
	return overdue, changed
}

// isStalled reports whether the last check has found the watch stalled.
func (p *watchProbe) isStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled
}

// check triggers a full read of the list of workers while the watch is stalled.
// Before recovery there is no watch to check.
func (p *watchProbe) check(l *leader) {
	if !l.hasRecovered() {
		return
	}
	overdue, changed := p.overdue(l.node.clock.Now())
	if changed {
		l.node.log.Write(aqlog.WatchStalled, slog.Bool("Deaf", overdue))
	}
	if overdue {
		aqsignal.Send(l.resync)
	}
}
