package aqsite

import (
	"sync"
	"time"

	"acaciaquay/pkg/aqstore"
)

// maxRevision is the highest revision of a key that this process has seen.
type maxRevision struct {
	mu       sync.Mutex
	revision aqstore.Revision
}

func (r *maxRevision) set(revision aqstore.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

func (r *maxRevision) get() aqstore.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// leadRevision is the last revision of the lead key that this process has seen. It
// returns to zero when the key is removed.
type leadRevision struct {
	mu       sync.Mutex
	revision aqstore.Revision
}

func (l *leadRevision) set(revision aqstore.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
}

func (l *leadRevision) get() aqstore.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// latestTime is a time that only moves forward.
type latestTime struct {
	mu sync.Mutex
	at time.Time
}

func (t *latestTime) set(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at = later(t.at, at)
}

func (t *latestTime) get() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
