package aqdecider

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// plan places waiting tasks, the most pressing groups first. A group that finds
// no room does not keep later ones from what is left.
func (d *Decider) plan() {
	if len(d.waiting) == 0 {
		return
	}
	doubtful := d.hasUnreported()
	short := shortage{}
	ordered := d.rankedGroups()
	spare := d.spareFor(ordered)
	for _, g := range ordered {
		pending := g.pending(d.now, doubtful)
		if g.spec.Perpetual {
			pending = pending[:d.admitted(spare, g, len(pending))]
		}
		if len(pending) > 0 && !short.covers(g) {
			d.placeGroup(g, pending, short)
		}
		if !g.wants() {
			delete(d.waiting, g)
		}
	}
}

func (d *Decider) placeGroup(g *group, pending []*task, short shortage) {
	if g.spec.Gang {
		d.placeGang(g, pending)
		return
	}
	found := d.candidates(g, nil)
	for _, t := range pending {
		position := found.best(t)
		if position < 0 {
			short.note(t)
			return
		}
		d.start(t, found[position].worker, t.attempt+1)
		d.rescore(&found, position, g)
	}
}

// mostUrgent goes before every priority of a queue.
const mostUrgent = -1

// interrupted reports whether a task of the group has run before and does not.
func (g *group) interrupted() bool {
	for _, t := range g.tasks {
		if t.interrupted() {
			return true
		}
	}
	return false
}

func (t *task) interrupted() bool { return t.run == nil && !t.done && t.started }

// wants reports whether a task of the group has no run and needs one.
func (g *group) wants() bool {
	for _, t := range g.tasks {
		if !t.done && t.run == nil {
			return true
		}
	}
	return false
}

// pending lists the tasks that may be started now. With doubtful set, tasks
// whose earlier runs nobody has seen wait.
func (g *group) pending(now time.Time, doubtful bool) []*task {
	var tasks []*task
	for _, t := range g.tasks {
		if t.done || t.run != nil || now.Before(t.notBefore) || (doubtful && !t.reconciled) {
			continue
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// rank orders groups: what can still meet its objective, then what can be late,
// then the rest.
type rank struct {
	class    int
	priority int
	due      time.Time
}

// The classes of a rank. Beyond lateFactor times its objective a job is worth
// nothing to its submitter, and uses what is left over.
const (
	classOnTime = iota
	classLate
	classHopeless

	lateFactor = 3
)

func (d *Decider) rank(g *group) rank {
	j := g.occurrence.job
	allowed := time.Duration(j.queue.Stretch*float64(j.criticalPath)) + j.queue.Target
	due := g.occurrence.dueAt.Add(allowed)
	r := rank{class: classOnTime, priority: j.queue.Priority, due: due}
	if g.spec.Perpetual {
		r.due = g.readyAt.Add(j.queue.Target)
		if g.interrupted() {
			// A task that has served before is missed by its users.
			r.due = g.readyAt
			r.priority = mostUrgent
		}
		return r
	}
	switch {
	case d.now.After(g.occurrence.dueAt.Add(lateFactor * allowed)):
		r.class = classHopeless
	case d.now.After(due):
		r.class = classLate
	}
	return r
}

func (r rank) less(o rank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.priority != o.priority:
		return r.priority < o.priority
	}
	return r.due.Before(o.due)
}

func (d *Decider) rankedGroups() []*group {
	type ranked struct {
		group *group
		rank  rank
	}
	all := make([]ranked, 0, len(d.waiting))
	for g := range d.waiting {
		all = append(all, ranked{group: g, rank: d.rank(g)})
	}
	sort.Slice(all, func(i, k int) bool {
		if all[i].rank == all[k].rank {
			return all[i].group.before(all[k].group)
		}
		return all[i].rank.less(all[k].rank)
	})
	groups := make([]*group, len(all))
	for i, r := range all {
		groups[i] = r.group
	}
	return groups
}

// before makes the order of equal ranks the same in every run.
func (g *group) before(o *group) bool {
	if g.occurrence.job != o.occurrence.job {
		return g.occurrence.job.spec.ID < o.occurrence.job.spec.ID
	}
	if g.occurrence.number != o.occurrence.number {
		return g.occurrence.number < o.occurrence.number
	}
	return g.number < o.number
}

// Weights of a worker's score; the lowest score is taken.
const (
	// weightOffRack is above every load: work far from its data takes longer by
	// a constant factor.
	weightOffRack = 2.0
	// weightSuspected prefers sound workers for everything.
	weightSuspected = 4.0
	// weightAvoided keeps a task off workers on which it failed, while there are
	// others.
	weightAvoided = 8.0
)

// eligible reports whether a worker may take a task of a group now.
func (d *Decider) eligible(g *group, w *worker, promised aqtype.Resources) bool {
	return d.feasible(g, w, promised) && (!g.occurrence.job.queue.Advised || d.ticket(g, w) != "")
}

// feasible reports whether a worker could take a task of a group now, advice aside.
func (d *Decider) feasible(g *group, w *worker, promised aqtype.Resources) bool {
	j := g.occurrence.job
	if !w.present || !w.reachable || !w.enlisted || w.info.Draining || w.info.Service != j.queue.Service {
		return false
	}
	if len(w.strays) > 0 || d.now.Before(w.avoidUntil) || !w.health.usable(d.now, len(w.runs)) {
		return false
	}
	if !w.used.Add(promised).Add(g.spec.Reserved()).Fits(w.info.Capacity) {
		return false
	}
	if g.spec.Constraint != "" && !slices.Contains(w.info.Labels, g.spec.Constraint) {
		return false
	}
	return g.spec.AntiAffinity <= 0 || w.count(g)+promisedTasks(g, promised) < g.spec.AntiAffinity
}

// promisedTasks is how many of a group's tasks a promise is for.
func promisedTasks(g *group, promised aqtype.Resources) int {
	if size := g.spec.Reserved(); size.Memory > 0 {
		return int(promised.Memory / size.Memory)
	}
	return 0
}

// count returns how many of a group's tasks the worker runs.
func (w *worker) count(g *group) int {
	n := 0
	for _, r := range w.runs {
		if r.task.group == g {
			n++
		}
	}
	return n
}

func (d *Decider) score(g *group, w *worker, promised aqtype.Resources) float64 {
	capacity := w.info.Capacity
	used := w.used.Add(promised)
	var score float64
	switch {
	case g.spec.Filler:
		score = d.fillerScore(g, w)
	case g.spec.TailTarget > 0:
		score = d.servingScore(g, w)
	default:
		score = 1 - share(int64(used.MilliCPU), int64(capacity.MilliCPU))
	}
	if g.spec.Affinity != "" && string(w.rack) != g.spec.Affinity {
		score += weightOffRack
	}
	if w.health.suspected() {
		score += weightSuspected
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// start decides a start.
func (d *Decider) start(t *task, w *worker, attempt Attempt) {
	j := t.group.occurrence.job
	t.attempt = attempt
	r := &run{
		id:        RunID{Task: t.id(), Attempt: attempt},
		task:      t,
		worker:    w,
		state:     runStarting,
		size:      t.group.spec.Reserved(),
		orderedAt: d.now,
		pace:      fullPace,
		// A start that is given again must carry the same checkpoint.
		resumeFrom: t.checkpoint,
	}
	t.run = r
	t.reconciled = true
	t.started = true
	d.options.Metrics.Observe(aqmetric.TimeWait, d.now.Sub(t.group.readyAt))
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
	w.invalidateLoad()
	d.options.Log.Write(aqlog.RunPlaced, taskAttr(r.id.Task), workerAttr(w.info.ID),
		slog.Int("Attempt", int(attempt)), slog.Duration("Waited", d.now.Sub(t.group.readyAt)),
		slog.Int("Priority", j.queue.Priority), slog.Int64("UsedCPU", int64(w.used.MilliCPU)))
	d.addOrder(d.startOrder(r))
}

func (d *Decider) startOrder(r *run) Start {
	return Start{
		Worker:     r.worker.info.ID,
		Run:        r.id,
		Payload:    r.task.group.occurrence.job.spec.Payload,
		Checkpoint: r.resumeFrom,
		Ticket:     d.ticket(r.task.group, r.worker),
	}
}
