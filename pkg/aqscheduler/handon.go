package aqscheduler

import (
	"context"
	"sort"
	"time"

	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Times of handing on.
const (
	// offerAfter is how long a task waits in its home before it is offered.
	offerAfter = 200 * time.Millisecond
	// returnAfter is how long a task of another shard waits before it is given
	// back.
	returnAfter = 10 * time.Second
	// handOnPeriod is the time between two calls to a shard that holds tasks.
	handOnPeriod = 250 * time.Millisecond
)

// SpareCapacity is what another shard could take, as its owner last said.
type SpareCapacity struct {
	Shard aqtype.ShardID
	Free  aqtype.Resources
	// Largest is the most that one worker has free.
	Largest aqtype.Resources
}

// PeerShards are the other shards.
type PeerShards interface {
	// SpareCapacities lists shards that have room.
	SpareCapacities() []SpareCapacity
	// Offload calls the owner of a shard.
	Offload(ctx context.Context, to aqtype.ShardID, r OffloadRequest) (OffloadAnswer, error)
}

// MethodOffload hands tasks on to another shard and asks after those it has.
const MethodOffload aqpeer.Method = "HandOn"

// OffloadRequest comes from a home shard. Repeating it, or receiving it late, has
// no effect: offers are taken in order of their sequence, each once.
type OffloadRequest struct {
	From   aqtype.ShardID
	To     aqtype.ShardID
	Offers []WireOffer
	// Cancels names workloads whose tasks are to be ended.
	Cancels []aqtype.WorkloadKey
	// Acks names ended tasks whose end the home has committed.
	Acks []Ack
}

// WireOffer is an offer on its way.
type WireOffer struct {
	Sequence  uint64
	Spec      aqshard.SpecWire
	Index     int
	Progress  aqshard.Progress
	Cancelled bool
}

// Ack names an ended task by its offer.
type Ack struct {
	Task     aqtype.TaskID
	Sequence uint64
}

// OffloadAnswer is what is committed at the shard that was called.
type OffloadAnswer struct {
	TakenUpTo uint64
	Ended     []aqshard.EndedGuest
}

// SpareCapacity is what this shard could take from others: nothing while its own tasks
// wait.
func (s *Shard) SpareCapacity() SpareCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := SpareCapacity{Shard: s.options.ID}
	now := s.options.Clock.Now()
	if s.err != nil || s.closing || s.queue.Len() > 0 || s.stalled() {
		return room
	}
	for id, w := range s.workers {
		if !w.usable(now) || s.probation.On(id) {
			continue
		}
		free := freeOf(s.capacity(w), s.planned.Reserved(id))
		room.Free = room.Free.Add(free)
		room.Largest = room.Largest.Max(free)
	}
	return room
}

// passOn offers a task that found no room here to a shard that has some, or
// gives a task of another shard back.
func (r *round) passOn(w aqplacement.QueuedTask, d aqplacement.Demand, reason string) aqplacement.Verdict {
	s := r.shard
	waited := r.now.Sub(w.Since)
	workload, _ := s.planned.Task(d.Task)
	if workload.Guest {
		if waited >= returnAfter && s.decide(aqshard.Returned{Task: d.Task}) {
			return aqplacement.Placed
		}
		return r.wait(d, reason)
	}
	if waited < offerAfter {
		signal(s.wakePlan)
		return r.wait(d, reason)
	}
	to, ok := r.takeRoom(d.Size)
	if !ok {
		return r.wait(d, reason)
	}
	if !s.decide(aqshard.Offered{
		Task:     d.Task,
		To:       to,
		Sequence: s.planned.NextOfferSequence(to),
	}) {
		return aqplacement.NoRoom
	}
	delete(s.reasons, d.Task)
	return aqplacement.Placed
}

// takeRoom finds the shard with the most room and notes what is given to it in
// this round.
func (r *round) takeRoom(size aqtype.Resources) (aqtype.ShardID, bool) {
	if !r.roomsRead {
		r.roomsRead = true
		r.rooms = r.shard.options.Peers.SpareCapacities()
		sort.Slice(r.rooms, func(i, j int) bool { return r.rooms[i].Shard < r.rooms[j].Shard })
	}
	best := -1
	for i, room := range r.rooms {
		if room.Shard == r.shard.options.ID || !size.Fits(room.Largest) || !size.Fits(room.Free) {
			continue
		}
		if best < 0 || room.Free.MilliCPU > r.rooms[best].Free.MilliCPU {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	r.rooms[best].Free = r.rooms[best].Free.Sub(size)
	return r.rooms[best].Shard, true
}

func (s *Shard) runHandOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopped:
			return
		case <-s.options.Clock.After(handOnPeriod):
		}
		s.HandOnOnce(ctx)
	}
}

// HandOnOnce calls every shard that holds tasks of this one or waits for word
// that their ends are committed.
func (s *Shard) HandOnOnce(ctx context.Context) {
	for _, to := range s.handOnTargets() {
		request := s.handOnRequest(to)
		answer, err := s.options.Peers.Offload(ctx, to, request)
		if err != nil {
			s.options.Metrics.Retried(aqmetric.RetryPeerLost)
			continue
		}
		s.takeAnswer(to, request, answer)
	}
}

func (s *Shard) handOnTargets() []aqtype.ShardID {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.committed.OfferedTo()
	known := map[aqtype.ShardID]bool{}
	for _, id := range targets {
		known[id] = true
	}
	for id, acks := range s.acks {
		if len(acks) > 0 && !known[id] {
			targets = append(targets, id)
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i] < targets[j] })
	return targets
}

// handOnRequest is built from what is committed only.
func (s *Shard) handOnRequest(to aqtype.ShardID) OffloadRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := OffloadRequest{
		From: s.options.ID,
		To:   to,
		Acks: append([]Ack(nil), s.acks[to]...),
	}
	cancelled := map[aqtype.WorkloadKey]bool{}
	for _, o := range s.committed.Offers(to) {
		if o.Sequence > s.takenUpTo[to] {
			request.Offers = append(request.Offers, WireOffer{
				Sequence:  o.Sequence,
				Spec:      aqshard.WrapSpec(o.Spec),
				Index:     o.Task.Index,
				Progress:  o.Progress,
				Cancelled: o.Cancelled,
			})
			continue
		}
		if o.Cancelled && !cancelled[o.Task.Workload] {
			cancelled[o.Task.Workload] = true
			request.Cancels = append(request.Cancels, o.Task.Workload)
		}
	}
	return request
}

func (s *Shard) takeAnswer(to aqtype.ShardID, request OffloadRequest, answer OffloadAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenUpTo[to] = max(s.takenUpTo[to], answer.TakenUpTo)
	s.acks[to] = s.acks[to][min(len(request.Acks), len(s.acks[to])):]
	for _, g := range answer.Ended {
		s.takeEnd(to, g)
	}
	signal(s.wakePlan)
}

// takeEnd decides on the end of a task that was handed on, or says again that it
// is committed.
func (s *Shard) takeEnd(to aqtype.ShardID, g aqshard.EndedGuest) {
	_, t := s.planned.Task(g.Task)
	if t != nil && t.State == aqshard.TaskOffered && t.Sequence == g.Sequence {
		s.decide(aqshard.Reported(g))
		s.enqueue(g.Task, time.Time{})
		return
	}
	_, c := s.committed.Task(g.Task)
	if c == nil || c.State != aqshard.TaskOffered || c.Sequence != g.Sequence {
		s.acks[to] = append(s.acks[to], Ack{Task: g.Task, Sequence: g.Sequence})
	}
}

// AcceptOffload takes tasks from another shard, and answers once that is committed.
func (s *Shard) AcceptOffload(ctx context.Context, r OffloadRequest) (OffloadAnswer, error) {
	s.mu.Lock()
	if s.err != nil || s.closing {
		s.mu.Unlock()
		return OffloadAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	s.receive(r)
	waiting := s.lastBatch()
	s.mu.Unlock()
	if err := await(ctx, waiting); err != nil {
		return OffloadAnswer{}, aqpeer.Errorf(aqpeer.CodeUnknown, "%v", err)
	}
	return s.handOnAnswer(r.From), nil
}

func (s *Shard) handOnAnswer(from aqtype.ShardID) OffloadAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return OffloadAnswer{
		TakenUpTo: s.committed.LastTaken(from),
		Ended:     s.committed.EndedGuests(from),
	}
}

// receive decides on what a home shard asks. The lock is held.
func (s *Shard) receive(r OffloadRequest) {
	for _, a := range r.Acks {
		s.decide(aqshard.Forgotten{Task: a.Task, Sequence: a.Sequence})
	}
	for _, o := range r.Offers {
		spec, err := o.Spec.Unwrap()
		if err != nil {
			return
		}
		if s.decide(aqshard.Taken{
			From:      r.From,
			Sequence:  o.Sequence,
			Spec:      spec,
			Index:     o.Index,
			Progress:  o.Progress,
			Cancelled: o.Cancelled,
		}) {
			s.enqueue(aqtype.TaskID{Workload: spec.Base().Key, Index: o.Index}, time.Time{})
		}
	}
	for _, key := range r.Cancels {
		if w := s.planned.Workload(key); w != nil && w.Guest && w.Home == r.From && !w.Cancelled {
			s.decide(aqshard.Cancelled{Workload: key})
			s.dequeue(key, len(w.Tasks))
		}
	}
	signal(s.wakePlan)
}
