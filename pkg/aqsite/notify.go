package aqsite

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqbacklog"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
)

// methodNotify notifies the leader of a change that its watch may not deliver for a
// while.
const methodNotify aqpeer.Method = "Site.Tell"

const (
	// notifiedJobTimeout is how long the leader waits for its watch to deliver a
	// reported job. After that, or at once while the watch is stalled, it proves its
	// leadership and adds the job.
	notifiedJobTimeout = 200 * time.Millisecond
	// notifiedJobPeriod is how often the leader looks for reported jobs that are overdue.
	notifiedJobPeriod = 60 * time.Millisecond
)

// notifyCall reports that a job is stored.
type notifyCall struct {
	Job     aqjob.ID
	Value   []byte           `msgpack:",omitempty"`
	Created aqstore.Revision `msgpack:",omitempty"`
}

// notifyAnswer tells the process that accepts jobs of the work ahead of them: the leader polls only processes with
// workers.
type notifyAnswer struct {
	Backlog aqbacklog.Estimate
}

type notifiedJob struct {
	item aqstore.Item
	at   time.Time
}

// notifyLeader notifies the leader in the background. A lost call does no harm: the
// leader's watch delivers the same change.
func (n *Node) notifyLeader(call notifyCall) {
	if l := n.leading(); l != nil {
		l.handleNotify(call)
		return
	}
	address := n.leaderAddress()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
		defer cancel()
		var answer notifyAnswer
		if err := n.peers.Call(ctx, address, methodNotify, call, &answer); err != nil {
			n.countLeaderLost()
			return
		}
		n.backlog.set(answer.Backlog, n.clock.Elapsed())
	}()
}

// notifyStored notifies the leader of a job that an earlier try has stored, as a conflict shows: the write of that try may not
// have been answered. One that has ended is known to the leader.
func (n *Node) notifyStored(id aqjob.ID, conflict *aqstore.ConflictError) {
	item, found := currentItem(conflict, jobKey(id))
	if !found {
		return
	}
	if stored, err := aqjob.DecodeJob(item.Value); err != nil || stored.Closed {
		return
	}
	n.notifyLeader(notifyCall{
		Job:     id,
		Value:   item.Value,
		Created: item.ModRevision,
	})
}

// handleNotify applies the notification of another process. The job waits for the watch or for a proof: it may have
// been stored under a later leader that this process does not know of yet.
func (l *leader) handleNotify(call notifyCall) {
	if call.Created < l.leadKeyRevision {
		// Recovery has read it, together with its progress.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifiedJobs[call.Job] = notifiedJob{
		item: aqstore.Item{
			Key:            jobKey(call.Job),
			Value:          call.Value,
			ModRevision:    call.Created,
			CreateRevision: call.Created,
		},
		at: l.node.clock.Now(),
	}
	l.noteRoom(l.decider)
}

// notifiedJobsLoop adds reported jobs that the watch has not delivered, after a
// proof that none of them was stored under a later leader.
func (l *leader) notifiedJobsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, notifiedJobPeriod)
		overdue := l.overdueJobs()
		if len(overdue) == 0 {
			continue
		}
		for jobs := range slices.Chunk(slices.Collect(maps.Keys(overdue)), cancelsPerTxn) {
			cancelled, err := l.prove(ctx, jobs)
			if err != nil {
				break
			}
			l.decide(func(d *aqdecider.Decider) {
				for _, id := range cancelled {
					l.cancel(d, id, byProof)
				}
				for _, id := range jobs {
					l.addJob(d, id, overdue[id].item, nil)
					// One that was not added is not looked at again.
					delete(l.notifiedJobs, id)
				}
			})
		}
	}
}

// overdueJobs returns the jobs that the watch should have delivered by now, and
// drops those that the decider already knows.
func (l *leader) overdueJobs() map[aqjob.ID]notifiedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.clock.Now()
	overdue := map[aqjob.ID]notifiedJob{}
	for id, notified := range l.notifiedJobs {
		if _, known := l.decider.State(id); known {
			delete(l.notifiedJobs, id)
			continue
		}
		if l.probe.isStalled() || now.Sub(notified.at) > notifiedJobTimeout {
			overdue[id] = notified
		}
	}
	return overdue
}

// prove asks the store whether the lead key is still this leader's. It returns those of at most cancelsPerTxn jobs
// whose cancellations are stored: a watch that has not delivered a job has not delivered its cancellation either.
func (l *leader) prove(ctx context.Context, jobs []aqjob.ID) (cancelled []aqjob.ID, err error) {
	sent := l.node.clock.Elapsed()
	txn := aqstore.Txn{Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}}}
	for _, id := range jobs {
		txn.Conditions = append(txn.Conditions, aqstore.Condition{Key: cancelKey(id)})
	}
	_, err = l.node.store.Commit(ctx, txn)
	var conflict *aqstore.ConflictError
	if errors.As(err, &conflict) {
		leads := false
		for _, item := range conflict.Current {
			leads = leads || item.Key == leadKey && item.ModRevision == l.leadKeyRevision
			if id, ok := jobIDFromKey(cancelPrefix, item.Key); ok && item.ModRevision > 0 {
				cancelled = append(cancelled, id)
			}
		}
		if !leads {
			l.lose(errors.WithMessage(err, "lead key changed"))
			return nil, err
		}
		err = nil
	}
	l.node.recordStoreResult(err)
	if err == nil {
		l.recordProof(sent)
	}
	return cancelled, err
}

// recordProof records that a call, sent when the given time had elapsed, has proved
// the leadership.
func (l *leader) recordProof(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proofAt = max(l.proofAt, sent)
}
