package aqscheduler

import (
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Methods of the calls to a scheduler.
const (
	MethodSubmit aqpeer.Method = "Submit"
	MethodGet    aqpeer.Method = "Get"
	MethodList   aqpeer.Method = "List"
	MethodCancel aqpeer.Method = "Cancel"
	MethodTop    aqpeer.Method = "Top"
)

// SubmitRequest submits a workload to its home shard.
type SubmitRequest struct {
	Shard aqtype.ShardID
	Spec  aqshard.SpecWire
}

// WorkloadRequest names a workload of a shard.
type WorkloadRequest struct {
	Shard aqtype.ShardID
	Key   aqtype.WorkloadKey
}

// ListRequest asks for the workloads of a team in a shard, all of them if the team
// is empty.
type ListRequest struct {
	Shard aqtype.ShardID
	Team  aqtype.TeamID
}

// ListAnswer holds the requested workloads of one shard.
type ListAnswer struct {
	Statuses []Status
}

// TopRequest asks for the totals of a shard.
type TopRequest struct {
	Shard aqtype.ShardID
}

// Status is the committed state of a workload.
type Status struct {
	Spec  aqshard.SpecWire
	Shard aqtype.ShardID
	Tasks []TaskStatus
	Done  bool
}

// TaskStatus is the committed state of a task.
type TaskStatus struct {
	Index   int
	State   aqshard.TaskState
	Attempt aqtype.Attempt
	Worker  aqtype.WorkerID
	// Reason says why the task is waiting, or to which shard it was offloaded. It
	// is empty if neither is known.
	Reason string
}

// ShardTop holds the totals of a shard.
type ShardTop struct {
	Shard    aqtype.ShardID
	Owner    aqtype.ProcessID
	Epoch    aqtype.Epoch
	Workers  int
	Queued   int
	Running  int
	Reserved aqtype.Resources
	Capacity aqtype.Resources
}
