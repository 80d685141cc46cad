package aqdecider

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// worker is a worker as this decider knows it.
type worker struct {
	info Worker
	rack aqtype.Rack
	// present is set while service discovery lists the worker.
	present bool
	// enlisted is set when the stored list of workers names this one.
	enlisted bool
	// reachable is set while the worker answers; nothing is started otherwise.
	reachable bool
	// used is what runs reserve, those that are being stopped included.
	used aqtype.Resources
	runs map[RunID]*run
	// strays are runs that are not this decider's. Their sizes are unknown, so
	// nothing is started beside them.
	strays map[RunID]time.Time
	// processed is the number of the last end that was taken into account,
	// stored the last that the store accounts for.
	processed int
	stored    int
	// leavesAt is the least time at which a draining worker leaves.
	leavesAt time.Time
	// avoidUntil keeps new tasks off after a refusal.
	avoidUntil time.Time
	health     health
	// reviewAt is when what runs on the worker is to be reviewed.
	reviewAt time.Time
	// load is nil after a change.
	load *load
}

// labelSeparator divides a rack's label into its parts; other labels have none.
const labelSeparator = "-"

// rackOf finds the rack among a worker's labels: the first is its kind.
func rackOf(labels []string) aqtype.Rack {
	for _, label := range labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, labelSeparator) {
			return aqtype.Rack(label)
		}
	}
	return ""
}

// UpdateWorker takes a worker that service discovery lists.
func (d *Decider) UpdateWorker(listed Worker) {
	w := d.workers[listed.ID]
	if w == nil {
		w = &worker{
			info:   listed,
			runs:   map[RunID]*run{},
			strays: map[RunID]time.Time{},
		}
		d.addWorker(w)
		d.unpersisted[listed.ID] = true
		d.options.Log.Write(aqlog.WorkerListed, workerAttr(listed.ID), slog.String("Service", string(listed.Service)),
			slog.Int64("Life", int64(listed.Incarnation)))
	}
	if listed.Incarnation < w.info.Incarnation {
		return
	}
	if listed.Incarnation != w.info.Incarnation {
		d.newLife(w, listed.Incarnation)
	}
	wasDraining := w.info.Draining
	w.info = listed
	w.invalidateLoad()
	w.rack = rackOf(listed.Labels)
	w.present = true
	if listed.Draining {
		w.reviewAt = time.Time{}
		w.leavesAt = d.now.Add(listed.Remaining)
		if !wasDraining {
			d.options.Log.Write(aqlog.WorkerDraining, workerAttr(listed.ID), slog.Duration("Remaining", listed.Remaining),
				slog.Int("Runs", len(w.runs)))
		}
	}
}

// DelistWorker notes that service discovery lists a worker no more.
func (d *Decider) DelistWorker(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil || !w.present {
		return
	}
	w.present = false
	d.options.Log.Write(aqlog.WorkerUnlisted, workerAttr(id), slog.Int("Runs", len(w.runs)))
	d.dropIfGone(w)
}

// dropIfGone forgets a worker that is not listed, does not answer and can run
// nothing any more.
func (d *Decider) dropIfGone(w *worker) {
	if w.present || w.reachable || len(w.runs) > 0 {
		return
	}
	if _, doubtful := d.unreported[w.info.ID]; doubtful {
		return
	}
	d.removeWorker(w)
	delete(d.unpersisted, w.info.ID)
	delete(d.unstoredEnds, w.info.ID)
}

// place returns where a worker is in the fleet, or would be.
func (d *Decider) place(id aqtype.WorkerID) int {
	position, _ := slices.BinarySearchFunc(d.fleet, id, func(w *worker, id aqtype.WorkerID) int {
		return strings.Compare(string(w.info.ID), string(id))
	})
	return position
}

func (d *Decider) addWorker(w *worker) {
	d.fleetChanges++
	d.workers[w.info.ID] = w
	d.fleet = slices.Insert(d.fleet, d.place(w.info.ID), w)
}

func (d *Decider) removeWorker(w *worker) {
	d.fleetChanges++
	delete(d.workers, w.info.ID)
	position := d.place(w.info.ID)
	d.fleet = slices.Delete(d.fleet, position, position+1)
}

// MarkPersisted notes that the stored list of workers names these: the next decider
// will look for tasks on them.
func (d *Decider) MarkPersisted(ids []aqtype.WorkerID) {
	for _, id := range ids {
		if w := d.workers[id]; w != nil {
			w.enlisted = true
			delete(d.unpersisted, id)
		}
	}
}

// FleetIDs lists the workers that may run something, ordered: those that are
// known, and those of an earlier decider that have not been heard of. The next
// decider must know of them.
func (d *Decider) FleetIDs() []aqtype.WorkerID {
	ids := d.WorkerIDs()
	for id := range d.unreported {
		if d.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// FleetChanges counts the changes of FleetIDs so far.
func (d *Decider) FleetChanges() uint64 { return d.fleetChanges }

// HasUnpersistedWorkers reports whether a worker waits to be stored in the list.
func (d *Decider) HasUnpersistedWorkers() bool { return len(d.unpersisted) > 0 }

// Known reports whether a worker is still of interest.
func (d *Decider) Known(id aqtype.WorkerID) bool { return d.workers[id] != nil }

// Draining reports whether the worker is about to leave.
func (d *Decider) Draining(id aqtype.WorkerID) bool {
	w := d.workers[id]
	return w != nil && w.info.Draining
}

// Occupied reports whether the worker runs anything or is about to.
func (d *Decider) Occupied(id aqtype.WorkerID) bool {
	w := d.workers[id]
	return w != nil && (len(w.runs) > 0 || len(w.strays) > 0)
}

// NeedsFrequentHeartbeats reports whether the worker runs tasks whose tail latency has to
// be followed because of fillers beside them.
func (d *Decider) NeedsFrequentHeartbeats(id aqtype.WorkerID) bool {
	w := d.workers[id]
	if w == nil {
		return false
	}
	serving, filling := false, false
	for _, r := range w.runs {
		serving = serving || r.task.group.spec.TailTarget > 0
		filling = filling || r.task.group.spec.Filler
	}
	return serving && filling
}

// newLife takes a worker's restart. What ran in its earlier life has ended, but
// an order to start that was on its way may still reach the new life: each run is
// stopped there before its task runs elsewhere.
func (d *Decider) newLife(w *worker, life Incarnation) {
	d.options.Log.Write(aqlog.WorkerRestarted, workerAttr(w.info.ID), slog.Int64("Life", int64(life)),
		slog.Int64("Before", int64(w.info.Incarnation)), slog.Int("Runs", len(w.runs)))
	for _, r := range w.runs {
		r.confirmed = 0
		r.state = runStopping
		r.stopAcked = 0
		r.stopUpdatedAt = d.now
		r.reason = "worker restarted"
		d.addOrder(Stop{Worker: w.info.ID, Run: r.id})
	}
	w.invalidateLoad()
	w.info.Incarnation = life
	w.processed = 0
	w.stored = 0
	w.strays = map[RunID]time.Time{}
	w.reachable = false
	w.health = health{}
}

// WorkerUnresponsive notes that a worker does not answer. Its tasks may still run.
func (d *Decider) WorkerUnresponsive(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil || !w.reachable {
		return
	}
	w.reachable = false
	d.options.Log.Write(aqlog.WorkerUnresponsive, workerAttr(id), slog.Int("Runs", len(w.runs)))
	d.dropIfGone(w)
}

// WorkerReassigned notes that another agent deals with a worker from now on: orders
// without a known outcome are given again, and moments start anew.
func (d *Decider) WorkerReassigned(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil {
		return
	}
	w.reachable = false
	for _, r := range w.runs {
		r.confirmed = 0
		r.stopAcked = 0
		r.missedReports = 0
		switch r.state {
		case runStarting:
			r.startResent = true
			d.addOrder(d.startOrder(r))
		case runRunning:
			if r.pace != fullPace {
				d.addOrder(Pace{Worker: id, Run: r.id, Percent: r.pace})
			}
		case runStopping:
			d.addOrder(Stop{Worker: id, Run: r.id})
		}
	}
}

// LeaseExpired notes that a worker that does not answer can run nothing any more: its
// lease has ended on every clock.
func (d *Decider) LeaseExpired(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil {
		return
	}
	if len(w.runs) > 0 {
		d.options.Metrics.Retried(aqmetric.RetryWorkerLost)
		d.options.Log.Write(aqlog.WorkerLeaseExpired, workerAttr(id), slog.Int("Runs", len(w.runs)))
	}
	for _, r := range w.runs {
		d.endRun(r, EndLost, r.checkpoint)
	}
	w.strays = map[RunID]time.Time{}
	w.reachable = false
	d.dropIfGone(w)
}

func workerAttr(id aqtype.WorkerID) slog.Attr { return slog.String("Worker", string(id)) }
