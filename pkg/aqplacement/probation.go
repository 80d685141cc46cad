package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Conditions for probation.
const (
	// minFailedKinds is how many different kinds must have failed on a worker since
	// its last success. One is enough if that kind has succeeded on any worker.
	minFailedKinds = 2
	// minFailures is how many failures in a row are needed in addition.
	minFailures = 3
)

// soundAfter is how long a lasting task must run on a worker on probation to end it.
const soundAfter = 20 * time.Second

// RestAfterTry is how long a worker on probation gets no task after a try has failed.
const RestAfterTry = 2 * time.Second

type failureStreak struct {
	failures  int
	kinds     map[aqtype.TaskKind]bool
	probation bool
	// probe is the task that has been started since the probation began and still runs, nil
	// if there is none.
	probe *aqtype.TaskID
	// restUntil is until when the worker gets no task after a failed try.
	restUntil time.Time
}

// Probation distinguishes workers on which everything fails from jobs that fail
// everywhere. It is not safe for concurrent use.
type Probation struct {
	workers map[aqtype.WorkerID]*failureStreak
	// healthy holds the kinds that have succeeded on any worker.
	healthy map[aqtype.TaskKind]bool
}

// NewProbation returns an empty record.
func NewProbation() *Probation {
	return &Probation{
		workers: map[aqtype.WorkerID]*failureStreak{},
		healthy: map[aqtype.TaskKind]bool{},
	}
}

// Succeeded records a success, which ends the worker's probation.
func (p *Probation) Succeeded(worker aqtype.WorkerID, kind aqtype.TaskKind) {
	p.healthy[kind] = true
	delete(p.workers, worker)
}

// Failed records a failure and reports whether it put the worker on probation. A failure on
// probation begins a rest.
func (p *Probation) Failed(worker aqtype.WorkerID, kind aqtype.TaskKind, now time.Time) bool {
	streak := p.workers[worker]
	if streak == nil {
		streak = &failureStreak{kinds: map[aqtype.TaskKind]bool{}}
		p.workers[worker] = streak
	}
	streak.failures++
	streak.kinds[kind] = true
	if streak.probation {
		streak.restUntil = now.Add(RestAfterTry)
		return false
	}
	if streak.failures < minFailures {
		return false
	}
	healthyKinds := 0
	for k := range streak.kinds {
		if p.healthy[k] {
			healthyKinds++
		}
	}
	streak.probation = healthyKinds >= 1 || len(streak.kinds) >= minFailedKinds
	return streak.probation
}

// Started records a start on a worker.
func (p *Probation) Started(worker aqtype.WorkerID, task aqtype.TaskID) {
	if p.On(worker) {
		p.workers[worker].probe = &task
	}
}

// Ended records the end of a task's attempt on a worker, whatever its outcome.
func (p *Probation) Ended(worker aqtype.WorkerID, task aqtype.TaskID) {
	if streak := p.workers[worker]; streak != nil && streak.probe != nil && *streak.probe == task {
		streak.probe = nil
	}
}

// Ran records that a lasting task has run for a time. It ends the probation if the task was
// started in it.
func (p *Probation) Ran(worker aqtype.WorkerID, task aqtype.TaskID, ran time.Duration) {
	streak := p.workers[worker]
	if streak != nil && streak.probe != nil && *streak.probe == task && ran >= soundAfter {
		delete(p.workers, worker)
	}
}

// MayStart reports whether a task may be started on the worker. A worker on probation gets
// one task at a time, and rests after one that has failed. The tasks that it has had before do
// not count: services may never end.
func (p *Probation) MayStart(worker aqtype.WorkerID, now time.Time) bool {
	if !p.On(worker) {
		return true
	}
	streak := p.workers[worker]
	return streak.probe == nil && !now.Before(streak.restUntil)
}

// On reports whether a worker is on probation.
func (p *Probation) On(worker aqtype.WorkerID) bool {
	streak := p.workers[worker]
	return streak != nil && streak.probation
}
