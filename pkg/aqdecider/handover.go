package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// EarlierLeases returns the workers of earlier deciders that have not reported to this one, and those that have not reported
// since their leases ended, with how long the leases last at most, stray ones included. Workers of which this decider has
// learned that they have restarted are left out. The caller leaves out those that have reported to an agent.
func (d *Decider) EarlierLeases() map[aqtype.WorkerID]time.Duration {
	leases := make(map[aqtype.WorkerID]time.Duration, len(d.unreported)+len(d.gone))
	for id := range d.gone {
		leases[id] = 0
	}
	for id, until := range d.unreported {
		leases[id] = max(0, until.Sub(d.now))
	}
	for id := range d.restarted {
		delete(leases, id)
	}
	return leases
}

// noteGone notes that the leases of a worker have ended, unless a stray one may last.
func (d *Decider) noteGone(id aqtype.WorkerID) {
	if !d.restarted[id] {
		d.gone[id] = true
	}
}

// LimitWorkerWait brings the deadline of an unreported worker forward to when its leases have certainly ended, as far as an
// earlier decider has known. This one may know of a restart besides. The worker must not have reported to an agent.
func (d *Decider) LimitWorkerWait(id aqtype.WorkerID, until time.Time) {
	last := d.lastLeaseEnd(id, until)
	if before, unreported := d.unreported[id]; unreported && last.Before(before) {
		d.unreported[id] = last
	}
}

// EndsWithLease reports whether all that may run on a worker that no agent reaches ends with the lease that agents have renewed
// in this term: no call to an earlier incarnation, and no earlier decider, is known to make it last longer.
func (d *Decider) EndsWithLease(id aqtype.WorkerID) bool {
	w := d.workers[id]
	if w == nil || w.reported == 0 || w.reachable || d.restarted[id] || d.inheritedRestarts[id] || d.mayHaveStrayLease(w) {
		return false
	}
	_, unreported := d.unreported[id]
	return !unreported && w.runsOfEarlierIncarnation() == 0
}
