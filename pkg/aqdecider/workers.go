package aqdecider

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"acaciaquay/internal/site/aqspeed"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// worker is the state of one worker.
type worker struct {
	info Worker
	rack aqtype.Rack
	// reported is the incarnation of the last report, zero before the first. Until a worker
	// has reported, its entries may be those of another writer.
	reported Incarnation
	// present is set while service discovery lists the worker.
	present bool
	// persisted is set when the stored list of workers includes this one.
	persisted bool
	// unsettled is set from a restart until the first report with Settled.
	unsettled bool
	// strayLeaseUntil is until when a stray lease may last, zero if none can.
	strayLeaseUntil time.Time
	// emptySince is since when the worker has been known to run nothing, with all its ends
	// stored, and has not been reachable; zero while that is not so. silent is set once that has
	// lasted for silenceTimeout; nothing can run on the worker for this leader until it reports.
	emptySince time.Time
	silent     bool
	// reachable is set while the worker answers heartbeats. Otherwise nothing is
	// started on it.
	reachable bool
	// reportedAt is when the worker last reported.
	reportedAt time.Time
	// clock is the highest clock in a report of this incarnation, zero if none had one.
	clock time.Duration
	// used is what the runs reserve, including those that are being stopped.
	used aqtype.Resources
	runs map[RunID]*run
	// orphans holds the reported runs that no task needs, with the time of the last
	// order to stop them. Their sizes are unknown, so nothing is started on the
	// worker meanwhile.
	orphans map[RunID]time.Time
	// processedEnds is the number of the last end that was processed, storedEnds of
	// the last whose effects are stored.
	processedEnds int
	storedEnds    int
	// leavesAt is the earliest time at which a draining worker leaves, zero if this incarnation
	// has not been listed as draining.
	leavesAt time.Time
	// coldUntil is until when the worker is slow after its start.
	coldUntil time.Time
	// avoidUntil is the time before which nothing is started after a refusal.
	avoidUntil time.Time
	health     health
	// disturbedAt is when the last window began in which fillers that may do harm were started or
	// resumed, zero if there was none.
	disturbedAt time.Time
	// trial is the suspected task that the worker is held for, nil if there is none.
	trial *task
	// overSince is since when the runs reserve more than the capacity, which has shrunk
	// under them; zero while they fit.
	overSince time.Time
	// reviewAt is when the runs of the worker are reviewed next.
	reviewAt time.Time
	// slow is set while the worker has been measured as slow with some work. Of others no slowdown has to be looked
	// up.
	slow bool
	// load is a cache, nil after a change.
	load *load
}

// labelSeparator separates the parts of a rack's label. Other labels do not contain it.
const labelSeparator = "-"

// rackOf returns the rack among a worker's labels: the first label that starts with r
// and contains the separator. The first of all labels is the worker's kind.
func rackOf(labels []string) aqtype.Rack {
	for _, label := range labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, labelSeparator) {
			return aqtype.Rack(label)
		}
	}
	return ""
}

// UpdateWorker adds or updates a worker from service discovery. The caller passes the
// entries of a worker in the order of their revisions.
func (d *Decider) UpdateWorker(info Worker) {
	w := d.workers[info.ID]
	if w == nil {
		w = d.newWorker(info)
		d.resumeSearches()
		d.unpersisted[info.ID] = true
		d.options.Log.Write(aqlog.WorkerListed, workerAttr(info.ID), slog.String("Service", string(info.Service)),
			slog.Int64("Life", int64(info.Incarnation)))
	}
	if info.Incarnation < w.reported {
		return
	}
	if info.Incarnation != w.info.Incarnation {
		d.workerRestarted(w, info.Incarnation)
	}
	wasDraining := w.info.Draining
	before := w.info.Capacity
	if !w.present || !slices.Equal(w.info.Labels, info.Labels) {
		d.resumeSearches()
	}
	if !w.info.SameInstance(info) {
		d.fleetChanges++
	}
	w.info = info
	w.invalidateLoad()
	w.rack = rackOf(info.Labels)
	w.present = true
	w.coldUntil = d.now.Add(info.Cold)
	if info.Capacity != before {
		d.capacityChanged(w, before)
	}
	if info.Draining {
		w.reviewAt = time.Time{}
		// The same entry may be applied again later.
		if leavesAt := d.now.Add(info.Remaining); !wasDraining || w.leavesAt.IsZero() || leavesAt.Before(w.leavesAt) {
			w.leavesAt = leavesAt
		}
		if !wasDraining {
			d.options.Log.Write(aqlog.WorkerDraining, workerAttr(info.ID), slog.Duration("Remaining", info.Remaining),
				slog.Int("Runs", len(w.runs)))
		}
	}
}

func (d *Decider) newWorker(info Worker) *worker {
	w := &worker{
		info:       info,
		rack:       rackOf(info.Labels),
		emptySince: d.now,
		runs:       map[RunID]*run{},
		orphans:    map[RunID]time.Time{},
		slow:       d.speeds.Of(info.ID, aqspeed.AllWork, d.now) > unnoticedSlowdown,
	}
	d.addWorker(w)
	return w
}

// RestoreWorker adds a worker that an earlier leader knew and that service discovery does not list now, so that
// it can report what still runs there. Nothing is started on it until it is listed. One that is listed in a later
// incarnation has restarted, which the earlier leader may not have learned.
func (d *Decider) RestoreWorker(info Worker) {
	if w := d.workers[info.ID]; w != nil {
		if w.info.Incarnation > info.Incarnation {
			d.inheritRestart(info.ID)
		}
		return
	}
	d.newWorker(info).persisted = true
}

// DelistWorker handles a worker's removal from service discovery.
func (d *Decider) DelistWorker(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil || !w.present {
		return
	}
	w.present = false
	d.options.Log.Write(aqlog.WorkerUnlisted, workerAttr(id), slog.Int("Runs", len(w.runs)))
	d.dropIfGone(w)
}

// dropIfGone removes a worker that is not listed, does not answer and can no longer
// run anything.
func (d *Decider) dropIfGone(w *worker) {
	if w.present || w.reachable || len(w.runs) > 0 {
		return
	}
	if _, unreported := d.unreported[w.info.ID]; unreported {
		return
	}
	d.removeWorker(w)
	d.unpersisted[w.info.ID] = true
	delete(d.unstoredEnds, w.info.ID)
}

// fleetIndex returns the position of a worker in the fleet, or where to insert it.
func (d *Decider) fleetIndex(id aqtype.WorkerID) int {
	position, _ := slices.BinarySearchFunc(d.fleet, id, func(w *worker, id aqtype.WorkerID) int {
		return strings.Compare(string(w.info.ID), string(id))
	})
	return position
}

func (d *Decider) addWorker(w *worker) {
	d.fleetChanges++
	d.workers[w.info.ID] = w
	d.fleet = slices.Insert(d.fleet, d.fleetIndex(w.info.ID), w)
}

func (d *Decider) removeWorker(w *worker) {
	d.fleetChanges++
	delete(d.workers, w.info.ID)
	d.speeds.Forget(w.info.ID)
	position := d.fleetIndex(w.info.ID)
	d.fleet = slices.Delete(d.fleet, position, position+1)
}

// MarkPersisted records that the stored list of workers consists of the given ones, so
// that the next leader finds the runs on them.
func (d *Decider) MarkPersisted(ids []aqtype.WorkerID) {
	for id := range d.unpersisted {
		if w := d.workers[id]; (w == nil || w.silent) && !slices.Contains(ids, id) {
			delete(d.unpersisted, id)
		}
	}
	for _, id := range ids {
		if w := d.workers[id]; w != nil && !w.silent {
			w.persisted = true
			delete(d.unpersisted, id)
		}
	}
}

// silenceTimeout is how long a worker that runs nothing and is not reachable stays in the
// stored list. It is several heartbeats.
const silenceTimeout = 3 * time.Second

// noteSilence removes a worker that runs nothing and does not report from the stored list: the
// next leader would wait until every lease on it has expired, and its entry may be another
// writer's.
func (d *Decider) noteSilence(w *worker) {
	if w.reachable || len(w.runs) > 0 || len(w.orphans) > 0 || w.processedEnds > w.storedEnds {
		w.emptySince = time.Time{}
		return
	}
	if w.emptySince.IsZero() {
		w.emptySince = d.now
	}
	if w.silent || d.now.Sub(w.emptySince) < silenceTimeout {
		return
	}
	if until, unreported := d.unreported[w.info.ID]; unreported {
		if !d.now.After(until) {
			return
		}
		d.noteGone(w.info.ID)
	}
	d.clearUnreported(w.info.ID)
	w.silent = true
	w.persisted = false
	d.unpersisted[w.info.ID] = true
	d.fleetChanges++
}

// noteFirstReport returns a worker that was silent to the stored list, before it is used.
func (d *Decider) noteFirstReport(w *worker) {
	if !w.silent {
		return
	}
	w.silent = false
	d.unpersisted[w.info.ID] = true
	d.fleetChanges++
}

// FleetIDs returns the sorted ids of the workers that may run something: the known
// ones but those that are silent, and those of an earlier leader that have not reported yet.
// They are stored for the next leader, which must find every run.
func (d *Decider) FleetIDs() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(d.fleet))
	for _, w := range d.fleet {
		if !w.silent {
			ids = append(ids, w.info.ID)
		}
	}
	for id := range d.unreported {
		if d.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// FleetEntries returns the last entries of the workers of FleetIDs as far as they are known, so that the next
// leader reaches those that are not listed then.
func (d *Decider) FleetEntries() []Worker {
	entries := make([]Worker, 0, len(d.fleet))
	for _, w := range d.fleet {
		if !w.silent {
			entry := w.info
			entry.Draining, entry.Remaining, entry.Cold = false, 0, 0
			entries = append(entries, entry)
		}
	}
	return entries
}

// FleetChanges counts the changes of FleetIDs, and of where the workers are reached, so far.
func (d *Decider) FleetChanges() uint64 { return d.fleetChanges }

// HasUnpersistedWorkers reports whether a worker, or its restart, is missing from the stored list.
func (d *Decider) HasUnpersistedWorkers() bool {
	return len(d.unpersisted) > 0 || len(d.unstoredRestarts) > 0
}

// Known reports whether the decider still tracks a worker.
func (d *Decider) Known(id aqtype.WorkerID) bool { return d.workers[id] != nil }

// Draining reports whether the worker is about to leave.
func (d *Decider) Draining(id aqtype.WorkerID) bool {
	w := d.workers[id]
	return w != nil && w.info.Draining
}

// Occupied reports whether the worker has runs, including starting and orphaned ones.
func (d *Decider) Occupied(id aqtype.WorkerID) bool {
	w := d.workers[id]
	return w != nil && (len(w.runs) > 0 || len(w.orphans) > 0)
}

// NeedsFrequentHeartbeats reports whether the worker runs both serving tasks and
// fillers, so that the tail latency has to be followed closely, or a task that may get a copy.
func (d *Decider) NeedsFrequentHeartbeats(id aqtype.WorkerID) bool {
	w := d.workers[id]
	if w == nil {
		return false
	}
	serving, filling, watched := false, false, false
	for _, r := range w.runs {
		serving = serving || r.task.group.spec.TailTarget > 0
		filling = filling || r.task.group.spec.Filler
		watched = watched || (r.watched && r.state == runRunning)
	}
	return (serving && filling) || watched
}

// WorkerUnresponsive handles a worker that does not answer heartbeats. Its tasks may
// still run.
func (d *Decider) WorkerUnresponsive(id aqtype.WorkerID) {
	w := d.workers[id]
	if w == nil || !w.reachable {
		return
	}
	w.reachable = false
	d.options.Log.Write(aqlog.WorkerUnresponsive, workerAttr(id), slog.Int("Runs", len(w.runs)))
	d.recordCrashes(w)
	d.dropIfGone(w)
}

func workerAttr(id aqtype.WorkerID) slog.Attr { return slog.String("Worker", string(id)) }
