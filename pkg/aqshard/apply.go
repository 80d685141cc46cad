package aqshard

import (
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// ErrInvalid means that a record does not fit the state. The state is then
// unchanged, with one exception at acceptOffer.
var ErrInvalid = errors.New("shard: record does not fit the state")

// Apply applies one record to the state.
func (s *State) Apply(record Record) error {
	switch r := record.(type) {
	case Accepted:
		return s.accept(r)
	case Started:
		return s.start(r)
	case Stopping:
		return s.stop(r)
	case Ended:
		return s.end(r)
	case Cancelled:
		return s.cancel(r)
	case Pruned:
		return s.prune(r)
	case KeyReserved:
		return s.reserveKey(r)
	case KeyReleased:
		return s.releaseKey(r)
	case KeysExpired:
		s.expireKeys(r)
		return nil
	case Resized:
		return s.resize(r)
	case Offered:
		return s.offer(r)
	case Taken:
		return s.acceptOffer(r)
	case Returned:
		return s.returnTask(r)
	case Reported:
		return s.report(r)
	case Forgotten:
		return s.deleteGuest(r)
	}
	return ErrUnknownRecord
}

func (s *State) accept(r Accepted) error {
	key := r.Spec.Base().Key
	if s.workloads[key] != nil {
		return errors.Wrapf(ErrInvalid, "workload %s exists", key)
	}
	w := &Workload{
		Spec:     r.Spec,
		Tasks:    make([]Task, r.Spec.TaskCount()),
		AtMillis: r.AtMillis,
	}
	s.workloads[key] = w
	for i := range w.Tasks {
		w.Tasks[i].State = TaskQueued
		s.queued[aqtype.TaskID{Workload: key, Index: i}] = struct{}{}
	}
	return nil
}

func (s *State) start(r Started) error {
	w, t := s.Task(r.Task)
	if t == nil || t.State != TaskQueued || r.Attempt != t.Attempt+1 {
		return errors.Wrapf(ErrInvalid, "start of %s attempt %d", r.Task, r.Attempt)
	}
	t.State = TaskRunning
	t.Attempt = r.Attempt
	t.Worker = r.Worker
	t.Size = r.Size
	t.Full = r.Size
	t.Resized = false
	t.Why = 0
	delete(s.queued, r.Task)
	s.reserve(r.Task, w, t)
	return nil
}

func (s *State) resize(r Resized) error {
	w, t := s.Task(r.Task)
	if t == nil || t.State != TaskRunning || t.Attempt != r.Attempt || !r.Size.Fits(r.Full) {
		return errors.Wrapf(ErrInvalid, "resize of %s attempt %d", r.Task, r.Attempt)
	}
	s.release(r.Task, w, t)
	t.Size = r.Size
	t.Full = r.Full
	t.Resized = true
	s.reserve(r.Task, w, t)
	return nil
}

func (s *State) stop(r Stopping) error {
	_, t := s.Task(r.Task)
	if t == nil || t.State != TaskRunning || t.Attempt != r.Attempt {
		return errors.Wrapf(ErrInvalid, "stop of %s attempt %d", r.Task, r.Attempt)
	}
	t.State = TaskStopping
	t.Why = r.Why
	return nil
}

func (s *State) end(r Ended) error {
	w, t := s.Task(r.Task)
	if t == nil || !t.HoldsReservation() || t.Attempt != r.Attempt {
		return errors.Wrapf(ErrInvalid, "end of %s attempt %d", r.Task, r.Attempt)
	}
	s.release(r.Task, w, t)
	evicted := t.State == TaskStopping && t.Why == StopEvict
	started := r.Outcome != OutcomeNotRun
	if started {
		t.Checkpoint = r.Checkpoint
	}
	if evicted && r.Outcome == OutcomeStopped {
		t.Evictions++
	}
	if r.Outcome == OutcomeFailed {
		t.Failures++
	}
	t.State = nextState(w, t, r.Outcome)
	t.Why = 0
	if t.State == TaskQueued {
		s.queued[r.Task] = struct{}{}
	}
	return nil
}

// nextState returns the state of a task whose attempt has ended.
func nextState(w *Workload, t *Task, outcome Outcome) TaskState {
	job, isJob := w.Spec.(aqtype.Job)
	switch {
	case outcome == OutcomeFinished && isJob:
		return TaskFinished
	case w.Cancelled:
		return TaskCancelled
	case outcome == OutcomeFailed && isJob && t.Failures >= job.MaxFailures:
		return TaskGivenUp
	}
	return TaskQueued
}

func (s *State) cancel(r Cancelled) error {
	w := s.workloads[r.Workload]
	if w == nil {
		return errors.Wrapf(ErrInvalid, "cancel of unknown workload %s", r.Workload)
	}
	w.Cancelled = true
	for i := range w.Tasks {
		t := &w.Tasks[i]
		if t.State == TaskQueued {
			t.State = TaskCancelled
			delete(s.queued, aqtype.TaskID{Workload: r.Workload, Index: i})
		}
		if t.State == TaskRunning {
			t.State = TaskStopping
			t.Why = StopCancel
		}
	}
	return nil
}

func (s *State) prune(r Pruned) error {
	w := s.workloads[r.Workload]
	if w == nil || w.Guest || !w.Done() {
		return errors.Wrapf(ErrInvalid, "prune of workload %s", r.Workload)
	}
	delete(s.workloads, r.Workload)
	return nil
}

func (s *State) reserve(id aqtype.TaskID, w *Workload, t *Task) {
	s.reserved[t.Worker] = s.reserved[t.Worker].Add(t.Size)
	if s.placed[t.Worker] == nil {
		s.placed[t.Worker] = map[aqtype.TaskID]struct{}{}
	}
	s.placed[t.Worker][id] = struct{}{}
	s.chargeTeam(w, t.Size)
}

func (s *State) release(id aqtype.TaskID, w *Workload, t *Task) {
	s.reserved[t.Worker] = s.reserved[t.Worker].Sub(t.Size)
	delete(s.placed[t.Worker], id)
	if len(s.placed[t.Worker]) == 0 {
		delete(s.placed, t.Worker)
		delete(s.reserved, t.Worker)
	}
	s.chargeTeam(w, aqtype.Resources{}.Sub(t.Size))
}

func (s *State) chargeTeam(w *Workload, size aqtype.Resources) {
	if aqtype.IsLatencyCritical(w.Spec) {
		return
	}
	team := w.Spec.Base().Team
	s.teams[team] = s.teams[team].Add(size)
	if s.teams[team] == (aqtype.Resources{}) {
		delete(s.teams, team)
	}
}
