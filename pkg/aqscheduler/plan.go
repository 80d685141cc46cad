package aqscheduler

import (
	"sort"
	"time"

	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Bounds of one placement round.
const (
	// maxRefusedPerRound bounds the workloads that are tried in vain.
	maxRefusedPerRound = 64
	// maxStartsPerRound bounds the starts of one round, so that a flood of
	// submissions does not hold the lock.
	maxStartsPerRound = 500
	// earmarkFor is how long room is kept for a task whose victims are being
	// stopped.
	earmarkFor = 20 * time.Second
	// avoidFor is how long a worker that refused a start gets no other.
	avoidFor = 5 * time.Second
	// rightsizeEvery is the time between two looks at running reservations.
	rightsizeEvery = time.Minute
	// maxUncommitted bounds the decisions that wait for the journal.
	maxUncommitted = 4000
)

// The reasons for waiting that operators are shown.
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
	// largest is the componentwise largest capacity of any listed worker.
	largest aqtype.Resources
	starts  int
	// rooms are read once a round, when a task is first to be handed on.
	rooms     []SpareCapacity
	roomsRead bool
}

// Plan runs one placement round: it gives up workers that are certainly
// stopped, forgets old workloads, and places what waits.
func (s *Shard) Plan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	if s.err != nil || s.closing {
		return
	}
	s.giveUpWorkers(now)
	s.sweepStrays()
	s.prune(now)
	s.expireKeys(now)
	s.expireEarmarks(now)
	if s.stalled() || len(s.open.records) >= maxUncommitted {
		return
	}
	rightsize := now.Sub(s.rightsized) >= rightsizeEvery
	if s.queue.Len() == 0 && !s.throttled && !rightsize {
		return
	}
	s.pairs.SetNow(now)
	r := &round{
		shard:  s,
		config: s.options.Config.Current(),
		now:    now,
		policy: s.options.Policy(s.pairs),
	}
	r.collect()
	if rightsize {
		s.rightsized = now
		r.rightsize()
	}
	s.queue.Offer(now, maxRefusedPerRound, r.place)
	if s.throttled && s.queue.Len() == 0 {
		r.restore()
	}
	s.throttled = r.anyThrottled()
}

// anyThrottled reports whether a task has less than its full size.
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

func (s *Shard) expireEarmarks(now time.Time) {
	for id, e := range s.earmarks {
		if now.After(e.until) {
			delete(s.earmarks, id)
		}
	}
}

// capacity is what may be reserved on a worker.
func (s *Shard) capacity(w *worker) aqtype.Resources {
	return w.host.Capacity.Percent(s.options.Config.Current().WorkerSharePercent)
}

// usable reports whether tasks may be started on a worker.
func (w *worker) usable(now time.Time) bool {
	return w.serial != 0 && !w.gone && w.host.State == aqplatform.HostLive && !now.Before(w.avoidUntil)
}

func (r *round) collect() {
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
			Free:      freeOf(capacity, s.planned.Reserved(id)),
			Residents: s.residents(id, r.now),
			Probation: s.probation.On(id),
		})
	}
	sort.Slice(r.candidates, func(i, j int) bool { return r.candidates[i].Worker < r.candidates[j].Worker })
}

// freeOf is the capacity less what is reserved, and nothing when the capacity
// has shrunk below that.
func freeOf(capacity, reserved aqtype.Resources) aqtype.Resources {
	if !reserved.Fits(capacity) {
		return aqtype.Resources{}
	}
	return capacity.Sub(reserved)
}

func (s *Shard) residents(id aqtype.WorkerID, now time.Time) []aqplacement.Resident {
	var residents []aqplacement.Resident
	for _, task := range s.planned.Placed(id) {
		w, t := s.planned.Task(task)
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
		if note, ok := s.starts[aqplatform.RunID{Task: task, Attempt: t.Attempt}]; ok {
			resident.Ran = now.Sub(note.at)
		}
		residents = append(residents, resident)
	}
	return residents
}

func (r *round) place(w aqplacement.QueuedTask) aqplacement.Verdict {
	s := r.shard
	if r.starts >= maxStartsPerRound || len(s.open.records) >= maxUncommitted {
		signal(s.wakePlan)
		return aqplacement.SkipTeam
	}
	d := w.Demand
	workload, _ := s.planned.Task(d.Task)
	d.Size = r.reservation(d.Kind, workload.Spec.Base().Size)
	switch {
	case len(r.candidates) == 0:
		return r.passOn(w, d, reasonNoWorkers)
	case !d.Size.Fits(r.largest):
		return r.passOn(w, d, reasonImpossible)
	case r.overQuota(d):
		r.wait(d, reasonQuota)
		return aqplacement.SkipTeam
	case r.overFloor(d):
		return r.passOn(w, d, reasonFloor)
	}
	index, ok := aqplacement.Choose(r.policy, d, r.visible(d.Task))
	if !ok {
		return r.makeRoom(w, d)
	}
	if !r.start(d, index) {
		return aqplacement.NoRoom
	}
	return aqplacement.Placed
}

// reservation is the learned size of a kind. What was learned must not make a
// task impossible whose declared size would fit: kinds are learned from tasks of
// different sizes, with headroom.
func (r *round) reservation(kind aqtype.TaskKind, declared aqtype.Resources) aqtype.Resources {
	learned := r.shard.sizes.Reservation(kind, declared)
	if !declared.Fits(r.largest) {
		return learned
	}
	return learned.Min(r.largest)
}

func (r *round) wait(d aqplacement.Demand, reason string) aqplacement.Verdict {
	r.shard.reasons[d.Task] = reason
	return aqplacement.NoRoom
}

func (r *round) overQuota(d aqplacement.Demand) bool {
	if d.LatencyCritical {
		return false
	}
	quota, ok := r.config.Quota(d.Team)
	return ok && !r.shard.planned.TeamReserved(d.Team).Add(d.Size).Fits(quota)
}

// overFloor reports whether a service would take room that is kept for batch
// work. Batch work may use everything, since it can be evicted.
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
	open := total.Percent(wholePercent - r.config.BatchFloorPercent)
	return services.Add(d.Size).MilliCPU > open.MilliCPU
}

const wholePercent = 100

// visible returns the candidates without the room that is kept for other tasks.
func (r *round) visible(task aqtype.TaskID) []aqplacement.Candidate {
	if len(r.shard.earmarks) == 0 {
		return r.candidates
	}
	kept := map[aqtype.WorkerID]aqtype.Resources{}
	for id, e := range r.shard.earmarks {
		if id != task {
			kept[e.worker] = kept[e.worker].Add(e.size)
		}
	}
	visible := append([]aqplacement.Candidate(nil), r.candidates...)
	for i, c := range visible {
		visible[i].Free = freeOf(c.Free, kept[c.Worker])
	}
	return visible
}

// start decides on a start and keeps the candidates in step.
func (r *round) start(d aqplacement.Demand, index int) bool {
	s := r.shard
	c := &r.candidates[index]
	workload, task := s.planned.Task(d.Task)
	run := aqplatform.RunID{Task: d.Task, Attempt: task.Attempt + 1}
	order := startOrder(run, workload.Spec, d.Size, task.Checkpoint)
	if !s.decide(aqshard.Started{
		Task:    run.Task,
		Attempt: run.Attempt,
		Worker:  c.Worker,
		Size:    d.Size,
	}) {
		return false
	}
	s.starts[run] = startNote{
		serial: s.workers[c.Worker].serial,
		at:     r.now,
		order:  order,
	}
	delete(s.earmarks, d.Task)
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
	s.noteNeighbours(c.Worker, r.now)
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
	switch kind := spec.(type) {
	case aqtype.Service:
		order.Endless = true
		order.Serves = string(kind.Key)
	case aqtype.Job:
		order.RunTime = kind.RunTime
	case aqtype.Watcher:
		order.Endless = true
	}
	return order
}

// enqueue puts a task in the line. The lock is held.
func (s *Shard) enqueue(id aqtype.TaskID, notBefore time.Time) {
	w, t := s.planned.Task(id)
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
