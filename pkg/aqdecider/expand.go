package aqdecider

import (
	"acaciaquay/internal/site/aqexpansion"
	"acaciaquay/pkg/aqjob"
)

// queueDueOccurrences queues the occurrences of recurring jobs that are due.
func (d *Decider) queueDueOccurrences() {
	for id, j := range d.recurring {
		if j.state.Final() || int(j.next) >= j.spec.Occurrences() {
			delete(d.recurring, id)
			continue
		}
		d.queueDue(j)
	}
}

// queueDue queues the next occurrence of a job for the creation of its tasks if it is due. One
// that the job has no room for is queued by a later call.
func (d *Decider) queueDue(j *job) {
	if j.queued || j.state.Final() {
		return
	}
	for int(j.next) < j.spec.Occurrences() && (j.occurrences[j.next] != nil || j.doneAbove[j.next] || j.next < j.doneBelow) {
		j.next++
	}
	tasks := j.tasksOfOccurrence()
	if !d.isDue(j, j.next) || !d.expansion.JobMayGrow(j.created, tasks) {
		return
	}
	j.queued = true
	d.expansion.Add(aqexpansion.Item{
		Job:      j.spec.ID,
		Priority: j.queue.Priority,
		Tasks:    tasks,
	})
}

// createDue creates the tasks of queued occurrences as far as there is room.
func (d *Decider) createDue() {
	waits := func(id aqjob.ID) bool {
		j := d.jobs[id]
		return j != nil && j.queued && !j.state.Final()
	}
	for {
		item, ok := d.expansion.Next(waits)
		if !ok {
			return
		}
		j := d.jobs[item.Job]
		j.queued = false
		if j.occurrences[j.next] == nil {
			d.markReadyGroups(d.newOccurrence(j, j.next))
		}
		j.next++
		d.queueDue(j)
	}
}

// isDue reports whether a job has that occurrence and may run it.
func (d *Decider) isDue(j *job, k aqjob.Occurrence) bool {
	return int(k) < j.spec.Occurrences() && (j.spec.Repeats == 0 || !d.wall.Before(j.dueAtWallClock(k)))
}

// createReported creates the tasks of an occurrence of which a worker reports a run of an
// earlier term. It returns nil if there is no such occurrence to run.
func (d *Decider) createReported(j *job, k aqjob.Occurrence) *occurrence {
	if !j.inherited || j.state.Final() || k < j.doneBelow || j.doneAbove[k] || !d.isDue(j, k) {
		return nil
	}
	o := d.newOccurrence(j, k)
	d.markReadyGroups(o)
	return o
}

// tasksOfOccurrence returns the number of tasks of each occurrence. A group counts as one more.
func (j *job) tasksOfOccurrence() aqexpansion.Tasks {
	total := len(j.spec.Groups)
	for i := range j.spec.Groups {
		total += j.spec.Groups[i].Count
	}
	return aqexpansion.Tasks(total)
}
