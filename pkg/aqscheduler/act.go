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

// act does what a committed record calls for. The lock is held.
func (s *Shard) act(record aqshard.Record) {
	switch r := record.(type) {
	case aqshard.Accepted:
		s.options.Log.Write(aqlog.JobAccepted, slog.String("Workload", string(r.Spec.Base().Key)))
	case aqshard.Started:
		s.sendStart(r)
	case aqshard.Stopping:
		s.sendStop(r.Task, r.Attempt)
	case aqshard.Ended:
		s.sendForget(r.Task, r.Attempt)
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

// acknowledge lets the shard that a task was handed on to forget it.
func (s *Shard) acknowledge(r aqshard.Reported) {
	w, t := s.committed.Task(r.Task)
	s.acks[t.To] = append(s.acks[t.To], Ack{Task: r.Task, Sequence: r.Sequence})
	s.noteDone(r.Task.Workload, w)
}

// noteDone begins the retention of a workload whose tasks have all ended. One of
// another shard is that shard's to keep.
func (s *Shard) noteDone(key aqtype.WorkloadKey, w *aqshard.Workload) {
	if w.Done() && !w.Guest {
		s.ended[key] = s.options.Clock.Now()
	}
}

// sendStart orders a committed start, unless its end has been decided meanwhile.
func (s *Shard) sendStart(r aqshard.Started) {
	run := aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}
	note, ok := s.starts[run]
	w := s.workers[r.Worker]
	_, t := s.planned.Task(r.Task)
	over := t == nil || t.Attempt != r.Attempt || !t.HoldsReservation()
	if !ok || over || w == nil || w.keeper == nil {
		return
	}
	s.options.Metrics.Inc(aqmetric.TasksStarted)
	w.keeper.Send(aqsession.Orders{
		Serial: note.serial,
		Starts: []aqplatform.StartOrder{note.order},
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

// sendResize orders the size that an attempt is committed to have.
func (s *Shard) sendResize(id aqtype.TaskID, attempt aqtype.Attempt) {
	_, t := s.committed.Task(id)
	if t == nil || t.State != aqshard.TaskRunning || t.Attempt != attempt {
		return
	}
	if w := s.workers[t.Worker]; w != nil && w.keeper != nil {
		w.keeper.Send(aqsession.Orders{
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

// sendStop orders the stop of an attempt that is committed as stopping. Only an
// evicted task resumes, so only it saves a checkpoint.
func (s *Shard) sendStop(id aqtype.TaskID, attempt aqtype.Attempt) {
	_, t := s.committed.Task(id)
	if t == nil || t.State != aqshard.TaskStopping || t.Attempt != attempt {
		return
	}
	w := s.workers[t.Worker]
	if w == nil || w.keeper == nil {
		return
	}
	w.keeper.Send(aqsession.Orders{
		Stops: []aqplatform.StopOrder{
			{
				Run:        aqplatform.RunID{Task: id, Attempt: attempt},
				Checkpoint: t.Why == aqshard.StopEvict,
			},
		},
	})
}

func (s *Shard) sendForget(id aqtype.TaskID, attempt aqtype.Attempt) {
	run := aqplatform.RunID{Task: id, Attempt: attempt}
	delete(s.starts, run)
	_, t := s.committed.Task(id)
	if t == nil {
		return
	}
	if w := s.workers[t.Worker]; w != nil && w.keeper != nil {
		w.keeper.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	}
}

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
	s.noteDone(r.Task.Workload, w)
}
