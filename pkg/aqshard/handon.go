package aqshard

import (
	"sort"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// Offer is an offer that its home still waits for.
type Offer struct {
	Sequence  uint64
	Task      aqtype.TaskID
	Spec      aqtype.Spec
	Progress  Progress
	Cancelled bool
}

// EndedGuest is a task of another shard that has ended here.
type EndedGuest struct {
	Task     aqtype.TaskID
	Sequence uint64
	State    TaskState
	Progress Progress
}

// NextOfferSequence returns the sequence of the next offer to a shard.
func (s *State) NextOfferSequence(to aqtype.ShardID) uint64 { return s.offered[to] + 1 }

// LastTaken returns the last offer taken from a shard.
func (s *State) LastTaken(from aqtype.ShardID) uint64 { return s.taken[from] }

// OfferedTo returns the shards that hold tasks of this one, in order.
func (s *State) OfferedTo() []aqtype.ShardID {
	ids := make([]aqtype.ShardID, 0, len(s.away))
	for id := range s.away {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Offers returns the offers to a shard that have not been reported on, in order
// of sequence.
func (s *State) Offers(to aqtype.ShardID) []Offer {
	offers := make([]Offer, 0, len(s.away[to]))
	for sequence, id := range s.away[to] {
		w, t := s.Task(id)
		offers = append(offers, Offer{
			Sequence:  sequence,
			Task:      id,
			Spec:      w.Spec,
			Progress:  t.progress(),
			Cancelled: w.Cancelled,
		})
	}
	sort.Slice(offers, func(i, j int) bool { return offers[i].Sequence < offers[j].Sequence })
	return offers
}

// EndedGuests returns the tasks of a shard that have ended here.
func (s *State) EndedGuests(home aqtype.ShardID) []EndedGuest {
	var guests []EndedGuest
	for key, w := range s.workloads {
		if !w.Guest || w.Home != home {
			continue
		}
		for i, t := range w.Tasks {
			if t.State != 0 && t.HasEnded() {
				guests = append(guests, EndedGuest{
					Task:     aqtype.TaskID{Workload: key, Index: i},
					Sequence: t.Sequence,
					State:    t.State,
					Progress: t.progress(),
				})
			}
		}
	}
	sort.Slice(guests, func(i, j int) bool { return guests[i].Sequence < guests[j].Sequence })
	return guests
}

func (s *State) offer(r Offered) error {
	w, t := s.Task(r.Task)
	if t == nil || w.Guest || t.State != TaskQueued || r.Sequence != s.NextOfferSequence(r.To) {
		return errors.Wrapf(ErrInvalid, "offer of %s", r.Task)
	}
	t.State = TaskOffered
	t.To = r.To
	t.Sequence = r.Sequence
	s.offered[r.To] = r.Sequence
	delete(s.queued, r.Task)
	s.noteAway(r.Task, t)
	return nil
}

func (s *State) noteAway(id aqtype.TaskID, t *Task) {
	if s.away[t.To] == nil {
		s.away[t.To] = map[uint64]aqtype.TaskID{}
	}
	s.away[t.To][t.Sequence] = id
}

// take accepts offers in order only, so that a repeated or delayed one has no
// effect.
func (s *State) take(r Taken) error {
	if r.Sequence != s.taken[r.From]+1 {
		return errors.Wrapf(ErrInvalid, "offer %d of shard %d out of order", r.Sequence, r.From)
	}
	key := r.Spec.Base().Key
	w := s.workloads[key]
	if w == nil {
		w = &Workload{
			Spec:  r.Spec,
			Tasks: make([]Task, r.Spec.TaskCount()),
			Guest: true,
			Home:  r.From,
		}
		s.workloads[key] = w
	}
	if !w.Guest || w.Home != r.From || r.Index >= len(w.Tasks) || w.Tasks[r.Index].State != 0 {
		return errors.Wrapf(ErrInvalid, "offer of %s/%d", key, r.Index)
	}
	t := &w.Tasks[r.Index]
	t.takeProgress(r.Progress)
	t.Sequence = r.Sequence
	w.Cancelled = w.Cancelled || r.Cancelled
	t.State = TaskCancelled
	if !w.Cancelled {
		t.State = TaskQueued
		s.queued[aqtype.TaskID{Workload: key, Index: r.Index}] = struct{}{}
	}
	s.taken[r.From] = r.Sequence
	return nil
}

func (s *State) giveBack(r Returned) error {
	w, t := s.Task(r.Task)
	if t == nil || !w.Guest || t.State != TaskQueued {
		return errors.Wrapf(ErrInvalid, "return of %s", r.Task)
	}
	t.State = TaskReturned
	delete(s.queued, r.Task)
	return nil
}

func (s *State) report(r Reported) error {
	w, t := s.Task(r.Task)
	if t == nil || t.State != TaskOffered || t.Sequence != r.Sequence {
		return errors.Wrapf(ErrInvalid, "report on %s", r.Task)
	}
	delete(s.away[t.To], t.Sequence)
	if len(s.away[t.To]) == 0 {
		delete(s.away, t.To)
	}
	t.takeProgress(r.Progress)
	t.State = r.State
	if r.State == TaskReturned {
		t.State = TaskQueued
		if w.Cancelled {
			t.State = TaskCancelled
		}
	}
	if t.State == TaskQueued {
		s.queued[r.Task] = struct{}{}
	}
	return nil
}

func (s *State) forget(r Forgotten) error {
	w, t := s.Task(r.Task)
	if t == nil || !w.Guest || t.State == 0 || !t.HasEnded() || t.Sequence != r.Sequence {
		return errors.Wrapf(ErrInvalid, "forgetting of %s", r.Task)
	}
	*t = Task{}
	for _, other := range w.Tasks {
		if other.State != 0 {
			return nil
		}
	}
	delete(s.workloads, r.Task.Workload)
	return nil
}
