package aqdecider

import (
	"log/slog"
	"slices"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/internal/site/aqexpansion"
	"acaciaquay/internal/site/aqinterference"
	"acaciaquay/internal/site/aqspeed"
	"acaciaquay/internal/site/aqurgency"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// Limits holds the time limits of a decider.
type Limits struct {
	// DrainMargin is how long before the departure of a draining worker its tasks
	// are stopped, so that the worker can still report their ends and checkpoints.
	DrainMargin time.Duration
	// Retention is how long an ended job stays visible before its records are
	// deleted.
	Retention time.Duration
	// StopGrace is how long a worker takes to stop a run.
	StopGrace time.Duration
	// PaceDelay is how long a change of pace takes to have an effect.
	PaceDelay time.Duration
	// OffRackFactor is how many times as long a task takes on another rack than its data or its gang. Up to 1 no
	// task waits for a rack.
	OffRackFactor float64
	// LeaseMax is the longest time for which a worker runs a task without a renewal of its lease, whatever
	// the lease end in an order.
	LeaseMax time.Duration
	// Tasks limits the tasks of unfinished occurrences that are held at the same time. Further occurrences wait.
	// Zero means no limit.
	Tasks int
	// JobBytes is the memory for unfinished jobs without their tasks. Room tells what is left. Zero
	// means no limit.
	JobBytes int
}

// Options configure a decider.
type Options struct {
	Limits Limits
	// FirstAttempt is the number after which the attempts of inherited tasks
	// continue. Earlier deciders used no higher number.
	FirstAttempt Attempt
	Log          *aqlog.Logger
	Metrics      *aqmetric.Set
}

// Decider holds the state of a site. It is not safe for concurrent use.
type Decider struct {
	options Options

	queues  map[aqjob.QueueID]aqjob.Queue
	jobs    map[aqjob.ID]*job
	workers map[aqtype.WorkerID]*worker
	// fleet holds the same workers, ordered by id.
	fleet []*worker
	// fleetChanges counts the changes of FleetIDs.
	fleetChanges uint64
	// recurring holds the recurring jobs with occurrences that have not started.
	recurring map[aqjob.ID]*job
	// expansion holds the due occurrences whose tasks are not created.
	expansion *aqexpansion.Queue
	// jobBytes is the memory of the unfinished jobs without their tasks.
	jobBytes int
	// unstartedJobs counts each queue's jobs of which no task has started.
	unstartedJobs map[aqjob.QueueID]int
	// candidateBuffer is reused for the candidates of each group.
	candidateBuffer candidates
	// waiting holds the groups with tasks that need a worker.
	waiting map[*group]bool
	// unreported holds the workers that may still run tasks of an earlier decider
	// and have not reported to this one, with the time at which their leases have
	// certainly expired.
	unreported map[aqtype.WorkerID]time.Time
	orders     []Order
	// ordered counts the orders in orders by worker.
	ordered map[aqtype.WorkerID]int
	dirty   map[aqjob.ID]*job
	// unstoredEnds holds the workers with ended runs whose effects are not stored
	// yet.
	unstoredEnds map[aqtype.WorkerID]bool
	// unpersisted holds the workers that are missing from the stored list of workers, and
	// those that it still includes though nothing can run on them.
	unpersisted map[aqtype.WorkerID]bool
	ended       []endedJob
	// exposed holds, by worker, the tasks with a recorded crash of that worker, which may
	// turn out to have been unreachable only.
	exposed map[aqtype.WorkerID]exposure
	// earlier holds the runs of earlier terms that agents have told of.
	earlier map[aqjob.TaskID]aqcrash.Crash
	// earlierIdle holds the workers without a run of an earlier term by what agents have told.
	earlierIdle map[aqcrash.Instance]bool
	// earlierTrials holds the tasks with a trial of an earlier term, by where it may run.
	earlierTrials map[aqcrash.Instance][]*task
	// restarted holds the workers in whose present incarnation a lease may last that a call to an earlier one has
	// given. unstoredRestarts holds those of them that the stored list does not name.
	restarted        map[aqtype.WorkerID]bool
	unstoredRestarts map[aqtype.WorkerID]bool
	// inheritedRestarts holds those that an earlier decider has named and that have not reported to this one.
	inheritedRestarts map[aqtype.WorkerID]bool
	// strayExtra is how much longer their leases may last than those that agents renew.
	strayExtra time.Duration
	// cancelled holds the jobs of cancellations, known or not.
	cancelled map[aqjob.ID]bool
	// cancellations lists the same in the order in which this decider has learned of them.
	cancellations []cancellation
	// expiredCancels holds the jobs whose stored cancellations are to be deleted.
	expiredCancels []aqjob.ID
	// startsHeld is set while nothing may be started.
	startsHeld bool
	model      *aqinterference.Model
	// durations is what the tasks of each queue have taken in this term.
	durations aqurgency.Durations
	// harmedShares caches the model's answers of one round of decisions.
	harmedShares map[aqinterference.Image]float64
	// fillerShortages holds the classes of fillers for which no worker was found of late.
	fillerShortages map[placementClass]fillerShortage
	// workersSearched counts the workers that searches for better ones have looked at in one
	// round of decisions.
	workersSearched int
	// overdueLooks counts the workers that searches for overdue fillers have looked at in one
	// round of decisions. nextLook is where in the fleet the last of them ended.
	overdueLooks int
	nextLook     int
	// restingNext is the position of the group that tryResting has looked at last, if it cannot
	// look at all in one round.
	restingNext int
	// waitsNotedAt is when the waits of groups were looked at last.
	waitsNotedAt time.Time
	shortUse     shortUse
	// forecasts holds what the present round of decisions expects of racks, rackShortages when a group last found too little room there.
	forecasts     rackForecasts
	rackShortages map[aqtype.Rack]time.Time
	// busy holds the services of which most processors are reserved, for the patience of fillers.
	busy   map[aqjob.ServiceID]bool
	advice map[GroupID]*advice
	// zones holds the conditions of the zones, nil if nobody evacuates zones. evacuatedAt holds since when this decider
	// knows of each evacuation, and emptied the evacuated zones that have been found empty.
	zones       map[aqtype.Zone]aqevacuation.Condition
	evacuatedAt map[aqtype.Zone]time.Time
	emptied     map[aqtype.Zone]bool
	// leaving holds the tasks on their way out of evacuated zones with the workers that had room for them.
	leaving map[*task]*worker
	// leaveAt is when the evacuated zones are looked at next, leaveFrom the position in the fleet where that begins.
	leaveAt   time.Time
	leaveFrom int
	// speculative holds the groups that are ready and whose tasks may have copies, copiesReviewedAt is when
	// they were looked at last.
	speculative      map[*group]bool
	copiesReviewedAt time.Time
	// times holds what has been measured of the tasks of each queue, speeds of the workers.
	times  map[aqjob.QueueID]*queueTimes
	speeds *aqspeed.Table
	now    time.Time
	wall   time.Time
}

// endedJob is a job in a final state. Decider.ended lists them in order of ending.
type endedJob struct {
	id aqjob.ID
	at time.Time
}

// New returns a decider without jobs and workers.
func New(o Options) *Decider {
	return &Decider{
		options:       o,
		queues:        map[aqjob.QueueID]aqjob.Queue{},
		jobs:          map[aqjob.ID]*job{},
		workers:       map[aqtype.WorkerID]*worker{},
		recurring:     map[aqjob.ID]*job{},
		expansion:     aqexpansion.New(aqexpansion.Tasks(o.Limits.Tasks)),
		unstartedJobs: map[aqjob.QueueID]int{},
		waiting:       map[*group]bool{},
		unreported:    map[aqtype.WorkerID]time.Time{},
		ordered:       map[aqtype.WorkerID]int{},
		dirty:         map[aqjob.ID]*job{},
		unstoredEnds:  map[aqtype.WorkerID]bool{},
		unpersisted:   map[aqtype.WorkerID]bool{},
		cancelled:     map[aqjob.ID]bool{},
		restarted:     map[aqtype.WorkerID]bool{},
		exposed:       map[aqtype.WorkerID]exposure{},
		earlier:       map[aqjob.TaskID]aqcrash.Crash{},
		earlierIdle:   map[aqcrash.Instance]bool{},
		earlierTrials: map[aqcrash.Instance][]*task{},
		model:         aqinterference.New(),
		harmedShares:  map[aqinterference.Image]float64{},

		unstoredRestarts:  map[aqtype.WorkerID]bool{},
		inheritedRestarts: map[aqtype.WorkerID]bool{},

		fillerShortages: map[placementClass]fillerShortage{},
		advice:          map[GroupID]*advice{},
		busy:            map[aqjob.ServiceID]bool{},

		evacuatedAt:   map[aqtype.Zone]time.Time{},
		emptied:       map[aqtype.Zone]bool{},
		leaving:       map[*task]*worker{},
		rackShortages: map[aqtype.Rack]time.Time{},
		speculative:   map[*group]bool{},
		times:         map[aqjob.QueueID]*queueTimes{},
		speeds:        aqspeed.New(),
	}
}

// SetTime sets the time that all other methods use: now is read from the monotonic
// clock, and wall from the wall clock. Recurring jobs start by the wall clock.
func (d *Decider) SetTime(now, wall time.Time) {
	d.now = now
	d.wall = wall
}

// SetQueues applies the queues of a configuration. Jobs of a removed queue keep its
// last settings.
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

// AwaitReports records workers that may still run tasks of an earlier decider. Their
// leases, as far as agents renew them, have certainly expired by the time until. A later time known for a worker stays.
func (d *Decider) AwaitReports(ids []aqtype.WorkerID, until time.Time) {
	for _, id := range ids {
		if last := d.lastLeaseEnd(id, until); last.After(d.unreported[id]) {
			d.unreported[id] = last
		}
	}
	d.fleetChanges++
}

// LimitReportWait brings the deadline of all unreported workers forward to when their leases have certainly
// expired, as far as agents renew them.
func (d *Decider) LimitReportWait(until time.Time) {
	for id, before := range d.unreported {
		if last := d.lastLeaseEnd(id, until); last.Before(before) {
			d.unreported[id] = last
		}
	}
}

// clearUnreported removes a worker that has reported its runs or whose deadline has
// passed.
func (d *Decider) clearUnreported(id aqtype.WorkerID) {
	if _, wasUnreported := d.unreported[id]; wasUnreported && d.workers[id] == nil {
		d.fleetChanges++
		d.unpersisted[id] = true
	}
	delete(d.unreported, id)
}

// hasUnreported reports whether a worker may still run tasks of an earlier decider
// that it has not reported. It first drops the workers whose deadline has passed.
func (d *Decider) hasUnreported() bool {
	for id, until := range d.unreported {
		if d.now.After(until) {
			d.clearUnreported(id)
		}
	}
	return len(d.unreported) > 0
}

// Tick does all work that is due and returns the orders decided since the last
// call.
func (d *Decider) Tick() []Order {
	clear(d.harmedShares)
	d.workersSearched = 0
	d.overdueLooks = 0
	d.queueDueOccurrences()
	d.createDue()
	d.reviewWorkers()
	if !d.startsHeld {
		d.leaveZones()
		d.plan()
		d.tryResting()
		d.startCopies()
	}
	d.noteWaits()
	d.expireJobs()
	orders := d.orders
	d.orders = nil
	clear(d.ordered)
	return orders
}

// reviewPeriod is how often a worker is reviewed without a new report.
const reviewPeriod = 200 * time.Millisecond

// reviewWorkers checks the runs of each reachable worker after a report, and every
// reviewPeriod otherwise.
func (d *Decider) reviewWorkers() {
	for _, w := range d.fleet {
		d.noteSilence(w)
		if !w.reachable || d.now.Before(w.reviewAt) {
			continue
		}
		w.reviewAt = d.now.Add(reviewPeriod)
		d.stopDraining(w)
		d.resendOrders(w)
		d.paceFillers(w)
		if !d.startsHeld {
			d.relocate(w)
		}
	}
}

func (d *Decider) addOrder(o Order) {
	d.orders = append(d.orders, o)
	d.ordered[o.Target()]++
}

// dropOrders drops the orders to a worker that Tick has not returned yet.
func (d *Decider) dropOrders(id aqtype.WorkerID) {
	if d.ordered[id] == 0 {
		return
	}
	delete(d.ordered, id)
	d.orders = slices.DeleteFunc(d.orders, func(o Order) bool { return o.Target() == id })
}

// HasWork reports whether Tick has orders to return or tasks to place.
func (d *Decider) HasWork() bool { return len(d.orders) > 0 || len(d.waiting) > 0 }

// expireJobs marks ended jobs for deletion after the retention period, and cancellations after them.
func (d *Decider) expireJobs() {
	d.expireCancellations()
	d.expireStrayLeases()
	d.expireExposures()
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

// State returns the state that submitters see. A final state is visible only once
// it is stored.
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

// PendingByQueue returns the counts above zero of all queues. The caller must not change
// or keep the result.
func (d *Decider) PendingByQueue() map[aqjob.QueueID]int { return d.unstartedJobs }

// countUnstarted changes the number of a queue's unstarted jobs.
func (d *Decider) countUnstarted(queue aqjob.QueueID, change int) {
	d.unstartedJobs[queue] += change
	if d.unstartedJobs[queue] == 0 {
		delete(d.unstartedJobs, queue)
	}
}

// WorkerIDs lists the known workers in order of their ids.
func (d *Decider) WorkerIDs() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(d.fleet))
	for _, w := range d.fleet {
		ids = append(ids, w.info.ID)
	}
	return ids
}

func taskAttr(id aqjob.TaskID) slog.Attr { return slog.String("Task", id.String()) }

func jobAttr(id aqjob.ID) slog.Attr { return slog.String("Job", string(id)) }
