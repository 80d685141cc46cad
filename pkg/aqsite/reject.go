package aqsite

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqbacklog"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
)

const (
	// backlogInterval is the time between two estimates of the leader.
	backlogInterval = time.Second
	// minToldWait is the wait from which the leader's polls carry the estimate.
	minToldWait = time.Second
	// rejectionTTL is how long the mark of a rejected job stays at least. A delayed write of an earlier attempt
	// takes effect within seconds.
	rejectionTTL = time.Minute
)

// RejectedError means that a job was rejected because of the work ahead of it, and never runs unless it is
// submitted again. It is an ErrNotAccepted.
type RejectedError struct {
	// ReturnAfter is when the submitter may try again.
	ReturnAfter time.Duration
}

// Error implements error.
func (*RejectedError) Error() string { return "site: rejected: too much work is ahead" }

// Is makes a RejectedError an ErrNotAccepted.
func (*RejectedError) Is(target error) bool { return target == ErrNotAccepted }

// backlogEstimate holds an estimate and when it was made. Its zero value is unknown.
type backlogEstimate struct {
	mu       sync.Mutex
	estimate aqbacklog.Estimate
	// madeAt is the elapsed time of this process when the estimate was made.
	madeAt time.Duration
}

// set records an estimate at an elapsed time. One that is not known leaves the last one to age.
func (b *backlogEstimate) set(e aqbacklog.Estimate, at time.Duration) {
	if !e.Known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.estimate, b.madeAt = e, at-e.Age
}

// at returns the estimate with its age at an elapsed time.
func (b *backlogEstimate) at(now time.Duration) aqbacklog.Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.estimate
	e.Age = now - b.madeAt
	return e
}

// estimateBacklog renews the leader's estimate if it is due.
func (l *leader) estimateBacklog(d *aqdecider.Decider) {
	now := l.node.clock.Elapsed()
	if e := l.backlog.at(now); e.Known && e.Age < backlogInterval {
		return
	}
	l.backlog.set(d.Backlog(), now)
}

// noteRoom keeps for which jobs there is memory, with those that are stored and not known to the decider yet. The
// lock must be held.
func (l *leader) noteRoom(d *aqdecider.Decider) {
	stored := 0
	for _, notified := range l.notifiedJobs {
		stored += len(notified.item.Value)
	}
	l.room.Store(int64(d.Room(stored)))
}

// tellBacklog returns the estimate for the agents. Without room for all jobs or a long wait none is told, and no waits
// by a leader that may not answer.
func (l *leader) tellBacklog() aqbacklog.Estimate {
	var e aqbacklog.Estimate
	if l.mayAnswer() {
		e = l.backlog.at(l.node.clock.Elapsed())
	}
	if room := aqbacklog.Room(l.room.Load()); room != aqbacklog.RoomForAny {
		e.Known, e.Room, e.Age = true, room, 0
		return e
	}
	if !slices.ContainsFunc(e.Waits, func(w aqbacklog.Wait) bool { return w.Time >= minToldWait }) {
		return aqbacklog.Estimate{}
	}
	return e
}

// rejectHopeless rejects a job that would wait until it is of no use, and returns true with the answer. It returns
// false if the job is to be stored: also when the store does not take the mark of the rejection, without which a
// delayed write of an earlier attempt could still store the job.
func (n *Node) rejectHopeless(ctx context.Context, job *aqjob.Job) (bool, error) {
	estimate := n.backlog.at(n.clock.Elapsed())
	if l := n.leading(); l != nil {
		estimate = l.tellBacklog()
	}
	verdict, rejected := aqbacklog.Decide(job, estimate).(aqbacklog.Reject)
	if !rejected {
		return false, nil
	}
	marked, known := n.markRejected(ctx, job)
	switch {
	case known:
		n.metrics.Inc(aqmetric.JobsAccepted)
		return true, nil
	case !marked:
		return false, nil
	}
	reason := aqmetric.RefusedBacklog
	if verdict.Full {
		reason = aqmetric.RefusedJobsFull
	}
	n.metrics.Refused(reason)
	n.log.Write(aqlog.JobRejected, slog.String("Job", string(job.ID)), slog.String("Queue", string(job.Queue.ID)),
		slog.String("Reason", string(reason)), slog.Duration("Wait", verdict.Wait), slog.Duration("ReturnAfter", verdict.ReturnAfter))
	return true, &RejectedError{ReturnAfter: verdict.ReturnAfter}
}

// markRejected stores the mark of a rejected job, over that of an earlier rejection if there is one. known is set
// if the job is stored: an earlier attempt was accepted.
func (n *Node) markRejected(ctx context.Context, job *aqjob.Job) (marked, known bool) {
	lease, err := n.rejections.get(ctx, n.store, n.clock.Elapsed())
	if err != nil {
		return false, false
	}
	mark := job.Remainder()
	mark.Rejected = true
	value, err := aqjob.Encode(mark)
	if err != nil {
		return false, false
	}
	put := aqstore.Put{
		Key:   jobKey(job.ID),
		Value: value,
		Lease: lease,
	}
	_, err = n.commitOver(ctx, put, 0)
	var conflict *aqstore.ConflictError
	if !errors.As(err, &conflict) {
		return err == nil, false
	}
	item, found := currentItem(conflict, put.Key)
	if !found {
		return false, false
	}
	if !isRejected(item) {
		n.notifyStored(job.ID, conflict)
		return false, true
	}
	_, err = n.commitOver(ctx, put, item.ModRevision)
	return err == nil, false
}

// createJob stores a job that must not exist, over the mark of its rejection if there is one.
func (n *Node) createJob(ctx context.Context, id aqjob.ID, value []byte) (aqstore.Revision, error) {
	created, err := n.create(ctx, jobKey(id), value)
	var conflict *aqstore.ConflictError
	if !errors.As(err, &conflict) {
		return created, err
	}
	item, found := currentItem(conflict, jobKey(id))
	if !found || !isRejected(item) {
		return 0, conflict
	}
	created, err = n.commitOver(ctx, aqstore.Put{
		Key:   jobKey(id),
		Value: value,
	}, item.ModRevision)
	if errors.As(err, &conflict) {
		// The mark has been renewed or has expired, or another attempt was accepted.
		return 0, errors.WithMessage(aqstore.ErrUnknown, "the mark of a rejection has changed")
	}
	return created, err
}

// commitOver writes a key over a revision of it, zero if it must not exist.
func (n *Node) commitOver(ctx context.Context, put aqstore.Put, over aqstore.Revision) (aqstore.Revision, error) {
	revision, err := n.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{{
			Key:         put.Key,
			ModRevision: over,
		}},
		Puts: []aqstore.Put{put},
	})
	n.recordStoreResult(err)
	return revision, err
}

// currentItem returns what a conflict tells of a key.
func currentItem(c *aqstore.ConflictError, key string) (aqstore.Item, bool) {
	for _, item := range c.Current {
		if item.Key == key && item.ModRevision > 0 {
			return item, true
		}
	}
	return aqstore.Item{}, false
}

// isRejected reports whether a stored job is only the mark of a rejection.
func isRejected(item aqstore.Item) bool {
	job, err := aqjob.DecodeJob(item.Value)
	return err == nil && job.Closed && job.Rejected
}

// rejectionLease gives leases that last for rejectionTTL to twice that. Nobody renews them.
type rejectionLease struct {
	mu    sync.Mutex
	lease aqstore.LeaseID
	// until is the elapsed time at which the next lease is needed.
	until time.Duration
}

func (r *rejectionLease) get(ctx context.Context, store aqstore.Store, now time.Duration) (aqstore.LeaseID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != 0 && now < r.until {
		return r.lease, nil
	}
	lease, err := store.Grant(ctx, 2*rejectionTTL)
	if err != nil {
		return 0, err
	}
	r.lease, r.until = lease, now+rejectionTTL
	return lease, nil
}
