package aqplacement

import (
	"container/list"
	"time"

	"acaciaquay/pkg/aqtype"
)

// QueuedTask is a queued task with what decides its turn.
type QueuedTask struct {
	Demand Demand
	// Since is when the task began to wait.
	Since time.Time
	// NotBefore delays a task after failures.
	NotBefore time.Time
}

// workloadLine holds the waiting tasks of one workload; it is never empty while
// its team holds it.
type workloadLine struct {
	key   aqtype.WorkloadKey
	team  *teamQueue
	tasks *list.List
	place *list.Element
}

type teamQueue struct {
	team  aqtype.TeamID
	owner *urgencyQueue
	// lines holds the workloads in order of arrival.
	lines  *list.List
	byName map[aqtype.WorkloadKey]*workloadLine
	// turn is the virtual time at which the team is next served; it grows by
	// what its tasks take, so that a team with many tasks does not hold others
	// up.
	turn float64
}

type urgencyQueue struct {
	teams map[aqtype.TeamID]*teamQueue
	// now is the virtual time of the last task served.
	now float64
}

// Queue orders waiting tasks by urgency, then fairly by team, then by arrival.
// It is not safe for concurrent use.
type Queue struct {
	urgencies map[aqtype.Urgency]*urgencyQueue
	elements  map[aqtype.TaskID]queued
}

type queued struct {
	line    *workloadLine
	element *list.Element
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{
		urgencies: map[aqtype.Urgency]*urgencyQueue{},
		elements:  map[aqtype.TaskID]queued{},
	}
	for _, u := range aqtype.Urgencies {
		q.urgencies[u] = &urgencyQueue{teams: map[aqtype.TeamID]*teamQueue{}}
	}
	return q
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.elements) }

// Push adds a task at the end of its workload's line. A task that waits already
// stays where it is.
func (q *Queue) Push(w QueuedTask) {
	if _, ok := q.elements[w.Demand.Task]; ok {
		return
	}
	line := q.urgencies[w.Demand.Urgency].team(w.Demand.Team).line(w.Demand.Task.Workload)
	q.elements[w.Demand.Task] = queued{line: line, element: line.tasks.PushBack(w)}
}

func (u *urgencyQueue) team(id aqtype.TeamID) *teamQueue {
	if t := u.teams[id]; t != nil {
		return t
	}
	t := &teamQueue{
		team:   id,
		owner:  u,
		lines:  list.New(),
		byName: map[aqtype.WorkloadKey]*workloadLine{},
		turn:   u.now,
	}
	u.teams[id] = t
	return t
}

func (t *teamQueue) line(key aqtype.WorkloadKey) *workloadLine {
	if l := t.byName[key]; l != nil {
		return l
	}
	l := &workloadLine{
		key:   key,
		team:  t,
		tasks: list.New(),
	}
	l.place = t.lines.PushBack(l)
	t.byName[key] = l
	return l
}

// Remove takes a task out, whether it waits or not.
func (q *Queue) Remove(id aqtype.TaskID) {
	entry, ok := q.elements[id]
	if !ok {
		return
	}
	delete(q.elements, id)
	line, team := entry.line, entry.line.team
	line.tasks.Remove(entry.element)
	if line.tasks.Len() > 0 {
		return
	}
	team.lines.Remove(line.place)
	delete(team.byName, line.key)
	if len(team.byName) == 0 {
		delete(team.owner.teams, team.team)
	}
}

// Verdict is what became of a task that was offered.
type Verdict int

// The verdicts.
const (
	// Placed takes the task out of the queue.
	Placed Verdict = iota + 1
	// NoRoom passes over the task's workload in this round.
	NoRoom
	// SkipTeam passes over the whole team in this round.
	SkipTeam
)

// Offer calls place for tasks in their order, most urgent first, and stops
// after limit tasks found no room.
func (q *Queue) Offer(now time.Time, limit int, place func(QueuedTask) Verdict) {
	refused := 0
	for _, u := range aqtype.Urgencies {
		round := offerRound{
			urgency:   q.urgencies[u],
			now:       now,
			teams:     map[aqtype.TeamID]bool{},
			workloads: map[aqtype.WorkloadKey]bool{},
		}
		for refused < limit {
			team, w, ok := round.next()
			if !ok {
				break
			}
			switch place(w) {
			case Placed:
				round.urgency.now = team.turn
				team.turn += float64(w.Demand.Size.MilliCPU)
				q.Remove(w.Demand.Task)
			case NoRoom:
				round.workloads[w.Demand.Task.Workload] = true
				refused++
			case SkipTeam:
				round.teams[team.team] = true
				refused++
			}
		}
	}
}

// offerRound is one pass over the tasks of one urgency, without the teams and
// workloads that are passed over.
type offerRound struct {
	urgency   *urgencyQueue
	now       time.Time
	teams     map[aqtype.TeamID]bool
	workloads map[aqtype.WorkloadKey]bool
}

func (r offerRound) next() (*teamQueue, QueuedTask, bool) {
	for {
		team := r.nextTeam()
		if team == nil {
			return nil, QueuedTask{}, false
		}
		if w, ok := r.firstOf(team); ok {
			return team, w, true
		}
		r.teams[team.team] = true
	}
}

func (r offerRound) nextTeam() *teamQueue {
	var best *teamQueue
	for _, t := range r.urgency.teams {
		if r.teams[t.team] {
			continue
		}
		if best == nil || t.turn < best.turn || (t.turn == best.turn && t.team < best.team) {
			best = t
		}
	}
	return best
}

func (r offerRound) firstOf(t *teamQueue) (QueuedTask, bool) {
	for p := t.lines.Front(); p != nil; p = p.Next() {
		line := p.Value.(*workloadLine)
		if r.workloads[line.key] {
			continue
		}
		for e := line.tasks.Front(); e != nil; e = e.Next() {
			if w := e.Value.(QueuedTask); !w.NotBefore.After(r.now) {
				return w, true
			}
		}
	}
	return QueuedTask{}, false
}
