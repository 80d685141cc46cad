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
	// chain is the longest chain of estimated run times.
	chain time.Duration
	// inherited jobs were accepted before this decider began.
	inherited bool
	// acceptedAt is on the steady clock of this process.
	acceptedAt time.Time
	// state is the decision, shown what the store holds of it.
	state   aqjob.State
	finalAt int64
	shown   aqjob.State
	// begun is set with the first start that a worker has taken.
	begun       bool
	occurrences map[aqjob.Occurrence]*occurrence
	// next is the first occurrence that has not begun.
	next      aqjob.Occurrence
	doneBelow aqjob.Occurrence
	doneAbove map[aqjob.Occurrence]bool
	// forget is set when the job's records are to be removed.
	forget bool
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
	// left counts the tasks that are not done.
	left int
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
	// begun is set with the first start, and for tasks that an earlier decider may
	// have started.
	begun bool
	// seen is set when the whereabouts of every earlier run are known.
	seen bool
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
	// doubtful is set when the start was ordered through more than one agent.
	doubtful bool
	// orderedAt is when the start was decided.
	orderedAt time.Time
	// confirmed is when the worker was known to have the run.
	confirmed LogicalTime
	// stopped is when the order to stop was answered, zero before that.
	stopped LogicalTime
	// stopAt is when the order to stop was decided or answered, whichever was
	// later.
	stopAt time.Time
	// resumeFrom is the checkpoint of the start, checkpoint the newest one.
	resumeFrom string
	checkpoint string
	report     RunReport
	reportAt   time.Time
	// movedAt is when the progress last rose.
	movedAt time.Time
	percent int
	pace    int
	paceAt  time.Time
	// crawlSince is when the pace fell below crawlPace.
	crawlSince time.Time
	// overSince is when a serving run's tail went over its target.
	overSince time.Time
	// missing counts the listings without the run since it was confirmed.
	missing int
	// why is the reason of the order to stop.
	why string
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
		if g.left > 0 {
			return false
		}
	}
	return true
}
