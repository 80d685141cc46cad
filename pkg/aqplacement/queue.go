package aqplacement

import (
	"container/list"
	"time"

	"acaciaquay/pkg/aqtype"
)

// QueuedTask is a task that waits for a worker.
type QueuedTask struct {
	Demand Demand
	// Since is when the task began to wait. It does not affect the queue order.
	Since time.Time
	// NotBefore delays the task after failures.
	NotBefore time.Time
}

// workloadQueue holds the waiting tasks of one workload. It is removed from its
// team when it becomes empty.
type workloadQueue struct {
	key         aqtype.WorkloadKey
	team        *teamQueue
	tasks       *list.List
	teamElement *list.Element
}

type teamQueue struct {
	team    aqtype.TeamID
	urgency *urgencyQueue
	// workloads holds the workloads in order of arrival.
	workloads *list.List
	byKey     map[aqtype.WorkloadKey]*workloadQueue
	// virtualTime is when the team is served next, on a virtual clock. It grows by
	// the processors of each placed task, so that a team with many tasks does not
	// delay the others.
	virtualTime float64
}

type urgencyQueue struct {
	teams map[aqtype.TeamID]*teamQueue
	// virtualTime is that of the team served last. A new team starts with it.
	virtualTime float64
}

// Queue orders waiting tasks by urgency, then by fair queueing between teams, then
// by arrival. It is not safe for concurrent use.
type Queue struct {
	urgencies map[aqtype.Urgency]*urgencyQueue
	entries   map[aqtype.TaskID]queueEntry
}

type queueEntry struct {
	workload    *workloadQueue
	taskElement *list.Element
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{
		urgencies: map[aqtype.Urgency]*urgencyQueue{},
		entries:   map[aqtype.TaskID]queueEntry{},
	}
	for _, u := range aqtype.Urgencies {
		q.urgencies[u] = &urgencyQueue{teams: map[aqtype.TeamID]*teamQueue{}}
	}
	return q
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.entries) }

// Push appends a task to its workload's queue. A queued task keeps its position.
func (q *Queue) Push(task QueuedTask) {
	if _, ok := q.entries[task.Demand.Task]; ok {
		return
	}
	workload := q.urgencies[task.Demand.Urgency].team(task.Demand.Team).workload(task.Demand.Task.Workload)
	q.entries[task.Demand.Task] = queueEntry{workload: workload, taskElement: workload.tasks.PushBack(task)}
}

func (u *urgencyQueue) team(id aqtype.TeamID) *teamQueue {
	if t := u.teams[id]; t != nil {
		return t
	}
	t := &teamQueue{
		team:        id,
		urgency:     u,
		workloads:   list.New(),
		byKey:       map[aqtype.WorkloadKey]*workloadQueue{},
		virtualTime: u.virtualTime,
	}
	u.teams[id] = t
	return t
}

func (t *teamQueue) workload(key aqtype.WorkloadKey) *workloadQueue {
	if wq := t.byKey[key]; wq != nil {
		return wq
	}
	wq := &workloadQueue{
		key:   key,
		team:  t,
		tasks: list.New(),
	}
	wq.teamElement = t.workloads.PushBack(wq)
	t.byKey[key] = wq
	return wq
}

// Remove removes a task if it is queued.
func (q *Queue) Remove(id aqtype.TaskID) {
	entry, ok := q.entries[id]
	if !ok {
		return
	}
	delete(q.entries, id)
	workload, team := entry.workload, entry.workload.team
	workload.tasks.Remove(entry.taskElement)
	if workload.tasks.Len() > 0 {
		return
	}
	team.workloads.Remove(workload.teamElement)
	delete(team.byKey, workload.key)
	if len(team.byKey) == 0 {
		delete(team.urgency.teams, team.team)
	}
}

// Verdict is the result of offering a task for placement. It determines how Offer
// continues.
type Verdict int

// The verdicts.
const (
	// Placed means that the task need not wait any longer. Offer removes it from the
	// queue.
	Placed Verdict = iota + 1
	// NoRoom means that the task cannot be placed now. Offer skips its workload for the
	// rest of the call.
	NoRoom
	// SkipTeam means that no task of the team can be placed now, for example because
	// the team has reached its quota. Offer skips the team's tasks of the same urgency
	// for the rest of the call.
	SkipTeam
)

// Offer calls place for tasks in order, most urgent first. It stops after limit
// tasks for which place returned NoRoom or SkipTeam.
func (q *Queue) Offer(now time.Time, limit int, place func(QueuedTask) Verdict) {
	refused := 0
	for _, u := range aqtype.Urgencies {
		round := offerRound{
			urgency:          q.urgencies[u],
			now:              now,
			skippedTeams:     map[aqtype.TeamID]bool{},
			skippedWorkloads: map[aqtype.WorkloadKey]bool{},
		}
		for refused < limit {
			team, task, ok := round.next()
			if !ok {
				break
			}
			switch place(task) {
			case Placed:
				round.urgency.virtualTime = team.virtualTime
				team.virtualTime += float64(task.Demand.Size.MilliCPU)
				q.Remove(task.Demand.Task)
			case NoRoom:
				round.skippedWorkloads[task.Demand.Task.Workload] = true
				refused++
			case SkipTeam:
				round.skippedTeams[team.team] = true
				refused++
			}
		}
	}
}

// offerRound is one pass over the tasks of one urgency.
type offerRound struct {
	urgency          *urgencyQueue
	now              time.Time
	skippedTeams     map[aqtype.TeamID]bool
	skippedWorkloads map[aqtype.WorkloadKey]bool
}

func (r offerRound) next() (*teamQueue, QueuedTask, bool) {
	for {
		team := r.nextTeam()
		if team == nil {
			return nil, QueuedTask{}, false
		}
		if task, ok := r.firstTask(team); ok {
			return team, task, true
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
			if task := e.Value.(QueuedTask); !task.NotBefore.After(r.now) {
				return task, true
			}
		}
	}
	return QueuedTask{}, false
}
