package aqdecider

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

const (
	// crashedFor is how long a crashed worker is away.
	crashedFor = 3 * time.Second
	// crashHeartbeat is the number of steps between two heartbeats of a worker.
	crashHeartbeat = 4
	// crashLimit and startsAfterLimit are the users' bound: a task is not started
	// startsAfterLimit times more after crashLimit workers have crashed under it.
	crashLimit       = 3
	startsAfterLimit = 3
	crashCPU         = aqtype.MilliCPU(8000)
	// capacityGrace is the users' bound on how long a start may still count on a capacity
	// that has shrunk: the time of contact and one heartbeat.
	capacityGrace = 4500 * time.Millisecond
	// capacityLag is the longest time from a change of a capacity to the leader's reading.
	capacityLag = 2 * time.Second
	// maxHeldTime is the longest time for which a start waits at the worker's agent.
	maxHeldTime = 8 * time.Second
)

// crashWorld simulates workers, a store and successive leaders for tasks that crash their
// workers and for workers whose capacity changes.
type crashWorld struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	steps   int
	decider *Decider
	workers map[aqtype.WorkerID]*crashWorker
	// serial numbers the workers, so that a new one gets a new id.
	serial    int
	takeovers Attempt
	jobs      map[aqjob.ID]*aqjob.Job
	stored    map[aqjob.ID]aqjob.Progress
	revisions map[aqjob.ID]aqstore.Revision
	revision  aqstore.Revision
	inFlight  *Batch
	fleet     []aqtype.WorkerID
	// deadly maps the tasks that crash their workers to how long after their start.
	deadly map[aqjob.TaskID]time.Duration
	// crashes counts the workers that have crashed under a deadly task, extraStarts its
	// starts after the last allowed crash.
	crashes     map[aqjob.TaskID]int
	extraStarts map[aqjob.TaskID]int
	// sameID makes crashed workers return under their id.
	sameID bool
	// lost holds what agents knew of the workers that have crashed of late.
	lost []EarlierRuns
	// leaderGone is when the next leader takes over, zero while there is one.
	leaderGone time.Time
	// heldRate is the fraction of the starts that wait at the agent, held those that wait.
	heldRate float64
	held     []heldStart
	// unknownRate is the fraction of the starts whose outcome the leader does not learn.
	unknownRate float64
}

type crashWorker struct {
	entry    Worker
	runs     map[RunID]*crashRun
	ended    []EndReport
	lastEnd  int
	highest  map[aqjob.TaskID]Attempt
	backAt   time.Time
	missed   int
	leaseEnd time.Time
	// answeredAt is when the worker last answered a heartbeat.
	answeredAt time.Time
	// allowed is the capacity that counts: one that has shrunk counts capacityGrace later.
	allowed   aqtype.MilliCPU
	allowedAt time.Time
	// listed is the capacity in service discovery, which lags by up to capacityLag.
	listed   aqtype.MilliCPU
	listedAt time.Time
	clock    LogicalTime
}

func (w *crashWorker) down() bool { return !w.backAt.IsZero() }

type crashRun struct {
	startedAt time.Time
	length    time.Duration
}

func newCrashWorld(t *testing.T, seed int64, workers int) *crashWorld {
	c := &crashWorld{
		t:           t,
		random:      rand.New(rand.NewSource(seed)),
		now:         time.Unix(1_800_000_000, 0),
		workers:     map[aqtype.WorkerID]*crashWorker{},
		jobs:        map[aqjob.ID]*aqjob.Job{},
		stored:      map[aqjob.ID]aqjob.Progress{},
		revisions:   map[aqjob.ID]aqstore.Revision{},
		deadly:      map[aqjob.TaskID]time.Duration{},
		crashes:     map[aqjob.TaskID]int{},
		extraStarts: map[aqjob.TaskID]int{},
	}
	for range workers {
		c.addWorker()
	}
	c.takeover()
	return c
}

func (c *crashWorld) addWorker() {
	c.serial++
	w := &crashWorker{
		entry:   poolWorker(fmt.Sprintf("w%03d", c.serial), "r1-1", crashCPU),
		runs:    map[RunID]*crashRun{},
		highest: map[aqjob.TaskID]Attempt{},
	}
	w.entry.Incarnation = Incarnation(c.now.UnixMilli())
	c.workers[w.entry.ID] = w
}

func (c *crashWorld) sorted() []*crashWorker {
	var all []*crashWorker
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		all = append(all, c.workers[id])
	}
	return all
}

// takeover replaces the leader by one that knows what is stored.
func (c *crashWorld) takeover() {
	c.leaderGone = time.Time{}
	c.inFlight = nil
	c.held = nil
	c.decider = New(Options{
		Limits:       Limits{Retention: time.Hour, StopGrace: 100 * time.Millisecond},
		FirstAttempt: c.takeovers * 4096,
		Log:          aqlog.Discard(),
		Metrics:      aqmetric.New(),
	})
	c.takeovers++
	c.decider.SetTime(c.now, c.now)
	c.decider.AwaitReports(c.fleet, c.now.Add(simLease+time.Second))
	for _, earlier := range c.lost {
		c.decider.NoteEarlierRuns(earlier)
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		var progress *aqjob.Progress
		if p, ok := c.stored[id]; ok {
			encoded, err := aqjob.Encode(p)
			if err != nil {
				c.t.Fatal(err)
			}
			if progress, err = aqjob.DecodeProgress(encoded); err != nil {
				c.t.Fatal(err)
			}
		}
		c.decider.AddJob(c.jobs[id], progress, c.revisions[id], true)
	}
	for _, w := range c.sorted() {
		w.missed = 0
		w.clock = 0
		if !w.down() || c.sameID {
			c.listEntry(w)
		}
	}
}

// loseLeader ends the leader's term; the next one takes over half a second later.
func (c *crashWorld) loseLeader() {
	if c.leaderGone.IsZero() {
		c.leaderGone = c.now.Add(500 * time.Millisecond)
	}
}

func (c *crashWorld) submit(job *aqjob.Job) {
	c.jobs[job.ID] = job
	if c.leaderGone.IsZero() {
		c.decider.AddJob(job, nil, 0, false)
	}
}

func (c *crashWorld) step() {
	c.steps++
	c.now = c.now.Add(simStep)
	for _, w := range c.sorted() {
		c.advance(w)
	}
	if !c.leaderGone.IsZero() {
		if c.now.Before(c.leaderGone) {
			return
		}
		c.takeover()
	}
	c.decider.SetTime(c.now, c.now)
	for i, w := range c.sorted() {
		if !w.down() {
			c.listEntry(w)
		}
		if (c.steps+i)%crashHeartbeat == 0 {
			c.heartbeat(w)
		}
	}
	c.releaseHeld()
	c.fleet = c.decider.FleetIDs()
	c.decider.MarkPersisted(c.fleet)
	c.decider.MarkRestartsStored(c.decider.RestartedIDs())
	for _, o := range c.decider.Tick() {
		c.deliver(o)
	}
	c.store()
}

// advance ends what has run long enough, crashes the worker under a deadly task, and
// brings a crashed one back.
func (c *crashWorld) advance(w *crashWorker) {
	if w.down() {
		if c.now.After(w.backAt) {
			c.restart(w)
		}
		return
	}
	for _, id := range c.sortedRuns(w) {
		r := w.runs[id]
		after, deadly := c.deadly[id.Task]
		switch {
		case c.now.After(w.leaseEnd):
			c.end(w, id, EndLeaseExpired)
		case deadly && c.now.Sub(r.startedAt) >= after:
			c.crashes[id.Task]++
			c.crash(w)
			return
		case !deadly && !c.inDeadlyGang(id.Task) && r.length > 0 && c.now.Sub(r.startedAt) >= r.length:
			c.end(w, id, EndDone)
		}
	}
}

// inDeadlyGang reports whether a task ends together with one that crashes its workers.
func (c *crashWorld) inDeadlyGang(id aqjob.TaskID) bool {
	for other := range c.deadly {
		if other.Job == id.Job && other.Group == id.Group {
			return c.jobs[id.Job].Groups[id.Group].Gang
		}
	}
	return false
}

func (c *crashWorld) crash(w *crashWorker) {
	lost := c.sortedRuns(w)
	c.held = slices.DeleteFunc(c.held, func(s heldStart) bool { return s.order.Worker == w.entry.ID })
	known := EarlierRuns{
		Worker:      w.entry.ID,
		Incarnation: w.entry.Incarnation,
	}
	for _, id := range lost {
		known.Runs = append(known.Runs, EarlierRun{
			Run:  id,
			Seen: w.answeredAt.Sub(w.runs[id].startedAt),
		})
	}
	c.lost = append(c.lost, known)
	w.runs = map[RunID]*crashRun{}
	w.ended, w.lastEnd = nil, 0
	w.highest = map[aqjob.TaskID]Attempt{}
	w.backAt = c.now.Add(crashedFor)
	for _, id := range lost {
		if c.jobs[id.Task.Job].Groups[id.Task.Group].Gang {
			c.breakGang(id.Task)
		}
	}
}

// breakGang ends the other members of a gang of which one is gone.
func (c *crashWorld) breakGang(member aqjob.TaskID) {
	for _, w := range c.sorted() {
		for _, id := range c.sortedRuns(w) {
			if id.Task.Job == member.Job && id.Task.Group == member.Group {
				c.end(w, id, EndGangBroken)
			}
		}
	}
}

// resize changes the capacity of a worker. Service discovery shows it later.
func (c *crashWorld) resize(w *crashWorker) {
	before := w.entry.Capacity.MilliCPU
	w.entry.Capacity.MilliCPU = crashCPU * aqtype.MilliCPU(1+c.random.Intn(8)) / 8
	w.allowed = max(before, w.allowed, w.entry.Capacity.MilliCPU)
	w.allowedAt = c.now.Add(capacityGrace)
	if c.now.After(w.listedAt) {
		w.listed = before
		w.listedAt = c.now.Add(time.Duration(c.random.Int63n(int64(capacityLag))))
	}
}

// listEntry gives the leader the worker's entry as service discovery has it.
func (c *crashWorld) listEntry(w *crashWorker) {
	entry := w.entry
	if c.now.Before(w.listedAt) {
		entry.Capacity.MilliCPU = w.listed
	}
	c.decider.UpdateWorker(entry)
}

func (c *crashWorld) restart(w *crashWorker) {
	w.backAt = time.Time{}
	if !c.sameID {
		delete(c.workers, w.entry.ID)
		if c.leaderGone.IsZero() {
			c.decider.DelistWorker(w.entry.ID)
			c.decider.WorkerUnresponsive(w.entry.ID)
			c.decider.LeaseExpired(w.entry.ID)
		}
		c.addWorker()
		return
	}
	w.entry.Incarnation = Incarnation(c.now.UnixMilli())
	w.leaseEnd = time.Time{}
	if c.leaderGone.IsZero() {
		c.listEntry(w)
	}
}

func (c *crashWorld) sortedRuns(w *crashWorker) []RunID {
	ids := slices.Collect(maps.Keys(w.runs))
	slices.SortFunc(ids, func(a, b RunID) int {
		if a.Task != b.Task {
			return slices.Compare([]byte(a.Task.String()), []byte(b.Task.String()))
		}
		return int(a.Attempt - b.Attempt)
	})
	return ids
}

func (c *crashWorld) end(w *crashWorker, id RunID, reason EndReason) {
	delete(w.runs, id)
	w.lastEnd++
	w.highest[id.Task] = max(w.highest[id.Task], id.Attempt)
	w.ended = append(w.ended, EndReport{Number: w.lastEnd, Run: id, Reason: reason})
}

func (c *crashWorld) heartbeat(w *crashWorker) {
	w.clock++
	if w.down() {
		w.missed++
		if w.missed == 2 {
			c.decider.WorkerUnresponsive(w.entry.ID)
		}
		if w.missed > 2 && c.now.After(w.leaseEnd) {
			c.decider.LeaseExpired(w.entry.ID)
		}
		return
	}
	w.missed = 0
	w.answeredAt = c.now
	w.leaseEnd = c.now.Add(simLease)
	if acked, incarnation := c.decider.AckedEnds(w.entry.ID); incarnation == w.entry.Incarnation {
		w.ended = slices.DeleteFunc(w.ended, func(e EndReport) bool { return e.Number <= acked })
	}
	report := WorkerReport{
		Incarnation: w.entry.Incarnation,
		Ended:       slices.Clone(w.ended),
		Sent:        w.clock,
		Complete:    true,
		Clock:       time.Duration(c.now.UnixNano()),
	}
	for _, id := range c.sortedRuns(w) {
		percent := 100
		if w.runs[id].length > 0 {
			percent = int(c.now.Sub(w.runs[id].startedAt) / (100 * time.Millisecond))
		}
		report.Running = append(report.Running, RunReport{Run: id, Percent: percent})
	}
	c.decider.WorkerReported(w.entry.ID, report)
}

// heldStart is a start that waits at the worker's agent, for example for its payload.
type heldStart struct {
	order Start
	until time.Time
}

// deliver carries an order out. Some starts wait at the agent first; an order to stop
// takes them back.
func (c *crashWorld) deliver(o Order) {
	w := c.workers[o.Target()]
	if w == nil {
		return
	}
	w.clock++
	switch order := o.(type) {
	case Start:
		if c.random.Float64() < c.heldRate {
			c.held = append(c.held, heldStart{
				order: order,
				until: c.now.Add(time.Duration(c.random.Int63n(int64(maxHeldTime)))),
			})
			return
		}
		c.carryOut(w, order)
	case Stop:
		c.held = slices.DeleteFunc(c.held, func(s heldStart) bool { return s.order.Run == order.Run })
		if w.down() {
			return
		}
		if w.runs[order.Run] != nil {
			c.end(w, order.Run, EndStopped)
		}
		w.highest[order.Run.Task] = max(w.highest[order.Run.Task], order.Run.Attempt)
		c.decider.StopAnswered(w.entry.ID, w.entry.Incarnation, order.Run, w.clock)
	case Pace:
	}
}

// carryOut executes a start.
func (c *crashWorld) carryOut(w *crashWorker, order Start) {
	if w.down() {
		c.decider.StartAnswered(w.entry.ID, w.entry.Incarnation, order.Run, OutcomeUnknown, w.clock)
		return
	}
	c.startRun(w, order.Run)
	outcome := OutcomeAccepted
	if c.random.Float64() < c.unknownRate {
		outcome = OutcomeUnknown
	}
	c.decider.StartAnswered(w.entry.ID, w.entry.Incarnation, order.Run, outcome, w.clock)
}

// releaseHeld carries out the starts that have waited for long enough.
func (c *crashWorld) releaseHeld() {
	held := c.held
	c.held = nil
	for _, s := range held {
		w := c.workers[s.order.Worker]
		switch {
		case c.now.Before(s.until):
			c.held = append(c.held, s)
		case w != nil:
			w.clock++
			c.carryOut(w, s.order)
		}
	}
}

// startRun starts a run and checks what must hold at every start.
func (c *crashWorld) startRun(w *crashWorker, id RunID) {
	if id.Attempt <= w.highest[id.Task] || w.runs[id] != nil {
		return
	}
	for _, other := range c.workers {
		for run := range other.runs {
			if run.Task == id.Task {
				c.t.Fatalf("%s runs on %s and starts on %s", id.Task, other.entry.ID, w.entry.ID)
			}
		}
	}
	if c.crashes[id.Task] >= crashLimit {
		if c.extraStarts[id.Task]++; c.extraStarts[id.Task] >= startsAfterLimit {
			c.t.Fatalf("%s starts %d times after %d workers have crashed under it", id.Task, c.extraStarts[id.Task], crashLimit)
		}
	}
	group := c.jobs[id.Task.Job].Groups[id.Task.Group]
	run := &crashRun{startedAt: c.now}
	if !group.Perpetual {
		run.length = group.Estimate
	}
	w.runs[id] = run
	used := aqtype.Resources{}
	for other := range w.runs {
		used = used.Add(c.jobs[other.Task.Job].Groups[other.Task.Group].Reserved())
	}
	capacity := w.entry.Capacity
	if c.now.Before(w.allowedAt) {
		capacity.MilliCPU = max(capacity.MilliCPU, w.allowed)
	}
	if !used.Fits(capacity) {
		c.t.Fatalf("%s brings %s to %s of %s", id.Task, w.entry.ID, used, capacity)
	}
}

// store takes a batch or completes the one that is being stored.
func (c *crashWorld) store() {
	if c.inFlight == nil {
		batch := c.decider.TakeBatch()
		c.inFlight = &batch
		return
	}
	for _, r := range c.inFlight.Records {
		c.revision++
		c.stored[r.Job] = *r.Progress
		c.revisions[r.Job] = c.revision
		c.decider.RecordStored(r, c.revision)
	}
	c.decider.BatchStored(*c.inFlight)
	c.inFlight = nil
}

func (c *crashWorld) state(id aqjob.ID) aqjob.State {
	state, _ := c.decider.State(id)
	return state
}

// expectState runs on until a job has a state.
func (c *crashWorld) expectState(id aqjob.ID, want aqjob.State) {
	c.t.Helper()
	for range 3000 {
		c.step()
		if c.leaderGone.IsZero() && c.state(id) == want {
			return
		}
	}
	c.t.Fatalf("job %s is %s, want %s", id, c.state(id), want)
}
