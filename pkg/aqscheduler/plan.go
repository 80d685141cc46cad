package aqscheduler

import (
	"sort"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Limits and times of a placement round.
const (
	// maxUnplacedPerRound is the number of tasks that cannot be placed after which a
	// round ends.
	maxUnplacedPerRound = 64
	// maxStartsPerRound is the maximum number of starts in one round, so that a
	// burst of submissions does not hold the lock for long.
	maxStartsPerRound = 500
	// nominationTimeout is how long capacity is held for a task while its victims
	// are being stopped.
	nominationTimeout = 20 * time.Second
	// refusalBackoff is how long a worker gets no new task after it refused one.
	refusalBackoff = 5 * time.Second
	// rightsizeInterval is the time between two adjustments of the reservations of
	// running tasks.
	rightsizeInterval = time.Minute
	// maxUncommitted is the number of decisions in the open batch at which a round
	// stops placing tasks.
	maxUncommitted = 4000
)

// The reasons for waiting, as operators see them.
const (
	reasonNoRoom     = "no worker has room now"
	reasonImpossible = "no worker is large enough"
	reasonQuota      = "the team's quota is used up"
	reasonFloor      = "the room left is kept for batch work"
	reasonEvicting   = "room is being made"
	reasonNoWorkers  = "the shard has no usable worker"
)

// round is one placement round.
type round struct {
	shard      *Shard
	config     aqconfig.Configuration
	now        time.Time
	policy     aqplacement.Policy
	candidates []aqplacement.Candidate
	// largest is the componentwise maximum of the capacities of all workers, usable
	// or not.
	largest aqtype.Resources
	starts  int
	// peers holds the spare capacities of the peer shards. They are read once per
	// round, when the first task is to be offloaded.
	peers     []SpareCapacity
	peersRead bool
}

// Plan runs one placement round: it ends the attempts on workers that cannot run them
// any more, stops orphaned runs, deletes what has expired, and places queued tasks.
func (s *Shard) Plan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	if s.err != nil || s.closing {
		return
	}
	s.endLostAttempts(now)
	s.stopOrphans()
	s.prune(now)
	s.expireKeys(now)
	s.expireNominations(now)
	if s.stalled() || len(s.open.records) >= maxUncommitted {
		return
	}
	rightsize := now.Sub(s.rightsizedAt) >= rightsizeInterval
	if s.queue.Len() == 0 && !s.throttled && !rightsize {
		return
	}
	s.slowdowns.SetNow(now)
	r := &round{
		shard:  s,
		config: s.options.Config.Current(),
		now:    now,
		policy: s.options.Policy(s.slowdowns),
	}
	r.collectCandidates()
	if rightsize {
		s.rightsizedAt = now
		r.rightsize()
	}
	s.queue.Offer(now, maxUnplacedPerRound, r.place)
	if s.throttled && s.queue.Len() == 0 {
		r.restore()
	}
	s.throttled = r.anyThrottled()
}

// anyThrottled reports whether a task on a candidate reserves less than its full
// size.
func (r *round) anyThrottled() bool {
	for _, c := range r.candidates {
		for _, resident := range c.Residents {
			if resident.Size != resident.Full {
				return true
			}
		}
	}
	return false
}

func (s *Shard) expireNominations(now time.Time) {
	for id, nominated := range s.nominations {
		if now.After(nominated.until) {
			delete(s.nominations, id)
		}
	}
}

// capacity returns how much of a worker may be reserved.
func (s *Shard) capacity(w *worker) aqtype.Resources {
	return w.host.Capacity.Percent(s.options.Config.Current().WorkerSharePercent)
}

// usable reports whether new tasks may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.serial != 0 && !w.dropped && w.host.State == aqplatform.HostLive && !now.Before(w.avoidUntil)
}

func (r *round) collectCandidates() {
	s := r.shard
	for id, w := range s.workers {
		capacity := s.capacity(w)
		r.largest = r.largest.Max(capacity)
		if !w.usable(r.now) {
			continue
		}
		r.candidates = append(r.candidates, aqplacement.Candidate{
			Worker:    id,
			Rack:      w.host.Rack,
			Capacity:  capacity,
			Free:      freeOf(capacity, s.latestState.Reserved(id)),
			Residents: s.residents(id, r.now),
			Probation: s.probation.On(id),
			Closed:    !s.probation.MayStart(id, r.now),
		})
	}
	sort.Slice(r.candidates, func(i, j int) bool { return r.candidates[i].Worker < r.candidates[j].Worker })
}

// freeOf returns the capacity less what is reserved, or nothing if the capacity has
// shrunk below that.
func freeOf(capacity, reserved aqtype.Resources) aqtype.Resources {
	if !reserved.Fits(capacity) {
		return aqtype.Resources{}
	}
	return capacity.Sub(reserved)
}

func (s *Shard) residents(id aqtype.WorkerID, now time.Time) []aqplacement.Resident {
	var residents []aqplacement.Resident
	for _, task := range s.latestState.Placed(id) {
		w, t := s.latestState.Task(task)
		base := w.Spec.Base()
		resident := aqplacement.Resident{
			Task:            task,
			Kind:            base.Kind,
			Urgency:         base.Urgency,
			LatencyCritical: aqtype.IsLatencyCritical(w.Spec),
			Size:            t.Size,
			Full:            t.Full,
			Evictions:       t.Evictions,
			Stopping:        t.State == aqshard.TaskStopping,
		}
		if info, ok := s.starts[aqplatform.RunID{Task: task, Attempt: t.Attempt}]; ok {
			resident.Ran = now.Sub(info.at)
		}
		residents = append(residents, resident)
	}
	return residents
}

func (r *round) place(queued aqplacement.QueuedTask) aqplacement.Verdict {
	s := r.shard
	if r.starts >= maxStartsPerRound || len(s.open.records) >= maxUncommitted {
		aqsignal.Send(s.wakePlan)
		return aqplacement.SkipTeam
	}
	d := queued.Demand
	workload, _ := s.latestState.Task(d.Task)
	d.Size = r.reservation(d.Kind, workload.Spec.Base().Size)
	switch {
	case len(r.candidates) == 0:
		return r.offload(queued, d, reasonNoWorkers)
	case !d.Size.Fits(r.largest):
		return r.offload(queued, d, reasonImpossible)
	case r.overQuota(d):
		r.keepQueued(d, reasonQuota)
		return aqplacement.SkipTeam
	case r.overFloor(d):
		return r.offload(queued, d, reasonFloor)
	}
	index, ok := aqplacement.Choose(r.policy, d, r.available(d.Task))
	if !ok {
		return r.makeRoom(queued, d)
	}
	if !r.start(d, index) {
		return aqplacement.NoRoom
	}
	return aqplacement.Placed
}

// reservation returns the learned size of a kind. A kind is learned from tasks of
// different sizes, with headroom, so the learned size may exceed every worker. It is
// limited to the largest worker if the declared size fits there, because the task
// could otherwise never be placed.
func (r *round) reservation(kind aqtype.TaskKind, declared aqtype.Resources) aqtype.Resources {
	learned := r.shard.usage.Reservation(kind, declared)
	if !declared.Fits(r.largest) {
		return learned
	}
	return learned.Min(r.largest)
}

// keepQueued records why a task stays in the queue, and returns NoRoom.
func (r *round) keepQueued(d aqplacement.Demand, reason string) aqplacement.Verdict {
	r.shard.reasons[d.Task] = reason
	return aqplacement.NoRoom
}

func (r *round) overQuota(d aqplacement.Demand) bool {
	if d.LatencyCritical {
		return false
	}
	quota, ok := r.config.Quota(d.Team)
	return ok && !r.shard.latestState.TeamReserved(d.Team).Add(d.Size).Fits(quota)
}

// overFloor reports whether a latency-critical task would use capacity that is
// guaranteed to batch work. Batch work may use all capacity, because it can be
// evicted.
func (r *round) overFloor(d aqplacement.Demand) bool {
	if !d.LatencyCritical {
		return false
	}
	var total, services aqtype.Resources
	for _, c := range r.candidates {
		total = total.Add(c.Capacity)
		for _, resident := range c.Residents {
			if resident.LatencyCritical {
				services = services.Add(resident.Size)
			}
		}
	}
	limit := total.Percent(wholePercent - r.config.BatchFloorPercent)
	return services.Add(d.Size).MilliCPU > limit.MilliCPU
}

const wholePercent = 100

// available returns the candidates without the capacity that is held for other tasks.
func (r *round) available(task aqtype.TaskID) []aqplacement.Candidate {
	if len(r.shard.nominations) == 0 {
		return r.candidates
	}
	held := map[aqtype.WorkerID]aqtype.Resources{}
	for id, nominated := range r.shard.nominations {
		if id != task {
			held[nominated.worker] = held[nominated.worker].Add(nominated.size)
		}
	}
	visible := append([]aqplacement.Candidate(nil), r.candidates...)
	for i, c := range visible {
		visible[i].Free = freeOf(c.Free, held[c.Worker])
	}
	return visible
}

// start decides on a start and updates the candidate.
func (r *round) start(d aqplacement.Demand, index int) bool {
	s := r.shard
	c := &r.candidates[index]
	workload, task := s.latestState.Task(d.Task)
	run := aqplatform.RunID{Task: d.Task, Attempt: task.Attempt + 1}
	order := startOrder(run, workload.Spec, d.Size, task.Checkpoint)
	if !s.appendRecord(aqshard.Started{
		Task:    run.Task,
		Attempt: run.Attempt,
		Worker:  c.Worker,
		Size:    d.Size,
	}) {
		return false
	}
	s.starts[run] = startInfo{
		serial: s.workers[c.Worker].serial,
		at:     r.now,
		order:  order,
	}
	delete(s.nominations, d.Task)
	delete(s.reasons, d.Task)
	c.Free = c.Free.Sub(d.Size)
	c.Residents = append(c.Residents, aqplacement.Resident{
		Task:            d.Task,
		Kind:            d.Kind,
		Urgency:         d.Urgency,
		LatencyCritical: d.LatencyCritical,
		Size:            d.Size,
		Full:            d.Size,
		Evictions:       task.Evictions,
	})
	s.probation.Started(c.Worker, d.Task)
	c.Closed = !s.probation.MayStart(c.Worker, r.now)
	s.recordKinds(c.Worker, r.now)
	r.starts++
	return true
}

func startOrder(
	run aqplatform.RunID, spec aqtype.Spec, size aqtype.Resources, checkpoint aqtype.CheckpointID,
) aqplatform.StartOrder {
	order := aqplatform.StartOrder{
		Run:        run,
		Size:       size,
		Declared:   spec.Base().Size,
		Checkpoint: checkpoint,
	}
	switch workload := spec.(type) {
	case aqtype.Service:
		order.Endless = true
		order.Serves = string(workload.Key)
	case aqtype.Job:
		order.RunTime = workload.RunTime
	case aqtype.Watcher:
		order.Endless = true
	}
	return order
}

// enqueue adds a task to the queue if its state is queued. The caller holds the lock.
func (s *Shard) enqueue(id aqtype.TaskID, notBefore time.Time) {
	w, t := s.latestState.Task(id)
	if t == nil || t.State != aqshard.TaskQueued {
		return
	}
	base := w.Spec.Base()
	s.queue.Push(aqplacement.QueuedTask{
		Demand: aqplacement.Demand{
			Task:            id,
			Kind:            base.Kind,
			Team:            base.Team,
			Urgency:         base.Urgency,
			LatencyCritical: aqtype.IsLatencyCritical(w.Spec),
			Size:            base.Size,
		},
		Since:     s.options.Clock.Now(),
		NotBefore: notBefore,
	})
}
