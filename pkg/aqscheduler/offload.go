package aqscheduler

import (
	"context"
	"sort"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Times of offloading.
const (
	// offerAfter is how long a task waits in its home shard before it is offered to
	// another.
	offerAfter = 200 * time.Millisecond
	// returnAfter is how long a guest task waits before it is returned to its home
	// shard.
	returnAfter = 10 * time.Second
	// offloadPeriod is the time between two calls to the shards that hold offloaded
	// tasks.
	offloadPeriod = 250 * time.Millisecond
)

// SpareCapacity is the free capacity that a shard offers to tasks of others, as its
// owner last reported it.
type SpareCapacity struct {
	Shard aqtype.ShardID
	Free  aqtype.Resources
	// MaxFreePerWorker is the componentwise maximum of what single workers have free.
	MaxFreePerWorker aqtype.Resources
}

// PeerShards gives access to the other shards.
type PeerShards interface {
	// SpareCapacities lists the spare capacities of the known shards, which may
	// include the caller's.
	SpareCapacities() []SpareCapacity
	// Offload sends a request to the owner of a shard.
	Offload(ctx context.Context, to aqtype.ShardID, r OffloadRequest) (OffloadAnswer, error)
}

// MethodOffload offers tasks to another shard and returns the ends of tasks that were
// offloaded to it.
const MethodOffload aqpeer.Method = "HandOn"

// OffloadRequest is sent by a home shard. A repeated or delayed request starts no task
// again: the receiver accepts offers in the order of their sequence, each once.
type OffloadRequest struct {
	From   aqtype.ShardID
	To     aqtype.ShardID
	Offers []WireOffer
	// Cancels lists workloads whose offloaded tasks are to be cancelled.
	Cancels []aqtype.WorkloadKey
	// Acks lists ended tasks whose end the home shard has committed.
	Acks []Ack
}

// WireOffer is an offer as it is sent.
type WireOffer struct {
	Sequence  uint64
	Spec      aqshard.SpecWire
	Index     int
	Progress  aqshard.Progress
	Cancelled bool
}

// Ack acknowledges the end of the task that was offered under Sequence.
type Ack struct {
	Task     aqtype.TaskID
	Sequence uint64
}

// OffloadAnswer is the committed state of the receiving shard: the sequence of the
// last offer that it accepted, and the caller's tasks that have ended there.
type OffloadAnswer struct {
	LastTaken uint64
	Ended     []aqshard.EndedGuest
}

// SpareCapacity returns the free capacity for tasks of other shards. A worker on probation
// counts while a task may be tried on it. The capacity is zero while tasks wait in this shard,
// while a journal write is stalled, and once the shard is being released or is lost.
func (s *Shard) SpareCapacity() SpareCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := SpareCapacity{Shard: s.options.ID}
	now := s.options.Clock.Now()
	if s.err != nil || s.closing || s.queue.Len() > 0 || s.stalled() {
		return spare
	}
	for id, w := range s.workers {
		if !w.usable(now) || !s.probation.MayStart(id, now) {
			continue
		}
		free := freeOf(s.capacity(w), s.latestState.Reserved(id))
		spare.Free = spare.Free.Add(free)
		spare.MaxFreePerWorker = spare.MaxFreePerWorker.Max(free)
	}
	return spare
}

// offload offers a task that cannot be placed here to a shard with spare capacity. It
// returns a guest task to its home shard instead.
func (r *round) offload(queued aqplacement.QueuedTask, d aqplacement.Demand, reason string) aqplacement.Verdict {
	s := r.shard
	waited := r.now.Sub(queued.Since)
	workload, _ := s.latestState.Task(d.Task)
	if workload.Guest {
		if waited >= returnAfter && s.appendRecord(aqshard.Returned{Task: d.Task}) {
			return aqplacement.Placed
		}
		return r.keepQueued(d, reason)
	}
	if waited < offerAfter {
		aqsignal.Send(s.wakePlan)
		return r.keepQueued(d, reason)
	}
	to, ok := r.reservePeer(d.Size)
	if !ok {
		return r.keepQueued(d, reason)
	}
	if !s.appendRecord(aqshard.Offered{
		Task:     d.Task,
		To:       to,
		Sequence: s.latestState.NextOfferSequence(to),
	}) {
		return aqplacement.NoRoom
	}
	delete(s.reasons, d.Task)
	return aqplacement.Placed
}

// reservePeer returns the shard with the most spare processors that fits the size,
// and deducts the size from its spare capacity for the rest of the round.
func (r *round) reservePeer(size aqtype.Resources) (aqtype.ShardID, bool) {
	if !r.peersRead {
		r.peersRead = true
		r.peers = r.shard.options.Peers.SpareCapacities()
		sort.Slice(r.peers, func(i, j int) bool { return r.peers[i].Shard < r.peers[j].Shard })
	}
	best := -1
	for i, peer := range r.peers {
		if peer.Shard == r.shard.options.ID || !size.Fits(peer.MaxFreePerWorker) || !size.Fits(peer.Free) {
			continue
		}
		if best < 0 || peer.Free.MilliCPU > r.peers[best].Free.MilliCPU {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	r.peers[best].Free = r.peers[best].Free.Sub(size)
	return r.peers[best].Shard, true
}

func (s *Shard) runOffload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopped:
			return
		case <-s.options.Clock.After(offloadPeriod):
		}
		s.OffloadOnce(ctx)
	}
}

// OffloadOnce calls every shard that has offers of this one or waits for
// acknowledgements from it.
func (s *Shard) OffloadOnce(ctx context.Context) {
	for _, to := range s.offloadTargets() {
		request := s.offloadRequest(to)
		answer, err := s.options.Peers.Offload(ctx, to, request)
		if err != nil {
			s.options.Metrics.Retried(aqmetric.RetryPeerLost)
			continue
		}
		s.applyAnswer(to, request, answer)
	}
}

func (s *Shard) offloadTargets() []aqtype.ShardID {
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

// offloadRequest builds the next request to a shard. Only committed state goes into
// it.
func (s *Shard) offloadRequest(to aqtype.ShardID) OffloadRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := OffloadRequest{
		From: s.options.ID,
		To:   to,
		Acks: append([]Ack(nil), s.acks[to]...),
	}
	cancelled := map[aqtype.WorkloadKey]bool{}
	for _, o := range s.committed.Offers(to) {
		if o.Sequence > s.lastTaken[to] {
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

func (s *Shard) applyAnswer(to aqtype.ShardID, request OffloadRequest, answer OffloadAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTaken[to] = max(s.lastTaken[to], answer.LastTaken)
	s.acks[to] = s.acks[to][min(len(request.Acks), len(s.acks[to])):]
	for _, g := range answer.Ended {
		s.applyEnd(to, g)
	}
	aqsignal.Send(s.wakePlan)
}

// applyEnd decides on the reported end of an offloaded task. If the end is already
// committed, it acknowledges it again.
func (s *Shard) applyEnd(to aqtype.ShardID, g aqshard.EndedGuest) {
	_, t := s.latestState.Task(g.Task)
	if t != nil && t.State == aqshard.TaskOffered && t.Sequence == g.Sequence {
		s.appendRecord(aqshard.Reported(g))
		s.enqueue(g.Task, time.Time{})
		return
	}
	_, c := s.committed.Task(g.Task)
	if c == nil || c.State != aqshard.TaskOffered || c.Sequence != g.Sequence {
		s.acks[to] = append(s.acks[to], Ack{Task: g.Task, Sequence: g.Sequence})
	}
}

// AcceptOffload applies a request of another shard and answers once the resulting
// decisions are committed.
func (s *Shard) AcceptOffload(ctx context.Context, r OffloadRequest) (OffloadAnswer, error) {
	s.mu.Lock()
	if s.err != nil || s.closing {
		s.mu.Unlock()
		return OffloadAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	s.applyOffload(r)
	pending := s.lastBatch()
	s.mu.Unlock()
	if err := await(ctx, pending); err != nil {
		return OffloadAnswer{}, aqpeer.Errorf(aqpeer.CodeUnknown, "%v", err)
	}
	return s.offloadAnswer(r.From), nil
}

func (s *Shard) offloadAnswer(from aqtype.ShardID) OffloadAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return OffloadAnswer{
		LastTaken: s.committed.LastTaken(from),
		Ended:     s.committed.EndedGuests(from),
	}
}

// applyOffload decides on a home shard's request. The caller holds the lock.
func (s *Shard) applyOffload(r OffloadRequest) {
	for _, a := range r.Acks {
		s.appendRecord(aqshard.Forgotten{Task: a.Task, Sequence: a.Sequence})
	}
	for _, o := range r.Offers {
		spec, err := o.Spec.Unwrap()
		if err != nil {
			return
		}
		if s.appendRecord(aqshard.Taken{
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
		if w := s.latestState.Workload(key); w != nil && w.Guest && w.Home == r.From && !w.Cancelled {
			s.appendRecord(aqshard.Cancelled{Workload: key})
			s.dequeue(key, len(w.Tasks))
		}
	}
	aqsignal.Send(s.wakePlan)
}
