package aqdecider

import (
	"log/slog"
	"time"

	"acaciaquay/internal/site/aqinterference"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

const (
	// runStarting means that the start is ordered and not confirmed.
	runStarting runState = iota + 1
	runRunning
	// runStopping means that the stop is ordered. The run may never have started.
	runStopping
)

// AddJob adds an accepted job. Inherited jobs were accepted before this decider
// took over; progress is what the store holds of them, nil if nothing. A known job
// is left unchanged.
func (d *Decider) AddJob(spec *aqjob.Job, progress *aqjob.Progress, revision aqstore.Revision, inherited bool) {
	if d.jobs[spec.ID] != nil || (spec.Closed && (progress == nil || !progress.State.Final())) {
		return
	}
	j := &job{
		spec:        spec,
		queue:       spec.Queue,
		inherited:   inherited,
		acceptedAt:  d.now.Add(-d.age(spec)),
		state:       aqjob.StateQueued,
		storedState: aqjob.StateQueued,
		occurrences: map[aqjob.Occurrence]*occurrence{},
		doneAbove:   map[aqjob.Occurrence]bool{},
		revision:    revision,
	}
	if q, ok := d.queues[spec.Queue.ID]; ok {
		j.queue = q
	}
	d.jobs[spec.ID] = j
	j.bytes = spec.Bytes()
	d.jobBytes += j.bytes
	if progress != nil {
		d.restore(j, progress)
	}
	if j.state.Final() {
		d.ended = append(d.ended, endedJob{id: spec.ID, at: d.now})
		d.dropDetails(j)
		return
	}
	d.options.Log.Write(aqlog.JobLoaded, jobAttr(spec.ID), slog.String("Queue", string(j.queue.ID)),
		slog.Bool("Inherited", inherited), slog.Int("Groups", len(spec.Groups)))
	if !j.started {
		d.countUnstarted(j.queue.ID, 1)
	}
	if d.cancelled[spec.ID] {
		d.finish(j, aqjob.StateCancelled, "submitter cancelled")
		return
	}
	if spec.Repeats > 0 {
		d.recurring[spec.ID] = j
	}
	d.queueDue(j)
	d.createDue()
}

// maxJobAge limits an age that is computed from wall clocks, which differ between
// hosts.
const maxJobAge = 2 * time.Minute

func (d *Decider) age(spec *aqjob.Job) time.Duration {
	age := d.wall.Sub(time.UnixMilli(spec.AcceptedAt))
	return max(0, min(age, maxJobAge))
}

// dropDetails frees the groups, the payload and the task state of an ended job.
func (d *Decider) dropDetails(j *job) {
	d.expansion.Removed(j.created)
	j.created = 0
	d.jobBytes -= j.bytes
	j.bytes = 0
	j.spec = j.spec.Remainder()
	j.occurrences = nil
	j.doneAbove = nil
}

func (d *Decider) restore(j *job, p *aqjob.Progress) {
	j.finalAt = p.FinalAt
	j.doneBelow = p.DoneBelow
	for _, k := range p.DoneAbove {
		j.doneAbove[k] = true
	}
	j.next = j.doneBelow
	if p.State.Final() {
		j.state = p.State
		j.storedState = p.State
		return
	}
	j.started = p.State == aqjob.StateRunning
	for k, stored := range p.Occurrences {
		o := d.newOccurrence(j, k)
		position := 0
		for _, g := range o.groups {
			for _, t := range g.tasks {
				// Earlier versions stored perpetual tasks as done.
				t.done = bitSet(stored.Done, position) && !g.spec.Perpetual
				for _, attempt := range stored.Failed[position] {
					t.failed = append(t.failed, Attempt(attempt))
				}
				t.checkpoint = stored.Checkpoints[position]
				if h := stored.Crashes[position]; h != nil {
					t.history = *h
					d.watchForReturn(t)
					d.noteEarlierTrial(t)
				}
				if t.done {
					g.remaining--
				}
				position++
			}
		}
		d.markReadyGroups(o)
	}
}

func bitSet(bits []byte, position int) bool {
	return position/8 < len(bits) && bits[position/8]&(1<<(position%8)) != 0
}

func (j *job) dueAtWallClock(k aqjob.Occurrence) time.Time {
	return time.UnixMilli(j.spec.FirstAt).Add(time.Duration(k) * j.spec.Period)
}

func (d *Decider) newOccurrence(j *job, k aqjob.Occurrence) *occurrence {
	o := &occurrence{job: j, number: k, dueAt: j.acceptedAt}
	if j.spec.Repeats > 0 {
		o.dueAt = d.now.Add(j.dueAtWallClock(k).Sub(d.wall))
	}
	for i := range j.spec.Groups {
		spec := &j.spec.Groups[i]
		g := &group{
			occurrence: o,
			number:     i,
			spec:       spec,
			remaining:  spec.Count,
			tasks:      make([]*task, spec.Count),
			image:      aqinterference.NoImage,
		}
		if spec.Filler || spec.TailTarget > 0 {
			g.image = d.model.Image(spec.Image)
		}
		for index := range g.tasks {
			g.tasks[index] = &task{
				group:      g,
				index:      index,
				reconciled: !j.inherited,
				started:    j.inherited,
			}
			if j.inherited {
				g.tasks[index].attempt = d.options.FirstAttempt
			}
		}
		o.groups = append(o.groups, g)
	}
	j.occurrences[k] = o
	j.created += j.tasksOfOccurrence()
	d.expansion.Created(j.tasksOfOccurrence())
	return o
}

// markReadyGroups queues the groups for placement whose predecessors are done.
func (d *Decider) markReadyGroups(o *occurrence) {
	for _, g := range o.groups {
		if g.ready || !o.predecessorsDone(g) {
			continue
		}
		g.ready = true
		g.readyAt = d.now
		g.changed(d.now)
		if g.remaining > 0 {
			d.waiting[g] = true
			if g.mayCopy() {
				d.speculative[g] = true
			}
		}
	}
}

func (o *occurrence) predecessorsDone(g *group) bool {
	for _, n := range g.spec.After {
		if o.groups[n].remaining > 0 {
			return false
		}
	}
	return true
}

// finish puts a job into a final state and stops its runs.
func (d *Decider) finish(j *job, state aqjob.State, reason string) {
	if !j.started {
		d.countUnstarted(j.queue.ID, -1)
	}
	j.state = state
	j.finalAt = d.wall.UnixMilli()
	d.ended = append(d.ended, endedJob{id: j.spec.ID, at: d.now})
	d.options.Log.Write(aqlog.JobEnded, jobAttr(j.spec.ID), slog.String("State", string(state)),
		slog.String("Why", reason), slog.Duration("Age", d.now.Sub(j.acceptedAt)))
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			delete(d.waiting, g)
			for _, t := range g.tasks {
				t.releaseTrialWorker()
				d.stopRuns(t, string(state))
			}
		}
	}
	if j.queue.Advised {
		d.dropAdvice(j.spec.ID)
	}
	d.markDirty(j)
	d.releaseIfIdle(j)
}

// releaseIfIdle frees the description of an ended job once it has no runs.
func (d *Decider) releaseIfIdle(j *job) {
	if j.state.Final() && !j.hasRuns() {
		d.dropDetails(j)
	}
}

// taskDone records that a task has succeeded. Perpetual tasks never do: they end with their job.
func (d *Decider) taskDone(t *task) {
	if t.done {
		return
	}
	g := t.group
	o := g.occurrence
	j := o.job
	t.done = true
	t.releaseTrialWorker()
	g.remaining--
	if g.spec.Gang {
		d.completeGang(g)
	}
	d.markDirty(j)
	if g.remaining > 0 {
		return
	}
	delete(d.waiting, g)
	if !o.done() {
		d.markReadyGroups(o)
		return
	}
	delete(j.occurrences, o.number)
	j.created -= j.tasksOfOccurrence()
	d.expansion.Removed(j.tasksOfOccurrence())
	j.markDone(o.number)
	if int(j.doneBelow) >= j.spec.Occurrences() && !j.state.Final() {
		d.finish(j, aqjob.StateCompleted, "all tasks done")
	}
}

// completeGang marks all members of a gang as done when one has succeeded: members
// end together.
func (d *Decider) completeGang(g *group) {
	for _, other := range g.tasks {
		if !other.done {
			other.done = true
			other.releaseTrialWorker()
			g.remaining--
		}
	}
}

func (j *job) markDone(k aqjob.Occurrence) {
	j.doneAbove[k] = true
	for j.doneAbove[j.doneBelow] {
		delete(j.doneAbove, j.doneBelow)
		j.doneBelow++
	}
}
