package aqsite

import (
	"sync"
	"time"

	"acaciaquay/pkg/aqstore"
)

// maxRevision is the last state of a key that this process has seen.
type maxRevision struct {
	mu       sync.Mutex
	revision aqstore.Revision
}

func (k *maxRevision) set(revision aqstore.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, revision)
}

func (k *maxRevision) get() aqstore.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// leadRevision is the last revision of the lead key that this process has seen.
// It goes back to zero when the key is removed.
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

func (m *latestTime) set(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = later(m.at, at)
}

func (m *latestTime) get() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
