package aqdecider

import (
	"log/slog"
	"slices"
	"strings"

	"acaciaquay/internal/site/aqurgency"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// Limits of what one round of decisions does to make room.
const (
	// maxRoomLooks limits the workers that are looked at.
	maxRoomLooks = 4400
	// maxRoomStops limits the runs that are stopped.
	maxRoomStops = 64
)

// roomSearch is the search of one round for runs that give way.
type roomSearch struct {
	// coming are the workers with runs that are being stopped.
	coming []*worker
	// claimed is what tasks of this round will take of the room that comes free.
	claimed map[*worker]aqtype.Resources
	// none holds the sizes for which no runs can give way.
	none  shortage
	looks int
	stops int
}

// makeRoom stops runs for the groups that found no room, by their rank. What stops in progress will free counts
// as theirs, so that no round stops runs for the same tasks again.
func (d *Decider) makeRoom(ranked []*group, unreported bool) {
	s := roomSearch{
		claimed: map[*worker]aqtype.Resources{},
		none:    shortage{},
	}
	started := false
	for _, g := range ranked {
		if s.looks >= maxRoomLooks || s.stops >= maxRoomStops {
			return
		}
		if !d.mayDisplace(g) || s.none.covers(g) {
			continue
		}
		if !started {
			started = true
			s.coming = d.stoppingWorkers()
		}
		d.makeRoomFor(&s, g, g.pending(d.now, unreported))
	}
}

// stoppingWorkers returns the workers with runs that are being stopped.
func (d *Decider) stoppingWorkers() []*worker {
	var found []*worker
	for _, w := range d.fleet {
		for _, r := range w.runs {
			if r.state == runStopping {
				found = append(found, w)
				break
			}
		}
	}
	return found
}

// runList returns the runs in no order.
func (w *worker) runList() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	return list
}

// mayDisplace reports whether runs may be stopped for the group.
func (d *Decider) mayDisplace(g *group) bool {
	if g.spec.Perpetual || g.spec.Filler || g.spec.Gang || !g.hasUnplaced() || g.suspectWaits() || g.waitsOnRack() ||
		g.occurrence.job.state.Final() {
		return false
	}
	return aqurgency.Pays(aqurgency.Waits{
		Since:    d.now.Sub(g.readyAt),
		Standing: d.rank(g).Standing(),
	}, d.options.Limits.StopGrace)
}

// offer is a worker with runs that may give way.
type offer struct {
	worker *worker
	// loss is what the stops would cost when the offer was made.
	loss aqurgency.CoreSeconds
}

func (d *Decider) makeRoomFor(s *roomSearch, g *group, pending []*task) {
	var offers []offer
	searched := false
	for _, t := range pending {
		if d.claimComing(s, g) {
			continue
		}
		if !searched {
			searched = true
			offers = d.offers(s, g)
		}
		if !d.takeOffer(s, g, &offers) {
			s.none.record(t)
			return
		}
	}
}

// claimComing claims room for a task of the group that stops in progress will free.
func (d *Decider) claimComing(s *roomSearch, g *group) bool {
	for _, w := range s.coming {
		if d.missing(s, g, w).Fits(aqtype.Resources{}) && d.couldTake(g, w) {
			s.claimed[w] = s.claimed[w].Add(g.spec.Reserved())
			return true
		}
	}
	return false
}

// missing returns what a worker lacks for a task of the group once its stops have ended.
func (d *Decider) missing(s *roomSearch, g *group, w *worker) aqtype.Resources {
	return w.usedAfterStops().Add(s.claimed[w]).Add(g.spec.Reserved()).Sub(w.info.Capacity)
}

// couldTake reports whether a worker with room may get a task of the group.
func (d *Decider) couldTake(g *group, w *worker) bool {
	return !w.heldForTrial() && d.suitsButForRoom(g, w, aqtype.Resources{}) &&
		(!g.occurrence.job.queue.Advised || d.ticket(g, w) != "")
}

// offers lists the workers with runs that may give way to a task of the group, the least loss first.
func (d *Decider) offers(s *roomSearch, g *group) []offer {
	s.looks += len(d.fleet)
	var found []offer
	for _, w := range d.fleet {
		if !d.couldTake(g, w) {
			continue
		}
		if _, loss, ok := d.victims(s, g, w); ok {
			found = append(found, offer{
				worker: w,
				loss:   loss,
			})
		}
	}
	slices.SortStableFunc(found, func(a, b offer) int {
		switch {
		case a.loss < b.loss:
			return -1
		case a.loss > b.loss:
			return 1
		}
		return 0
	})
	return found
}

// takeOffer stops the runs of the best offer that still holds.
func (d *Decider) takeOffer(s *roomSearch, g *group, offers *[]offer) bool {
	for len(*offers) > 0 {
		w := (*offers)[0].worker
		*offers = (*offers)[1:]
		runs, loss, ok := d.victims(s, g, w)
		if !ok {
			continue
		}
		d.options.Log.Write(aqlog.RoomMade, slog.String("Group", g.key().String()), workerAttr(w.info.ID),
			slog.Int("Runs", len(runs)), slog.Float64("CoreSeconds", float64(loss)),
			slog.Duration("Waited", d.now.Sub(g.readyAt)), slog.Int("Priority", g.occurrence.job.queue.Priority))
		d.options.Metrics.Add(aqmetric.WorkGivenUp, int(loss*1000))
		for _, r := range runs {
			r.task.gaveWay = true
			r.task.gaveWayAt = d.now
			d.options.Metrics.Retried(aqmetric.RetryGaveWay)
			d.stop(r, "gives way to more urgent tasks")
		}
		s.stops += len(runs)
		s.claimed[w] = s.claimed[w].Add(g.spec.Reserved())
		s.coming = append(s.coming, w)
		return true
	}
	return false
}

// victims returns the runs of a worker to stop for a task of the group.
func (d *Decider) victims(s *roomSearch, g *group, w *worker) ([]*run, aqurgency.CoreSeconds, bool) {
	runs := slices.DeleteFunc(w.runList(), func(r *run) bool { return !d.mayGiveWay(r, g) })
	slices.SortFunc(runs, func(a, b *run) int { return strings.Compare(a.id.Task.String(), b.id.Task.String()) })
	runs = withinBudgets(runs)
	offered := make([]aqurgency.Run, 0, len(runs))
	for _, r := range runs {
		offered = append(offered, aqurgency.Run{
			Reserved: r.size,
			Loss:     aqurgency.Loss(r.task.group.spec.Size, d.holding(r)),
		})
	}
	chosen, loss, ok := aqurgency.Choose(d.missing(s, g, w), offered)
	if !ok || len(chosen) == 0 {
		return nil, 0, false
	}
	stops := make([]*run, 0, len(chosen))
	for _, i := range chosen {
		stops = append(stops, runs[i])
	}
	return stops, loss, true
}

// withinBudgets leaves out runs of lasting groups beyond the number that each may miss. Tasks on workers that do
// not answer may be away.
func withinBudgets(runs []*run) []*run {
	taken := map[*group]int{}
	return slices.DeleteFunc(runs, func(r *run) bool {
		g := r.task.group
		if !g.spec.Perpetual {
			return false
		}
		taken[g]++
		return taken[g] > g.disruptions()-g.unheard()
	})
}

// unheard counts the tasks of a group that run on workers which do not answer.
func (g *group) unheard() int {
	n := 0
	for _, t := range g.tasks {
		if t.run != nil && t.run.state == runRunning && !t.run.worker.reachable {
			n++
		}
	}
	return n
}

// mayGiveWay reports whether a run may be stopped for a group: a lasting one at work of a queue that is no more
// urgent, or one of a less urgent queue that resumes or fills. A gang would have to give way as a whole.
func (d *Decider) mayGiveWay(r *run, to *group) bool {
	g := r.task.group
	if r.state != runRunning || g.spec.Gang || r.tried || r.task.history.Suspected() ||
		!aqurgency.MayStop(r.task.gaveWayAt, d.now) {
		return false
	}
	priority, urgent := g.occurrence.job.queue.Priority, to.occurrence.job.queue.Priority
	if g.spec.Perpetual {
		return priority >= urgent && r.report.Percent >= readyPercent
	}
	return priority > urgent && (g.spec.Filler || g.spec.Checkpointing)
}

// holding returns what a stop of the run costs.
func (d *Decider) holding(r *run) aqurgency.Holding {
	switch spec := r.task.group.spec; {
	case spec.Perpetual:
		return aqurgency.Serving{Alone: r.aloneOfItsImage()}
	case spec.Checkpointing:
		return aqurgency.Resuming{}
	}
	return aqurgency.Repeating{Done: d.now.Sub(r.orderedAt)}
}

// aloneOfItsImage reports whether the run serves beside other images only.
func (r *run) aloneOfItsImage() bool {
	others := false
	for _, o := range r.worker.runs {
		if o == r || o.task.group.spec.TailTarget <= 0 {
			continue
		}
		if o.task.group.image == r.task.group.image {
			return false
		}
		others = true
	}
	return others && r.task.group.spec.TailTarget > 0
}

// returnDue returns those of a lasting group's tasks that need not stay away any longer.
func (d *Decider) returnDue(pending []*task) []*task {
	return slices.DeleteFunc(pending, func(t *task) bool {
		return t.gaveWay && d.now.Sub(t.gaveWayAt) < aqurgency.ReturnAfter
	})
}
