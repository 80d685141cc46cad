package aqdecider

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

const (
	// leavePeriod is the interval between two looks at what runs in evacuated zones.
	leavePeriod = 200 * time.Millisecond
	// movePatience is how long after its evacuation perpetual tasks leave a zone only for processors that short tasks do not need.
	movePatience = 10 * time.Second
)

// SetZones applies the present conditions of the zones, nil if nobody evacuates zones. A zone that is missing is
// not verified.
func (d *Decider) SetZones(conditions map[aqtype.Zone]aqevacuation.Condition) {
	before := d.zones
	d.zones = conditions
	for zone := range d.evacuatedAt {
		if conditions[zone] != aqevacuation.Evacuated {
			delete(d.evacuatedAt, zone)
			delete(d.emptied, zone)
		}
	}
	reopened := false
	for _, zone := range slices.Sorted(maps.Keys(conditions)) {
		was, known := before[zone]
		condition := conditions[zone]
		if known && was == condition {
			continue
		}
		workers, runs := d.countZone(zone)
		var event aqlog.Event
		switch {
		case condition == aqevacuation.Evacuated:
			event = aqlog.ZoneEvacuated
			d.evacuatedAt[zone] = d.now
		case condition == aqevacuation.Unverified:
			event = aqlog.ZoneUnverified
		case condition == aqevacuation.Open && known:
			event = aqlog.ZoneReopened
			reopened = true
		default:
			continue
		}
		d.options.Log.Write(event, slog.String("Zone", string(zone)), slog.Int("Workers", workers), slog.Int("Runs", runs))
	}
	if reopened {
		clear(d.fillerShortages)
		d.resumeSearches()
	}
}

// countZone counts the listed workers of a zone and what they run.
func (d *Decider) countZone(zone aqtype.Zone) (workers, runs int) {
	for _, w := range d.fleet {
		if w.info.Zone == zone && w.present {
			workers++
			runs += len(w.runs)
		}
	}
	return workers, runs
}

// Zones lists the zones of all workers, without order.
func (d *Decider) Zones() []aqtype.Zone {
	return d.zonesOf(func(*worker) bool { return true })
}

// ReportedZones lists the zones of the workers that have reported, without order. The entries of others may be another writer's.
func (d *Decider) ReportedZones() []aqtype.Zone {
	return d.zonesOf(func(w *worker) bool { return w.reported != 0 })
}

func (d *Decider) zonesOf(counts func(*worker) bool) []aqtype.Zone {
	var zones []aqtype.Zone
	for _, w := range d.fleet {
		if counts(w) && !slices.Contains(zones, w.info.Zone) {
			zones = append(zones, w.info.Zone)
		}
	}
	return zones
}

// zoneOpen reports whether runs may be started in the zone of a worker.
func (d *Decider) zoneOpen(w *worker) bool {
	return d.zones == nil || d.zones[w.info.Zone] == aqevacuation.Open
}

func (d *Decider) zoneEvacuated(w *worker) bool {
	return d.zones[w.info.Zone] == aqevacuation.Evacuated
}

// zoneConditionNames are the conditions of workers for the operators' view.
var zoneConditionNames = map[aqevacuation.Condition]string{
	aqevacuation.Unverified: "ZoneUnverified",
	aqevacuation.Evacuated:  "ZoneEvacuated",
	aqevacuation.Reopening:  "ZoneReopening",
}

// leaveZones stops what leaves the evacuated zones now.
func (d *Decider) leaveZones() {
	if len(d.evacuatedAt) == 0 || d.now.Before(d.leaveAt) {
		return
	}
	d.leaveAt = d.now.Add(leavePeriod)
	c := d.newClearance()
	running := map[aqtype.Zone]bool{}
	from := d.leaveFrom
	d.leaveFrom = 0
	for i := range d.fleet {
		position := (from + i) % len(d.fleet)
		w := d.fleet[position]
		if !d.zoneEvacuated(w) {
			continue
		}
		running[w.info.Zone] = running[w.info.Zone] || len(w.runs) > 0
		switch {
		case !w.reachable, w.info.Draining:
		case d.workersSearched < maxWorkersSearched:
			c.judgeAll(w)
		case d.leaveFrom == 0:
			// The next look begins with the first worker that this one has not reached.
			d.leaveFrom = position
		}
	}
	for zone, since := range d.evacuatedAt {
		if !running[zone] && !d.emptied[zone] {
			d.options.Log.Write(aqlog.ZoneEmpty, slog.String("Zone", string(zone)), slog.Duration("Took", d.now.Sub(since)))
		}
		d.emptied[zone] = !running[zone]
	}
}

// runsInOrder returns the runs in the order of their tasks, so that decisions are deterministic.
func (w *worker) runsInOrder() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return strings.Compare(a.id.Task.String(), b.id.Task.String()) })
	return runs
}

// clearance is one look at what runs in the evacuated zones.
type clearance struct {
	d *Decider
	// spare holds the processors that perpetual tasks may take without displacing short ones, less those of the
	// tasks that are on their way or wait.
	spare spareCPU
	// taken holds the room that tasks on their way are expected to take.
	taken map[*worker]aqtype.Resources
	// open holds the services with workers in open zones.
	open map[aqjob.ServiceID]bool
}

func (d *Decider) newClearance() *clearance {
	c := &clearance{
		d:     d,
		taken: map[*worker]aqtype.Resources{},
		open:  map[aqjob.ServiceID]bool{},
	}
	groups := d.rankedGroups()
	c.spare = d.spareFor(groups)
	for _, w := range d.fleet {
		if w.present && w.reachable && !w.info.Draining && d.zoneOpen(w) {
			c.open[w.info.Service] = true
		}
	}
	for t, to := range d.leaving {
		if !t.leaving() {
			delete(d.leaving, t)
			continue
		}
		c.reserve(t.group, to)
	}
	for _, g := range groups {
		if g.spec.Perpetual {
			_, waiting := g.counts()
			c.spare.take(g, waiting)
		}
	}
	return c
}

// leaving reports whether the task is on its way out of an evacuated zone: its run is being stopped, or it waits for the next one.
func (t *task) leaving() bool {
	if t.done || t.group.occurrence.job.state.Final() {
		return false
	}
	return t.run == nil || t.run.state == runStopping
}

// reserve takes the room of one of the group's tasks on a worker.
func (c *clearance) reserve(g *group, to *worker) {
	c.taken[to] = c.taken[to].Add(g.spec.Reserved())
	c.spare.take(g, 1)
}

// judgeAll stops the runs of a worker that leave its zone now.
func (c *clearance) judgeAll(w *worker) {
	for _, r := range w.runsInOrder() {
		if r.state != runRunning {
			continue
		}
		if verdict, places := c.judge(r); verdict == aqevacuation.Leaves {
			c.leave(r, places)
		}
	}
}

// judge decides whether a run leaves its zone now, and where there is room for its task, or for all members of its gang.
func (c *clearance) judge(r *run) (aqevacuation.Verdict, []*worker) {
	kind, places := c.describe(r)
	return aqevacuation.Judge(kind, c.open[r.task.group.occurrence.job.queue.Service], len(c.d.leaving)), places
}

// describe describes a run for its judgement.
func (c *clearance) describe(r *run) (aqevacuation.Run, []*worker) {
	g := r.task.group
	switch {
	case g.spec.Perpetual:
		kind := aqevacuation.Perpetual{
			Disruptable: g.canDisrupt(),
			Members:     1,
		}
		if g.spec.Gang {
			kind.Members = len(g.tasks)
		}
		if !kind.Disruptable {
			return kind, nil
		}
		places := c.places(r, kind.Members)
		kind.Places = len(places)
		return kind, places
	case g.spec.Filler:
		return aqevacuation.Filler{
			Checkpointing: g.spec.Checkpointing,
			Slowed:        r.slowForLong(c.d.now),
			Rested:        r.task.movedAt.IsZero() || c.d.now.Sub(r.task.movedAt) >= moveInterval,
		}, nil
	}
	return aqevacuation.Finite{}, nil
}

// places returns workers for up to a number of the tasks of a run's group, beside the moves on their way.
func (c *clearance) places(r *run, number int) []*worker {
	d, g := c.d, r.task.group
	size := g.spec.Reserved()
	patient := d.now.Sub(d.evacuatedAt[r.worker.info.Zone]) < movePatience
	if patient && c.spare[g.occurrence.job.queue.Service] < aqtype.MilliCPU(number)*size.MilliCPU {
		return nil
	}
	taken := maps.Clone(c.taken)
	var found []*worker
	for range number {
		if d.workersSearched >= maxWorkersSearched {
			break
		}
		d.workersSearched += len(d.fleet)
		w := d.choose(r.task, taken)
		if w == nil {
			break
		}
		found = append(found, w)
		taken[w] = taken[w].Add(size)
	}
	return found
}

// leave stops a run, and with it the other members of its gang, so that the tasks are placed in open zones. places has room for
// perpetual ones.
func (c *clearance) leave(r *run, places []*worker) {
	g := r.task.group
	leaving := []*run{r}
	if g.spec.Gang {
		leaving = leaving[:0]
		for _, t := range g.tasks {
			if t.run != nil && t.run.state != runStopping {
				leaving = append(leaving, t.run)
			}
		}
	}
	for i, each := range leaving {
		c.d.stop(each, "its zone is evacuated")
		each.moved = g.spec.Filler
		g.noteMove(each.task, c.d.now)
		c.d.options.Metrics.Inc(aqmetric.ZoneMoves)
		if i < len(places) {
			c.d.leaving[each.task] = places[i]
			c.reserve(g, places[i])
		}
	}
}

// EvacuationView describes to an operator what is left of one group in an evacuated zone, and why.
type EvacuationView struct {
	Zone aqtype.Zone
	// Since is how long the leader has known of the evacuation.
	Since time.Duration
	// Group is empty for a zone in which nothing runs.
	Group string
	Runs  int
	Why   string
}

// ViewEvacuations returns what is left in the evacuated zones, by zone and group.
func (d *Decider) ViewEvacuations() []EvacuationView {
	// The last round of decisions may have searched as much as it may.
	d.workersSearched = 0
	c := d.newClearance()
	found := map[EvacuationView]int{}
	for zone, since := range d.evacuatedAt {
		view := EvacuationView{
			Zone:  zone,
			Since: d.now.Sub(since),
		}
		empty := true
		for _, w := range d.fleet {
			if w.info.Zone != zone {
				continue
			}
			for _, r := range w.runsInOrder() {
				empty = false
				view.Group, view.Why = r.task.group.key().String(), d.whyInZone(c, r)
				found[view]++
			}
		}
		if empty {
			view.Why = "it is empty"
			found[view] = 0
		}
	}
	views := make([]EvacuationView, 0, len(found))
	for view, runs := range found {
		view.Runs = runs
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b EvacuationView) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Why, b.Why))
	})
	return views
}

// whyInZone returns why a run is still in its evacuated zone.
func (d *Decider) whyInZone(c *clearance, r *run) string {
	switch {
	case !r.worker.reachable:
		return "its worker does not answer"
	case r.state == runStopping:
		return "it is being stopped"
	case r.state == runStarting:
		return "it is starting"
	}
	verdict, _ := c.judge(r)
	return verdict.String()
}
