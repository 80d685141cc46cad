package aqshard

import (
	"sort"

	"acaciaquay/pkg/aqtype"
)

// TaskState is the scheduling state of a task.
type TaskState int

// The states of a task.
const (
	TaskQueued TaskState = iota + 1
	TaskRunning
	TaskStopping
	TaskFinished
	TaskGivenUp
	TaskCancelled
	// TaskOffered is a task that its home shard has offered to another shard.
	TaskOffered
	// TaskReturned is a guest task that its home shard is to queue again.
	TaskReturned
)

// Task is one task of a workload.
type Task struct {
	State TaskState
	// Attempt is the last attempt started, in this shard or another. It never
	// decreases.
	Attempt aqtype.Attempt
	// Worker and Size are those of the last attempt. While the task is running or
	// stopping, Size is part of the worker's reservation.
	Worker aqtype.WorkerID
	Size   aqtype.Resources
	// Full is the attempt's reservation without throttling. Size never exceeds it.
	Full aqtype.Resources
	// Resized is set when the attempt's size has changed since its start.
	Resized bool
	// Checkpoint is what the next attempt resumes from. The end of each attempt
	// that ran replaces it, possibly by none.
	Checkpoint aqtype.CheckpointID
	Why        StopReason
	Failures   int
	Evictions  int
	// To and Sequence identify the offer in the home shard. In the shard that
	// accepted the task, Sequence is that of the offer and To is not set.
	To       aqtype.ShardID
	Sequence uint64
}

// HoldsReservation reports whether the task's size is reserved on its worker.
func (t Task) HoldsReservation() bool {
	return t.State == TaskRunning || t.State == TaskStopping
}

// HasEnded reports whether the task will not run again in this shard. A task of a
// guest workload that this shard has not accepted has the zero state.
func (t Task) HasEnded() bool {
	switch t.State {
	case TaskFinished, TaskGivenUp, TaskCancelled, TaskReturned, 0:
		return true
	case TaskQueued, TaskRunning, TaskStopping, TaskOffered:
	}
	return false
}

// progress returns the state that moves with the task to another shard.
func (t Task) progress() Progress {
	return Progress{
		Attempt:    t.Attempt,
		Checkpoint: t.Checkpoint,
		Failures:   t.Failures,
		Evictions:  t.Evictions,
		Worker:     t.Worker,
	}
}

func (t *Task) setProgress(p Progress) {
	t.Attempt = p.Attempt
	t.Checkpoint = p.Checkpoint
	t.Failures = p.Failures
	t.Evictions = p.Evictions
	t.Worker = p.Worker
}

// Workload is a workload with its tasks.
type Workload struct {
	Spec     aqtype.Spec
	Tasks    []Task
	AtMillis int64
	// Cancelled is set once and never cleared.
	Cancelled bool
	// Guest marks a workload whose home is another shard, Home. The tasks that this
	// shard has not accepted have the zero state.
	Guest bool
	Home  aqtype.ShardID
}

// Done reports whether all tasks have ended.
func (w *Workload) Done() bool {
	for _, t := range w.Tasks {
		if !t.HasEnded() {
			return false
		}
	}
	return true
}

// State is one shard's state. It is not safe for concurrent use; the owner guards
// it with the shard's lock.
type State struct {
	workloads map[aqtype.WorkloadKey]*Workload
	// reserved is the sum of the reservations on each worker.
	reserved map[aqtype.WorkerID]aqtype.Resources
	// placed holds the tasks that have a reservation on each worker.
	placed map[aqtype.WorkerID]map[aqtype.TaskID]struct{}
	// queued holds exactly the tasks in state TaskQueued.
	queued map[aqtype.TaskID]struct{}
	// teams is the sum of the reservations of each team's tasks, except those of
	// services.
	teams map[aqtype.TeamID]aqtype.Resources
	// offered is the sequence number of the last offer made to each shard, taken
	// that of the last offer accepted from each. They never decrease.
	offered map[aqtype.ShardID]uint64
	taken   map[aqtype.ShardID]uint64
	// openOffers holds exactly the tasks in state TaskOffered, by shard and
	// sequence.
	openOffers map[aqtype.ShardID]map[uint64]aqtype.TaskID
	// keys holds the request keys that are reserved: neither released nor expired.
	keys map[RequestKey]keyEntry
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		workloads:  map[aqtype.WorkloadKey]*Workload{},
		reserved:   map[aqtype.WorkerID]aqtype.Resources{},
		placed:     map[aqtype.WorkerID]map[aqtype.TaskID]struct{}{},
		queued:     map[aqtype.TaskID]struct{}{},
		teams:      map[aqtype.TeamID]aqtype.Resources{},
		offered:    map[aqtype.ShardID]uint64{},
		taken:      map[aqtype.ShardID]uint64{},
		keys:       map[RequestKey]keyEntry{},
		openOffers: map[aqtype.ShardID]map[uint64]aqtype.TaskID{},
	}
}

// Workload returns the workload with this key, nil if there is none.
func (s *State) Workload(key aqtype.WorkloadKey) *Workload { return s.workloads[key] }

// Workloads calls visit for each workload, in no order, until it returns false.
func (s *State) Workloads(visit func(aqtype.WorkloadKey, *Workload) bool) {
	for key, w := range s.workloads {
		if !visit(key, w) {
			return
		}
	}
}

// WorkloadCount returns the number of workloads.
func (s *State) WorkloadCount() int { return len(s.workloads) }

// Task returns a task and its workload, nil if there is none.
func (s *State) Task(id aqtype.TaskID) (*Workload, *Task) {
	w := s.workloads[id.Workload]
	if w == nil || id.Index < 0 || id.Index >= len(w.Tasks) {
		return nil, nil
	}
	return w, &w.Tasks[id.Index]
}

// Queued returns the queued tasks, ordered by their workloads' AtMillis, the
// oldest first.
func (s *State) Queued() []aqtype.TaskID {
	ids := make([]aqtype.TaskID, 0, len(s.queued))
	for id := range s.queued {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := s.workloads[ids[i].Workload], s.workloads[ids[j].Workload]
		if a.AtMillis != b.AtMillis {
			return a.AtMillis < b.AtMillis
		}
		return ids[i].Less(ids[j])
	})
	return ids
}

// QueuedCount returns the number of queued tasks.
func (s *State) QueuedCount() int { return len(s.queued) }

// Reserved returns the sum of the reservations on a worker.
func (s *State) Reserved(worker aqtype.WorkerID) aqtype.Resources { return s.reserved[worker] }

// TeamReserved returns the sum of the reservations of a team's tasks, except those
// of services.
func (s *State) TeamReserved(team aqtype.TeamID) aqtype.Resources { return s.teams[team] }

// Placed returns the tasks that hold a reservation on a worker, in order.
func (s *State) Placed(worker aqtype.WorkerID) []aqtype.TaskID {
	ids := make([]aqtype.TaskID, 0, len(s.placed[worker]))
	for id := range s.placed[worker] {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Less(ids[j]) })
	return ids
}

// Workers returns the workers with a reservation, in order.
func (s *State) Workers() []aqtype.WorkerID {
	ids := make([]aqtype.WorkerID, 0, len(s.placed))
	for id := range s.placed {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// PlacedCount returns the number of tasks that hold a reservation.
func (s *State) PlacedCount() int {
	count := 0
	for _, tasks := range s.placed {
		count += len(tasks)
	}
	return count
}
