package aqdecider

import (
	"cmp"
	"slices"

	"acaciaquay/internal/site/aqbacklog"
	"acaciaquay/internal/site/aqurgency"
	"acaciaquay/pkg/aqjob"
)

// Backlog estimates how long submissions wait at least, by what waits for workers now.
func (d *Decider) Backlog() aqbacklog.Estimate {
	e := aqbacklog.Estimate{Known: true}
	if len(d.waiting) == 0 {
		return e
	}
	for queue, typical := range d.durations.Typical() {
		e.Typical = append(e.Typical, aqbacklog.QueueTime{
			Queue: queue,
			Time:  typical,
		})
	}
	slices.SortFunc(e.Typical, func(a, b aqbacklog.QueueTime) int { return cmp.Compare(a.Queue, b.Queue) })
	e.Waits = aqbacklog.Waits(d.workAhead(), d.capacities())
	return e
}

// workAhead returns what waits for workers and ends.
func (d *Decider) workAhead() []aqbacklog.Ahead {
	byLane := map[aqbacklog.Lane]aqbacklog.Ahead{}
	for g := range d.waiting {
		if g.spec.Perpetual {
			continue
		}
		lane := aqbacklog.Lane{
			Service:  g.occurrence.job.queue.Service,
			Filler:   g.spec.Filler,
			Priority: g.occurrence.job.queue.Priority,
		}
		_, tasks := g.counts()
		expected := d.durations.Expect(g.occurrence.job.queue.ID, g.spec.Estimate)
		work := aqbacklog.CoreSeconds(float64(tasks) * float64(g.spec.Size.MilliCPU) / 1000 * expected.Seconds())
		ahead := byLane[lane]
		ahead.Lane = lane
		switch d.rank(g).Standing() {
		case aqurgency.OnTime:
			ahead.OnTime += work
		case aqurgency.Late:
			ahead.Late += work
		case aqurgency.Hopeless:
		}
		byLane[lane] = ahead
	}
	lanes := make([]aqbacklog.Ahead, 0, len(byLane))
	for _, ahead := range byLane {
		lanes = append(lanes, ahead)
	}
	return lanes
}

// capacities returns the processors of the listed workers, whether they answer now or not: without what lasting
// tasks reserve that need not give way, and for fillers what they are expected to leave.
func (d *Decider) capacities() []aqbacklog.Capacity {
	cores := map[aqjob.ServiceID]*[2]float64{}
	for _, w := range d.fleet {
		if !w.present {
			continue
		}
		service := cores[w.info.Service]
		if service == nil {
			service = &[2]float64{}
			cores[w.info.Service] = service
		}
		lasting := 0.0
		for _, r := range w.runs {
			if spec := r.task.group.spec; spec.Perpetual {
				mayMiss := float64(max(1, spec.DisruptionBudget)) / float64(spec.Count)
				lasting += float64(spec.Reserved().MilliCPU) * max(0, 1-mayMiss)
			}
		}
		service[0] += max(0, float64(w.info.Capacity.MilliCPU)-lasting) / 1000
		service[1] += max(0, float64(w.info.Capacity.MilliCPU)-servingLoad*lasting) / 1000
	}
	var capacities []aqbacklog.Capacity
	for service, amounts := range cores {
		for i, amount := range amounts {
			capacities = append(capacities, aqbacklog.Capacity{
				Service: service,
				Filler:  i == 1,
				Cores:   amount,
			})
		}
	}
	slices.SortFunc(capacities, func(a, b aqbacklog.Capacity) int { return cmp.Compare(a.Service, b.Service) })
	return capacities
}

// Room tells for which jobs there is memory besides those that take more bytes elsewhere.
func (d *Decider) Room(more int) aqbacklog.Room {
	return aqbacklog.RoomIn(d.jobBytes+more, d.options.Limits.JobBytes)
}
