package aqsite

import "acaciaquay/pkg/aqstore"

// directory orders what is read of service discovery: the watch and the readings
// of the whole list overtake each other, and an older entry must not undo a
// newer one. It needs its owner's lock.
type directory struct {
	// entries holds the revision of the last change of each key that was taken,
	// of removals too.
	entries map[string]directoryEntry
}

type directoryEntry struct {
	changed aqstore.Revision
	removed bool
}

func newDirectory() directory { return directory{entries: map[string]directoryEntry{}} }

// accept reports whether an event is newer than what is known of its key.
func (d *directory) accept(e aqstore.Event) bool {
	if e.ModRevision <= d.entries[e.Key].changed {
		return false
	}
	d.entries[e.Key] = directoryEntry{changed: e.ModRevision, removed: e.Deleted}
	return true
}

// applySnapshot takes a reading of the whole list that began at a revision. It returns the
// items that are news, and the keys that are listed no more.
func (d *directory) applySnapshot(items []aqstore.Item, began aqstore.Revision) (news []aqstore.Item, removed []string) {
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		if d.accept(aqstore.Event{Item: item}) {
			news = append(news, item)
		}
	}
	for key, entry := range d.entries {
		if listed[key] || entry.changed > began {
			continue
		}
		if !entry.removed {
			removed = append(removed, key)
		}
		delete(d.entries, key)
	}
	return news, removed
}
