package aqscheduler

import (
	"time"

	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// makeRoom handles a task that fits on no worker: it throttles running tasks, offloads
// the task, or evicts the cheapest victims for it, in this order.
func (r *round) makeRoom(queued aqplacement.QueuedTask, d aqplacement.Demand) aqplacement.Verdict {
	s := r.shard
	if _, pending := s.nominations[d.Task]; pending {
		return r.keepQueued(d, reasonEvicting)
	}
	if index, ok := r.throttle(d); ok && r.start(d, index) {
		return aqplacement.Placed
	}
	if verdict := r.offload(queued, d, reasonNoRoom); verdict == aqplacement.Placed || r.now.Sub(queued.Since) < offerAfter {
		return verdict
	}
	allowed, bounded := r.evictable(d)
	eviction, ok := aqplacement.ChooseVictims(d, r.available(d.Task), bounded, allowed)
	if !ok || !s.budget.take(len(eviction.Victims), r.config.EvictionsPerMinute, r.now) {
		return r.keepQueued(d, reasonNoRoom)
	}
	for _, victim := range eviction.Victims {
		_, t := s.latestState.Task(victim)
		s.appendRecord(aqshard.Stopping{
			Task:    victim,
			Attempt: t.Attempt,
			Why:     aqshard.StopEvict,
		})
	}
	c := &r.candidates[eviction.Candidate]
	for i := range c.Residents {
		_, t := s.latestState.Task(c.Residents[i].Task)
		c.Residents[i].Stopping = t.State == aqshard.TaskStopping
	}
	s.nominations[d.Task] = nomination{
		worker: c.Worker,
		size:   d.Size,
		until:  r.now.Add(nominationTimeout),
	}
	return r.keepQueued(d, reasonEvicting)
}

// throttle makes room on one worker by taking processors from running tasks that the
// demand outranks.
func (r *round) throttle(d aqplacement.Demand) (int, bool) {
	throttle, ok := aqplacement.ChooseThrottle(d, r.available(d.Task))
	if !ok {
		return 0, false
	}
	r.resize(&r.candidates[throttle.Candidate], throttle.Resizes)
	return throttle.Candidate, true
}

// resize decides on new sizes of running tasks and updates the candidate.
func (r *round) resize(c *aqplacement.Candidate, resizes []aqplacement.Resize) {
	for _, change := range resizes {
		_, t := r.shard.latestState.Task(change.Task)
		before := t.Size
		if !r.shard.appendRecord(aqshard.Resized{
			Task:    change.Task,
			Attempt: t.Attempt,
			Size:    change.Size,
			Full:    change.Full,
		}) {
			continue
		}
		c.Free = c.Free.Add(before).Sub(change.Size)
		for i := range c.Residents {
			if c.Residents[i].Task == change.Task {
				c.Residents[i].Size = change.Size
				c.Residents[i].Full = change.Full
			}
		}
	}
}

// rightsize adjusts the reservations of running tasks to what was learned since they
// started.
func (r *round) rightsize() {
	for i := range r.candidates {
		r.resize(&r.candidates[i], aqplacement.Rightsize(r.candidates[i], func(resident aqplacement.Resident) aqtype.Resources {
			w, _ := r.shard.latestState.Task(resident.Task)
			return r.reservation(resident.Kind, w.Spec.Base().Size)
		}))
	}
}

// restore returns processors to throttled tasks. Plan calls it when no task is queued.
func (r *round) restore() {
	for i := range r.candidates {
		r.resize(&r.candidates[i], aqplacement.Restore(r.candidates[i]))
	}
}

// evictable returns how much batch work a latency-critical task may evict: what batch
// work reserves above its guaranteed share. It returns false for other tasks, which
// are not limited in this way.
func (r *round) evictable(d aqplacement.Demand) (aqtype.Resources, bool) {
	if !d.LatencyCritical {
		return aqtype.Resources{}, false
	}
	var total, batch aqtype.Resources
	for _, c := range r.candidates {
		total = total.Add(c.Capacity)
		for _, resident := range c.Residents {
			if !resident.LatencyCritical {
				batch = batch.Add(resident.Size)
			}
		}
	}
	floor := total.Percent(r.config.BatchFloorPercent)
	allowed := batch
	allowed.MilliCPU = max(0, batch.MilliCPU-floor.MilliCPU)
	return allowed, true
}

// evictionBudget is a token bucket of evictions.
type evictionBudget struct {
	tokens float64
	at     time.Time
}

// take takes n tokens and reports whether there were enough. The bucket is refilled
// with perMinute tokens a minute and holds no more than that.
func (b *evictionBudget) take(n, perMinute int, now time.Time) bool {
	full := float64(perMinute)
	if b.at.IsZero() {
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+full*now.Sub(b.at).Minutes())
	}
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
