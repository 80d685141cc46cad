package aqdecider

import (
	"maps"
	"slices"
	"sort"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Record is a job's progress to be stored.
type Record struct {
	Job aqjob.ID
	// Expect is the revision of the record that this one replaces.
	Expect   aqstore.Revision
	Progress *aqjob.Progress
	// Delete is set if the job's records are to be deleted instead.
	Delete bool
	// Remainder replaces the stored job that has ended, nil for any other.
	Remainder *aqjob.Job
	// state is the job's state once the record is stored.
	state aqjob.State
	// changed is the progress that the record holds.
	changed progressRevision
}

// Batch holds the records that are written to the store together.
type Batch struct {
	Records []Record
	// ExpiredCancels lists the jobs whose cancellations are to be deleted.
	ExpiredCancels []aqjob.ID
	// ends holds, by worker, the last end whose effects the records include.
	ends map[aqtype.WorkerID]endCursor
}

// endCursor is a position in the sequence of ends of one incarnation of a worker.
type endCursor struct {
	incarnation Incarnation
	number      int
}

// markDirty schedules a job's progress to be stored.
func (d *Decider) markDirty(j *job) {
	j.changed++
	d.dirty[j.spec.ID] = j
}

// Dirty reports whether there are records to store, cancellations to delete, ends to acknowledge or workers to
// add to the stored list.
func (d *Decider) Dirty() bool {
	return len(d.dirty) > 0 || len(d.expiredCancels) > 0 || len(d.unstoredEnds) > 0 || d.HasUnpersistedWorkers()
}

// HasUnstoredFinalState reports whether a job has reached a final state that is not
// stored yet. Its submitter does not see the state before.
func (d *Decider) HasUnstoredFinalState() bool {
	for _, j := range d.dirty {
		if j.state.Final() && !j.storedState.Final() {
			return true
		}
	}
	return false
}

// TakeBatch returns all unstored records. At most one batch is in flight at a time.
func (d *Decider) TakeBatch() Batch {
	b := Batch{
		ExpiredCancels: d.expiredCancels,
		ends:           map[aqtype.WorkerID]endCursor{},
	}
	d.expiredCancels = nil
	for id, j := range d.dirty {
		r := Record{
			Job:      id,
			Expect:   j.revision,
			Progress: j.progress(),
			Delete:   j.toDelete,
			state:    j.state,
			changed:  j.changed,
		}
		if j.state.Final() {
			r.Remainder = j.spec.Remainder()
		}
		b.Records = append(b.Records, r)
	}
	sort.Slice(b.Records, func(i, k int) bool { return b.Records[i].Job < b.Records[k].Job })
	d.dirty = map[aqjob.ID]*job{}
	for id := range d.unstoredEnds {
		if w := d.workers[id]; w != nil && w.processedEnds > w.storedEnds {
			b.ends[id] = endCursor{incarnation: w.info.Incarnation, number: w.processedEnds}
		}
	}
	return b
}

// RecordStored handles the acknowledgement of one record of a batch by the store.
func (d *Decider) RecordStored(r Record, revision aqstore.Revision) {
	j := d.jobs[r.Job]
	if j == nil {
		return
	}
	j.revision = revision
	j.stored = r.changed
	if r.state.Final() {
		j.storedState = r.state
	}
	if r.Delete {
		delete(d.jobs, r.Job)
	}
}

// BatchStored handles the storing of a whole batch: the ends that it includes may be
// acknowledged to the workers.
func (d *Decider) BatchStored(b Batch) {
	for id, cursor := range b.ends {
		w := d.workers[id]
		if w != nil && w.info.Incarnation == cursor.incarnation {
			w.storedEnds = max(w.storedEnds, cursor.number)
		}
		if w == nil || w.storedEnds >= w.processedEnds {
			delete(d.unstoredEnds, id)
		}
	}
}

// WorkersWithEnds lists the workers of whose ends the batch includes the effects.
func (b Batch) WorkersWithEnds() []aqtype.WorkerID {
	return slices.Sorted(maps.Keys(b.ends))
}

// AckedEnds returns the number up to which a worker may discard its ends, and the
// incarnation for which it holds.
func (d *Decider) AckedEnds(id aqtype.WorkerID) (int, Incarnation) {
	w := d.workers[id]
	if w == nil {
		return 0, 0
	}
	return w.storedEnds, w.info.Incarnation
}

func (j *job) progress() *aqjob.Progress {
	p := &aqjob.Progress{State: j.state, FinalAt: j.finalAt}
	if j.state.Final() {
		return p
	}
	if j.started {
		p.State = aqjob.StateRunning
	}
	p.DoneBelow = j.doneBelow
	for k := range j.doneAbove {
		p.DoneAbove = append(p.DoneAbove, k)
	}
	sort.Slice(p.DoneAbove, func(i, k int) bool { return p.DoneAbove[i] < p.DoneAbove[k] })
	for k, o := range j.occurrences {
		stored := o.progress()
		if stored == nil {
			continue
		}
		if p.Occurrences == nil {
			p.Occurrences = map[aqjob.Occurrence]*aqjob.OccurrenceProgress{}
		}
		p.Occurrences[k] = stored
	}
	return p
}

// progress returns the occurrence's progress, nil if there is none to store.
func (o *occurrence) progress() *aqjob.OccurrenceProgress {
	total := 0
	for _, g := range o.groups {
		total += len(g.tasks)
	}
	p := &aqjob.OccurrenceProgress{Done: make([]byte, (total+7)/8)}
	hasProgress := false
	position := 0
	for _, g := range o.groups {
		for _, t := range g.tasks {
			if t.done {
				p.Done[position/8] |= 1 << (position % 8)
			}
			if len(t.failed) > 0 {
				if p.Failed == nil {
					p.Failed = map[int][]int{}
				}
				for _, attempt := range t.failed {
					p.Failed[position] = append(p.Failed[position], int(attempt))
				}
			}
			if t.checkpoint != "" && !t.done {
				if p.Checkpoints == nil {
					p.Checkpoints = map[int]string{}
				}
				p.Checkpoints[position] = t.checkpoint
			}
			if !t.history.Empty() && !t.done {
				if p.Crashes == nil {
					p.Crashes = map[int]*aqcrash.History{}
				}
				history := t.history
				p.Crashes[position] = &history
			}
			hasProgress = hasProgress || t.done || len(t.failed) > 0 || t.checkpoint != "" || !t.history.Empty()
			position++
		}
	}
	if !hasProgress {
		return nil
	}
	return p
}
