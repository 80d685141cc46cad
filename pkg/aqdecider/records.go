package aqdecider

import (
	"sort"

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
	// Delete removes the job's records instead.
	Delete bool
	// state is what is shown when the record is stored.
	state aqjob.State
}

// Batch is what one round of storing covers.
type Batch struct {
	Records []Record
	// ends are the workers' ends that the batch accounts for.
	ends map[aqtype.WorkerID]endMark
}

type endMark struct {
	life   Incarnation
	number int
}

// markDirty notes that a job's progress is to be stored.
func (d *Decider) markDirty(j *job) { d.dirty[j.spec.ID] = j }

// Dirty reports whether something is to be stored or acknowledged.
func (d *Decider) Dirty() bool {
	return len(d.dirty) > 0 || len(d.unstoredEnds) > 0 || d.HasUnpersistedWorkers()
}

// HasUnstoredFinalState reports whether somebody waits for a final state to be stored.
func (d *Decider) HasUnstoredFinalState() bool {
	for _, j := range d.dirty {
		if j.state.Final() && !j.storedState.Final() {
			return true
		}
	}
	return false
}

// TakeBatch returns everything that is to be stored. One batch is under way at a
// time.
func (d *Decider) TakeBatch() Batch {
	b := Batch{ends: map[aqtype.WorkerID]endMark{}}
	for id, j := range d.dirty {
		b.Records = append(b.Records, Record{
			Job:      id,
			Expect:   j.revision,
			Progress: j.progress(),
			Delete:   j.toDelete,
			state:    j.state,
		})
	}
	sort.Slice(b.Records, func(i, k int) bool { return b.Records[i].Job < b.Records[k].Job })
	d.dirty = map[aqjob.ID]*job{}
	for id := range d.unstoredEnds {
		if w := d.workers[id]; w != nil && w.processed > w.stored {
			b.ends[id] = endMark{life: w.info.Incarnation, number: w.processed}
		}
	}
	return b
}

// RecordStored notes that one record of a batch is stored.
func (d *Decider) RecordStored(r Record, revision aqstore.Revision) {
	j := d.jobs[r.Job]
	if j == nil {
		return
	}
	j.revision = revision
	if r.state.Final() {
		j.storedState = r.state
	}
	if r.Delete {
		delete(d.jobs, r.Job)
	}
}

// BatchStored notes that every record of a batch is stored: the ends that it
// accounts for may be acknowledged to the workers.
func (d *Decider) BatchStored(b Batch) {
	for id, mark := range b.ends {
		w := d.workers[id]
		if w != nil && w.info.Incarnation == mark.life {
			w.stored = max(w.stored, mark.number)
		}
		if w == nil || w.stored >= w.processed {
			delete(d.unstoredEnds, id)
		}
	}
}

// AckedEnds returns the number up to which a worker may forget its ends.
func (d *Decider) AckedEnds(id aqtype.WorkerID) (int, Incarnation) {
	w := d.workers[id]
	if w == nil {
		return 0, 0
	}
	return w.stored, w.info.Incarnation
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

// progress returns nil when nothing of the occurrence is worth storing.
func (o *occurrence) progress() *aqjob.OccurrenceProgress {
	total := 0
	for _, g := range o.groups {
		total += len(g.tasks)
	}
	p := &aqjob.OccurrenceProgress{Done: make([]byte, (total+7)/8)}
	worth := false
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
			worth = worth || t.done || len(t.failed) > 0 || t.checkpoint != ""
			position++
		}
	}
	if !worth {
		return nil
	}
	return p
}
