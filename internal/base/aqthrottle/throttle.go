// Package aqthrottle limits how often something is done about each of many keys.
package aqthrottle

import (
	"sync"
	"time"
)

// Throttle allows one action a key and interval. It is safe for concurrent use; its fields
// must not change after the first call.
type Throttle struct {
	// Interval is the minimum time between two actions about one key.
	Interval time.Duration
	// MaxKeys limits the keys that are acted on in one interval, and so the memory.
	MaxKeys int

	mu sync.Mutex
	// allowedAt holds when an action was last allowed, by its key.
	allowedAt map[string]time.Time
}

// Allow reports whether an action is due, and records it if so.
func (t *Throttle) Allow(key string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.allowedAt[key]
	if known && now.Sub(at) < t.Interval {
		return false
	}
	if len(t.allowedAt) >= t.MaxKeys {
		for other, at := range t.allowedAt {
			if now.Sub(at) >= t.Interval {
				delete(t.allowedAt, other)
			}
		}
		if len(t.allowedAt) >= t.MaxKeys {
			return false
		}
	}
	if t.allowedAt == nil {
		t.allowedAt = map[string]time.Time{}
	}
	t.allowedAt[key] = now
	return true
}
