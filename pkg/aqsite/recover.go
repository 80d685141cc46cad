package aqsite

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqcancel"
	"acaciaquay/internal/site/aqquorum"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// recover begins a term in two stages. First it takes over the workers, so that their
// leases are renewed however long the rest takes; what they report is held back. Then it
// reads the stored jobs, and the decider gets the reports.
func (l *leader) recover(ctx context.Context) (jobsFrom, workersFrom aqstore.Revision, err error) {
	workersFrom, err = l.takeOverWorkers(ctx)
	if err != nil {
		return 0, 0, err
	}
	progress, _, err := l.readAll(ctx, progressPrefix)
	if err != nil {
		return 0, 0, err
	}
	var jobItems []aqstore.Item
	var readAt time.Duration
	err = l.persist(ctx, func() (err error) {
		readAt = l.node.clock.Elapsed()
		jobItems, jobsFrom, err = l.node.store.Range(ctx, inPrefix)
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	stored := map[aqjob.ID]aqstore.Item{}
	for _, item := range progress {
		if id, ok := jobIDFromKey(progressPrefix, item.Key); ok {
			stored[id] = item
		}
	}
	l.decide(func(d *aqdecider.Decider) { l.addJobs(d, jobItems, stored) })
	l.cancellations.update(func(k *aqcancel.Knowledge) { k.Read(readAt) })
	l.mu.Lock()
	l.recovered = true
	l.mu.Unlock()
	l.agents.releaseReports()
	return jobsFrom, workersFrom, nil
}

// takeOverWorkers reads the stored list of workers and agents and service discovery, and
// makes the agents manage the workers.
func (l *leader) takeOverWorkers(ctx context.Context) (aqstore.Revision, error) {
	var fleet fleetRecord
	err := l.persist(ctx, func() (err error) {
		fleet, err = l.readFleet(ctx)
		return err
	})
	if err != nil {
		return 0, err
	}
	listed, workersFrom, err := l.readAll(ctx, l.node.catalog.WorkerPrefix)
	if err != nil {
		return 0, err
	}
	l.setQueues(l.node.routes.config())
	l.decide(func(d *aqdecider.Decider) {
		// Nothing was started on a worker that is listed but not in the stored list.
		d.InheritRestarts(fleet.Restarted, l.strayExtra())
		d.AwaitReports(fleet.Workers, l.earlierLeasesEnd())
	})
	l.agents.join(ctx, l.node.ownRecord(), l.node.agent)
	l.joinAgents(ctx, fleet.Agents)
	l.applyWorkerSnapshot(listed, workersFrom)
	l.inheritedFleet = fleet.Workers
	if err := l.persist(ctx, func() error { return l.readEvacuations(ctx) }); err != nil {
		return 0, err
	}
	return workersFrom, l.persist(ctx, func() error { return l.storeFleet(ctx) })
}

// earlierLeasesEnd returns when the leases that an earlier leader's agents renewed have
// certainly ended. Every proof of its leadership is from before this term, however long this
// process has taken since.
func (l *leader) earlierLeasesEnd() time.Time {
	sinceBegin := l.node.clock.Elapsed() - l.beganAt
	return l.node.clock.Now().Add(proofLimit + l.agents.longestLease() - sinceBegin)
}

// strayExtra is how much longer than a lease that an agent has renewed the longest one may last that a worker grants.
func (l *leader) strayExtra() time.Duration {
	return max(0, l.node.settings.Decider.LeaseMax-aqagent.MaxLeaseSpan(l.leaseDuration()))
}

// readAll reads every item under a prefix.
func (l *leader) readAll(ctx context.Context, prefix string) (items []aqstore.Item, from aqstore.Revision, err error) {
	err = l.persist(ctx, func() (err error) {
		items, from, err = l.node.store.Range(ctx, prefix)
		return err
	})
	return items, from, err
}

// persist repeats a call to the store until it succeeds or the term ends. A slow store or
// link does not end the term: the next leader would meet the same one.
func (l *leader) persist(ctx context.Context, call func() error) error {
	for {
		err := call()
		l.node.recordStoreResult(err)
		if err == nil {
			return nil
		}
		l.node.metrics.Retried(aqmetric.RetryRecovery)
		l.node.log.Write(aqlog.RecoveryDelayed, aqlog.Err(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ended:
			return err
		case <-l.node.clock.After(retryPause):
		}
	}
}

// unlistedWorkers stands for the workers of a stored list that cannot be decoded. It
// never reports, so tasks that may run on them wait until every lease has expired.
const unlistedWorkers aqtype.WorkerID = "unlisted"

func (l *leader) readFleet(ctx context.Context) (fleetRecord, error) {
	item, err := l.node.store.Get(ctx, fleetKey)
	if errors.Is(err, aqstore.ErrNotFound) {
		// No leader has given work to an agent yet.
		l.firstLeader = true
		return fleetRecord{}, nil
	}
	if err != nil {
		return fleetRecord{}, err
	}
	l.fleetRevision = item.ModRevision
	var record fleetRecord
	if err := decode(item.Value, &record); err != nil {
		l.node.ignoreEntry(item.Key, err)
		return fleetRecord{
			Workers:   []aqtype.WorkerID{unlistedWorkers},
			Restarted: []aqtype.WorkerID{unlistedWorkers},
		}, nil
	}
	l.mu.Lock()
	l.support.Inherit(record.Voters)
	l.succession = aqquorum.NewSuccession(record.Voters)
	l.mu.Unlock()
	return record, nil
}

// joinAgents adds the agents of an earlier leader to this leader's pool. Once each
// of them has answered a poll, none accepts an order of the earlier leader any more.
func (l *leader) joinAgents(ctx context.Context, agents []nodeRecord) {
	l.mu.Lock()
	for _, record := range agents {
		l.unacknowledged[record.Name] = true
	}
	l.mu.Unlock()
	for _, record := range agents {
		if record.Name != l.node.settings.Name {
			l.agents.join(ctx, record, remoteLink{peers: l.node.peers, address: record.Address})
		}
	}
}

// acknowledged records that an agent has answered a poll of this leader.
//
// Once a majority has, no earlier leader acts for long, wherever its own agent is. Once the last
// agent has, no agent renews a lease for an earlier leader any more, so all leases that this leader
// does not renew end within aqagent.MaxLeaseSpan.
func (l *leader) acknowledged(record nodeRecord) {
	now := l.node.clock.Elapsed()
	l.mu.Lock()
	waited := l.unacknowledged[record.Name]
	delete(l.unacknowledged, record.Name)
	last := waited && len(l.unacknowledged) == 0
	majority := l.succession.Take(record.voter())
	l.mu.Unlock()
	if majority {
		wait := max(0, aqquorum.EarlierEnd(l.beganAt, now)-now) + l.agents.longestLease()
		l.node.log.Write(aqlog.EarlierLeadersEnded, slog.Duration("LeasesEndIn", wait))
		l.limitReportWait(wait)
	}
	if last {
		l.limitReportWait(aqagent.MaxLeaseSpan(l.leaseDuration()))
	}
}

// limitReportWait limits how much longer the decider waits for reports of the workers that the
// earlier leaders' agents managed.
func (l *leader) limitReportWait(wait time.Duration) {
	until := l.node.clock.Now().Add(wait)
	l.decide(func(d *aqdecider.Decider) { d.LimitReportWait(until) })
}

// addJobs applies a full read of inPrefix: first the jobs, then the cancellations.
func (l *leader) addJobs(d *aqdecider.Decider, items []aqstore.Item, stored map[aqjob.ID]aqstore.Item) {
	for _, item := range items {
		if id, ok := jobIDFromKey(jobPrefix, item.Key); ok {
			l.addJob(d, id, item, stored)
		}
	}
	for _, item := range items {
		if id, ok := jobIDFromKey(cancelPrefix, item.Key); ok {
			l.cancel(d, id, byRead)
		}
	}
}

func (l *leader) addJob(d *aqdecider.Decider, id aqjob.ID, item aqstore.Item, stored map[aqjob.ID]aqstore.Item) {
	spec, err := aqjob.DecodeJob(item.Value)
	if err != nil {
		l.node.ignoreEntry(item.Key, err)
		return
	}
	spec.Compact()
	var progress *aqjob.Progress
	storedItem := stored[id]
	if storedItem.ModRevision > 0 {
		progress, err = aqjob.DecodeProgress(storedItem.Value)
		if err == nil {
			err = progress.ValidateFor(spec)
		}
		if err != nil {
			l.node.ignoreEntry(storedItem.Key, err)
			return
		}
	}
	failure := l.node.guard.Run("adding a job", func() {
		d.AddJob(spec, progress, storedItem.ModRevision, item.CreateRevision < l.leadKeyRevision)
	})
	if failure != nil {
		l.node.ignoreEntry(item.Key, failure)
	}
}
