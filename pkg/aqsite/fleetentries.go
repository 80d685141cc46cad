package aqsite

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// fleetEntries is the value of entriesKey: the last entries of the workers in service discovery. The next leader
// takes those from it that are not listed then, for example because they are cut off from the store. It
// may be entriesInterval older than the list of workers.
type fleetEntries struct {
	Workers []aqdecider.Worker
}

const (
	// entriesInterval is the minimum interval between two writes of the entries, and entriesPerWorker the
	// part of it for each worker, so that the bytes written per second do not grow with the site.
	entriesInterval  = time.Second
	entriesPerWorker = 2 * time.Millisecond
)

// entriesLoop stores the entries of the workers after changes.
func (l *leader) entriesLoop(ctx context.Context) {
	stored := uint64(0)
	for ctx.Err() == nil {
		changes, err := l.storeEntries(ctx, stored)
		if err != nil {
			l.node.log.Write(aqlog.CommitFailed, aqlog.Err(err))
		} else {
			stored = changes
		}
		aqclock.Sleep(ctx, l.node.clock, max(entriesInterval, time.Duration(l.workerCount())*entriesPerWorker))
	}
}

// storeEntries stores the entries if they have changed since a number of changes, and returns the number that
// is stored now.
func (l *leader) storeEntries(ctx context.Context, stored uint64) (uint64, error) {
	var entries fleetEntries
	var changes uint64
	l.decide(func(d *aqdecider.Decider) {
		if changes = d.FleetChanges(); changes != stored {
			entries.Workers = d.FleetEntries()
		}
	})
	if changes == stored {
		return stored, nil
	}
	value, err := aqjob.Encode(entries)
	if err != nil {
		return stored, err
	}
	_, err = l.node.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}},
		Puts:       []aqstore.Put{{Key: entriesKey, Value: value}},
	})
	return changes, err
}

// restoreUnlisted adds the workers of the stored list that service discovery does not list, as far as their
// entries are stored. An entry that cannot be read costs only the runs on such workers.
func (l *leader) restoreUnlisted(ctx context.Context, fleet []aqtype.WorkerID) error {
	item, err := l.node.store.Get(ctx, entriesKey)
	if errors.Is(err, aqstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var entries fleetEntries
	if err := decode(item.Value, &entries); err != nil {
		l.node.ignoreEntry(item.Key, err)
		return nil
	}
	stored := make(map[aqtype.WorkerID]bool, len(fleet))
	for _, id := range fleet {
		stored[id] = true
	}
	for _, w := range entries.Workers {
		if !stored[w.ID] {
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
