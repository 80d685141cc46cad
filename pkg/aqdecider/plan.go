package aqdecider

import (
	"log/slog"
	"slices"
	"sort"
	"strings"
	"time"

	"acaciaquay/internal/site/aqurgency"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// plan places waiting tasks, by the rank of their groups. A group that does not fit
// does not block the ones after it.
func (d *Decider) plan() {
	if len(d.waiting) == 0 {
		return
	}
	unreported := d.hasUnreported()
	noRoom := d.recentShortages()
	d.beginRackWaits()
	ranked := d.rankedGroups()
	spare := d.spareFor(ranked)
	d.noteBusy()
	movedStarted := false
	for _, g := range ranked {
		if g.occurrence.job.state.Final() {
			// A suspected task of an earlier group has just ended the job.
			continue
		}
		if g.spec.Filler && !movedStarted {
			movedStarted = true
			d.startMoved(ranked, unreported)
		}
		pending := g.pending(d.now, unreported)
		if !g.spec.Gang {
			pending = d.placeSuspects(pending)
		}
		if g.spec.Perpetual {
			pending = d.returnDue(pending)
			pending = pending[:d.admitted(spare, g, len(pending))]
		}
		if len(pending) > 0 && (!noRoom.covers(g) || d.overdueGangDue(g)) {
			d.placeGroup(g, pending, noRoom)
		}
		if !g.hasUnplaced() {
			delete(d.waiting, g)
			d.endRackWait(g)
		}
	}
	d.keepShortages(noRoom)
	d.startOverdue(ranked)
	d.makeRoom(ranked, unreported)
}

func (d *Decider) placeGroup(g *group, pending []*task, noRoom shortage) {
	if g.spec.Gang {
		d.placeGang(g, pending)
		return
	}
	waits := d.waitsForRack(g, pending)
	found := d.candidates(g, nil)
	for _, t := range pending {
		position := found.best(t)
		if position < 0 {
			noRoom.record(t)
			return
		}
		if waits && string(found[position].worker.rack) != g.spec.Affinity {
			return
		}
		d.start(t, found[position].worker, t.attempt+1)
		d.rescore(&found, position, g)
	}
}

// interrupted reports whether a task of the group has been started before, is not done
// and has no run, and did not give way to others.
func (g *group) interrupted() bool {
	for _, t := range g.tasks {
		if t.interrupted() {
			return true
		}
	}
	return false
}

func (t *task) interrupted() bool { return t.run == nil && !t.done && t.started && !t.gaveWay }

// hasUnplaced reports whether a task of the group needs a run.
func (g *group) hasUnplaced() bool {
	for _, t := range g.tasks {
		if !t.done && t.run == nil {
			return true
		}
	}
	return false
}

// pending returns the tasks that may be started now. With unreported set, some workers
// have not reported their runs yet, and tasks that may run there are left out.
func (g *group) pending(now time.Time, unreported bool) []*task {
	var tasks []*task
	for _, t := range g.tasks {
		if t.done || t.run != nil || now.Before(t.notBefore) || (unreported && !t.reconciled) {
			continue
		}
		tasks = append(tasks, t)
	}
	return tasks
}

func (d *Decider) rank(g *group) aqurgency.Rank {
	j := g.occurrence.job
	path, left := d.outlook(g)
	w := aqurgency.Work{
		Priority: j.queue.Priority,
		DueAt:    g.occurrence.dueAt,
		Allowed:  j.allowed(path),
	}
	if !j.started {
		// What has begun is finished also if that will be just too late.
		w.Left = left
	}
	if g.spec.Perpetual {
		w.Lasting = true
		w.Interrupted = g.interrupted()
		w.DueAt = g.readyAt
		w.Allowed = j.queue.Target
	}
	return aqurgency.RankOf(w, d.now)
}

func (d *Decider) rankedGroups() []*group {
	type ranked struct {
		group *group
		rank  aqurgency.Rank
	}
	all := make([]ranked, 0, len(d.waiting))
	for g := range d.waiting {
		all = append(all, ranked{group: g, rank: d.rank(g)})
	}
	sort.Slice(all, func(i, k int) bool {
		if all[i].rank == all[k].rank {
			return all[i].group.before(all[k].group)
		}
		return all[i].rank.Less(all[k].rank)
	})
	groups := make([]*group, len(all))
	for i, r := range all {
		groups[i] = r.group
	}
	return groups
}

// before orders groups of equal rank, so that decisions are deterministic.
func (g *group) before(o *group) bool {
	if g.occurrence.job != o.occurrence.job {
		return g.occurrence.job.spec.ID < o.occurrence.job.spec.ID
	}
	if g.occurrence.number != o.occurrence.number {
		return g.occurrence.number < o.occurrence.number
	}
	return g.number < o.number
}

// Weights of a worker's score. The worker with the lowest score is chosen.
const (
	// weightOffRack exceeds the score by load of every task that does not serve: tasks
	// on another rack than their data take longer by a constant factor.
	weightOffRack = 2.0
	// weightCold exceeds the score by load as well: a worker is slow for a while after its start.
	weightCold = 1.5
	// weightSuspected prefers workers without recent failures for every task.
	weightSuspected = 4.0
	// weightAvoided keeps a task off workers on which it failed or made no progress,
	// as long as there are others.
	weightAvoided = 8.0
)

// eligible reports whether a task of a group may be started on a worker now. tentative
// is what earlier choices of the same decision reserve there.
func (d *Decider) eligible(g *group, w *worker, tentative aqtype.Resources) bool {
	return !w.heldForTrial() && d.permitted(g, w, tentative)
}

// permitted is eligible for the task that the worker is held for, if there is one.
func (d *Decider) permitted(g *group, w *worker, tentative aqtype.Resources) bool {
	return d.feasible(g, w, tentative) && (!g.occurrence.job.queue.Advised || d.ticket(g, w) != "")
}

// feasible reports whether a task of a group may be started on a worker, apart from the
// permission of the advice service.
func (d *Decider) feasible(g *group, w *worker, tentative aqtype.Resources) bool {
	return w.used.Add(tentative).Add(g.spec.Reserved()).Fits(w.info.Capacity) && d.suitsButForRoom(g, w, tentative)
}

// suitsButForRoom is feasible for a worker that has room.
func (d *Decider) suitsButForRoom(g *group, w *worker, tentative aqtype.Resources) bool {
	j := g.occurrence.job
	if !w.present || !w.reachable || !d.isStored(w) || w.info.Draining || w.info.Service != j.queue.Service || !d.zoneOpen(w) {
		return false
	}
	if len(w.orphans) > 0 || d.now.Before(w.avoidUntil) || !w.health.usable(d.now) || w.startsFull() {
		return false
	}
	if w.health.suspected() && !g.spec.Gang && tentative != (aqtype.Resources{}) {
		return false
	}
	if g.spec.Constraint != "" && !slices.Contains(w.info.Labels, g.spec.Constraint) {
		return false
	}
	return g.spec.AntiAffinity <= 0 || w.countTasks(g)+tentativeTasks(g, tentative) < g.spec.AntiAffinity
}

// maxStartsUnderWay limits the starts on one worker that have not been answered. They are delivered a few at a time, and
// would expire behind longer queues.
const maxStartsUnderWay = 64

// startsFull reports whether a worker has as many starts under way as it may have.
func (w *worker) startsFull() bool {
	if len(w.runs) < maxStartsUnderWay {
		return false
	}
	starting := 0
	for _, r := range w.runs {
		if r.state == runStarting {
			starting++
		}
	}
	return starting >= maxStartsUnderWay
}

// tentativeTasks returns how many of a group's tasks a tentative reservation is for.
func tentativeTasks(g *group, tentative aqtype.Resources) int {
	if size := g.spec.Reserved(); size.Memory > 0 {
		return int(tentative.Memory / size.Memory)
	}
	return 0
}

// countTasks returns how many of a group's tasks the worker runs.
func (w *worker) countTasks(g *group) int {
	n := 0
	for _, r := range w.runs {
		if r.task.group == g {
			n++
		}
	}
	return n
}

func (d *Decider) score(g *group, w *worker, tentative aqtype.Resources) float64 {
	capacity := w.info.Capacity
	used := w.used.Add(tentative)
	var score float64
	switch {
	case g.spec.Filler:
		score = d.fillerScore(g, w, tentative)
	case g.spec.TailTarget > 0:
		score = d.servingScore(g, w)
	default:
		score = 1 - share(int64(used.MilliCPU), int64(capacity.MilliCPU))
	}
	if g.spec.Affinity != "" && string(w.rack) != g.spec.Affinity {
		score += weightOffRack
	}
	if d.now.Before(w.coldUntil) {
		score += weightCold
	}
	if d.yields(g, w.rack) {
		score += weightYield
	}
	if w.health.suspected() {
		score += weightSuspected
	}
	return score + d.slowness(g, w)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// start assigns a task to a worker and orders its start.
func (d *Decider) start(t *task, w *worker, attempt Attempt) {
	r := d.newRun(t, w, attempt)
	t.setRun(r)
	r.waitedSince = t.group.changedAt
	t.group.changed(d.now)
	d.options.Metrics.Observe(aqmetric.TimeWait, d.now.Sub(t.group.readyAt))
	d.order(r)
}

// newRun returns the next run of a task, which is to be ordered.
func (d *Decider) newRun(t *task, w *worker, attempt Attempt) *run {
	t.attempt = attempt
	return &run{
		id:           RunID{Task: t.id(), Attempt: attempt},
		task:         t,
		worker:       w,
		state:        runStarting,
		size:         t.group.spec.Reserved(),
		orderedAt:    d.now,
		startSentAt:  d.now,
		pace:         fullPace,
		tried:        w.trial == t,
		orderedClock: w.clock,
		baseClock:    w.clockNow(d.now),
		// A resent start order must carry the same checkpoint.
		resumeFrom: t.checkpoint,
	}
}

// order orders the start of a run on its worker.
func (d *Decider) order(r *run) {
	w, g := r.worker, r.task.group
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
	w.health.started(r)
	w.invalidateLoad()
	d.options.Log.Write(aqlog.RunPlaced, taskAttr(r.id.Task), workerAttr(w.info.ID),
		slog.Int("Attempt", int(r.id.Attempt)), slog.Duration("Waited", d.now.Sub(g.readyAt)),
		slog.Int("Priority", g.occurrence.job.queue.Priority), slog.Int64("UsedCPU", int64(w.used.MilliCPU)))
	d.addOrder(d.startOrder(r))
}

func (d *Decider) startOrder(r *run) Start {
	return Start{
		Worker:        r.worker.info.ID,
		Run:           r.id,
		PayloadSource: r.task.group.occurrence.job.spec.AcceptedBy,
		Checkpoint:    r.resumeFrom,
		Ticket:        d.ticket(r.task.group, r.worker),
	}
}

// Logging of groups that could run and have no run.
const (
	// waitLogAfter is how long a group waits before that is logged. The interval to the next
	// line doubles.
	waitLogAfter = 2 * time.Second
	// waitNoteInterval is the interval between two looks at the waiting groups, and
	// maxWaitsLogged the number of groups that are logged each time.
	waitNoteInterval = 500 * time.Millisecond
	maxWaitsLogged   = 2
)

// noteWaits logs the groups that have waited longest without a run.
func (d *Decider) noteWaits() {
	if d.now.Sub(d.waitsNotedAt) < waitNoteInterval {
		return
	}
	d.waitsNotedAt = d.now
	var due []*group
	for g := range d.waiting {
		if running, _ := g.counts(); running > 0 && !g.spec.Perpetual {
			continue
		}
		if g.idleSince.IsZero() {
			g.idleSince = d.now
		}
		if d.now.Sub(g.idleSince) >= max(waitLogAfter, 2*g.waitLoggedAt.Sub(g.idleSince)) {
			due = append(due, g)
		}
	}
	slices.SortFunc(due, func(a, b *group) int {
		if order := a.idleSince.Compare(b.idleSince); order != 0 {
			return order
		}
		return strings.Compare(a.key().String(), b.key().String())
	})
	for _, g := range due[:min(len(due), maxWaitsLogged)] {
		g.waitLoggedAt = d.now
		_, waiting := g.counts()
		d.options.Metrics.Inc(aqmetric.GroupWaits)
		d.options.Log.Write(aqlog.GroupWaits, slog.String("Group", g.key().String()), slog.Int("Tasks", waiting),
			slog.Duration("Waited", d.now.Sub(g.idleSince)), slog.Duration("Ready", d.now.Sub(g.readyAt)),
			slog.Bool("Overdue", d.overdue(g)), slog.Duration("SearchIn", max(0, g.overdueSearchAt.Sub(d.now))),
			slog.String("Size", g.spec.Size.String()), slog.String("Image", g.spec.Image),
			slog.String("Why", d.waitReason(g)))
	}
}
