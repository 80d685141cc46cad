package aqlab

import (
	"time"

	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqtype"
)

func (l *lab) policy() aqplacement.Policy {
	switch l.arm {
	case ArmFirstFit:
		return aqplacement.FirstFit{}
	case ArmSpread:
		return aqplacement.Spread{}
	case ArmOracle:
		return aqplacement.LeastInterference{Model: l.truth}
	case ArmLearned:
	}
	return aqplacement.LeastInterference{Model: l.pairs}
}

// reservation is what an arm reserves: the baselines believe the declaration,
// the oracle knows the use, and the learned arm asks the size model.
func (l *lab) reservation(t *task) aqtype.Resources {
	switch l.arm {
	case ArmFirstFit, ArmSpread:
		return t.kind.declared
	case ArmOracle:
		return t.kind.used
	case ArmLearned:
	}
	return l.sizes.Reservation(t.kind.kind, t.kind.declared).Min(workerSize)
}

func (l *lab) candidates() []aqplacement.Candidate {
	all := make([]aqplacement.Candidate, 0, l.site.Workers)
	for w := range l.site.Workers {
		c := aqplacement.Candidate{
			Worker:   l.workerID(w),
			Capacity: workerSize,
			Free:     workerSize,
		}
		for _, t := range l.running[w] {
			c.Free = c.Free.Sub(t.reserved)
			c.Residents = append(c.Residents, l.resident(t))
		}
		if !(aqtype.Resources{}).Fits(c.Free) {
			l.result.OverCommitted++
		}
		all = append(all, c)
	}
	return all
}

func (l *lab) resident(t *task) aqplacement.Resident {
	return aqplacement.Resident{
		Task:            t.id,
		Kind:            t.kind.kind,
		Urgency:         t.kind.urgency,
		LatencyCritical: t.kind.latencyCritical,
		Size:            t.reserved,
		Full:            t.full,
		Ran:             l.now.Sub(t.begun),
		Evictions:       t.evictions,
	}
}

func (l *lab) placeOne(t *task, candidates []aqplacement.Candidate) bool {
	d := aqplacement.Demand{
		Task:            t.id,
		Kind:            t.kind.kind,
		Urgency:         t.kind.urgency,
		LatencyCritical: t.kind.latencyCritical,
		Size:            l.reservation(t),
	}
	index, ok := aqplacement.Choose(l.policy(), d, candidates)
	if !ok && t.kind.latencyCritical && l.throttles() {
		index, ok = l.throttleFor(d, candidates)
	}
	if !ok && t.kind.latencyCritical {
		index, ok = l.evictFor(d, candidates)
	}
	if !ok {
		return false
	}
	t.reserved = d.Size
	t.full = d.Size
	t.worker = index
	t.begun = l.now
	l.running[index] = append(l.running[index], t)
	candidates[index].Free = candidates[index].Free.Sub(d.Size)
	candidates[index].Residents = append(candidates[index].Residents, l.resident(t))
	l.noteNeighbours(index)
	if t.kind.latencyCritical && l.measured() {
		_ = l.waits.RecordValue(max(1, int64(l.now.Sub(t.since)/time.Microsecond)))
	}
	return true
}

// throttles reports whether an arm throttles before it evicts; the baselines do
// not.
func (l *lab) throttles() bool { return l.arm == ArmLearned || l.arm == ArmOracle }

func (l *lab) throttleFor(d aqplacement.Demand, candidates []aqplacement.Candidate) (int, bool) {
	throttle, ok := aqplacement.ChooseThrottle(d, candidates)
	if !ok {
		return 0, false
	}
	l.resize(throttle.Candidate, &candidates[throttle.Candidate], throttle.Resizes)
	return throttle.Candidate, true
}

// restore gives free processors back to throttled tasks.
func (l *lab) restore(candidates []aqplacement.Candidate) {
	for w := range candidates {
		l.resize(w, &candidates[w], aqplacement.Restore(candidates[w]))
	}
}

func (l *lab) resize(w int, c *aqplacement.Candidate, resizes []aqplacement.Resize) {
	for _, r := range resizes {
		for i, t := range l.running[w] {
			if t.id != r.Task {
				continue
			}
			c.Free = c.Free.Add(t.reserved).Sub(r.Size)
			t.reserved = r.Size
			t.full = r.Full
			c.Residents[i].Size = r.Size
			c.Residents[i].Full = r.Full
		}
	}
}

// rightsize brings running reservations to what the learned arm knows by now.
func (l *lab) rightsize(candidates []aqplacement.Candidate) {
	if l.arm != ArmLearned {
		return
	}
	declared := map[aqtype.TaskKind]aqtype.Resources{}
	for _, k := range l.types {
		declared[k.kind] = k.declared
	}
	for w := range candidates {
		l.resize(w, &candidates[w], aqplacement.Rightsize(candidates[w], func(r aqplacement.Resident) aqtype.Resources {
			return l.sizes.Reservation(r.Kind, declared[r.Kind]).Min(workerSize)
		}))
	}
}

// evictFor stops the cheapest victims. They resume from a checkpoint, so what is
// lost is the time since the last one.
func (l *lab) evictFor(d aqplacement.Demand, candidates []aqplacement.Candidate) (int, bool) {
	e, ok := aqplacement.ChooseVictims(d, candidates, false, aqtype.Resources{})
	if !ok {
		return 0, false
	}
	c := &candidates[e.Candidate]
	for _, victim := range e.Victims {
		l.evict(e.Candidate, victim)
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

// checkpointCost is the work that one eviction costs: saving, and starting
// again.
const checkpointCost = time.Minute

func (l *lab) evict(w int, id aqtype.TaskID) {
	for i, t := range l.running[w] {
		if t.id != id {
			continue
		}
		l.running[w] = append(l.running[w][:i:i], l.running[w][i+1:]...)
		t.evictions++
		t.left += checkpointCost
		l.requeued = append(l.requeued, t)
		if l.measured() {
			l.result.Evictions++
			l.result.LostWork += checkpointCost
		}
		return
	}
}

func (l *lab) evictedNow() []*task {
	evicted := l.requeued
	l.requeued = nil
	return evicted
}
