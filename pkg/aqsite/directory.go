package aqsite

import "acaciaquay/pkg/aqstore"

// directory decides which entries of service discovery are newer than those known:
// watch events and full reads overtake each other, and an older entry must not undo
// a newer one. The caller holds the lock of the directory's owner.
type directory struct {
	// entries holds the revision of the last accepted change of each key, including
	// removals.
	entries map[string]directoryEntry
	// readAt is the highest revision at which a full read has started. A key without an entry did not exist then.
	readAt aqstore.Revision
}

type directoryEntry struct {
	modRevision aqstore.Revision
	removed     bool
}

func newDirectory() directory { return directory{entries: map[string]directoryEntry{}} }

// accept reports whether an event is newer than the known entry of its key, and
// records it if so.
func (d *directory) accept(e aqstore.Event) bool {
	if _, known := d.entries[e.Key]; !known && e.ModRevision <= d.readAt {
		return false
	}
	return d.acceptListed(e)
}

// acceptListed is accept for the latest full read.
func (d *directory) acceptListed(e aqstore.Event) bool {
	if e.ModRevision <= d.entries[e.Key].modRevision {
		return false
	}
	d.entries[e.Key] = directoryEntry{modRevision: e.ModRevision, removed: e.Deleted}
	return true
}

// applySnapshot applies a full read that started at a revision. It returns the items
// that are newer than the known entries, and the keys that are no longer listed.
func (d *directory) applySnapshot(items []aqstore.Item, revision aqstore.Revision) (changed []aqstore.Item, removed []string) {
	listed := make(map[string]bool, len(items))
	accept := d.accept
	if revision >= d.readAt {
		d.readAt = revision
		accept = d.acceptListed
	}
	for _, item := range items {
		listed[item.Key] = true
		if accept(aqstore.Event{Item: item}) {
			changed = append(changed, item)
		}
	}
	for key, entry := range d.entries {
		if listed[key] || entry.modRevision > revision {
			continue
		}
		if !entry.removed {
			removed = append(removed, key)
		}
		delete(d.entries, key)
	}
	return changed, removed
}
