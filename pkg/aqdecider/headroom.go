package aqdecider

import (
	"math"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

const (
	// shortUseWindow is the time constant of the average use by short tasks.
	shortUseWindow = 5 * time.Second
	// shortUseMargin is the fraction of the average use that stays free beyond what
	// waiting short tasks need, because short tasks arrive in bursts.
	shortUseMargin = 0.5
)

// shortUse averages, for each service, what short tasks reserve or wait for. Short
// tasks are those that end and are not fillers.
type shortUse struct {
	average   map[aqjob.ServiceID]float64
	updatedAt time.Time
}

// spareCPU holds, by service, the processors that perpetual tasks may still reserve. A
// perpetual task holds its room for a long time, and the short tasks that could use the
// room meanwhile are worth more.
type spareCPU map[aqjob.ServiceID]aqtype.MilliCPU

// spareFor updates the averages and returns the free processors less what waiting
// short tasks need and a margin for those that are expected. Tasks that are larger than every
// worker do not count.
func (d *Decider) spareFor(waiting []*group) spareCPU {
	free := d.freeCPU()
	use := map[aqjob.ServiceID]float64{}
	largest := map[aqjob.ServiceID]aqtype.Resources{}
	for _, w := range d.fleet {
		service := w.info.Service
		use[service] += float64(w.currentLoad().shortReserved)
		largest[service] = largest[service].Max(w.info.Capacity)
	}
	for _, g := range waiting {
		service := g.occurrence.job.queue.Service
		if g.spec.Filler || g.spec.Perpetual || !g.spec.Reserved().Fits(largest[service]) {
			continue
		}
		needed := aqtype.MilliCPU(g.remaining) * g.spec.Size.MilliCPU
		free[service] -= needed
		use[service] += float64(needed)
	}
	d.shortUse.update(use, d.now)
	d.shortUse.leaveMargin(free)
	return free
}

// freeCPU returns the processors that the workers have free.
func (d *Decider) freeCPU() spareCPU {
	free := spareCPU{}
	for _, w := range d.fleet {
		if w.present && w.reachable && !w.info.Draining && d.zoneOpen(w) {
			free[w.info.Service] += max(0, w.info.Capacity.MilliCPU-w.used.MilliCPU)
		}
	}
	return free
}

// leaveMargin deducts a margin for the short tasks that are expected.
func (s *shortUse) leaveMargin(free spareCPU) {
	for service, average := range s.average {
		free[service] -= aqtype.MilliCPU(shortUseMargin * average)
	}
}

func (s *shortUse) update(use map[aqjob.ServiceID]float64, now time.Time) {
	if s.average == nil {
		s.average = map[aqjob.ServiceID]float64{}
	}
	alpha := 1 - math.Exp(-float64(now.Sub(s.updatedAt))/float64(shortUseWindow))
	s.updatedAt = now
	for service, amount := range use {
		s.average[service] += alpha * (amount - s.average[service])
	}
}

const (
	// holdBackTimeout is how long a perpetual task is held back while workers have room
	// for it.
	holdBackTimeout = 1500 * time.Millisecond
	// maxHoldBack is how long it is held back since a worker first had a place for it. Short
	// tasks that keep coming may leave one place only, or take the room again and again.
	maxHoldBack = 2500 * time.Millisecond
)

// enoughSlots is the number of free places from which a group's tasks count as
// having room.
const enoughSlots = 2

// admitted returns how many of a perpetual group's tasks may be placed now: as many
// as fit in the spare processors, but all of them after an interruption, once there has
// been room for longer than holdBackTimeout, or maxHoldBack after there was a place.
func (d *Decider) admitted(s spareCPU, g *group, wanted int) int {
	if wanted == 0 || g.interrupted() {
		return wanted
	}
	slots := d.slots(g)
	if slots < enoughSlots {
		g.roomSince = time.Time{}
	} else if g.roomSince.IsZero() {
		g.roomSince = d.now
	}
	if slots > 0 && g.placeSince.IsZero() {
		g.placeSince = d.now
	}
	n := s.take(g, wanted)
	if d.passed(g.roomSince, holdBackTimeout) || d.passed(g.placeSince, maxHoldBack) {
		return wanted
	}
	return n
}

// passed reports whether more than a time has passed since an instant, false if that is zero.
func (d *Decider) passed(since time.Time, span time.Duration) bool {
	return !since.IsZero() && d.now.Sub(since) > span
}

// slots counts the places for a group's tasks, up to enoughSlots.
func (d *Decider) slots(g *group) int {
	size := g.spec.Reserved()
	n := 0
	for _, w := range d.fleet {
		for used := w.used; n < enoughSlots && d.eligible(g, w, used.Sub(w.used)); used = used.Add(size) {
			n++
			if size.MilliCPU <= 0 {
				return enoughSlots
			}
		}
	}
	return n
}

// take returns how many of a perpetual group's tasks fit in the spare processors,
// and deducts them.
func (s spareCPU) take(g *group, wanted int) int {
	service := g.occurrence.job.queue.Service
	size := g.spec.Reserved().MilliCPU
	if size <= 0 {
		return wanted
	}
	n := min(wanted, int(max(0, s[service])/size))
	s[service] -= aqtype.MilliCPU(n) * size
	return n
}
