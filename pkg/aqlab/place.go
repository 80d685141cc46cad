package aqlab

import (
	"time"

	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqtype"
)

func (s *simulation) policy() aqplacement.Policy {
	switch s.arm {
	case ArmFirstFit:
		return aqplacement.FirstFit{}
	case ArmSpread:
		return aqplacement.Spread{}
	case ArmOracle:
		return aqplacement.LeastInterference{Model: s.interference}
	case ArmLearned:
	}
	return aqplacement.LeastInterference{Model: s.slowdowns}
}

// reservation returns the size that an arm reserves: the baselines use the declared
// size, the oracle the actual use, and the learned arm the estimate of the usage model.
func (s *simulation) reservation(t *task) aqtype.Resources {
	switch s.arm {
	case ArmFirstFit, ArmSpread:
		return t.taskType.declared
	case ArmOracle:
		return t.taskType.used
	case ArmLearned:
	}
	return s.usage.Reservation(t.taskType.kind, t.taskType.declared).Min(workerSize)
}

func (s *simulation) candidates() []aqplacement.Candidate {
	all := make([]aqplacement.Candidate, 0, s.site.Workers)
	for w := range s.site.Workers {
		c := aqplacement.Candidate{
			Worker:   s.workerID(w),
			Capacity: workerSize,
			Free:     workerSize,
		}
		for _, t := range s.running[w] {
			c.Free = c.Free.Sub(t.reserved)
			c.Residents = append(c.Residents, s.resident(t))
		}
		if !(aqtype.Resources{}).Fits(c.Free) {
			s.result.OverCommitted++
		}
		all = append(all, c)
	}
	return all
}

func (s *simulation) resident(t *task) aqplacement.Resident {
	return aqplacement.Resident{
		Task:            t.id,
		Kind:            t.taskType.kind,
		Urgency:         t.taskType.urgency,
		LatencyCritical: t.taskType.latencyCritical,
		Size:            t.reserved,
		Full:            t.unthrottled,
		Ran:             s.now.Sub(t.started),
		Evictions:       t.evictions,
	}
}

func (s *simulation) placeOne(t *task, candidates []aqplacement.Candidate) bool {
	d := aqplacement.Demand{
		Task:            t.id,
		Kind:            t.taskType.kind,
		Urgency:         t.taskType.urgency,
		LatencyCritical: t.taskType.latencyCritical,
		Size:            s.reservation(t),
	}
	index, ok := aqplacement.Choose(s.policy(), d, candidates)
	if !ok && t.taskType.latencyCritical && s.throttles() {
		index, ok = s.throttleFor(d, candidates)
	}
	if !ok && t.taskType.latencyCritical {
		index, ok = s.evictFor(d, candidates)
	}
	if !ok {
		return false
	}
	t.reserved = d.Size
	t.unthrottled = d.Size
	t.worker = index
	t.started = s.now
	s.running[index] = append(s.running[index], t)
	candidates[index].Free = candidates[index].Free.Sub(d.Size)
	candidates[index].Residents = append(candidates[index].Residents, s.resident(t))
	s.recordColocated(index)
	if t.taskType.latencyCritical && s.pastWarmUp() {
		_ = s.waits.RecordValue(max(1, int64(s.now.Sub(t.queuedAt)/time.Microsecond)))
	}
	return true
}

// throttles reports whether the arm throttles before it evicts. The baselines do not.
func (s *simulation) throttles() bool { return s.arm == ArmLearned || s.arm == ArmOracle }

func (s *simulation) throttleFor(d aqplacement.Demand, candidates []aqplacement.Candidate) (int, bool) {
	throttle, ok := aqplacement.ChooseThrottle(d, candidates)
	if !ok {
		return 0, false
	}
	s.resize(throttle.Candidate, &candidates[throttle.Candidate], throttle.Resizes)
	return throttle.Candidate, true
}

// unthrottle returns free processors to throttled tasks.
func (s *simulation) unthrottle(candidates []aqplacement.Candidate) {
	for w := range candidates {
		s.resize(w, &candidates[w], aqplacement.Restore(candidates[w]))
	}
}

func (s *simulation) resize(w int, c *aqplacement.Candidate, resizes []aqplacement.Resize) {
	for _, r := range resizes {
		for i, t := range s.running[w] {
			if t.id != r.Task {
				continue
			}
			c.Free = c.Free.Add(t.reserved).Sub(r.Size)
			t.reserved = r.Size
			t.unthrottled = r.Full
			c.Residents[i].Size = r.Size
			c.Residents[i].Full = r.Full
		}
	}
}

// rightsize adjusts the reservations of running tasks to the current estimates. Only
// the learned arm does this.
func (s *simulation) rightsize(candidates []aqplacement.Candidate) {
	if s.arm != ArmLearned {
		return
	}
	declared := map[aqtype.TaskKind]aqtype.Resources{}
	for _, k := range s.types {
		declared[k.kind] = k.declared
	}
	for w := range candidates {
		s.resize(w, &candidates[w], aqplacement.Rightsize(candidates[w], func(r aqplacement.Resident) aqtype.Resources {
			return s.usage.Reservation(r.Kind, declared[r.Kind]).Min(workerSize)
		}))
	}
}

// evictFor evicts the cheapest victims and returns their worker. They resume from a
// checkpoint, and each eviction adds evictionCost to their work.
func (s *simulation) evictFor(d aqplacement.Demand, candidates []aqplacement.Candidate) (int, bool) {
	e, ok := aqplacement.ChooseVictims(d, candidates, false, aqtype.Resources{})
	if !ok {
		return 0, false
	}
	c := &candidates[e.Candidate]
	for _, victim := range e.Victims {
		s.evict(e.Candidate, victim)
		for i, r := range c.Residents {
			if r.Task == victim {
				c.Free = c.Free.Add(r.Size)
				c.Residents = append(c.Residents[:i:i], c.Residents[i+1:]...)
				break
			}
		}
	}
	return e.Candidate, true
}

// evictionCost is the run time that one eviction costs, for writing the checkpoint and
// restarting from it.
const evictionCost = time.Minute

func (s *simulation) evict(w int, id aqtype.TaskID) {
	for i, t := range s.running[w] {
		if t.id != id {
			continue
		}
		s.running[w] = append(s.running[w][:i:i], s.running[w][i+1:]...)
		t.evictions++
		t.remaining += evictionCost
		s.requeued = append(s.requeued, t)
		if s.pastWarmUp() {
			s.result.Evictions++
			s.result.LostWork += evictionCost
		}
		return
	}
}

func (s *simulation) takeRequeued() []*task {
	evicted := s.requeued
	s.requeued = nil
	return evicted
}
