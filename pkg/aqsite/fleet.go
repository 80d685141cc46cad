package aqsite

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// applyWorkerSnapshot applies a full read of service discovery that started at a
// revision.
func (l *leader) applyWorkerSnapshot(items []aqstore.Item, revision aqstore.Revision) {
	l.decide(func(d *aqdecider.Decider) {
		changed, removed := l.directory.applySnapshot(items, revision)
		for _, item := range changed {
			l.applyListedWorker(d, item)
		}
		for _, key := range removed {
			d.DelistWorker(l.workerOf(key))
		}
	})
	l.agents.assignUnassigned()
	l.removeUnknownWorkers()
}

// applyListedWorker applies one entry. The decider and the agents get the entries of a
// worker in the same order, that of their revisions.
func (l *leader) applyListedWorker(d *aqdecider.Decider, item aqstore.Item) {
	w, err := l.decodeWorker(item)
	if err != nil {
		l.node.ignoreEntry(item.Key, err)
		d.DelistWorker(l.workerOf(item.Key))
		return
	}
	d.UpdateWorker(w)
	reassigned, restarted := l.agents.addWorker(w)
	if reassigned {
		d.WorkerReassigned(w.ID)
	}
	if restarted {
		d.WorkerReplaced(w.ID)
	}
}

// maxStartAhead is how far the start of a worker may lie ahead of this process's time of day.
// Times of day differ by seconds.
const maxStartAhead = time.Hour

// decodeWorker decodes an entry of service discovery.
func (l *leader) decodeWorker(item aqstore.Item) (aqdecider.Worker, error) {
	w, err := l.node.catalog.DecodeWorker(item)
	if err != nil {
		return w, err
	}
	if latest := l.node.wallTime().Add(maxStartAhead).UnixMilli(); int64(w.Incarnation) > latest {
		return w, errors.Errorf("worker starts in the future: %d, latest %d", w.Incarnation, latest)
	}
	return w, nil
}

func (l *leader) workerOf(key string) aqtype.WorkerID {
	return aqtype.WorkerID(l.node.catalog.WorkerIDOf(key))
}

// removeUnknownWorkers ends the assignments of workers that the decider no longer
// tracks.
func (l *leader) removeUnknownWorkers() {
	var unknown []aqtype.WorkerID
	ids := l.agents.workers()
	l.decide(func(d *aqdecider.Decider) {
		for _, id := range ids {
			if !d.Known(id) {
				unknown = append(unknown, id)
			}
		}
	})
	for _, id := range unknown {
		l.agents.removeWorker(id)
	}
}

// watchWorkers follows service discovery.
func (l *leader) watchWorkers(ctx context.Context, from aqstore.Revision) {
	l.node.watchPrefix(ctx, prefixWatch{
		prefix:     l.node.catalog.WorkerPrefix,
		wait:       busyWatchWait,
		onSnapshot: l.applyWorkerSnapshot,
		onEvents: func(events []aqstore.Event) {
			for _, e := range events {
				l.applyWorkerEvent(e)
			}
			l.removeUnknownWorkers()
		},
		gather: workerWatchGather,
	}, from)
}

// workerWatchGather is the pause between two calls of the watch of service discovery:
// workers write their entries all the time, and hundreds of them make hundreds of changes
// a second.
const workerWatchGather = 100 * time.Millisecond

// Intervals of the full reads of the list of workers.
const (
	// minResyncPeriod and maxResyncPeriod limit the interval between full reads of a list
	// of up to resyncWorkers workers: watches may deliver nothing for seconds, and a
	// draining worker must get no new tasks. Within the limits it is resyncPerWorker for
	// each worker, so that the bytes read per second do not grow. The leader reads a list
	// of more than resyncWorkers proportionally less often, and any list at once when the
	// watch probe shows that the watches are stalled.
	minResyncPeriod = 1200 * time.Millisecond
	maxResyncPeriod = 2500 * time.Millisecond
	resyncPerWorker = 19 * time.Millisecond
	resyncWorkers   = 800
	// resyncPause is the minimum interval between two full reads.
	resyncPause = 600 * time.Millisecond
)

// resyncPeriod returns the interval between full reads of a list.
func resyncPeriod(workers int) time.Duration {
	period := min(maxResyncPeriod, max(minResyncPeriod, time.Duration(workers)*resyncPerWorker))
	return period * time.Duration(max(resyncWorkers, workers)) / resyncWorkers
}

// resyncLoop reads the list of workers in full, in addition to the watch.
func (l *leader) resyncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, resyncPause)
		period := resyncPeriod(l.workerCount())
		select {
		case <-ctx.Done():
			return
		case <-l.resync:
		case <-l.node.clock.After(period - resyncPause):
		}
		items, revision, err := l.node.store.Range(ctx, l.node.catalog.WorkerPrefix)
		l.node.recordStoreResult(err)
		if err == nil {
			l.applyWorkerSnapshot(items, revision)
		}
	}
}

func (l *leader) applyWorkerEvent(e aqstore.Event) {
	l.decide(func(d *aqdecider.Decider) {
		switch {
		case !l.directory.accept(e):
		case e.Deleted:
			d.DelistWorker(l.workerOf(e.Key))
		default:
			l.applyListedWorker(d, e.Item)
		}
	})
}

// storeFleet stores the list of workers and agents before anything is started on a
// new worker or through a new agent, so that the next leader knows where tasks may
// run.
func (l *leader) storeFleet(ctx context.Context) error {
	if l.fleetStored() {
		return nil
	}
	agents, memberChanges := l.agents.records()
	var record fleetRecord
	record.Agents = agents
	renewsVoters := l.votersMayChange()
	record.Voters = l.nextVoters(agents)
	var workerChanges uint64
	l.decide(func(d *aqdecider.Decider) {
		record.Workers = d.FleetIDs()
		record.Restarted = d.RestartedIDs()
		workerChanges = d.FleetChanges()
	})
	value, err := aqjob.Encode(record)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.support.Propose(record.Voters)
	l.mu.Unlock()
	revision, err := l.node.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{
			{Key: leadKey, ModRevision: l.leadKeyRevision},
			{Key: fleetKey, ModRevision: l.fleetRevision},
		},
		Puts: []aqstore.Put{{Key: fleetKey, Value: value}},
	})
	if err != nil {
		return l.resolveFleetConflict(err)
	}
	l.mu.Lock()
	l.support.Settle(record.Voters)
	l.votersRenewed = renewsVoters
	l.mu.Unlock()
	l.fleetRevision = revision
	l.fleetWritten = true
	l.storedMemberChanges, l.storedWorkerChanges = memberChanges, workerChanges
	l.decide(func(d *aqdecider.Decider) {
		d.MarkPersisted(record.Workers)
		d.MarkRestartsStored(record.Restarted)
	})
	l.agents.markPersisted(agents)
	return nil
}

// fleetStored reports whether the stored list includes all workers and agents known
// now.
func (l *leader) fleetStored() bool {
	var changes uint64
	l.decide(func(d *aqdecider.Decider) { changes = d.FleetChanges() })
	return l.fleetWritten && !l.votersDue() && l.storedMemberChanges == l.agents.changeCount() && l.storedWorkerChanges == changes
}

// resolveFleetConflict adopts the revision of a write whose answer was lost.
func (l *leader) resolveFleetConflict(err error) error {
	var conflict *aqstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if lead := currentRevision(conflict, leadKey); lead != l.leadKeyRevision {
		l.lose(err)
		return err
	}
	l.fleetRevision = currentRevision(conflict, fleetKey)
	aqsignal.Send(l.wakeStore)
	return nil
}

// currentRevision returns the revision of a key in a conflict, zero when the key
// does not exist.
func currentRevision(conflict *aqstore.ConflictError, key string) aqstore.Revision {
	for _, item := range conflict.Current {
		if item.Key == key {
			return item.ModRevision
		}
	}
	return 0
}
