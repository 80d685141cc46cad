package aqshard

import (
	"sort"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// Offer is an offer on which the other shard has not reported yet.
type Offer struct {
	Sequence  uint64
	Task      aqtype.TaskID
	Spec      aqtype.Spec
	Progress  Progress
	Cancelled bool
}

// EndedGuest is a guest task that has ended in this shard or is to be returned
// to its home. Reported has the same fields, so that one converts to the other.
type EndedGuest struct {
	Task     aqtype.TaskID
	Sequence uint64
	State    TaskState
	Progress Progress
}

// NextOfferSequence returns the sequence number of the next offer to a shard.
func (s *State) NextOfferSequence(to aqtype.ShardID) uint64 { return s.offered[to] + 1 }

// LastTaken returns the sequence number of the last offer accepted from a shard.
func (s *State) LastTaken(from aqtype.ShardID) uint64 { return s.taken[from] }

// OfferedTo returns the shards with open offers of this one, in order.
func (s *State) OfferedTo() []aqtype.ShardID {
	ids := make([]aqtype.ShardID, 0, len(s.openOffers))
	for id := range s.openOffers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Offers returns the open offers to a shard, in order of sequence.
func (s *State) Offers(to aqtype.ShardID) []Offer {
	offers := make([]Offer, 0, len(s.openOffers[to]))
	for sequence, id := range s.openOffers[to] {
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

// EndedGuests returns the guest tasks of a home shard that have ended here or are
// to be returned, in order of sequence.
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
	s.addOpenOffer(r.Task, t)
	return nil
}

func (s *State) addOpenOffer(id aqtype.TaskID, t *Task) {
	if s.openOffers[t.To] == nil {
		s.openOffers[t.To] = map[uint64]aqtype.TaskID{}
	}
	s.openOffers[t.To][t.Sequence] = id
}

// acceptOffer accepts offers only in order of sequence, so that a repeated or
// delayed offer has no effect. An offer with an index out of range is refused but
// leaves a guest workload with no accepted tasks behind.
func (s *State) acceptOffer(r Taken) error {
	if r.Sequence != s.taken[r.From]+1 {
		return errors.Wrapf(ErrInvalid, "offer %d from shard %d is out of order", r.Sequence, r.From)
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
		return errors.Wrapf(ErrInvalid, "offer of task %s/%d", key, r.Index)
	}
	t := &w.Tasks[r.Index]
	t.setProgress(r.Progress)
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

func (s *State) returnTask(r Returned) error {
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
	delete(s.openOffers[t.To], t.Sequence)
	if len(s.openOffers[t.To]) == 0 {
		delete(s.openOffers, t.To)
	}
	t.setProgress(r.Progress)
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

func (s *State) deleteGuest(r Forgotten) error {
	w, t := s.Task(r.Task)
	if t == nil || !w.Guest || t.State == 0 || !t.HasEnded() || t.Sequence != r.Sequence {
		return errors.Wrapf(ErrInvalid, "deletion of guest task %s", r.Task)
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
