package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// Limits are the bounds that a decider works within.
type Limits struct {
	// DrainMargin is how long before a draining worker leaves its tasks are
	// stopped, so that their ends and checkpoints are still read.
	DrainMargin time.Duration
	// Retention is how long an ended job is kept and shown.
	Retention time.Duration
	// StopGrace is how long a worker takes to stop a run.
	StopGrace time.Duration
	// PaceDelay is how long a change of pace takes to work.
	PaceDelay time.Duration
}

// Options configure a decider.
type Options struct {
	Limits Limits
	// FirstAttempt is the number of the first start of inherited tasks. It is
	// above every number that earlier deciders used.
	FirstAttempt Attempt
	Log          *aqlog.Logger
	Metrics      *aqmetric.Set
}

// Decider holds the state of a site. Its methods must not be called side by
// side.
type Decider struct {
	options Options

	queues  map[aqjob.QueueID]aqjob.Queue
	jobs    map[aqjob.ID]*job
	workers map[aqtype.WorkerID]*worker
	// fleet holds the same workers, ordered by id.
	fleet []*worker
	// fleetChanges counts the changes of FleetIDs.
	fleetChanges uint64
	// recurring holds the jobs with occurrences that are still to begin.
	recurring map[aqjob.ID]*job
	// unstartedJobs counts each queue's jobs of which no task has started.
	unstartedJobs map[aqjob.QueueID]int
	// candidateBuffer is the memory of the last candidates.
	candidateBuffer candidates
	// waiting holds the groups that have tasks to place.
	waiting map[*group]bool
	// unreported holds the workers that may run tasks of an earlier decider and
	// that have not been listed by this one, with the time from which they
	// certainly run none.
	unreported map[aqtype.WorkerID]time.Time
	orders     []Order
	dirty      map[aqjob.ID]*job
	// unstoredEnds holds the workers with ends that the store does not account for yet,
	// unenlisted those that wait to be stored in the list of workers.
	unstoredEnds map[aqtype.WorkerID]bool
	unpersisted  map[aqtype.WorkerID]bool
	ended        []endedJob
	// earlyCancels holds the cancellations of jobs that are not known yet.
	earlyCancels  map[aqjob.ID]time.Time
	model  *interference
	shortUse  shortUse
	advice map[GroupID]*advice
	now    time.Time
	wall   time.Time
}

// endedJob is a job in a final state, in the order of ending.
type endedJob struct {
	id aqjob.ID
	at time.Time
}

// New returns a decider that knows nothing.
func New(o Options) *Decider {
	return &Decider{
		options:       o,
		queues:        map[aqjob.QueueID]aqjob.Queue{},
		jobs:          map[aqjob.ID]*job{},
		workers:       map[aqtype.WorkerID]*worker{},
		recurring:         map[aqjob.ID]*job{},
		unstartedJobs: map[aqjob.QueueID]int{},
		waiting:       map[*group]bool{},
		unreported:    map[aqtype.WorkerID]time.Time{},
		dirty:         map[aqjob.ID]*job{},
		unstoredEnds:  map[aqtype.WorkerID]bool{},
		unpersisted:   map[aqtype.WorkerID]bool{},
		earlyCancels:         map[aqjob.ID]time.Time{},
		model:         newInterference(),
		advice:        map[GroupID]*advice{},
	}
}

// SetTime moves the decider's clocks. Every other method uses them: now is the
// steady clock, wall the time of day for scheduled occurrences.
func (d *Decider) SetTime(now, wall time.Time) {
	d.now = now
	d.wall = wall
}

// SetQueues takes a configuration's queues. Jobs of a queue that is gone keep
// what they were accepted with.
func (d *Decider) SetQueues(queues []aqjob.Queue) {
	d.queues = make(map[aqjob.QueueID]aqjob.Queue, len(queues))
	for _, q := range queues {
		d.queues[q.ID] = q
	}
	for _, j := range d.jobs {
		if q, ok := d.queues[j.queue.ID]; ok {
			j.queue = q
		}
	}
}

// AwaitReports notes workers that may run tasks that an earlier decider started.
// From until on they certainly run none.
func (d *Decider) AwaitReports(ids []aqtype.WorkerID, until time.Time) {
	for _, id := range ids {
		d.unreported[id] = until
	}
	d.fleetChanges++
}

// LimitReportWait brings the time nearer from which unsettled workers certainly run
// none.
func (d *Decider) LimitReportWait(until time.Time) {
	for id, before := range d.unreported {
		if until.Before(before) {
			d.unreported[id] = until
		}
	}
}

// clearUnreported notes that a worker has said what runs on it.
func (d *Decider) clearUnreported(id aqtype.WorkerID) {
	if _, wasUnreported := d.unreported[id]; wasUnreported && d.workers[id] == nil {
		d.fleetChanges++
	}
	delete(d.unreported, id)
}

// hasUnreported reports whether some worker may still run tasks of an earlier decider
// that nobody has seen.
func (d *Decider) hasUnreported() bool {
	for id, until := range d.unreported {
		if d.now.After(until) {
			d.clearUnreported(id)
		}
	}
	return len(d.unreported) > 0
}

// Tick does what is due by time and returns the orders that were decided since
// the last call.
func (d *Decider) Tick() []Order {
	d.beginOccurrences()
	d.reviewWorkers()
	d.plan()
	d.expireJobs()
	orders := d.orders
	d.orders = nil
	return orders
}

// reviewPeriod is how often a worker is reviewed of which nothing new is known.
const reviewPeriod = 200 * time.Millisecond

// reviewWorkers looks at what runs on the workers that have been listed lately, and now
// and then at all others.
func (d *Decider) reviewWorkers() {
	for _, w := range d.fleet {
		if !w.reachable || d.now.Before(w.reviewAt) {
			continue
		}
		w.reviewAt = d.now.Add(reviewPeriod)
		d.evacuate(w)
		d.resendOrders(w)
		d.paceFillers(w)
		d.relocate(w)
	}
}

func (d *Decider) addOrder(o Order) { d.orders = append(d.orders, o) }

// HasWork reports whether decisions wait for Tick.
func (d *Decider) HasWork() bool { return len(d.orders) > 0 || len(d.waiting) > 0 }

// expireJobs forgets jobs whose final state has been shown for long enough.
func (d *Decider) expireJobs() {
	for id, at := range d.earlyCancels {
		if d.now.Sub(at) > d.options.Limits.Retention {
			delete(d.earlyCancels, id)
		}
	}
	for len(d.ended) > 0 && d.now.Sub(d.ended[0].at) > d.options.Limits.Retention {
		j := d.jobs[d.ended[0].id]
		if j != nil && j.hasRuns() {
			return
		}
		if j != nil {
			j.toDelete = true
			d.markDirty(j)
		}
		d.ended = d.ended[1:]
	}
}

// State returns a job's stored state. A decision that has not been stored is
// not shown.
func (d *Decider) State(id aqjob.ID) (aqjob.State, bool) {
	j := d.jobs[id]
	if j == nil {
		return "", false
	}
	if j.storedState.Final() {
		return j.storedState, true
	}
	if j.started {
		return aqjob.StateRunning, true
	}
	return aqjob.StateQueued, true
}

// Pending counts a queue's jobs of which no task has started.
func (d *Decider) Pending(queue aqjob.QueueID) int {
	return d.unstartedJobs[queue]
}

// countUnstarted adds to the number of a queue's jobs that have not begun.
func (d *Decider) countUnstarted(queue aqjob.QueueID, change int) {
	d.unstartedJobs[queue] += change
	if d.unstartedJobs[queue] == 0 {
		delete(d.unstartedJobs, queue)
	}
}

// WorkerIDs lists the workers that may run something, ordered.
func (d *Decider) WorkerIDs() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(d.fleet))
	for _, w := range d.fleet {
		ids = append(ids, w.info.ID)
	}
	return ids
}

func taskAttr(id aqjob.TaskID) slog.Attr { return slog.String("Task", id.String()) }

func jobAttr(id aqjob.ID) slog.Attr { return slog.String("Job", string(id)) }
