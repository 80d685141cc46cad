package aqsite

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// Limits on the log lines about entries that are ignored: one that stays is read again and
// again.
const (
	// ignoredLogInterval is the minimum interval between two lines about one entry.
	ignoredLogInterval = time.Minute
	// maxIgnoredEntries limits the entries that are logged in one interval.
	maxIgnoredEntries = 100
	// maxIgnoredText is the length of a logged key or error, in bytes.
	maxIgnoredText = 200
)

// ignoredEntries limits the log lines about entries that are ignored.
type ignoredEntries struct {
	mu sync.Mutex
	// loggedAt holds when an entry was last logged, by its key.
	loggedAt map[string]time.Time
}

// mayLog reports whether a line about an entry is due, and records it if so.
func (i *ignoredEntries) mayLog(key string, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if at, ok := i.loggedAt[key]; ok && now.Sub(at) < ignoredLogInterval {
		return false
	}
	if len(i.loggedAt) >= maxIgnoredEntries {
		for other, at := range i.loggedAt {
			if now.Sub(at) >= ignoredLogInterval {
				delete(i.loggedAt, other)
			}
		}
	}
	if _, ok := i.loggedAt[key]; !ok && len(i.loggedAt) >= maxIgnoredEntries {
		return false
	}
	if i.loggedAt == nil {
		i.loggedAt = map[string]time.Time{}
	}
	i.loggedAt[key] = now
	return true
}

// ignoreEntry counts an entry of the store that cannot be used, and logs it unless it was
// logged lately.
func (n *Node) ignoreEntry(key string, err error) {
	n.metrics.Refused(aqmetric.RefusedEntry)
	if n.ignored.mayLog(key, n.clock.Now()) {
		n.log.Write(aqlog.EntryIgnored, slog.String("Key", shorten(key)), slog.String("Error", shorten(err.Error())))
	}
}

// shorten limits a text to maxIgnoredText bytes.
func shorten(text string) string {
	if len(text) <= maxIgnoredText {
		return text
	}
	return strings.ToValidUTF8(text[:maxIgnoredText], "") + "..."
}
