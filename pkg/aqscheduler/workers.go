package aqscheduler

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Back-off of a task that failed or was refused.
const (
	backoffBase = time.Second
	backoffMax  = 5 * time.Minute
	backoffCap  = 9
)

// SetHosts takes a reading of the platform's list: the workers of this shard
// and the workers that the platform has declared stopped.
func (s *Shard) SetHosts(hosts []aqplatform.WorkerHost, dropped []aqtype.WorkerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.closing {
		return
	}
	for _, h := range hosts {
		s.setHost(h)
	}
	listed := make(map[aqtype.WorkerID]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
	}
	for _, id := range dropped {
		if !listed[id] {
			s.dropWorker(id)
		}
	}
	s.forgetIdle(listed)
}

func (s *Shard) setHost(h aqplatform.WorkerHost) {
	w := s.workers[h.ID]
	if w != nil && w.host.Address == h.Address && !w.gone {
		w.host = h
		return
	}
	if w != nil && w.stop != nil {
		go w.stop()
	}
	w = &worker{host: h, silentSince: s.epochAt}
	w.keeper = aqsession.NewClient(aqsession.Options{
		Workers: s.options.Workers,
		Clock:   s.options.Clock,
		Owner:   s,
		Limits:  s.options.Limits.Session,
		Worker:  h.ID,
		Address: h.Address,
		Shard:   s.options.ID,
		Epoch:   s.log.Epoch(),
	})
	w.stop = s.options.RunSession(w.keeper)
	s.workers[h.ID] = w
}

// dropWorker takes the platform's word that a worker is stopped.
func (s *Shard) dropWorker(id aqtype.WorkerID) {
	w := s.workers[id]
	if w == nil {
		w = &worker{}
		s.workers[id] = w
	}
	if w.stop != nil {
		go w.stop()
		w.stop = nil
	}
	w.gone = true
	w.serial = 0
}

// forgetIdle removes workers that are neither listed nor hold tasks.
func (s *Shard) forgetIdle(listed map[aqtype.WorkerID]bool) {
	for id, w := range s.workers {
		if listed[id] || len(s.planned.Placed(id)) > 0 {
			continue
		}
		if w.stop != nil {
			go w.stop()
		}
		delete(s.workers, id)
	}
}

// giveUpWorkers ends the tasks of workers that are certainly stopped. When the
// platform has dropped a host, that is all its tasks. When only every session
// that could still be renewed has lapsed, it is the endless ones: a job's task
// may have finished there before, and would be done twice, so it waits for the
// worker's word or the platform's. The lock is held.
func (s *Shard) giveUpWorkers(now time.Time) {
	for _, id := range s.planned.Workers() {
		w := s.workers[id]
		gone := w != nil && w.gone
		if !gone && ((w != nil && w.serial != 0) || !s.lapsed(w, now)) {
			continue
		}
		ended := 0
		for _, task := range s.planned.Placed(id) {
			workload, _ := s.planned.Task(task)
			if _, isJob := workload.Spec.(aqtype.Job); gone || !isJob {
				s.endAttempt(task, aqshard.OutcomeLost, "")
				ended++
			}
		}
		if ended > 0 {
			s.options.Log.Write(aqlog.WorkerGone, s.shardAttr(), slog.String("Worker", string(id)))
		}
	}
}

// lapsed reports whether no task of this shard can still run on a worker without
// a session. The former owner's renewals are over one proof
// limit and two times to live after this owner's epoch was committed; this
// owner's own are over two times to live after the worker last answered it.
func (s *Shard) lapsed(w *worker, now time.Time) bool {
	limits := s.options.Limits.Session
	if now.Sub(s.epochAt) < limits.ReassignAfter() {
		return false
	}
	if w == nil || w.keeper == nil {
		return true
	}
	return now.Sub(w.keeper.LastAnswer()) >= limits.ExpireAfter()
}

// Proof implements aqsession.Owner.
func (s *Shard) Proof() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof
}

// Opened implements aqsession.Owner: what the worker does not run under its new
// session will never run, because starts of earlier sessions are refused.
func (s *Shard) Opened(id aqtype.WorkerID, serial aqsession.Serial, runs []aqplatform.TaskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil || w.gone || w.keeper.Serial() != serial {
		return
	}
	w.serial = serial
	w.openedAt = s.options.Clock.Now()
	w.strays = map[aqplatform.RunID]bool{}
	s.options.Log.Write(aqlog.SessionOpened, s.shardAttr(), slog.String("Worker", string(id)))
	there := make(map[aqplatform.RunID]bool, len(runs))
	for _, r := range runs {
		there[aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}] = true
	}
	for _, task := range s.planned.Placed(id) {
		_, t := s.planned.Task(task)
		if !there[aqplatform.RunID{Task: task, Attempt: t.Attempt}] {
			s.endAttempt(task, aqshard.OutcomeLost, "")
		}
	}
	for _, r := range runs {
		s.observe(id, r)
		s.repeatResize(r)
	}
	s.throttled = true
	s.noteNeighbours(id, s.options.Clock.Now())
	signal(s.wakePlan)
}

// repeatResize sends a task's size again under a new session: the order may have
// been lost with the session before, and the room it makes is already counted.
func (s *Shard) repeatResize(r aqplatform.TaskRun) {
	if _, t := s.committed.Task(r.Task); t != nil && t.Resized {
		s.sendResize(r.Task, r.Attempt)
	}
}

// Changed implements aqsession.Owner.
func (s *Shard) Changed(id aqtype.WorkerID, runs []aqplatform.TaskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range runs {
		s.observe(id, r)
	}
	signal(s.wakePlan)
}

// Refused implements aqsession.Owner.
func (s *Shard) Refused(id aqtype.WorkerID, runs []aqplatform.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[id]; w != nil {
		w.avoidUntil = s.options.Clock.Now().Add(avoidFor)
	}
	for _, run := range runs {
		if _, t := s.planned.Task(run.Task); t == nil || t.Attempt != run.Attempt || t.Worker != id {
			continue
		}
		s.options.Log.Write(aqlog.StartRefused, s.shardAttr(), slog.String("Worker", string(id)))
		s.endAttempt(run.Task, aqshard.OutcomeNotRun, "")
	}
}

// Closed implements aqsession.Owner.
func (s *Shard) Closed(id aqtype.WorkerID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil {
		return
	}
	if w.serial != 0 {
		s.options.Log.Write(aqlog.SessionFailed, s.shardAttr(), slog.String("Worker", string(id)), aqlog.Err(err))
	}
	w.serial = 0
	if errors.Is(err, aqplatform.ErrStaleEpoch) {
		s.RequestProof()
	}
}

// observe takes a worker's word on one run.
func (s *Shard) observe(id aqtype.WorkerID, r aqplatform.TaskRun) {
	w, t := s.planned.Task(r.Task)
	current := t != nil && t.Attempt == r.Attempt && t.Worker == id && t.HoldsReservation()
	if !current {
		s.disown(id, aqplatform.RunID{Task: r.Task, Attempt: r.Attempt})
		return
	}
	kind := w.Spec.Base().Kind
	s.learn(id, kind, r)
	switch r.State {
	case aqplatform.RunRunning:
		if t.State == aqshard.TaskStopping {
			s.sendStop(r.Task, r.Attempt)
		}
	case aqplatform.RunFinished:
		s.succeeded(id, kind, r)
	case aqplatform.RunFailed:
		s.failed(id, kind, r)
	case aqplatform.RunStopped:
		s.endAttempt(r.Task, aqshard.OutcomeStopped, r.Checkpoint)
	}
}

// disown notes a run that is not one of this shard's any more. It may also be one
// that a newer owner has started, on a worker that has restarted and forgotten
// that owner's epoch: so nothing is done about it before ownership has been
// proved anew.
func (s *Shard) disown(id aqtype.WorkerID, run aqplatform.RunID) {
	if w := s.workers[id]; w != nil && w.serial != 0 {
		w.strays[run] = true
		s.RequestProof()
	}
}

// sweepStrays stops and forgets runs that are not this shard's, under sessions
// that were open before the last proof of ownership was sent. The end of such a
// run is committed, or it would still hold a reservation. The lock is held.
func (s *Shard) sweepStrays() {
	for _, w := range s.workers {
		if len(w.strays) == 0 || !s.proof.After(w.openedAt) {
			continue
		}
		var orders aqsession.Orders
		for run := range w.strays {
			_, t := s.committed.Task(run.Task)
			if t != nil && t.Attempt == run.Attempt && t.HoldsReservation() {
				continue
			}
			orders.Stops = append(orders.Stops, aqplatform.StopOrder{Run: run})
			orders.AckedEnds = append(orders.AckedEnds, run)
		}
		w.strays = map[aqplatform.RunID]bool{}
		w.keeper.Send(orders)
	}
}

func (s *Shard) learn(id aqtype.WorkerID, kind aqtype.TaskKind, r aqplatform.TaskRun) {
	if r.Usage == (aqtype.Resources{}) {
		return
	}
	s.sizes.ObserveUsage(kind, r.Usage)
	at := s.options.Clock.Now().Add(-r.Lag)
	if neighbours, ok := s.history.Neighbours(id, at, kind); ok {
		s.pairs.Observe(kind, neighbours, float64(r.Slowdown-wholePercent)/wholePercent)
	}
}

func (s *Shard) succeeded(id aqtype.WorkerID, kind aqtype.TaskKind, r aqplatform.TaskRun) {
	s.probation.Succeeded(id, kind)
	if note, ok := s.starts[aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}]; ok {
		s.sizes.ObserveRunTime(kind, s.options.Clock.Now().Sub(note.at))
	}
	s.endAttempt(r.Task, aqshard.OutcomeFinished, "")
}

func (s *Shard) failed(id aqtype.WorkerID, kind aqtype.TaskKind, r aqplatform.TaskRun) {
	if s.probation.Failed(id, kind) {
		s.options.Log.Write(aqlog.WorkerOnProbation, s.shardAttr(), slog.String("Worker", string(id)))
	}
	s.endAttempt(r.Task, aqshard.OutcomeFailed, "")
}

// endAttempt decides that the task's current attempt is over and queues the
// task again when it is to run once more.
func (s *Shard) endAttempt(id aqtype.TaskID, outcome aqshard.Outcome, checkpoint aqtype.CheckpointID) {
	_, t := s.planned.Task(id)
	worker := t.Worker
	if !s.decide(aqshard.Ended{
		Task:       id,
		Attempt:    t.Attempt,
		Outcome:    outcome,
		Checkpoint: checkpoint,
	}) {
		return
	}
	now := s.options.Clock.Now()
	s.noteNeighbours(worker, now)
	if t.State == aqshard.TaskQueued {
		s.enqueue(id, now.Add(backoff(t.Failures, outcome)))
	}
	signal(s.wakePlan)
}

func backoff(failures int, outcome aqshard.Outcome) time.Duration {
	if outcome != aqshard.OutcomeFailed {
		return 0
	}
	return min(backoffBase<<min(failures-1, backoffCap), backoffMax)
}

// noteNeighbours records which kinds run on a worker from now on.
func (s *Shard) noteNeighbours(id aqtype.WorkerID, now time.Time) {
	placed := s.planned.Placed(id)
	kinds := make([]aqtype.TaskKind, 0, len(placed))
	for _, task := range placed {
		w, _ := s.planned.Task(task)
		kinds = append(kinds, w.Spec.Base().Kind)
	}
	s.history.Record(id, now, kinds)
}
