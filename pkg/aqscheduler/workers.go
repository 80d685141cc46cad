package aqscheduler

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Exponential backoff of a failed task: backoffBase after the first failure, doubled
// with each further one up to backoffMax. maxBackoffShift keeps the shift from
// overflowing.
const (
	backoffBase     = time.Second
	backoffMax      = 5 * time.Minute
	maxBackoffShift = 9
)

// SetHosts applies a snapshot of the platform's host list: the workers of this shard,
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
	s.removeIdle(listed)
}

func (s *Shard) setHost(h aqplatform.WorkerHost) {
	w := s.workers[h.ID]
	if w != nil && w.host.Address == h.Address && !w.dropped {
		w.host = h
		return
	}
	if w != nil && w.stop != nil {
		go w.stop()
	}
	w = &worker{host: h, epochAt: s.epochAt}
	w.session = aqsession.NewClient(aqsession.Options{
		Workers: s.options.Workers,
		Clock:   s.options.Clock,
		Owner:   s,
		Limits:  s.options.Limits.Session,
		Worker:  h.ID,
		Address: h.Address,
		Shard:   s.options.ID,
		Epoch:   s.log.Epoch(),
	})
	w.stop = s.options.RunSession(w.session)
	s.workers[h.ID] = w
}

// dropWorker marks a worker that the platform has declared stopped, and stops its
// session client. endLostAttempts then ends the worker's attempts.
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
	w.dropped = true
	w.serial = 0
}

// removeIdle removes workers that are not listed and hold no tasks.
func (s *Shard) removeIdle(listed map[aqtype.WorkerID]bool) {
	for id, w := range s.workers {
		if listed[id] || len(s.latestState.Placed(id)) > 0 {
			continue
		}
		if w.stop != nil {
			go w.stop()
		}
		delete(s.workers, id)
	}
}

// endLostAttempts ends attempts on workers that can no longer be running them. If the
// platform has dropped the host, it ends all attempts there. If only all sessions with
// the worker have expired, it ends those of services and watchers. A job's task may
// have finished before the expiry and must not run twice, so it waits for a report of
// the worker or until the platform drops the host. The caller holds the lock.
func (s *Shard) endLostAttempts(now time.Time) {
	for _, id := range s.latestState.Workers() {
		w := s.workers[id]
		dropped := w != nil && w.dropped
		if !dropped && ((w != nil && w.serial != 0) || !s.sessionsExpired(w, now)) {
			continue
		}
		ended := 0
		for _, task := range s.latestState.Placed(id) {
			workload, _ := s.latestState.Task(task)
			if _, isJob := workload.Spec.(aqtype.Job); dropped || !isJob {
				s.endAttempt(task, aqshard.OutcomeLost, "")
				ended++
			}
		}
		if ended > 0 {
			s.options.Log.Write(aqlog.WorkerGone, s.shardAttr(), slog.String("Worker", string(id)))
		}
	}
}

// sessionsExpired reports whether all sessions of this shard with a worker have
// expired, so that none of its tasks can still run there. A former owner's sessions
// have expired one proof limit and two TTLs after this owner committed its epoch. This
// owner's sessions have expired two TTLs after the last answer of the worker. Both
// times include the clock drift.
func (s *Shard) sessionsExpired(w *worker, now time.Time) bool {
	limits := s.options.Limits.Session
	if now.Sub(s.epochAt) < limits.ReassignAfter() {
		return false
	}
	if w == nil || w.session == nil {
		return true
	}
	return now.Sub(w.session.LastAnswer()) >= limits.ExpireAfter()
}

// Proof implements aqsession.Owner.
func (s *Shard) Proof() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof
}

// Opened implements aqsession.Owner. Attempts that the worker does not report in the
// new session will never run, because starts decided under earlier sessions are not
// sent any more and the worker refuses delayed ones.
func (s *Shard) Opened(id aqtype.WorkerID, serial aqsession.Serial, runs []aqplatform.TaskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil || w.dropped || w.session.Serial() != serial {
		return
	}
	w.serial = serial
	w.openedAt = s.options.Clock.Now()
	w.orphans = map[aqplatform.RunID]bool{}
	s.options.Log.Write(aqlog.SessionOpened, s.shardAttr(), slog.String("Worker", string(id)))
	present := make(map[aqplatform.RunID]bool, len(runs))
	for _, r := range runs {
		present[aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}] = true
	}
	for _, task := range s.latestState.Placed(id) {
		_, t := s.latestState.Task(task)
		if !present[aqplatform.RunID{Task: task, Attempt: t.Attempt}] {
			s.endAttempt(task, aqshard.OutcomeLost, "")
		}
	}
	for _, r := range runs {
		s.applyRun(id, r)
		s.resendResize(r)
	}
	s.throttled = true
	s.recordKinds(id, s.options.Clock.Now())
	aqsignal.Send(s.wakePlan)
}

// resendResize sends a task's size again in a new session. The order may have been lost
// with the previous session, and the capacity it frees is already counted as free.
func (s *Shard) resendResize(r aqplatform.TaskRun) {
	if _, t := s.committed.Task(r.Task); t != nil && t.Resized {
		s.sendResize(r.Task, r.Attempt)
	}
}

// Changed implements aqsession.Owner.
func (s *Shard) Changed(id aqtype.WorkerID, runs []aqplatform.TaskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range runs {
		s.applyRun(id, r)
	}
	aqsignal.Send(s.wakePlan)
}

// Refused implements aqsession.Owner.
func (s *Shard) Refused(id aqtype.WorkerID, runs []aqplatform.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[id]; w != nil {
		w.avoidUntil = s.options.Clock.Now().Add(refusalBackoff)
	}
	for _, run := range runs {
		if _, t := s.latestState.Task(run.Task); t == nil || t.Attempt != run.Attempt || t.Worker != id {
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

// applyRun applies a worker's report on one run.
func (s *Shard) applyRun(id aqtype.WorkerID, r aqplatform.TaskRun) {
	w, t := s.latestState.Task(r.Task)
	current := t != nil && t.Attempt == r.Attempt && t.Worker == id && t.HoldsReservation()
	if !current {
		s.addOrphan(id, aqplatform.RunID{Task: r.Task, Attempt: r.Attempt})
		return
	}
	kind := w.Spec.Base().Kind
	s.updateModels(id, kind, r)
	switch r.State {
	case aqplatform.RunRunning:
		if t.State == aqshard.TaskStopping {
			s.sendStop(r.Task, r.Attempt)
		}
		s.observeLasting(id, w.Spec, r)
	case aqplatform.RunFinished:
		s.succeeded(id, kind, r)
	case aqplatform.RunFailed:
		s.failed(id, kind, r)
	case aqplatform.RunStopped:
		s.endAttempt(r.Task, aqshard.OutcomeStopped, r.Checkpoint)
	}
}

// addOrphan records a run that this owner has no current attempt for. A newer owner may
// have started it: after a restart, the worker does not know that owner's epoch and
// accepts this owner's session. stopOrphans therefore stops the run only after a new
// proof of ownership.
func (s *Shard) addOrphan(id aqtype.WorkerID, run aqplatform.RunID) {
	if w := s.workers[id]; w != nil && w.serial != 0 {
		w.orphans[run] = true
		s.RequestProof()
	}
}

// stopOrphans stops orphaned runs and acknowledges their ends, in sessions that were
// opened before the last proof of ownership was sent. It leaves out runs that hold a
// reservation in the committed state, because their end is not committed. The caller
// holds the lock.
func (s *Shard) stopOrphans() {
	for _, w := range s.workers {
		if len(w.orphans) == 0 || !s.proof.After(w.openedAt) {
			continue
		}
		var orders aqsession.Orders
		for run := range w.orphans {
			_, t := s.committed.Task(run.Task)
			if t != nil && t.Attempt == run.Attempt && t.HoldsReservation() {
				continue
			}
			orders.Stops = append(orders.Stops, aqplatform.StopOrder{Run: run})
			orders.AckedEnds = append(orders.AckedEnds, run)
		}
		w.orphans = map[aqplatform.RunID]bool{}
		w.session.Send(orders)
	}
}

// updateModels feeds the reported usage and slowdown of a run to the models.
func (s *Shard) updateModels(id aqtype.WorkerID, kind aqtype.TaskKind, r aqplatform.TaskRun) {
	if r.Usage == (aqtype.Resources{}) {
		return
	}
	s.usage.ObserveUsage(kind, r.Usage)
	at := s.options.Clock.Now().Add(-r.Lag)
	if coLocated, ok := s.history.Neighbours(id, at, kind); ok {
		s.slowdowns.Observe(kind, coLocated, float64(r.Slowdown-wholePercent)/wholePercent)
	}
}

// observeLasting ends the worker's probation if a lasting task that was started in it runs
// on.
func (s *Shard) observeLasting(id aqtype.WorkerID, spec aqtype.Spec, r aqplatform.TaskRun) {
	if _, isJob := spec.(aqtype.Job); isJob {
		return
	}
	if info, ok := s.starts[aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}]; ok {
		s.probation.Ran(id, r.Task, s.options.Clock.Now().Sub(info.at))
	}
}

func (s *Shard) succeeded(id aqtype.WorkerID, kind aqtype.TaskKind, r aqplatform.TaskRun) {
	s.probation.Succeeded(id, kind)
	if info, ok := s.starts[aqplatform.RunID{Task: r.Task, Attempt: r.Attempt}]; ok {
		s.usage.ObserveRunTime(kind, s.options.Clock.Now().Sub(info.at))
	}
	s.endAttempt(r.Task, aqshard.OutcomeFinished, "")
}

func (s *Shard) failed(id aqtype.WorkerID, kind aqtype.TaskKind, r aqplatform.TaskRun) {
	if s.probation.Failed(id, kind, s.options.Clock.Now()) {
		s.options.Log.Write(aqlog.WorkerOnProbation, s.shardAttr(), slog.String("Worker", string(id)))
	}
	s.endAttempt(r.Task, aqshard.OutcomeFailed, "")
}

// endAttempt decides that the task's current attempt has ended, and requeues the task
// if it is to run again.
func (s *Shard) endAttempt(id aqtype.TaskID, outcome aqshard.Outcome, checkpoint aqtype.CheckpointID) {
	_, t := s.latestState.Task(id)
	worker := t.Worker
	if !s.appendRecord(aqshard.Ended{
		Task:       id,
		Attempt:    t.Attempt,
		Outcome:    outcome,
		Checkpoint: checkpoint,
	}) {
		return
	}
	s.probation.Ended(worker, id)
	now := s.options.Clock.Now()
	s.recordKinds(worker, now)
	if t.State == aqshard.TaskQueued {
		s.enqueue(id, now.Add(backoff(t.Failures, outcome)))
	}
	aqsignal.Send(s.wakePlan)
}

func backoff(failures int, outcome aqshard.Outcome) time.Duration {
	if outcome != aqshard.OutcomeFailed {
		return 0
	}
	return min(backoffBase<<min(failures-1, maxBackoffShift), backoffMax)
}

// recordKinds records which kinds run on a worker from now on.
func (s *Shard) recordKinds(id aqtype.WorkerID, now time.Time) {
	placed := s.latestState.Placed(id)
	kinds := make([]aqtype.TaskKind, 0, len(placed))
	for _, task := range placed {
		w, _ := s.latestState.Task(task)
		kinds = append(kinds, w.Spec.Base().Kind)
	}
	s.history.Record(id, now, kinds)
}
