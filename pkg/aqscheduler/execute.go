package aqscheduler

import (
	"log/slog"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// execute carries out a committed decision. The caller holds the lock.
func (s *Shard) execute(record aqshard.Record) {
	switch r := record.(type) {
	case aqshard.Accepted:
		s.options.Log.Write(aqlog.JobAccepted, slog.String("Workload", string(r.Spec.Base().Key)))
	case aqshard.Started:
		s.sendStart(r)
	case aqshard.Stopping:
		s.sendStop(r.Task, r.Attempt)
	case aqshard.Ended:
		s.sendAck(r.Task, r.Attempt)
		s.countEnd(r)
	case aqshard.Cancelled:
		s.sendStops(r.Workload)
	case aqshard.Resized:
		s.sendResize(r.Task, r.Attempt)
	case aqshard.Reported:
		s.acknowledge(r)
	case aqshard.Pruned, aqshard.Offered, aqshard.Taken, aqshard.Returned, aqshard.Forgotten,
		aqshard.KeyReserved, aqshard.KeyReleased, aqshard.KeysExpired:
	}
}

// acknowledge queues the acknowledgement of an offloaded task's end, after which
// the shard that ran the task deletes it.
func (s *Shard) acknowledge(r aqshard.Reported) {
	w, t := s.committed.Task(r.Task)
	s.acks[t.To] = append(s.acks[t.To], Ack{Task: r.Task, Sequence: r.Sequence})
	s.startRetention(r.Task.Workload, w)
}

// startRetention starts the retention time of a workload if all its tasks have
// ended. The home shard retains a guest workload, so this one does not.
func (s *Shard) startRetention(key aqtype.WorkloadKey, w *aqshard.Workload) {
	if w.Done() && !w.Guest {
		s.endedAt[key] = s.options.Clock.Now()
	}
}

// sendStart sends a committed start to the worker, unless the attempt's end has been
// decided since.
func (s *Shard) sendStart(r aqshard.Started) {
	run := aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}
	info, ok := s.starts[run]
	w := s.workers[r.Worker]
	_, t := s.latestState.Task(r.Task)
	ended := t == nil || t.Attempt != r.Attempt || !t.HoldsReservation()
	if !ok || ended || w == nil || w.session == nil {
		return
	}
	s.options.Metrics.Inc(aqmetric.TasksStarted)
	w.session.Send(aqsession.Orders{
		Serial: info.serial,
		Starts: []aqplatform.StartOrder{info.order},
	})
}

func (s *Shard) sendStops(key aqtype.WorkloadKey) {
	w := s.committed.Workload(key)
	for i, t := range w.Tasks {
		if t.State == aqshard.TaskStopping {
			s.sendStop(aqtype.TaskID{Workload: key, Index: i}, t.Attempt)
		}
	}
}

// sendResize sends the committed size of a running attempt to its worker.
func (s *Shard) sendResize(id aqtype.TaskID, attempt aqtype.Attempt) {
	_, t := s.committed.Task(id)
	if t == nil || t.State != aqshard.TaskRunning || t.Attempt != attempt {
		return
	}
	if w := s.workers[t.Worker]; w != nil && w.session != nil {
		w.session.Send(aqsession.Orders{
			Resizes: []aqplatform.ResizeOrder{
				{
					Run:  aqplatform.RunID{Task: id, Attempt: attempt},
					Size: t.Size,
					Full: t.Full,
				},
			},
		})
	}
}

// sendStop sends the stop of an attempt that is committed as stopping. Only an
// evicted task runs again, so only an eviction asks for a checkpoint.
func (s *Shard) sendStop(id aqtype.TaskID, attempt aqtype.Attempt) {
	_, t := s.committed.Task(id)
	if t == nil || t.State != aqshard.TaskStopping || t.Attempt != attempt {
		return
	}
	w := s.workers[t.Worker]
	if w == nil || w.session == nil {
		return
	}
	w.session.Send(aqsession.Orders{
		Stops: []aqplatform.StopOrder{
			{
				Run:        aqplatform.RunID{Task: id, Attempt: attempt},
				Checkpoint: t.Why == aqshard.StopEvict,
			},
		},
	})
}

func (s *Shard) sendAck(id aqtype.TaskID, attempt aqtype.Attempt) {
	run := aqplatform.RunID{Task: id, Attempt: attempt}
	delete(s.starts, run)
	_, t := s.committed.Task(id)
	if t == nil {
		return
	}
	if w := s.workers[t.Worker]; w != nil && w.session != nil {
		w.session.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	}
}

// countEnd counts the end of an attempt, and starts the workload's retention time if
// all its tasks have ended.
func (s *Shard) countEnd(r aqshard.Ended) {
	w, t := s.committed.Task(r.Task)
	if t == nil {
		return
	}
	switch r.Outcome {
	case aqshard.OutcomeFinished:
		s.options.Metrics.Inc(aqmetric.TasksFinished)
	case aqshard.OutcomeFailed:
		s.options.Metrics.Retried(aqmetric.RetryTaskFailed)
	case aqshard.OutcomeStopped:
		if t.State == aqshard.TaskQueued {
			s.options.Metrics.Inc(aqmetric.TasksEvicted)
		}
	case aqshard.OutcomeLost:
		s.options.Metrics.Retried(aqmetric.RetryWorkerLost)
	case aqshard.OutcomeNotRun:
		s.options.Metrics.Retried(aqmetric.RetryStartRefused)
	}
	if t.State == aqshard.TaskGivenUp {
		s.options.Log.Write(aqlog.TaskAbandoned, slog.String("Task", r.Task.String()))
	}
	s.startRetention(r.Task.Workload, w)
}
