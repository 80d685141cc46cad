package aqdecider

import (
	"maps"
	"slices"
	"time"

	"acaciaquay/pkg/aqtype"
)

// A stray lease is one that a call to an earlier incarnation of a worker has given to the present one. The lease end in the
// call is a time on another clock, so the worker may keep what it runs for the longest lease that it
// grants, whatever its agents have renewed. A worker accepts such calls from its restart until it has had a call
// with the token that the leader has raised for it, or one of a later leader.

// expectStrayLease notes that a worker has restarted.
func (d *Decider) expectStrayLease(w *worker) {
	w.unsettled = true
	w.strayLeaseUntil = time.Time{}
	d.nameRestart(w)
}

// nameRestart makes the stored list name a worker as restarted. Nothing is started there before, so that the next leader
// knows how long its runs may last.
func (d *Decider) nameRestart(w *worker) {
	d.restarted[w.info.ID] = true
	delete(d.gone, w.info.ID)
	d.unstoredRestarts[w.info.ID] = true
	d.fleetChanges++
}

// WorkerReplaced notes that a worker which this decider does not know any more has returned in a later incarnation.
func (d *Decider) WorkerReplaced(id aqtype.WorkerID) {
	if w := d.workers[id]; w != nil && !w.unsettled {
		d.expectStrayLease(w)
	}
}

// settle notes that a worker accepts no more calls to its earlier incarnations.
func (d *Decider) settle(w *worker) {
	w.unsettled = false
	w.strayLeaseUntil = d.now.Add(d.options.Limits.LeaseMax)
	if !d.restarted[w.info.ID] {
		d.nameRestart(w)
	}
}

// mayHaveStrayLease reports whether a lease of a call to an earlier incarnation may last.
func (d *Decider) mayHaveStrayLease(w *worker) bool {
	return w.unsettled || d.now.Before(w.strayLeaseUntil)
}

// InheritRestarts records the workers that an earlier decider has named in its stored list as restarted. Their leases
// may last longer by extra than those that agents renew.
func (d *Decider) InheritRestarts(ids []aqtype.WorkerID, extra time.Duration) {
	d.strayExtra = extra
	for _, id := range ids {
		d.inheritRestart(id)
	}
}

func (d *Decider) inheritRestart(id aqtype.WorkerID) {
	if w := d.workers[id]; w != nil && w.reported > 0 {
		if !w.unsettled {
			d.settle(w)
		}
		return
	}
	if d.inheritedRestarts[id] {
		return
	}
	d.inheritedRestarts[id] = true
	if until, unreported := d.unreported[id]; unreported {
		d.unreported[id] = until.Add(d.strayExtra)
	}
}

// settleInherited handles the first report of a worker to this decider: calls of earlier leaders are refused from now
// on.
func (d *Decider) settleInherited(w *worker) {
	if !d.inheritedRestarts[w.info.ID] {
		return
	}
	delete(d.inheritedRestarts, w.info.ID)
	if !w.unsettled {
		d.settle(w)
	}
}

// lastLeaseEnd returns when the lease of a worker of an earlier leader has certainly ended, for the time by which one that
// agents renew has.
func (d *Decider) lastLeaseEnd(id aqtype.WorkerID, renewedEnd time.Time) time.Time {
	if d.inheritedRestarts[id] {
		return renewedEnd.Add(d.strayExtra)
	}
	return renewedEnd
}

// RestartedIDs lists the workers that may have a stray lease, for the next leader.
func (d *Decider) RestartedIDs() []aqtype.WorkerID {
	ids := slices.Collect(maps.Keys(d.restarted))
	for id := range d.inheritedRestarts {
		if _, unreported := d.unreported[id]; unreported && !d.restarted[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MarkRestartsStored records that the stored list names the given workers as restarted.
func (d *Decider) MarkRestartsStored(ids []aqtype.WorkerID) {
	for _, id := range ids {
		delete(d.unstoredRestarts, id)
	}
}

// isStored reports whether the stored list says all of a worker that the next leader must know.
func (d *Decider) isStored(w *worker) bool { return w.persisted && !d.unstoredRestarts[w.info.ID] }

// expireStrayLeases forgets the workers whose stray leases have ended.
func (d *Decider) expireStrayLeases() {
	for id := range d.restarted {
		if w := d.workers[id]; w == nil || !d.mayHaveStrayLease(w) {
			delete(d.restarted, id)
			delete(d.unstoredRestarts, id)
			d.fleetChanges++
		}
	}
}
