package aqscheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Submit accepts a workload and returns once it is committed. Submitting the same
// workload again returns the status of the first submission. After an error with code
// Unknown, the workload may have been accepted. NotOwner means that it was not, except
// if the shard is lost or stopped right after the commit. Any other error means that
// it was not accepted.
func (s *Shard) Submit(ctx context.Context, spec aqtype.Spec) (Status, error) {
	if err := aqtype.Validate(spec); err != nil {
		s.options.Metrics.Refused(aqmetric.RefusedBadRequest)
		return Status{}, aqpeer.Errorf(aqpeer.CodeInvalid, "%v", err)
	}
	key := spec.Base().Key
	s.mu.Lock()
	err := s.accept(spec)
	pending := s.lastBatch()
	s.mu.Unlock()
	if err != nil {
		return Status{}, err
	}
	if err := await(ctx, pending); err != nil {
		return Status{}, aqpeer.Errorf(aqpeer.CodeUnknown, "%v", err)
	}
	return s.Get(key)
}

// accept decides on a submission. The caller holds the lock.
func (s *Shard) accept(spec aqtype.Spec) error {
	if s.err != nil || s.closing {
		s.options.Metrics.Refused(aqmetric.RefusedNotOwner)
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	if w := s.latestState.Workload(spec.Base().Key); w != nil && !w.Guest {
		if w.Spec == spec {
			return nil
		}
		s.options.Metrics.Refused(aqmetric.RefusedKeyConflict)
		return aqpeer.Errorf(aqpeer.CodeConflict, "key %s stands for another workload", spec.Base().Key)
	}
	if s.stalled() {
		s.options.Metrics.Refused(aqmetric.RefusedStoreDown)
		return aqpeer.Errorf(aqpeer.CodeExhausted, "the platform's store does not take writes; not run")
	}
	if s.latestState.WorkloadCount() >= s.options.Limits.MaxWorkloads {
		s.options.Metrics.Refused(aqmetric.RefusedShardFull)
		return aqpeer.Errorf(aqpeer.CodeExhausted, "shard %d keeps %d workloads; not run",
			s.options.ID, s.options.Limits.MaxWorkloads)
	}
	s.appendRecord(aqshard.Accepted{Spec: spec, AtMillis: s.options.Clock.Now().UnixMilli()})
	for i := range spec.TaskCount() {
		s.enqueue(aqtype.TaskID{Workload: spec.Base().Key, Index: i}, time.Time{})
	}
	aqsignal.Send(s.wakePlan)
	return nil
}

// Cancel cancels a workload and returns once that is committed. Its running tasks are
// stopped after that.
func (s *Shard) Cancel(ctx context.Context, key aqtype.WorkloadKey) (Status, error) {
	s.mu.Lock()
	if s.err != nil || s.closing {
		s.mu.Unlock()
		return Status{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	w := s.latestState.Workload(key)
	if w == nil || w.Guest {
		s.mu.Unlock()
		return Status{}, aqpeer.Errorf(aqpeer.CodeNotFound, "workload %s", key)
	}
	if !w.Cancelled {
		s.appendRecord(aqshard.Cancelled{Workload: key})
		s.dequeue(key, len(w.Tasks))
		s.startRetention(key, w)
	}
	pending := s.lastBatch()
	s.mu.Unlock()
	if err := await(ctx, pending); err != nil {
		return Status{}, aqpeer.Errorf(aqpeer.CodeUnknown, "%v", err)
	}
	return s.Get(key)
}

func (s *Shard) dequeue(key aqtype.WorkloadKey, tasks int) {
	for i := range tasks {
		id := aqtype.TaskID{Workload: key, Index: i}
		s.queue.Remove(id)
		delete(s.nominations, id)
		delete(s.reasons, id)
	}
}

// Get returns the committed state of a workload.
func (s *Shard) Get(key aqtype.WorkloadKey) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil && !errors.Is(s.err, ErrReleased) {
		return Status{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	w := s.committed.Workload(key)
	if w == nil || w.Guest {
		return Status{}, aqpeer.Errorf(aqpeer.CodeNotFound, "workload %s", key)
	}
	return s.status(key, w), nil
}

// List returns the committed state of all workloads of a team. An empty team means all
// teams.
func (s *Shard) List(team aqtype.TeamID) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Status
	s.committed.Workloads(func(key aqtype.WorkloadKey, w *aqshard.Workload) bool {
		if !w.Guest && (team == "" || w.Spec.Base().Team == team) {
			all = append(all, s.status(key, w))
		}
		return true
	})
	return all
}

func (s *Shard) status(key aqtype.WorkloadKey, w *aqshard.Workload) Status {
	status := Status{
		Spec:  aqshard.WrapSpec(w.Spec),
		Shard: s.options.ID,
		Done:  w.Done(),
		Tasks: make([]TaskStatus, 0, len(w.Tasks)),
	}
	for i, t := range w.Tasks {
		status.Tasks = append(status.Tasks, TaskStatus{
			Index:   i,
			State:   t.State,
			Attempt: t.Attempt,
			Worker:  t.Worker,
			Reason:  s.reason(aqtype.TaskID{Workload: key, Index: i}, t),
		})
	}
	return status
}

func (s *Shard) reason(id aqtype.TaskID, t aqshard.Task) string {
	if t.State == aqshard.TaskOffered {
		return fmt.Sprintf("handed on to shard %d", t.To)
	}
	return s.reasons[id]
}

// Top returns the totals of the shard.
func (s *Shard) Top() ShardTop {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := ShardTop{
		Shard:   s.options.ID,
		Owner:   s.options.Journal.Writer,
		Epoch:   s.log.Epoch(),
		Queued:  s.committed.QueuedCount(),
		Running: s.committed.PlacedCount(),
	}
	for id, w := range s.workers {
		top.Workers++
		top.Reserved = top.Reserved.Add(s.committed.Reserved(id))
		top.Capacity = top.Capacity.Add(s.capacity(w))
	}
	return top
}
