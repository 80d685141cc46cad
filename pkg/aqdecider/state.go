package aqdecider

import (
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/internal/site/aqexpansion"
	"acaciaquay/internal/site/aqinterference"
	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// job is one accepted job.
type job struct {
	spec  *aqjob.Job
	queue aqjob.Queue
	// inherited jobs were accepted before this decider took over.
	inherited bool
	// acceptedAt is on the monotonic clock of this process.
	acceptedAt time.Time
	// state is StateQueued until the job reaches a final state.
	state   aqjob.State
	finalAt int64
	// storedState is the final state that the store holds, StateQueued if it holds none.
	storedState aqjob.State
	// started is set once a worker has accepted or reported a run of the job.
	started     bool
	occurrences map[aqjob.Occurrence]*occurrence
	// next is the first occurrence whose tasks may not have been created.
	next aqjob.Occurrence
	// queued is whether next waits in the decider's expansion.
	queued bool
	// bytes is the memory of spec while the job is not finished.
	bytes int
	// created is the number of tasks in occurrences.
	created   aqexpansion.Tasks
	doneBelow aqjob.Occurrence
	doneAbove map[aqjob.Occurrence]bool
	// toDelete is set when the job's records are to be deleted.
	toDelete bool
	// revision is that of the stored progress, zero if there is none.
	revision aqstore.Revision
	// changed is the latest progress, stored the latest that the store holds.
	changed progressRevision
	stored  progressRevision
}

// progressRevision counts the changes of a job's progress in one term.
type progressRevision uint64

// occurrence is one execution of the job's groups.
type occurrence struct {
	job    *job
	number aqjob.Occurrence
	dueAt  time.Time
	groups []*group
	// path is the expected length of the longest path as of outlookAt, which is zero before the first outlook.
	path      time.Duration
	outlookAt time.Time
}

// group is one group of one occurrence.
type group struct {
	occurrence *occurrence
	number     int
	spec       *aqjob.Group
	tasks      []*task
	// image is the number of the group's image in the interference model.
	image aqinterference.Image
	// took is how long the first task took that is done, zero if none is.
	took time.Duration
	// pathFrom is the expected length of the longest path from the group on, as of the occurrence's outlookAt.
	pathFrom time.Duration
	// remaining counts the tasks that are not done.
	remaining int
	// ready is set when all groups that this one depends on are done.
	ready   bool
	readyAt time.Time
	// changedAt is when the group could run first, or when a task of it was started or came back
	// last.
	changedAt time.Time
	// overdueSearchAt is when a worker is next looked for if the group is overdue, overduePause
	// the last pause before that.
	overdueSearchAt time.Time
	overduePause    time.Duration
	// idleSince is since when noteWaits has seen the group without a run, zero while it has
	// one.
	idleSince time.Time
	// waitLoggedAt is when the group's wait was logged last, zero if it has not been.
	waitLoggedAt time.Time
	// roomSince is since when workers have had room for the waiting tasks of a
	// perpetual group, zero while they have none.
	roomSince time.Time
	// rackWaitSince is since when tasks of the group have waited for a place on its rack though there was room
	// elsewhere, zero if none has. rackGivenUp is set once none waits for it any more.
	rackWaitSince time.Time
	rackGivenUp   bool
	// placeSince is when a worker first had a place for a waiting task of a perpetual group,
	// zero if none has had one.
	placeSince time.Time
	// siblings holds the durations of the tasks that are done.
	siblings aqspeculation.Siblings
	// usual is what a task of the group usually takes, as found at usualAt; usualBySiblings is set if the
	// group's own tasks say so.
	usual           time.Duration
	usualAt         time.Time
	usualBySiblings bool
	// noCopyWorkerAt is when no worker suited a copy of the group's tasks, zero if one did in the last search.
	noCopyWorkerAt time.Time
}

// task is one task of a group.
type task struct {
	group *group
	index int
	done  bool
	// run is the current run. A task has at most one, or two if copy is set.
	run *run
	// copy is a second run on another worker, of which the first to end counts. It is nil while run is.
	copy    *run
	attempt Attempt
	// failed holds the attempts that ended with a failure. It lists each attempt
	// once, because two deciders may both learn of the same end.
	failed []Attempt
	// checkpoint is the progress that the next start resumes from.
	checkpoint string
	// started is set with the first start, and for tasks that an earlier decider
	// may have started.
	started bool
	// reconciled is set when the task can be started whatever the workers may report that have
	// not reported yet: the job is not inherited, or this decider has started, adopted or ended
	// a run of the task and that run has not failed as a possible last attempt.
	reconciled bool
	// avoid lists workers on which the task failed or made no progress.
	avoid []aqtype.WorkerID
	// refused lists those of avoid that have only refused a start since the task last ran. With
	// many of them it would otherwise try the same ones in turn.
	refused []aqtype.WorkerID
	// history holds the crashes of workers under the task.
	history aqcrash.History
	// trialWorker is held for an isolated run of the task, nil if none is.
	trialWorker *worker
	// trialRevision is the progress that has to be stored before that run is started.
	trialRevision progressRevision
	// trialSince is since when the worker has been held.
	trialSince time.Time
	// moved is set while the task waits because its run was stopped to be moved, movedAt is when
	// that was ordered last, zero if it never was.
	moved   bool
	movedAt time.Time
	// gaveWay is set while the task waits because its run was stopped to make room, gaveWayAt is
	// when that was ordered last, zero if it never was.
	gaveWay   bool
	gaveWayAt time.Time
	// suspectSince is since when the task has waited for an isolated run, zero while it does
	// not.
	suspectSince time.Time
	// notBefore delays the next start after a refusal.
	notBefore time.Time
}

// runState is the state of a run as far as this decider knows.
type runState int

// run is one attempt of a task on a worker, started by this decider or adopted.
type run struct {
	id     RunID
	task   *task
	worker *worker
	state  runState
	size   aqtype.Resources
	// startResent is set when the start was sent through more than one agent.
	startResent bool
	// startUnknown is when the start ended with an unknown outcome that the worker's reports
	// are to show, zero otherwise.
	startUnknown LogicalTime
	// tried is set when the run was started as a trial.
	tried bool
	// orderedAt is when the start was decided.
	orderedAt time.Time
	// startSentAt is when an agent may last have tried to deliver the start, as far as the leader knows.
	startSentAt time.Time
	// startAnswered is set once the agent makes no further attempts to deliver the start in the present
	// assignment.
	startAnswered bool
	// startSettled is set if every attempt to deliver the start was answered, so that none is on its way.
	startSettled bool
	// orderedClock is the worker's clock in the last report before that, zero if not known.
	orderedClock time.Duration
	// confirmed is when the worker accepted or first reported the run.
	confirmed LogicalTime
	// stopAcked is when the worker acknowledged the order to stop, zero before
	// that.
	stopAcked LogicalTime
	// earlierIncarnation is set when the worker has restarted since the start was ordered. The run itself has
	// ended then, but a delayed order may still start it in the worker's present incarnation.
	earlierIncarnation bool
	// mayRunUntil is when a run of an earlier incarnation that a delayed order started in the present one
	// has certainly ended, zero if none can.
	mayRunUntil time.Time
	// stopUpdatedAt is when the order to stop was last decided, sent again or
	// acknowledged.
	stopUpdatedAt time.Time
	// resumeFrom is the checkpoint that the start carried.
	resumeFrom string
	// checkpoint is the latest checkpoint.
	checkpoint string
	report     RunReport
	reportAt   time.Time
	// measuredAt is the worker's clock when it last measured the progress. It is valid only
	// with measured, which is unset until the first report after the run was confirmed or sped
	// up.
	measuredAt time.Duration
	measured   bool
	// progressAt is the worker's clock when the progress last increased, or at the first
	// measurement if that is later.
	progressAt time.Duration
	percent    int
	pace       int
	paceAt     time.Time
	// slowSince is when the pace fell below relocatePace.
	slowSince time.Time
	// moveTriedAt is when another worker was last looked for.
	moveTriedAt time.Time
	// overTargetSince is when the tail latency of a serving run exceeded its
	// target, zero while it does not.
	overTargetSince time.Time
	// reportedIn is Sent of the last report with the run in the present assignment of its
	// worker, zero if there is none.
	reportedIn LogicalTime
	// missedReports counts the consecutive complete reports without the run.
	missedReports int
	// reason is why the run was ordered to stop or its start was refused.
	reason string
	// startedSlowly is set when the run was started at reducedPace since no worker suited its task.
	startedSlowly bool
	// waitedSince is the changedAt of the group before the start.
	waitedSince time.Time
	// moved is set when the run was ordered to stop so that its task can run elsewhere.
	moved bool
	// beginUnknown is set when it is not known how long the run had been running when it was first reported: an
	// earlier decider has started it, or its start may have been carried out late.
	beginUnknown bool
	// baseClock is the worker's clock when the progress was basePercent, zero if it is not known.
	baseClock   time.Duration
	basePercent int
	// speedNotedAt is the worker's clock, and speedPercent the progress, up to which the worker's speed has been
	// noted; speedWhole is the duration of the whole task that followed from it last, zero if none did.
	speedNotedAt time.Duration
	speedPercent int
	speedWhole   time.Duration
	// copyCause is why the run was started as a copy, nil if it was not or has outlived the other run.
	copyCause aqspeculation.Cause
	// watched is set while the run takes longer than its siblings usually do and may get a copy, as found in the
	// last round of startCopies. It stays as it is while there is a copy.
	watched bool
	// copyVerdict is why a copy of the run was left out last.
	copyVerdict aqspeculation.Verdict
}

func (t *task) id() aqjob.TaskID {
	return aqjob.TaskID{
		Job:        t.group.occurrence.job.spec.ID,
		Occurrence: t.group.occurrence.number,
		Group:      t.group.number,
		Index:      t.index,
	}
}

// setRun gives the task a run.
func (t *task) setRun(r *run) {
	t.run = r
	t.reconciled = true
	t.started = true
	t.moved = false
	t.gaveWay = false
	t.suspectSince = time.Time{}
	t.group.idleSince, t.group.waitLoggedAt = time.Time{}, time.Time{}
}

func (g *group) key() GroupID {
	return GroupID{
		Job:        g.occurrence.job.spec.ID,
		Occurrence: g.occurrence.number,
		Group:      g.number,
	}
}

func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		if o.hasRuns() {
			return true
		}
	}
	return false
}

func (o *occurrence) hasRuns() bool {
	for _, g := range o.groups {
		for _, t := range g.tasks {
			if t.run != nil {
				return true
			}
		}
	}
	return false
}

func (o *occurrence) done() bool {
	for _, g := range o.groups {
		if g.remaining > 0 {
			return false
		}
	}
	return true
}
