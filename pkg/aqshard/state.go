package aqshard

import (
	"sort"

	"acaciaquay/pkg/aqtype"
)

// TaskState is where a task stands.
type TaskState int

// The states of a task.
const (
	TaskQueued TaskState = iota + 1
	TaskRunning
	TaskStopping
	TaskFinished
	TaskGivenUp
	TaskCancelled
	// TaskOffered is a task that its home has handed on to another shard.
	TaskOffered
	// TaskReturned is a task that another shard's home is to take back.
	TaskReturned
)

// Task is one task of a workload.
type Task struct {
	State TaskState
	// Attempt is the last attempt that was started. It only grows.
	Attempt aqtype.Attempt
	// Worker and Size are those of the last attempt. While the task runs or
	// stops, Size is part of the worker's reservation.
	Worker aqtype.WorkerID
	Size   aqtype.Resources
	// Full is what the attempt reserves when it is not throttled; Size is never
	// more.
	Full aqtype.Resources
	// Resized is set once the attempt's size has changed since its start.
	Resized bool
	// Checkpoint is what the next attempt resumes from. It is used up by the
	// attempt that starts from it.
	Checkpoint aqtype.CheckpointID
	Why        StopReason
	Failures   int
	Evictions  int
	// To and Sequence name the offer under which the task was handed on. At the
	// shard that took it, Sequence is that of the offer.
	To       aqtype.ShardID
	Sequence uint64
}

// HoldsReservation reports whether the task counts against its worker.
func (t Task) HoldsReservation() bool {
	return t.State == TaskRunning || t.State == TaskStopping
}

// HasEnded reports whether the task will not run again in this shard. The zero
// state is that of a task of another shard that is not here.
func (t Task) HasEnded() bool {
	switch t.State {
	case TaskFinished, TaskGivenUp, TaskCancelled, TaskReturned, 0:
		return true
	case TaskQueued, TaskRunning, TaskStopping, TaskOffered:
	}
	return false
}

// progress is what goes with the task to another shard.
func (t Task) progress() Progress {
	return Progress{
		Attempt:    t.Attempt,
		Checkpoint: t.Checkpoint,
		Failures:   t.Failures,
		Evictions:  t.Evictions,
		Worker:     t.Worker,
	}
}

func (t *Task) takeProgress(p Progress) {
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
	// Guest is set in a shard that is not the workload's home, and Home names
	// that one. Tasks that are not here have the zero state.
	Guest bool
	Home  aqtype.ShardID
}

// Done reports whether no task will run again.
func (w *Workload) Done() bool {
	for _, t := range w.Tasks {
		if !t.HasEnded() {
			return false
		}
	}
	return true
}

// State is one shard's state. It is not safe for concurrent use: its owner
// guards it with the shard's lock.
type State struct {
	workloads map[aqtype.WorkloadKey]*Workload
	// reserved is the sum of the sizes of the tasks that hold a reservation on
	// each worker.
	reserved map[aqtype.WorkerID]aqtype.Resources
	// placed lists the tasks that hold a reservation on each worker.
	placed map[aqtype.WorkerID]map[aqtype.TaskID]struct{}
	// queued holds exactly the tasks in state TaskQueued.
	queued map[aqtype.TaskID]struct{}
	// teams is what each team's batch tasks have reserved.
	teams map[aqtype.TeamID]aqtype.Resources
	// offered is the last offer made to each shard, taken the last one taken
	// from each. They only grow.
	offered map[aqtype.ShardID]uint64
	taken   map[aqtype.ShardID]uint64
	// away holds exactly the tasks in state TaskOffered, by shard and sequence.
	away map[aqtype.ShardID]map[uint64]aqtype.TaskID
	// keys holds the request keys that were reserved and not released.
	keys map[RequestKey]keyEntry
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		workloads: map[aqtype.WorkloadKey]*Workload{},
		reserved:  map[aqtype.WorkerID]aqtype.Resources{},
		placed:    map[aqtype.WorkerID]map[aqtype.TaskID]struct{}{},
		queued:    map[aqtype.TaskID]struct{}{},
		teams:     map[aqtype.TeamID]aqtype.Resources{},
		offered:   map[aqtype.ShardID]uint64{},
		taken:     map[aqtype.ShardID]uint64{},
		keys:      map[RequestKey]keyEntry{},
		away:      map[aqtype.ShardID]map[uint64]aqtype.TaskID{},
	}
}

// Workload returns the workload with this key, nil when there is none.
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

// Task returns a task and its workload, or nil when there is none.
func (s *State) Task(id aqtype.TaskID) (*Workload, *Task) {
	w := s.workloads[id.Workload]
	if w == nil || id.Index < 0 || id.Index >= len(w.Tasks) {
		return nil, nil
	}
	return w, &w.Tasks[id.Index]
}

// Queued returns the queued tasks, those of the oldest workload first.
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

// Reserved returns what is reserved on a worker.
func (s *State) Reserved(worker aqtype.WorkerID) aqtype.Resources { return s.reserved[worker] }

// TeamReserved returns what a team's batch tasks have reserved.
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

// Workers returns the workers on which something is reserved, in order.
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
