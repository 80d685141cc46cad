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
	// maxStartAfterCancel is how long after a cancellation the leader may still send an
	// order to start.
	maxStartAfterCancel = time.Second
	// maxOrderDelay is the maximum time from sending an order to its execution.
	maxOrderDelay = 60 * simStep

	simMaxAttempts = 3

	simStep     = 50 * time.Millisecond
	simLease    = 2 * time.Second
	testQueue   = aqjob.QueueID("queue")
	testService = aqjob.ServiceID("pool")
)

// sim simulates the workers, the store and the leader process that runs a Decider. It
// checks the invariants at each start on a worker.
type sim struct {
	t *rapid.T

	now   time.Time
	fence int
	// takeovers counts the leaders so far. Each has 4096 attempt numbers of its own.
	takeovers Attempt

	decider      *Decider
	workers      map[aqtype.WorkerID]*fakeWorker
	jobs         map[aqjob.ID]*aqjob.Job
	created      map[aqjob.ID]int
	stored       map[aqjob.ID]aqjob.Progress
	revisions    map[aqjob.ID]aqstore.Revision
	lastRevision aqstore.Revision
	cancelledAt  map[aqjob.ID]time.Time
	// inFlight is the batch that is being stored, nil if there is none.
	inFlight *Batch
	delayed  []delayedOrder
	// fleet is the stored list of workers.
	fleet []aqtype.WorkerID
	// storingFleet is the list that is being stored, nil if none is.
	storingFleet []aqtype.WorkerID
	// storingRestarts holds the restarts that storingFleet names.
	storingRestarts []aqtype.WorkerID
	// ackedDone holds the tasks whose successful end the leader has acknowledged, and when.
	ackedDone map[aqjob.TaskID]time.Time
	// copies counts the starts of a second run of a task.
	copies int
	// failed holds the attempts whose failure the leader has acknowledged.
	failed map[aqjob.TaskID]map[Attempt]bool
	// failures holds the failed ends of each task in the order in which they happened, and
	// failuresAtStart how many there were at the task's last start.
	failures        map[aqjob.TaskID][]*simFailure
	failuresAtStart map[aqjob.TaskID]int
	// everDone holds the tasks with a successful end, acknowledged or not.
	everDone map[aqjob.TaskID]bool
}

// simFailure is a failed end. It is acked when the leader has acknowledged it, unless the
// worker's lease has expired since the end.
type simFailure struct {
	worker      aqtype.WorkerID
	incarnation Incarnation
	number      int
	acked       bool
}

// fakeWorker implements the worker side of the protocol.
type fakeWorker struct {
	id          aqtype.WorkerID
	incarnation Incarnation
	fence       int
	leaseEnd    time.Time
	runs        map[RunID]*fakeRun
	ended       []EndReport
	lastEnd     int
	// lapsedEnd is the number of the last end before the lease was last seen expired.
	lapsedEnd int
	// highestEnded is the highest attempt of each task that was stopped or has ended.
	// Starts up to it are rejected.
	highestEnded map[aqjob.TaskID]Attempt
	partitioned  bool
	failing      bool
	// missedHeartbeats counts successive heartbeats without an answer.
	missedHeartbeats int
	// logicalTime counts the calls of the current leader to the worker.
	logicalTime LogicalTime
	// knownLeaseEnd is the lease expiry that the leader knows of.
	knownLeaseEnd time.Time
	// renewNext is set when the next heartbeat renews the lease, because the last one
	// was answered.
	renewNext bool
}

type fakeRun struct {
	left  time.Duration
	fails bool
}

// delayedOrder is an order that arrives after its sender has timed out. leaseEnd is the
// worker's lease expiry that the leader knew of when it sent the order.
type delayedOrder struct {
	order       Order
	fence       int
	incarnation Incarnation
	leaseEnd    time.Time
	arrivesAt   time.Time
}

func newSim(t *rapid.T, workers int) *sim {
	s := &sim{
		t:            t,
		now:          time.Unix(1_800_000_000, 0),
		workers:      map[aqtype.WorkerID]*fakeWorker{},
		jobs:         map[aqjob.ID]*aqjob.Job{},
		created:      map[aqjob.ID]int{},
		stored:       map[aqjob.ID]aqjob.Progress{},
		revisions:    map[aqjob.ID]aqstore.Revision{},
		lastRevision: 1,
		cancelledAt:  map[aqjob.ID]time.Time{},
		ackedDone:    map[aqjob.TaskID]time.Time{},
		failed:       map[aqjob.TaskID]map[Attempt]bool{},
		everDone:     map[aqjob.TaskID]bool{},

		failures:        map[aqjob.TaskID][]*simFailure{},
		failuresAtStart: map[aqjob.TaskID]int{},
	}
	for i := range workers {
		id := aqtype.WorkerID(fmt.Sprintf("w%d", i))
		s.workers[id] = &fakeWorker{
			id:           id,
			incarnation:  1,
			runs:         map[RunID]*fakeRun{},
			highestEnded: map[aqjob.TaskID]Attempt{},
		}
	}
	s.fleet = s.ids()
	s.takeover(s.fleet)
	return s
}

func (s *sim) ids() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(s.workers))
	for id := range s.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reachable returns the workers that are not partitioned.
func (s *sim) reachable() []aqtype.WorkerID {
	return slices.DeleteFunc(s.ids(), func(id aqtype.WorkerID) bool { return s.workers[id].partitioned })
}

// addToDiscovery adds a worker to service discovery. The leader adds it to the stored list
// of workers.
func (s *sim) addToDiscovery(id aqtype.WorkerID) {
	fake := s.workers[id]
	fake.logicalTime, fake.missedHeartbeats, fake.renewNext = 0, 0, false
	s.decider.UpdateWorker(s.workerEntry(fake))
	s.fleet = s.decider.FleetIDs()
	s.storingFleet = nil
	s.decider.MarkPersisted(s.fleet)
	s.decider.MarkRestartsStored(s.decider.RestartedIDs())
}

// storeFleet stores the list of workers if it has changed, in two steps, between which it may
// change again.
func (s *sim) storeFleet() {
	if s.storingFleet != nil {
		s.fleet = s.storingFleet
		s.storingFleet = nil
		s.decider.MarkPersisted(s.fleet)
		s.decider.MarkRestartsStored(s.storingRestarts)
		return
	}
	if s.decider.HasUnpersistedWorkers() {
		s.storingFleet = s.decider.FleetIDs()
		s.storingRestarts = s.decider.RestartedIDs()
	}
}

// takeover replaces the leader by one that recovers from the store. Service discovery
// lists only some of the workers.
func (s *sim) takeover(listed []aqtype.WorkerID) {
	s.fence++
	s.inFlight = nil
	s.storingFleet = nil
	s.decider = New(Options{
		Limits: Limits{
			DrainMargin: 200 * time.Millisecond,
			Retention:   time.Hour,
			StopGrace:   100 * time.Millisecond,
		},
		FirstAttempt: s.takeovers * 4096,
		Log:          aqlog.Discard(),
		Metrics:      aqmetric.New(),
	})
	s.takeovers++
	s.decider.SetTime(s.now, s.now)
	s.decider.SetQueues([]aqjob.Queue{{
		ID:          testQueue,
		Service:     testService,
		MaxAttempts: simMaxAttempts,
		Stretch:     2,
		Target:      time.Second,
	}})
	// At leasesExpired, every lease that an earlier leader may have renewed has expired.
	// A worker that has not reported by then runs nothing.
	leasesExpired := s.now.Add(simLease + time.Second)
	s.decider.AwaitReports(s.fleet, leasesExpired)
	ids := make([]aqjob.ID, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		var progress *aqjob.Progress
		if p, ok := s.stored[id]; ok {
			progress = &p
		}
		s.decider.AddJob(s.jobs[id], progress, s.revisions[id], true)
	}
	for id := range s.cancelledAt {
		s.decider.Cancel(id)
	}
	s.fleet = s.decider.FleetIDs()
	for _, id := range listed {
		s.addToDiscovery(id)
	}
}

func (s *sim) workerEntry(fake *fakeWorker) Worker {
	return Worker{
		ID:          fake.id,
		Address:     "10.0.0.1:1",
		Service:     testService,
		Labels:      []string{"a", "r1-1"},
		Capacity:    aqtype.Resources{MilliCPU: 4000, Memory: 4000},
		Incarnation: fake.incarnation,
	}
}

// step advances time by one step, in which every worker and the leader act once.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.decider.SetTime(s.now, s.now)
	s.applyDelayed()
	for _, id := range s.ids() {
		fake := s.workers[id]
		s.advanceRuns(fake)
		if !s.decider.Known(id) {
			if fake.partitioned {
				continue
			}
			s.addToDiscovery(id)
		}
		s.heartbeat(fake)
	}
	for _, o := range s.decider.Tick() {
		s.deliver(o)
	}
}

// advanceRuns ends the runs of a worker that are finished or whose lease has expired.
func (s *sim) advanceRuns(fake *fakeWorker) {
	if len(fake.runs) > 0 && s.now.After(fake.leaseEnd) {
		for _, id := range sortedRuns(fake.runs) {
			s.end(fake, id, EndLeaseExpired)
		}
	}
	for _, id := range sortedRuns(fake.runs) {
		r := fake.runs[id]
		r.left -= simStep
		if r.left > 0 {
			continue
		}
		reason := EndDone
		if r.fails || fake.failing {
			reason = EndFailed
		}
		s.end(fake, id, reason)
	}
	if s.now.After(fake.leaseEnd) {
		fake.lapsedEnd = fake.lastEnd
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

func (s *sim) end(fake *fakeWorker, id RunID, reason EndReason) {
	delete(fake.runs, id)
	fake.lastEnd++
	fake.highestEnded[id.Task] = max(fake.highestEnded[id.Task], id.Attempt)
	fake.ended = append(fake.ended, EndReport{Number: fake.lastEnd, Run: id, Reason: reason})
	if reason == EndDone {
		s.everDone[id.Task] = true
	}
	if reason == EndFailed {
		s.failures[id.Task] = append(s.failures[id.Task], &simFailure{
			worker:      fake.id,
			incarnation: fake.incarnation,
			number:      fake.lastEnd,
		})
	}
}

// heartbeat makes one heartbeat call from the leader to a worker.
func (s *sim) heartbeat(fake *fakeWorker) {
	if fake.partitioned {
		s.missHeartbeat(fake)
		return
	}
	fake.missedHeartbeats = 0
	acked, incarnation := s.decider.AckedEnds(fake.id)
	fake.logicalTime++
	sent := fake.logicalTime
	if s.fence < fake.fence {
		return
	}
	fake.fence = s.fence
	if incarnation == fake.incarnation {
		s.acknowledge(fake, acked)
	}
	if fake.renewNext {
		fake.leaseEnd = s.now.Add(simLease)
		fake.knownLeaseEnd = fake.leaseEnd
	}
	fake.renewNext = true
	report := WorkerReport{
		Incarnation: fake.incarnation,
		Ended:       slices.Clone(fake.ended),
		Sent:        sent,
		Complete:    true,
		Clock:       time.Duration(s.now.UnixNano()),
	}
	for _, id := range sortedRuns(fake.runs) {
		report.Running = append(report.Running, RunReport{Run: id, Percent: 50})
	}
	s.decider.WorkerReported(fake.id, report)
}

func (s *sim) missHeartbeat(fake *fakeWorker) {
	fake.missedHeartbeats++
	fake.renewNext = false
	if fake.missedHeartbeats == 2 {
		s.decider.WorkerUnresponsive(fake.id)
	}
	if s.now.After(fake.knownLeaseEnd.Add(simStep)) && fake.missedHeartbeats > 2 {
		s.decider.LeaseExpired(fake.id)
	}
}

// acknowledge discards the acknowledged ends of a worker and records them for the
// checks.
func (s *sim) acknowledge(fake *fakeWorker, acked int) {
	kept := fake.ended[:0]
	for _, e := range fake.ended {
		if e.Number > acked {
			kept = append(kept, e)
			continue
		}
		switch e.Reason {
		case EndDone:
			if _, known := s.ackedDone[e.Run.Task]; !known {
				s.ackedDone[e.Run.Task] = s.now
			}
		case EndFailed:
			if s.failed[e.Run.Task] == nil {
				s.failed[e.Run.Task] = map[Attempt]bool{}
			}
			s.failed[e.Run.Task][e.Run.Attempt] = true
			if e.Number > fake.lapsedEnd {
				s.acknowledgeFailure(fake, e)
			}
		case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, EndLost:
		}
	}
	fake.ended = kept
}

// acknowledgeFailure checks the failures before the last start of a task once more when one of
// them is acknowledged: a leader must not start a task whose attempts are used up, whether it
// knows of their ends yet or not.
func (s *sim) acknowledgeFailure(fake *fakeWorker, e EndReport) {
	acked := 0
	for i, f := range s.failures[e.Run.Task] {
		if f.worker == fake.id && f.incarnation == fake.incarnation && f.number == e.Number {
			f.acked = true
		}
		if f.acked && i < s.failuresAtStart[e.Run.Task] {
			acked++
		}
	}
	if acked >= simMaxAttempts {
		s.t.Fatalf("%s has started after %d failures that are acknowledged later", e.Run.Task, acked)
	}
}

// deliver delivers an order: at once, delayed and without an answer, or not at all.
func (s *sim) deliver(o Order) {
	fake := s.workers[o.Target()]
	// 0 delays the order, 1 loses it, and all other values deliver it at once. An order
	// to a partitioned worker is delayed or lost.
	delivery := rapid.IntRange(0, 9).Draw(s.t, "delivery")
	if !fake.partitioned && delivery > 1 {
		s.apply(fake, o, s.fence, fake.incarnation, s.now.Add(simLease), true)
		return
	}
	if delivery == 0 {
		delay := time.Duration(rapid.IntRange(1, 60).Draw(s.t, "delay")) * simStep
		s.delayed = append(s.delayed, delayedOrder{
			order:       o,
			fence:       s.fence,
			incarnation: fake.incarnation,
			leaseEnd:    fake.knownLeaseEnd,
			arrivesAt:   s.now.Add(delay),
		})
	}
	fake.logicalTime++
	switch order := o.(type) {
	case Start:
		s.decider.StartAnswered(fake.id, fake.incarnation, order.Run, OutcomeUnknown, fake.logicalTime)
	case Stop:
		s.decider.StopUnanswered(fake.id, fake.incarnation, order.Run)
	case Pace:
	}
}

func (s *sim) applyDelayed() {
	var rest []delayedOrder
	for _, d := range s.delayed {
		fake := s.workers[d.order.Target()]
		switch {
		case d.arrivesAt.After(s.now):
			rest = append(rest, d)
		case !fake.partitioned:
			s.apply(fake, d.order, d.fence, d.incarnation, d.leaseEnd, false)
		}
	}
	s.delayed = rest
}

func (s *sim) apply(fake *fakeWorker, o Order, fence int, incarnation Incarnation, leaseEnd time.Time, answered bool) {
	if fence < fake.fence || incarnation != fake.incarnation {
		return
	}
	fake.fence = fence
	fake.logicalTime++
	switch order := o.(type) {
	case Start:
		s.startRun(fake, order, leaseEnd)
		if answered {
			s.decider.StartAnswered(fake.id, incarnation, order.Run, OutcomeAccepted, fake.logicalTime)
		}
	case Stop:
		if fake.runs[order.Run] != nil {
			s.end(fake, order.Run, EndStopped)
		}
		fake.highestEnded[order.Run.Task] = max(fake.highestEnded[order.Run.Task], order.Run.Attempt)
		if answered {
			s.decider.StopAnswered(fake.id, incarnation, order.Run, fake.logicalTime)
		}
	case Pace:
	}
}

// startRun starts a run on a worker and checks the invariants.
func (s *sim) startRun(fake *fakeWorker, order Start, leaseEnd time.Time) {
	id := order.Run
	if fake.runs[id] != nil || id.Attempt <= fake.highestEnded[id.Task] || s.now.After(leaseEnd) {
		return
	}
	fake.leaseEnd = later(fake.leaseEnd, leaseEnd)
	fake.knownLeaseEnd = later(fake.knownLeaseEnd, leaseEnd)
	job := s.jobs[id.Task.Job]
	speculative := job.Groups[id.Task.Group].Speculative
	beside := 0
	for _, other := range s.ids() {
		for run := range s.workers[other].runs {
			if run.Task != id.Task {
				continue
			}
			beside++
			if !speculative || beside > 1 || other == fake.id {
				s.t.Fatalf("%s runs on %s and starts on %s", id.Task, other, fake.id)
			}
		}
	}
	s.copies += beside
	// The start of a copy may be on its way when the other run ends.
	if at, acked := s.ackedDone[id.Task]; acked && (!speculative || s.now.Sub(at) > time.Second+maxOrderDelay) {
		s.t.Fatalf("%s starts again after its end was acknowledged", id.Task)
	}
	if at, cancelled := s.cancelledAt[job.ID]; cancelled && s.now.Sub(at) > maxStartAfterCancel+maxOrderDelay {
		s.t.Fatalf("%s starts long after its job was cancelled", id.Task)
	}
	if len(s.failed[id.Task]) >= simMaxAttempts {
		s.t.Fatalf("%s starts although it has reached the maximum number of failures", id.Task)
	}
	for _, g := range job.Groups[id.Task.Group].After {
		for index := range job.Groups[g].Count {
			predecessor := aqjob.TaskID{Job: id.Task.Job, Occurrence: id.Task.Occurrence, Group: g, Index: index}
			if !s.everDone[predecessor] {
				s.t.Fatalf("%s starts before %s is done", id.Task, predecessor)
			}
		}
	}
	s.failuresAtStart[id.Task] = len(s.failures[id.Task])
	fake.runs[id] = &fakeRun{
		left:  time.Duration(rapid.IntRange(1, 30).Draw(s.t, "length")) * simStep,
		fails: rapid.IntRange(0, 9).Draw(s.t, "fails") == 0,
	}
	used := aqtype.Resources{}
	for run := range fake.runs {
		used = used.Add(s.jobs[run.Task.Job].Groups[run.Task.Group].Size)
	}
	if !used.Fits(aqtype.Resources{MilliCPU: 4000, Memory: 4000}) {
		s.t.Fatalf("%s runs tasks of %s, more than its capacity", fake.id, used)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// store takes the next batch, or completes the one in flight.
func (s *sim) store() {
	s.storeFleet()
	if s.inFlight == nil {
		batch := s.decider.TakeBatch()
		s.inFlight = &batch
		return
	}
	for _, r := range s.inFlight.Records {
		s.lastRevision++
		s.stored[r.Job] = *r.Progress
		s.revisions[r.Job] = s.lastRevision
		s.decider.RecordStored(r, s.lastRevision)
	}
	s.decider.BatchStored(*s.inFlight)
	s.inFlight = nil
}

// restart restarts a worker under the same id.
func (s *sim) restart(fake *fakeWorker) {
	fake.incarnation++
	fake.fence = 0
	fake.runs = map[RunID]*fakeRun{}
	fake.highestEnded = map[aqjob.TaskID]Attempt{}
	fake.ended = nil
	fake.lastEnd = 0
	fake.lapsedEnd = 0
	fake.leaseEnd = time.Time{}
}

func (s *sim) submit(job *aqjob.Job) {
	s.jobs[job.ID] = job
	s.decider.AddJob(job, nil, 0, false)
}
