package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// UnreportedLeases returns the workers of earlier deciders that have not reported to this one, with how long their leases
// last at most, stray ones included. Workers of which this decider has learned that they have restarted are left out.
func (d *Decider) UnreportedLeases() map[aqtype.WorkerID]time.Duration {
	leases := make(map[aqtype.WorkerID]time.Duration, len(d.unreported))
	for id, until := range d.unreported {
		if !d.restarted[id] {
			leases[id] = max(0, until.Sub(d.now))
		}
	}
	return leases
}

// LimitWorkerWait brings the deadline of an unreported worker forward to when all its leases have certainly ended, stray ones
// included.
func (d *Decider) LimitWorkerWait(id aqtype.WorkerID, until time.Time) {
	if before, unreported := d.unreported[id]; unreported && until.Before(before) {
		d.unreported[id] = until
	}
}
