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

// workloadQueue holds the waiting tasks of one workload; it is never empty while
// its team holds it.
type workloadQueue struct {
	key   aqtype.WorkloadKey
	team  *teamQueue
	tasks *list.List
	element *list.Element
}

type teamQueue struct {
	team  aqtype.TeamID
	urgency *urgencyQueue
	// workloads holds the workloads in order of arrival.
	workloads  *list.List
	byKey map[aqtype.WorkloadKey]*workloadQueue
	// virtualTime is the virtual time at which the team is next served; it grows by
	// what its tasks take, so that a team with many tasks does not hold others
	// up.
	virtualTime float64
}

type urgencyQueue struct {
	teams map[aqtype.TeamID]*teamQueue
	// virtualTime is the virtual time of the last task served.
	virtualTime float64
}

// Queue orders waiting tasks by urgency, then fairly by team, then by arrival.
// It is not safe for concurrent use.
type Queue struct {
	urgencies map[aqtype.Urgency]*urgencyQueue
	elements  map[aqtype.TaskID]queueEntry
}

type queueEntry struct {
	workload    *workloadQueue
	element *list.Element
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{
		urgencies: map[aqtype.Urgency]*urgencyQueue{},
		elements:  map[aqtype.TaskID]queueEntry{},
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
	workload := q.urgencies[w.Demand.Urgency].team(w.Demand.Team).workload(w.Demand.Task.Workload)
	q.elements[w.Demand.Task] = queueEntry{workload: workload, element: workload.tasks.PushBack(w)}
}

func (u *urgencyQueue) team(id aqtype.TeamID) *teamQueue {
	if t := u.teams[id]; t != nil {
		return t
	}
	t := &teamQueue{
		team:   id,
		urgency:  u,
		workloads:  list.New(),
		byKey: map[aqtype.WorkloadKey]*workloadQueue{},
		virtualTime:   u.virtualTime,
	}
	u.teams[id] = t
	return t
}

func (t *teamQueue) workload(key aqtype.WorkloadKey) *workloadQueue {
	if l := t.byKey[key]; l != nil {
		return l
	}
	l := &workloadQueue{
		key:   key,
		team:  t,
		tasks: list.New(),
	}
	l.element = t.workloads.PushBack(l)
	t.byKey[key] = l
	return l
}

// Remove takes a task out, whether it waits or not.
func (q *Queue) Remove(id aqtype.TaskID) {
	entry, ok := q.elements[id]
	if !ok {
		return
	}
	delete(q.elements, id)
	workload, team := entry.workload, entry.workload.team
	workload.tasks.Remove(entry.element)
	if workload.tasks.Len() > 0 {
		return
	}
	team.workloads.Remove(workload.element)
	delete(team.byKey, workload.key)
	if len(team.byKey) == 0 {
		delete(team.urgency.teams, team.team)
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
			skippedTeams:     map[aqtype.TeamID]bool{},
			skippedWorkloads: map[aqtype.WorkloadKey]bool{},
		}
		for refused < limit {
			team, w, ok := round.next()
			if !ok {
				break
			}
			switch place(w) {
			case Placed:
				round.urgency.virtualTime = team.virtualTime
				team.virtualTime += float64(w.Demand.Size.MilliCPU)
				q.Remove(w.Demand.Task)
			case NoRoom:
				round.skippedWorkloads[w.Demand.Task.Workload] = true
				refused++
			case SkipTeam:
				round.skippedTeams[team.team] = true
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
	skippedTeams     map[aqtype.TeamID]bool
	skippedWorkloads map[aqtype.WorkloadKey]bool
}

func (r offerRound) next() (*teamQueue, QueuedTask, bool) {
	for {
		team := r.nextTeam()
		if team == nil {
			return nil, QueuedTask{}, false
		}
		if w, ok := r.firstTask(team); ok {
			return team, w, true
		}
		r.skippedTeams[team.team] = true
	}
}

func (r offerRound) nextTeam() *teamQueue {
	var best *teamQueue
	for _, t := range r.urgency.teams {
		if r.skippedTeams[t.team] {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime || (t.virtualTime == best.virtualTime && t.team < best.team) {
			best = t
		}
	}
	return best
}

func (r offerRound) firstTask(t *teamQueue) (QueuedTask, bool) {
	for p := t.workloads.Front(); p != nil; p = p.Next() {
		workload := p.Value.(*workloadQueue)
		if r.skippedWorkloads[workload.key] {
			continue
		}
		for e := workload.tasks.Front(); e != nil; e = e.Next() {
			if w := e.Value.(QueuedTask); !w.NotBefore.After(r.now) {
				return w, true
			}
		}
	}
	return QueuedTask{}, false
}
