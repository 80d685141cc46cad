package aqsite

import (
	"context"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// recover reads the stored state, and adds the known agents and the listed workers. The
// leader assigns the workers once storeFleet has stored the list of agents.
func (l *leader) recover(ctx context.Context) (jobsFrom, workersFrom aqstore.Revision, err error) {
	store := l.node.store
	progress, _, err := store.Range(ctx, progressPrefix)
	if err != nil {
		return 0, 0, err
	}
	jobItems, jobsFrom, err := store.Range(ctx, inPrefix)
	if err != nil {
		return 0, 0, err
	}
	listed, workersFrom, err := store.Range(ctx, l.node.catalog.WorkerPrefix)
	if err != nil {
		return 0, 0, err
	}
	fleet, agents, err := l.readFleet(ctx)
	if err != nil {
		return 0, 0, err
	}
	stored := map[aqjob.ID]aqstore.Item{}
	for _, item := range progress {
		if id, ok := jobIDFromKey(progressPrefix, item.Key); ok {
			stored[id] = item
		}
	}
	l.setQueues(l.node.routes.config())
	l.decide(func(d *aqdecider.Decider) {
		reportDeadline := l.node.clock.Now().Add(proofLimit + l.agents.longestLease())
		d.AwaitReports(fleet, reportDeadline)
		for _, item := range listed {
			if w, err := l.node.catalog.DecodeWorker(item); err == nil {
				d.AwaitReports([]aqtype.WorkerID{w.ID}, reportDeadline)
			}
		}
		l.addJobs(d, jobItems, stored)
	})
	l.agents.join(ctx, l.node.ownRecord(), l.node.agent)
	l.joinAgents(ctx, agents)
	l.applyWorkerSnapshot(listed, workersFrom)
	l.mu.Lock()
	l.recovered = true
	l.mu.Unlock()
	return jobsFrom, workersFrom, nil
}

// unlistedWorkers stands for the workers of a stored list that cannot be decoded. It
// never reports, so tasks that may run on them wait until every lease has expired.
const unlistedWorkers aqtype.WorkerID = "unlisted"

func (l *leader) readFleet(ctx context.Context) ([]aqtype.WorkerID, []nodeRecord, error) {
	item, err := l.node.store.Get(ctx, fleetKey)
	if errors.Is(err, aqstore.ErrNotFound) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	l.fleetRevision = item.ModRevision
	var record fleetRecord
	if err := decode(item.Value, &record); err != nil {
		l.node.ignoreEntry(item.Key, err)
		return []aqtype.WorkerID{unlistedWorkers}, nil, nil
	}
	return record.Workers, record.Agents, nil
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

// acknowledged records that an agent has answered a poll of this leader. Once the last
// one has, no agent renews a lease for an earlier leader any more, so all leases that
// this leader does not renew end within aqagent.MaxLeaseSpan.
func (l *leader) acknowledged(name string) {
	l.mu.Lock()
	waited := l.unacknowledged[name]
	delete(l.unacknowledged, name)
	last := waited && len(l.unacknowledged) == 0
	l.mu.Unlock()
	if !last {
		return
	}
	leasesEnd := l.node.clock.Now().Add(aqagent.MaxLeaseSpan(l.leaseDuration()))
	l.decide(func(d *aqdecider.Decider) { d.LimitReportWait(leasesEnd) })
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
			d.Cancel(id)
		}
	}
}

func (l *leader) addJob(d *aqdecider.Decider, id aqjob.ID, item aqstore.Item, stored map[aqjob.ID]aqstore.Item) {
	spec, err := aqjob.DecodeJob(item.Value)
	if err != nil {
		l.node.ignoreEntry(item.Key, err)
		return
	}
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
