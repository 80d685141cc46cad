package aqstandin

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Endpoints opens and closes the endpoints of service tasks.
type Endpoints interface {
	Open(worker aqtype.WorkerID, run aqplatform.RunID, service string)
	// Close closes the endpoint once its requests in flight have ended, and then
	// calls done. It does not block.
	Close(run aqplatform.RunID, done func())
}

// run is one run of a task. Its progress was measured at progressAsOf.
type run struct {
	order        aqplatform.StartOrder
	state        aqplatform.RunState
	progressAsOf time.Time
	progress     time.Duration
	// unthrottledMilliCPU is the reservation at which the run is not throttled.
	unthrottledMilliCPU aqtype.MilliCPU
	checkpoint          aqtype.CheckpointID
	closing             bool
	changedVersion      uint64
	// reportDue is when the run's usage is next reported.
	reportDue time.Time
}

type session struct {
	id      aqplatform.SessionID
	shard   aqtype.ShardID
	epoch   aqtype.Epoch
	ttl     time.Duration
	expires time.Time
	token   aqplatform.SessionToken
	number  uint64
}

// Worker is a simulated worker that runs tasks under a session. Runs progress with the
// worker's clock. Tick and every call end the runs that are due.
type Worker struct {
	mu            sync.Mutex
	clock         aqclock.Clock
	host          aqplatform.WorkerHost
	incarnation   int
	runs          map[aqplatform.RunID]*run
	session       session
	tokens        uint64
	version       uint64
	wake          chan struct{}
	recorder      Recorder
	endpoints     Endpoints
	externalUsage aqtype.Resources
	failAll       bool
	unreachable   bool
}

// NewWorker returns an idle worker. endpoints may be nil.
func NewWorker(clock aqclock.Clock, host aqplatform.WorkerHost, recorder Recorder, endpoints Endpoints) *Worker {
	return &Worker{
		clock:       clock,
		host:        host,
		incarnation: 1,
		version:     1,
		runs:        map[aqplatform.RunID]*run{},
		wake:        make(chan struct{}),
		recorder:    recorder,
		endpoints:   endpoints,
	}
}

// SetExternalUsage sets the resources that the older scheduler uses on this worker.
func (w *Worker) SetExternalUsage(r aqtype.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.externalUsage = r
}

// SetFailAll makes every run fail failAfter after its start or last resize.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

// SetUnreachable makes every call to the worker fail as if it were unreachable.
func (w *Worker) SetUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = unreachable
	w.notify()
}

// Restart ends all runs and the session, as a reboot does. The records of ended runs
// are kept until the owner acknowledges them.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.session = session{}
	for id, r := range w.runs {
		w.end(id, r, aqplatform.RunStopped)
	}
	w.notify()
}

// Destroy removes the host permanently with the records of its ended runs. A task whose
// finish the owner has not learned of runs again elsewhere.
func (w *Worker) Destroy() {
	w.Restart()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.runs {
		if r.state == aqplatform.RunFinished {
			w.recorder.RecordRun(RunEvent{
				Kind:   RunRecordLost,
				Worker: w.host.ID,
				Run:    id,
			})
		}
	}
	w.runs = map[aqplatform.RunID]*run{}
	w.unreachable = true
	w.notify()
}

func (w *Worker) notify() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// Open handles the call that opens a session.
func (w *Worker) Open(_ context.Context, r aqplatform.OpenRequest) (aqplatform.SessionAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return aqplatform.SessionAnswer{}, aqplatform.ErrWorkerOutcomeUnknown
	}
	w.tick()
	if r.Shard == w.session.shard && r.Epoch < w.session.epoch {
		return aqplatform.SessionAnswer{}, aqplatform.ErrStaleEpoch
	}
	if r.Epoch > w.session.epoch || r.Shard != w.session.shard {
		w.session = session{
			shard:   r.Shard,
			epoch:   r.Epoch,
			expires: w.session.expires,
		}
	}
	w.tokens++
	w.session.id = aqplatform.SessionID(fmt.Sprintf("%s-%d-%d", w.host.ID, w.incarnation, w.tokens))
	w.session.number = max(w.session.number, r.Number)
	w.session.ttl = r.TTL
	if now := w.clock.Now(); now.After(w.session.expires) {
		w.session.expires = now.Add(r.TTL)
	}
	w.notify()
	return w.answer(0), nil
}

// Renew handles a renewal: it answers when a run has changed since r.Version, or after
// r.Wait.
func (w *Worker) Renew(ctx context.Context, r aqplatform.RenewRequest) (aqplatform.SessionAnswer, error) {
	deadline := w.clock.Now().Add(r.Wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkSession(r.Session, r.Epoch); err != nil {
		return aqplatform.SessionAnswer{}, err
	}
	if r.Token != w.session.token {
		return aqplatform.SessionAnswer{}, aqplatform.ErrNoSession
	}
	w.session.token = ""
	w.session.expires = w.clock.Now().Add(w.session.ttl)
	for w.version <= r.Version && w.clock.Now().Before(deadline) {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-w.clock.After(deadline.Sub(w.clock.Now())):
		case <-ctx.Done():
		}
		w.mu.Lock()
		if ctx.Err() != nil || w.unreachable {
			return aqplatform.SessionAnswer{}, aqplatform.ErrWorkerOutcomeUnknown
		}
	}
	if err := w.checkSession(r.Session, r.Epoch); err != nil {
		return aqplatform.SessionAnswer{}, err
	}
	return w.answer(r.Version), nil
}

func (w *Worker) checkSession(id aqplatform.SessionID, epoch aqtype.Epoch) error {
	if w.unreachable {
		return aqplatform.ErrWorkerOutcomeUnknown
	}
	w.tick()
	switch {
	case epoch < w.session.epoch:
		return aqplatform.ErrStaleEpoch
	case id != w.session.id || w.clock.Now().After(w.session.expires):
		return aqplatform.ErrNoSession
	}
	return nil
}

// answer returns the next single-use token and the runs that changed since version
// after. Zero selects all runs.
func (w *Worker) answer(after uint64) aqplatform.SessionAnswer {
	w.tokens++
	w.session.token = aqplatform.SessionToken(strconv.FormatUint(w.tokens, 10))
	answer := aqplatform.SessionAnswer{
		Session: w.session.id,
		Token:   w.session.token,
		Number:  w.session.number,
		Version: w.version,
	}
	for id, r := range w.runs {
		if after > 0 && r.changedVersion <= after {
			continue
		}
		answer.Runs = append(answer.Runs, aqplatform.TaskRun{
			Task:       id.Task,
			Attempt:    id.Attempt,
			State:      r.state,
			Checkpoint: r.checkpoint,
			Usage:      r.order.Declared.Min(r.order.Size),
			Lag:        usageLag,
			Slowdown:   noSlowdownPercent,
		})
	}
	sort.Slice(answer.Runs, func(i, j int) bool { return answer.Runs[i].Task.Less(answer.Runs[j].Task) })
	return answer
}
