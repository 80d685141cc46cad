package aqdecider

import (
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// EarlierRuns are the runs that an agent knew of on a worker when the term of an earlier
// leader ended, none if nothing ran there. That leader may not have stored a crash of the
// worker.
type EarlierRuns struct {
	Worker      aqtype.WorkerID
	Incarnation Incarnation
	Runs        []EarlierRun
}

// EarlierRun is one run of an EarlierRuns.
type EarlierRun struct {
	Run RunID
	// Seen is how long the run was seen to run, zero or less if not at all.
	Seen time.Duration
}

// NoteEarlierRuns notes runs of an earlier term. If neither a run nor its end is reported
// and its worker does not return, the worker has crashed under it.
func (d *Decider) NoteEarlierRuns(earlier EarlierRuns) {
	instance := aqcrash.Instance{
		Worker:      earlier.Worker,
		Incarnation: int64(earlier.Incarnation),
	}
	if len(earlier.Runs) == 0 {
		d.earlierIdle[instance] = true
	}
	for _, r := range earlier.Runs {
		// Of two runs of a task one counts.
		d.earlier[r.Run.Task] = aqcrash.Crash{
			Instance: instance,
			Seen:     r.Seen,
		}
	}
}

// resolveEarlier counts an unreported run of an earlier term as a crash unless its worker
// still runs.
func (d *Decider) resolveEarlier(t *task) {
	if len(d.earlier) == 0 {
		return
	}
	c, ok := d.earlier[t.id()]
	if !ok {
		return
	}
	d.forgetEarlier(t.id())
	if !d.stillRuns(c.Instance) {
		d.recordCrash(t, c)
	}
}

// noteEarlierTrial notes where a trial of an earlier term may run.
func (d *Decider) noteEarlierTrial(t *task) {
	if t.history.Trial != nil {
		d.earlierTrials[*t.history.Trial] = append(d.earlierTrials[*t.history.Trial], t)
	}
}

// dropEarlier drops the runs of earlier terms on a worker that has reported all its runs. A
// later crash is not theirs.
func (d *Decider) dropEarlier(w *worker) {
	for id, c := range d.earlier {
		if c.Instance == w.instance() {
			d.forgetEarlier(id)
		}
	}
	for _, t := range d.earlierTrials[w.instance()] {
		if !t.group.occurrence.job.state.Final() && t.run == nil && t.trialWorker == nil && t.onTrialAt(w) {
			d.endTrial(t)
		}
	}
	delete(d.earlierTrials, w.instance())
}

// forgetEarlier drops what is noted of a task's run of an earlier term.
func (d *Decider) forgetEarlier(id aqjob.TaskID) { delete(d.earlier, id) }

// stillRuns reports whether an instance of a worker is known to run.
func (d *Decider) stillRuns(instance aqcrash.Instance) bool {
	w := d.workers[instance.Worker]
	return w != nil && w.reachable && w.instance() == instance
}
