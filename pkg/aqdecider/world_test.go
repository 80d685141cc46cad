package aqdecider

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"pgregory.net/rapid"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

const (
	// cancelBound is how long after a cancellation a task may start, lateness how
	// much longer a worker may take to carry out a late order.
	cancelBound = time.Second
	lateness    = 60 * worldStep

	worldStep  = 50 * time.Millisecond
	worldLease = 2 * time.Second
	testQueue  = aqjob.QueueID("queue")
	testPool   = aqjob.ServiceID("pool")
)

// world plays workers, the store and a leader around a decider, and checks at
// each start on a worker what must always hold.
type world struct {
	t *rapid.T

	now   time.Time
	fence int
	term  Attempt

	decider *Decider
	workers map[aqtype.WorkerID]*fakeWorker
	jobs    map[aqjob.ID]*aqjob.Job
	created map[aqjob.ID]int
	stored  map[aqjob.ID]aqjob.Progress
	rev     map[aqjob.ID]aqstore.Revision
	next    aqstore.Revision
	cancels map[aqjob.ID]time.Time
	// flight is the batch that is being stored.
	flight *Batch
	late   []lateOrder
	// fleet is the stored list of workers.
	fleet []aqtype.WorkerID
	// done holds the tasks of which an end with success was acknowledged.
	done   map[aqjob.TaskID]bool
	failed map[aqjob.TaskID]map[Attempt]bool
	// everDone holds the tasks that have ended with success at all.
	everDone map[aqjob.TaskID]bool
}

// fakeWorker follows the workers' protocol.
type fakeWorker struct {
	id       aqtype.WorkerID
	life     Incarnation
	fence    int
	leaseEnd time.Time
	runs     map[RunID]*fakeRun
	ended    []EndReport
	count    int
	// highest is the highest attempt of a task that was stopped or has ended.
	highest map[aqjob.TaskID]Attempt
	cut     bool
	failing bool
	// silentLooks counts looks without an answer.
	silentLooks int
	moment      LogicalTime
	// knownEnd is the end of the lease as the leader knows it.
	knownEnd time.Time
	renewing bool
}

type fakeRun struct {
	left  time.Duration
	fails bool
}

// lateOrder is carried out after its sender has given up on it.
type lateOrder struct {
	order Order
	fence int
	life  Incarnation
	until time.Time
	at    time.Time
}

func newWorld(t *rapid.T, workers int) *world {
	w := &world{
		t:        t,
		now:      time.Unix(1_800_000_000, 0),
		workers:  map[aqtype.WorkerID]*fakeWorker{},
		jobs:     map[aqjob.ID]*aqjob.Job{},
		created:  map[aqjob.ID]int{},
		stored:   map[aqjob.ID]aqjob.Progress{},
		rev:      map[aqjob.ID]aqstore.Revision{},
		next:     1,
		cancels:  map[aqjob.ID]time.Time{},
		done:     map[aqjob.TaskID]bool{},
		failed:   map[aqjob.TaskID]map[Attempt]bool{},
		everDone: map[aqjob.TaskID]bool{},
	}
	for i := range workers {
		id := aqtype.WorkerID(fmt.Sprintf("w%d", i))
		w.workers[id] = &fakeWorker{
			id:      id,
			life:    1,
			runs:    map[RunID]*fakeRun{},
			highest: map[aqjob.TaskID]Attempt{},
		}
	}
	w.fleet = w.ids()
	w.takeover(w.fleet)
	return w
}

func (w *world) ids() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(w.workers))
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reachable lists the workers that are not cut off.
func (w *world) reachable() []aqtype.WorkerID {
	return slices.DeleteFunc(w.ids(), func(id aqtype.WorkerID) bool { return w.workers[id].cut })
}

// list shows a worker to the leader, which stores that it knows it.
func (w *world) list(id aqtype.WorkerID) {
	fake := w.workers[id]
	fake.moment, fake.silentLooks, fake.renewing = 0, 0, false
	w.decider.UpdateWorker(w.listing(fake))
	w.fleet = w.decider.FleetIDs()
	w.decider.MarkPersisted(w.fleet)
}

// takeover replaces the leader by one that knows what the store holds, while
// service discovery lists only some workers.
func (w *world) takeover(listed []aqtype.WorkerID) {
	w.fence++
	w.flight = nil
	w.decider = New(Options{
		Limits: Limits{
			DrainMargin: 200 * time.Millisecond,
			Retention:   time.Hour,
			StopGrace:   100 * time.Millisecond,
		},
		FirstAttempt: w.term * 4096,
		Log:          aqlog.Discard(),
		Metrics:      aqmetric.New(),
	})
	w.term++
	w.decider.SetTime(w.now, w.now)
	w.decider.SetQueues([]aqjob.Queue{{
		ID:          testQueue,
		Service:     testPool,
		MaxAttempts: 3,
		Stretch:     2,
		Target:      time.Second,
	}})
	// An earlier leader that is cut off prolongs no lease beyond this.
	doubtfulUntil := w.now.Add(worldLease + time.Second)
	w.decider.AwaitReports(w.fleet, doubtfulUntil)
	w.decider.AwaitReports(listed, doubtfulUntil)
	ids := make([]aqjob.ID, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		var progress *aqjob.Progress
		if p, ok := w.stored[id]; ok {
			progress = &p
		}
		w.decider.AddJob(w.jobs[id], progress, w.rev[id], true)
	}
	for id := range w.cancels {
		w.decider.Cancel(id)
	}
	w.fleet = w.decider.FleetIDs()
	for _, id := range listed {
		w.list(id)
	}
}

func (w *world) listing(fake *fakeWorker) Worker {
	return Worker{
		ID:          fake.id,
		Address:     "10.0.0.1:1",
		Service:     testPool,
		Labels:      []string{"a", "r1-1"},
		Capacity:    aqtype.Resources{MilliCPU: 4000, Memory: 4000},
		Incarnation: fake.life,
	}
}

// step moves time on and lets everybody act once.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	w.decider.SetTime(w.now, w.now)
	w.applyLate()
	for _, id := range w.ids() {
		fake := w.workers[id]
		w.work(fake)
		if !w.decider.Known(id) {
			if fake.cut {
				continue
			}
			w.list(id)
		}
		w.look(fake)
	}
	for _, o := range w.decider.Tick() {
		w.carry(o)
	}
}

// work runs the tasks of a worker and its lease.
func (w *world) work(fake *fakeWorker) {
	if len(fake.runs) > 0 && w.now.After(fake.leaseEnd) {
		for _, id := range sortedRuns(fake.runs) {
			w.end(fake, id, EndLeaseExpired)
		}
	}
	for _, id := range sortedRuns(fake.runs) {
		r := fake.runs[id]
		r.left -= worldStep
		if r.left > 0 {
			continue
		}
		how := EndDone
		if r.fails || fake.failing {
			how = EndFailed
		}
		w.end(fake, id, how)
	}
}

func sortedRuns(runs map[RunID]*fakeRun) []RunID {
	ids := make([]RunID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool {
		if a, b := ids[i].Task.String(), ids[k].Task.String(); a != b {
			return a < b
		}
		return ids[i].Attempt < ids[k].Attempt
	})
	return ids
}

func (w *world) end(fake *fakeWorker, id RunID, how EndReason) {
	delete(fake.runs, id)
	fake.count++
	fake.highest[id.Task] = max(fake.highest[id.Task], id.Attempt)
	fake.ended = append(fake.ended, EndReport{Number: fake.count, Run: id, Reason: how})
	if how == EndDone {
		w.everDone[id.Task] = true
	}
}

// look is one call of the leader's agent to a worker.
func (w *world) look(fake *fakeWorker) {
	if fake.cut {
		w.unheard(fake)
		return
	}
	fake.silentLooks = 0
	forget, life := w.decider.AckedEnds(fake.id)
	fake.moment++
	sent := fake.moment
	if w.fence < fake.fence {
		return
	}
	fake.fence = w.fence
	if life == fake.life {
		w.acknowledge(fake, forget)
	}
	if fake.renewing {
		fake.leaseEnd = w.now.Add(worldLease)
		fake.knownEnd = fake.leaseEnd
	}
	fake.renewing = true
	l := WorkerReport{
		Incarnation: fake.life,
		Ended:       slices.Clone(fake.ended),
		Sent:        sent,
		Complete:    true,
	}
	for _, id := range sortedRuns(fake.runs) {
		l.Running = append(l.Running, RunReport{Run: id, Percent: 50})
	}
	w.decider.WorkerReported(fake.id, l)
}

func (w *world) unheard(fake *fakeWorker) {
	fake.silentLooks++
	fake.renewing = false
	if fake.silentLooks == 2 {
		w.decider.WorkerUnresponsive(fake.id)
	}
	if w.now.After(fake.knownEnd.Add(worldStep)) && fake.silentLooks > 2 {
		w.decider.LeaseExpired(fake.id)
	}
}

// acknowledge forgets ends; they count as noted from now on.
func (w *world) acknowledge(fake *fakeWorker, forget int) {
	kept := fake.ended[:0]
	for _, e := range fake.ended {
		if e.Number > forget {
			kept = append(kept, e)
			continue
		}
		switch e.Reason {
		case EndDone:
			w.done[e.Run.Task] = true
		case EndFailed:
			if w.failed[e.Run.Task] == nil {
				w.failed[e.Run.Task] = map[Attempt]bool{}
			}
			w.failed[e.Run.Task][e.Run.Attempt] = true
		case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, EndLost:
		}
	}
	fake.ended = kept
}

// carry delivers an order: at once, late without an answer, or not at all.
func (w *world) carry(o Order) {
	fake := w.workers[o.Target()]
	fate := rapid.IntRange(0, 9).Draw(w.t, "fate")
	if !fake.cut && fate > 1 {
		w.apply(fake, o, w.fence, fake.life, w.now.Add(worldLease), true)
		return
	}
	if fate == 0 {
		delay := time.Duration(rapid.IntRange(1, 60).Draw(w.t, "delay")) * worldStep
		w.late = append(w.late, lateOrder{
			order: o,
			fence: w.fence,
			life:  fake.life,
			until: fake.knownEnd,
			at:    w.now.Add(delay),
		})
	}
	fake.moment++
	switch order := o.(type) {
	case Start:
		w.decider.StartAnswered(fake.id, fake.life, order.Run, OutcomeUnknown, fake.moment)
	case Stop:
		w.decider.StopUnanswered(fake.id, fake.life, order.Run)
	case Pace:
	}
}

func (w *world) applyLate() {
	var rest []lateOrder
	for _, l := range w.late {
		fake := w.workers[l.order.Target()]
		switch {
		case l.at.After(w.now):
			rest = append(rest, l)
		case !fake.cut:
			w.apply(fake, l.order, l.fence, l.life, l.until, false)
		}
	}
	w.late = rest
}

func (w *world) apply(fake *fakeWorker, o Order, fence int, life Incarnation, until time.Time, answered bool) {
	if fence < fake.fence || life != fake.life {
		return
	}
	fake.fence = fence
	fake.moment++
	switch order := o.(type) {
	case Start:
		w.begin(fake, order, until)
		if answered {
			w.decider.StartAnswered(fake.id, life, order.Run, OutcomeAccepted, fake.moment)
		}
	case Stop:
		if fake.runs[order.Run] != nil {
			w.end(fake, order.Run, EndStopped)
		}
		fake.highest[order.Run.Task] = max(fake.highest[order.Run.Task], order.Run.Attempt)
		if answered {
			w.decider.StopAnswered(fake.id, life, order.Run, fake.moment)
		}
	case Pace:
	}
}

// begin is a start on a worker, where everything is checked.
func (w *world) begin(fake *fakeWorker, order Start, until time.Time) {
	id := order.Run
	if fake.runs[id] != nil || id.Attempt <= fake.highest[id.Task] || w.now.After(until) {
		return
	}
	fake.leaseEnd = later(fake.leaseEnd, until)
	fake.knownEnd = later(fake.knownEnd, until)
	for _, other := range w.ids() {
		for run := range w.workers[other].runs {
			if run.Task == id.Task {
				w.t.Fatalf("%s runs on %s and starts on %s", id.Task, other, fake.id)
			}
		}
	}
	if w.done[id.Task] {
		w.t.Fatalf("%s starts again after its end was acknowledged", id.Task)
	}
	job := w.jobs[id.Task.Job]
	if at, cancelled := w.cancels[job.ID]; cancelled && w.now.Sub(at) > cancelBound+lateness {
		w.t.Fatalf("%s starts long after its job was cancelled", id.Task)
	}
	if len(w.failed[id.Task]) >= 3 {
		w.t.Fatalf("%s starts after as many failures as allowed", id.Task)
	}
	for _, before := range job.Groups[id.Task.Group].After {
		for index := range job.Groups[before].Count {
			earlier := aqjob.TaskID{Job: id.Task.Job, Occurrence: id.Task.Occurrence, Group: before, Index: index}
			if !w.everDone[earlier] {
				w.t.Fatalf("%s starts before %s is done", id.Task, earlier)
			}
		}
	}
	fake.runs[id] = &fakeRun{
		left:  time.Duration(rapid.IntRange(1, 30).Draw(w.t, "length")) * worldStep,
		fails: rapid.IntRange(0, 9).Draw(w.t, "fails") == 0,
	}
	used := aqtype.Resources{}
	for run := range fake.runs {
		used = used.Add(w.jobs[run.Task.Job].Groups[run.Task.Group].Size)
	}
	if !used.Fits(aqtype.Resources{MilliCPU: 4000, Memory: 4000}) {
		w.t.Fatalf("%s is beyond its capacity with %s", fake.id, used)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// store begins or finishes the storing of a batch.
func (w *world) store() {
	if w.flight == nil {
		batch := w.decider.TakeBatch()
		w.flight = &batch
		return
	}
	for _, r := range w.flight.Records {
		w.next++
		w.stored[r.Job] = *r.Progress
		w.rev[r.Job] = w.next
		w.decider.RecordStored(r, w.next)
	}
	w.decider.BatchStored(*w.flight)
	w.flight = nil
}

// reborn restarts a worker under its id.
func (w *world) reborn(fake *fakeWorker) {
	fake.life++
	fake.fence = 0
	fake.runs = map[RunID]*fakeRun{}
	fake.highest = map[aqjob.TaskID]Attempt{}
	fake.ended = nil
	fake.count = 0
	fake.leaseEnd = time.Time{}
}

func (w *world) submit(job *aqjob.Job) {
	w.jobs[job.ID] = job
	w.decider.AddJob(job, nil, 0, false)
}
