// Package aqapi implements the services of the operators' API. Only conversions.go
// converts between the messages of the API and the types of the core.
package aqapi

import (
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqpeer"
	pb "acaciaquay/pkg/aqproto/acaciaquay/v1"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

func sizeToCore(s *pb.Size) aqtype.Resources {
	return aqtype.Resources{
		MilliCPU:     aqtype.MilliCPU(s.GetMilliCpu()),
		Memory:       aqtype.MebiBytes(s.GetMemoryMib()),
		Accelerators: s.GetAccelerators(),
	}
}

func sizeToWire(r aqtype.Resources) *pb.Size {
	return &pb.Size{
		MilliCpu:     int64(r.MilliCPU),
		MemoryMib:    int64(r.Memory),
		Accelerators: r.Accelerators,
	}
}

func commonToCore(key, team, kind string, urgency pb.Urgency, size *pb.Size) aqtype.Common {
	if kind == "" {
		kind = key
	}
	return aqtype.Common{
		Key:     aqtype.WorkloadKey(key),
		Team:    aqtype.TeamID(team),
		Kind:    aqtype.TaskKind(kind),
		Urgency: aqtype.Urgency(urgency),
		Size:    sizeToCore(size),
	}
}

func serviceToCore(s *pb.Service) aqtype.Spec {
	return aqtype.Service{
		Common:    commonToCore(s.GetName(), s.GetTeam(), s.GetKind(), s.GetUrgency(), s.GetSize()),
		Instances: int(s.GetInstances()),
	}
}

func jobToCore(j *pb.Job) aqtype.Spec {
	return aqtype.Job{
		Common:      commonToCore(j.GetKey(), j.GetTeam(), j.GetKind(), j.GetUrgency(), j.GetSize()),
		Tasks:       int(j.GetTasks()),
		RunTime:     time.Duration(j.GetRunMillis()) * time.Millisecond,
		MaxFailures: int(j.GetMaxFailures()),
	}
}

func watcherToCore(w *pb.Watcher) aqtype.Spec {
	return aqtype.Watcher{
		Common: commonToCore(w.GetName(), w.GetTeam(), w.GetKind(), w.GetUrgency(), w.GetSize()),
	}
}

func statusToWire(s aqscheduler.Status) (*pb.WorkloadStatus, error) {
	spec, err := s.Spec.Unwrap()
	if err != nil {
		return nil, errors.Wrap(err, "api: status")
	}
	out := &pb.WorkloadStatus{
		Shard: int32(s.Shard),
		Done:  s.Done,
	}
	setSpec(out, spec)
	for _, t := range s.Tasks {
		out.Tasks = append(out.Tasks, &pb.TaskStatus{
			Index:   int32(t.Index),
			State:   stateToWire(t.State),
			Attempt: int32(t.Attempt),
			Worker:  string(t.Worker),
			Reason:  t.Reason,
		})
	}
	return out, nil
}

func setSpec(out *pb.WorkloadStatus, spec aqtype.Spec) {
	switch s := spec.(type) {
	case aqtype.Service:
		out.Spec = &pb.WorkloadStatus_Service{Service: &pb.Service{
			Name:      string(s.Key),
			Team:      string(s.Team),
			Kind:      string(s.Kind),
			Urgency:   pb.Urgency(s.Urgency),
			Size:      sizeToWire(s.Size),
			Instances: int32(s.Instances),
		}}
	case aqtype.Job:
		out.Spec = &pb.WorkloadStatus_Job{Job: &pb.Job{
			Key:         string(s.Key),
			Team:        string(s.Team),
			Kind:        string(s.Kind),
			Urgency:     pb.Urgency(s.Urgency),
			Size:        sizeToWire(s.Size),
			Tasks:       int32(s.Tasks),
			RunMillis:   s.RunTime.Milliseconds(),
			MaxFailures: int32(s.MaxFailures),
		}}
	case aqtype.Watcher:
		out.Spec = &pb.WorkloadStatus_Watcher{Watcher: &pb.Watcher{
			Name:    string(s.Key),
			Team:    string(s.Team),
			Kind:    string(s.Kind),
			Urgency: pb.Urgency(s.Urgency),
			Size:    sizeToWire(s.Size),
		}}
	}
}

func stateToWire(s aqshard.TaskState) pb.TaskState {
	switch s {
	case aqshard.TaskQueued, aqshard.TaskOffered, aqshard.TaskReturned:
		return pb.TaskState_TASK_STATE_QUEUED
	case aqshard.TaskRunning:
		return pb.TaskState_TASK_STATE_RUNNING
	case aqshard.TaskStopping:
		return pb.TaskState_TASK_STATE_STOPPING
	case aqshard.TaskFinished:
		return pb.TaskState_TASK_STATE_FINISHED
	case aqshard.TaskGivenUp:
		return pb.TaskState_TASK_STATE_FAILED
	case aqshard.TaskCancelled:
		return pb.TaskState_TASK_STATE_CANCELLED
	}
	return pb.TaskState_TASK_STATE_UNSPECIFIED
}

func configToCore(c *pb.Configuration) aqconfig.Configuration {
	out := aqconfig.Configuration{
		Revision:           aqconfig.Revision(c.GetRevision()),
		WorkerSharePercent: int(c.GetWorkerSharePercent()),
		BatchFloorPercent:  int(c.GetBatchFloorPercent()),
		EvictionsPerMinute: int(c.GetEvictionsPerMinute()),
	}
	for _, s := range c.GetShares() {
		out.Shares = append(out.Shares, aqconfig.UrgencyShare{
			Urgency:      aqtype.Urgency(s.GetUrgency()),
			Weight:       int(s.GetWeight()),
			FloorPercent: int(s.GetFloorPercent()),
		})
	}
	for _, q := range c.GetQuotas() {
		out.Quotas = append(out.Quotas, aqconfig.TeamQuota{
			Team: aqtype.TeamID(q.GetTeam()),
			Size: sizeToCore(q.GetSize()),
		})
	}
	return out
}

func configToWire(c aqconfig.Configuration) *pb.Configuration {
	out := &pb.Configuration{
		Revision:           uint64(c.Revision),
		WorkerSharePercent: int32(c.WorkerSharePercent),
		BatchFloorPercent:  int32(c.BatchFloorPercent),
		EvictionsPerMinute: int32(c.EvictionsPerMinute),
	}
	for _, s := range c.Shares {
		out.Shares = append(out.Shares, &pb.UrgencyShare{
			Urgency:      pb.Urgency(s.Urgency),
			Weight:       int32(s.Weight),
			FloorPercent: int32(s.FloorPercent),
		})
	}
	for _, q := range c.Quotas {
		out.Quotas = append(out.Quotas, &pb.TeamQuota{
			Team: string(q.Team),
			Size: sizeToWire(q.Size),
		})
	}
	return out
}

func topToWire(t aqscheduler.ShardTop) *pb.ShardTop {
	return &pb.ShardTop{
		Shard:            int32(t.Shard),
		Owner:            string(t.Owner),
		Epoch:            uint64(t.Epoch),
		Workers:          int32(t.Workers),
		Queued:           int32(t.Queued),
		Running:          int32(t.Running),
		ReservedMilliCpu: int64(t.Reserved.MilliCPU),
		CapacityMilliCpu: int64(t.Capacity.MilliCPU),
	}
}

func shardsToWire(shards []aqtype.ShardID) []int32 {
	var out []int32
	for _, s := range shards {
		out = append(out, int32(s))
	}
	return out
}

// errorToWire converts a peer's error to an error of the API. The client knows that
// the call did not run unless the code is DeadlineExceeded or Unknown.
func errorToWire(err error) error {
	var code connect.Code
	switch aqpeer.CodeOf(err) {
	case aqpeer.CodeNotOwner, aqpeer.CodeInternal:
		code = connect.CodeUnavailable
	case aqpeer.CodeNotFound:
		code = connect.CodeNotFound
	case aqpeer.CodeConflict:
		code = connect.CodeAlreadyExists
	case aqpeer.CodeInvalid:
		code = connect.CodeInvalidArgument
	case aqpeer.CodeExhausted:
		code = connect.CodeResourceExhausted
	case aqpeer.CodeUnknown:
		code = connect.CodeUnknown
	}
	return connect.NewError(code, err)
}

func configErrorToWire(err error) error {
	code := connect.CodeUnavailable
	switch {
	case errors.Is(err, aqconfig.ErrInvalid):
		code = connect.CodeInvalidArgument
	case errors.Is(err, aqconfig.ErrConflict):
		code = connect.CodeAborted
	case errors.Is(err, aqconfig.ErrInDoubt):
		code = connect.CodeUnknown
	}
	return connect.NewError(code, err)
}
