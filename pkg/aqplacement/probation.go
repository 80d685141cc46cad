package aqplacement

import "acaciaquay/pkg/aqtype"

// Conditions for probation.
const (
	// minFailedKinds is how many different kinds must have failed on a worker since
	// its last success. One is enough if that kind has succeeded on any worker.
	minFailedKinds = 2
	// minFailures is how many failures in a row are needed in addition.
	minFailures = 3
)

type failureStreak struct {
	failures  int
	kinds     map[aqtype.TaskKind]bool
	probation bool
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

// Failed records a failure and reports whether it put the worker on probation.
func (p *Probation) Failed(worker aqtype.WorkerID, kind aqtype.TaskKind) bool {
	streak := p.workers[worker]
	if streak == nil {
		streak = &failureStreak{kinds: map[aqtype.TaskKind]bool{}}
		p.workers[worker] = streak
	}
	streak.failures++
	streak.kinds[kind] = true
	if streak.probation || streak.failures < minFailures {
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

// On reports whether a worker is on probation.
func (p *Probation) On(worker aqtype.WorkerID) bool {
	streak := p.workers[worker]
	return streak != nil && streak.probation
}
