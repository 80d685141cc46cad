package aqdecider

import (
	"math"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

const (
	// shortUseWindow is the time over which the use of short tasks is averaged.
	shortUseWindow = 5 * time.Second
	// shortUseMargin is the part of that use that is kept free beside it, because
	// short tasks come in bursts.
	shortUseMargin = 0.5
)

// shortUse follows what short tasks reserve on a service's workers: tasks that
// end and are no fillers.
type shortUse struct {
	average map[aqjob.ServiceID]float64
	updatedAt      time.Time
}

// spareCPU is what perpetual tasks may still reserve, by service. Each of them
// keeps its room for long, and is worth less for it than the short tasks that
// would pass through.
type spareCPU map[aqjob.ServiceID]aqtype.MilliCPU

// spareFor updates the averages and returns what is spare beside the short tasks
// that wait and those that are expected.
func (d *Decider) spareFor(waiting []*group) spareCPU {
	free := spareCPU{}
	use := map[aqjob.ServiceID]float64{}
	for _, w := range d.fleet {
		service := w.info.Service
		use[service] += float64(w.currentLoad().shortReserved)
		if w.present && w.reachable && !w.info.Draining {
			free[service] += max(0, w.info.Capacity.MilliCPU-w.used.MilliCPU)
		}
	}
	for _, g := range waiting {
		if g.spec.Filler || g.spec.Perpetual {
			continue
		}
		needed := aqtype.MilliCPU(g.remaining) * g.spec.Size.MilliCPU
		free[g.occurrence.job.queue.Service] -= needed
		use[g.occurrence.job.queue.Service] += float64(needed)
	}
	d.shortUse.update(use, d.now)
	for service, average := range d.shortUse.average {
		free[service] -= aqtype.MilliCPU(shortUseMargin * average)
	}
	return free
}

func (s *shortUse) update(use map[aqjob.ServiceID]float64, now time.Time) {
	if s.average == nil {
		s.average = map[aqjob.ServiceID]float64{}
	}
	part := 1 - math.Exp(-float64(now.Sub(s.updatedAt))/float64(shortUseWindow))
	s.updatedAt = now
	for service, amount := range use {
		s.average[service] += part * (amount - s.average[service])
	}
}

// holdBackTimeout is how long a perpetual task is held back while there is room for
// it.
const holdBackTimeout = 1500 * time.Millisecond

// enoughSlots is the number of free places for a task that count as room.
const enoughSlots = 2

// admitted returns how many of a perpetual group's tasks may be placed now:
// those that are spare, and all once there has been room for them for a while.
func (d *Decider) admitted(s spareCPU, g *group, wanted int) int {
	if wanted == 0 || g.interrupted() {
		return wanted
	}
	if d.slots(g) < enoughSlots {
		g.roomSince = time.Time{}
	} else if g.roomSince.IsZero() {
		g.roomSince = d.now
	}
	n := s.take(g, wanted)
	if !g.roomSince.IsZero() && d.now.Sub(g.roomSince) > holdBackTimeout {
		return wanted
	}
	return n
}

// slots counts the places for a group's tasks, up to ampleSlots.
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

// take returns how many of a perpetual group's tasks there is spare room for,
// and takes it.
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
