package aqsite

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// fleetEntries is the value of entriesKey: the last entries of the workers in service discovery. The next leader
// takes those from it that are not listed then, for example because they are cut off from the store. It
// may be older than the list of workers by the interval of the writes. A version with other fields cannot read it.
type fleetEntries struct {
	Workers []aqdecider.Worker
}

const (
	// entriesInterval is the minimum interval between two writes of the entries, and entriesPerWorker the
	// part of it for each worker, so that the bytes written per second do not grow with the site.
	entriesInterval  = time.Second
	entriesPerWorker = 2 * time.Millisecond
)

// entriesLoop restores the workers that are not listed, and then stores the entries of the workers after changes.
func (l *leader) entriesLoop(ctx context.Context) {
	if err := l.persist(ctx, func() error { return l.restoreUnlisted(ctx) }); err != nil {
		return
	}
	// Only now it is known which of the workers have restarted.
	l.inheritLeases()
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, max(entriesInterval, time.Duration(l.workerCount())*entriesPerWorker))
		if err := l.storeEntries(ctx); err != nil && ctx.Err() == nil {
			l.node.log.Write(aqlog.CommitFailed, aqlog.Err(err))
		}
	}
}

// storeEntries stores the entries if they are not those that are stored.
func (l *leader) storeEntries(ctx context.Context) error {
	var entries fleetEntries
	var changes uint64
	l.decide(func(d *aqdecider.Decider) {
		if changes = d.FleetChanges(); changes != l.storedEntryChanges {
			entries.Workers = d.FleetEntries()
		}
	})
	if changes == l.storedEntryChanges {
		return nil
	}
	value, err := aqpeer.Pack(entries)
	if err != nil {
		return err
	}
	if !bytes.Equal(value, l.storedEntries) {
		if _, err := l.node.store.Commit(ctx, aqstore.Txn{
			Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}},
			Puts:       []aqstore.Put{{Key: entriesKey, Value: value}},
		}); err != nil {
			return err
		}
	}
	l.storedEntries, l.storedEntryChanges = value, changes
	return nil
}

// restoreUnlisted adds the workers of the stored list that service discovery does not list, as far as their
// entries are stored. An entry that cannot be read costs only the runs on such workers.
func (l *leader) restoreUnlisted(ctx context.Context) error {
	item, err := l.node.store.Get(ctx, entriesKey)
	if errors.Is(err, aqstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	l.storedEntries = item.Value
	var entries fleetEntries
	if err := aqpeer.Unpack(item.Value, &entries); err != nil {
		l.node.ignoreEntry(item.Key, err)
		return nil
	}
	inherited := make(map[aqtype.WorkerID]bool, len(l.inheritedFleet))
	for _, id := range l.inheritedFleet {
		inherited[id] = true
	}
	for _, w := range entries.Workers {
		if !inherited[w.ID] {
			continue
		}
		known := false
		l.decide(func(d *aqdecider.Decider) {
			known = d.Known(w.ID)
			d.RestoreWorker(w)
		})
		if !known {
			l.agents.addWorker(w)
		}
	}
	return nil
}
