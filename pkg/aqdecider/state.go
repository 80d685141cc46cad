package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// job is one accepted job.
type job struct {
	spec  *aqjob.Job
	queue aqjob.Queue
	// criticalPath is the longest chain of estimated run times.
	criticalPath time.Duration
	// inherited jobs were accepted before this decider began.
	inherited bool
	// acceptedAt is on the steady clock of this process.
	acceptedAt time.Time
	// state is the decision, shown what the store holds of it.
	state       aqjob.State
	finalAt     int64
	storedState aqjob.State
	// started is set with the first start that a worker has taken.
	started     bool
	occurrences map[aqjob.Occurrence]*occurrence
	// next is the first occurrence that has not begun.
	next      aqjob.Occurrence
	doneBelow aqjob.Occurrence
	doneAbove map[aqjob.Occurrence]bool
	// toDelete is set when the job's records are to be removed.
	toDelete bool
	// revision is that of the stored progress, zero while there is none.
	revision aqstore.Revision
}

// occurrence is one run through the job's groups.
type occurrence struct {
	job    *job
	number aqjob.Occurrence
	dueAt  time.Time
	groups []*group
}

// group is one group of one occurrence.
type group struct {
	occurrence *occurrence
	number     int
	spec       *aqjob.Group
	tasks      []*task
	// remaining counts the tasks that are not done.
	remaining int
	// ready is set when every group before it is done.
	ready   bool
	readyAt time.Time
	// roomSince is since when there has been room for a perpetual group's tasks
	// that wait.
	roomSince time.Time
}

// task is one task of a group.
type task struct {
	group *group
	index int
	done  bool
	// run is the current run; a task never has two.
	run     *run
	attempt Attempt
	// failed holds the attempts that have ended failed: the end of one may be
	// seen twice, by two deciders.
	failed []Attempt
	// checkpoint is the progress that the next start resumes from.
	checkpoint string
	// started is set with the first start, and for tasks that an earlier decider may
	// have started.
	started bool
	// reconciled is set when the whereabouts of every earlier run are known.
	reconciled bool
	// avoid lists workers on which the task failed or stood still.
	avoid []aqtype.WorkerID
	// notBefore delays the next start after a refusal.
	notBefore time.Time
}

// runState is what is known of a run.
type runState int

// run is one attempt of a task on a worker, or an unknown run found there.
type run struct {
	id     RunID
	task   *task
	worker *worker
	state  runState
	size   aqtype.Resources
	// startResent is set when the start was ordered through more than one agent.
	startResent bool
	// orderedAt is when the start was decided.
	orderedAt time.Time
	// confirmed is when the worker was known to have the run.
	confirmed LogicalTime
	// stopAcked is when the order to stop was answered, zero before that.
	stopAcked LogicalTime
	// stopUpdatedAt is when the order to stop was decided or answered, whichever was
	// later.
	stopUpdatedAt time.Time
	// resumeFrom is the checkpoint of the start, checkpoint the newest one.
	resumeFrom string
	checkpoint string
	report     RunReport
	reportAt   time.Time
	// progressAt is when the progress last rose.
	progressAt time.Time
	percent    int
	pace       int
	paceAt     time.Time
	// slowSince is when the pace fell below crawlPace.
	slowSince time.Time
	// overTargetSince is when a serving run's tail went over its target.
	overTargetSince time.Time
	// missedReports counts the listings without the run since it was confirmed.
	missedReports int
	// reason is the reason of the order to stop.
	reason string
}

func (t *task) id() aqjob.TaskID {
	return aqjob.TaskID{
		Job:        t.group.occurrence.job.spec.ID,
		Occurrence: t.group.occurrence.number,
		Group:      t.group.number,
		Index:      t.index,
	}
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
