package aqstandin

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Endpoints opens and closes the endpoints of service tasks.
type Endpoints interface {
	Open(worker aqtype.WorkerID, run aqplatform.RunID, service string)
	// Close stops taking new requests, finishes those in progress and calls
	// done. It does not block.
	Close(run aqplatform.RunID, done func())
}

type run struct {
	order    aqplatform.StartOrder
	state    aqplatform.RunState
	began    time.Time
	progress time.Duration
	// full is the processors with which the run is not throttled.
	full    aqtype.MilliCPU
	saved   aqtype.CheckpointID
	closing bool
	changed uint64
	// reportDue is when the run\'s usage is next reported.
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

// Worker runs tasks under a session. Its time moves in Tick.
type Worker struct {
	mu        sync.Mutex
	clock     aqclock.Clock
	host      aqplatform.WorkerHost
	boot      int
	runs      map[aqplatform.RunID]*run
	session   session
	tokens    uint64
	version   uint64
	wake      chan struct{}
	witness   Witness
	endpoints Endpoints
	foreign   aqtype.Resources
	failAll   bool
	cut       bool
}

// NewWorker returns an idle worker. Endpoints may be nil.
func NewWorker(clock aqclock.Clock, host aqplatform.WorkerHost, witness Witness, endpoints Endpoints) *Worker {
	return &Worker{
		clock:     clock,
		host:      host,
		boot:      1,
		version:   1,
		runs:      map[aqplatform.RunID]*run{},
		wake:      make(chan struct{}),
		witness:   witness,
		endpoints: endpoints,
	}
}

// SetForeign sets what the older scheduler holds on this worker.
func (w *Worker) SetForeign(r aqtype.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.foreign = r
}

// SetFailAll makes every run fail soon after it starts.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

// SetCut makes the worker unreachable.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.notify()
}

// Restart ends all runs and forgets the session, as a reboot does. The record of
// ended runs is kept until the owner lets it be forgotten.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot++
	w.session = session{}
	for id, r := range w.runs {
		w.end(id, r, aqplatform.RunStopped)
	}
	w.notify()
}

// Lose ends the host for good with the record of its ended runs: what finished
// there unknown to the owner went with it, and is done again elsewhere.
func (w *Worker) Lose() {
	w.Restart()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.runs {
		if r.state == aqplatform.RunFinished {
			w.witness.SawRun(RunEvent{
				Kind:   RunVoid,
				Worker: w.host.ID,
				Run:    id,
			})
		}
	}
	w.runs = map[aqplatform.RunID]*run{}
	w.cut = true
	w.notify()
}

func (w *Worker) notify() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// Open implements the worker's half of a session's start.
func (w *Worker) Open(_ context.Context, r aqplatform.OpenRequest) (aqplatform.SessionAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return aqplatform.SessionAnswer{}, aqplatform.ErrWorkerUnknown
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
	w.session.id = aqplatform.SessionID(fmt.Sprintf("%s-%d-%d", w.host.ID, w.boot, w.tokens))
	w.session.number = max(w.session.number, r.Number)
	w.session.ttl = r.TTL
	if now := w.clock.Now(); now.After(w.session.expires) {
		w.session.expires = now.Add(r.TTL)
	}
	w.notify()
	return w.answer(0), nil
}

// Renew implements the worker's half of a renewal: it waits for news.
func (w *Worker) Renew(ctx context.Context, r aqplatform.RenewRequest) (aqplatform.SessionAnswer, error) {
	deadline := w.clock.Now().Add(r.Wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(r.Session, r.Epoch); err != nil {
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
		if ctx.Err() != nil || w.cut {
			return aqplatform.SessionAnswer{}, aqplatform.ErrWorkerUnknown
		}
	}
	if err := w.check(r.Session, r.Epoch); err != nil {
		return aqplatform.SessionAnswer{}, err
	}
	return w.answer(r.Version), nil
}

func (w *Worker) check(id aqplatform.SessionID, epoch aqtype.Epoch) error {
	if w.cut {
		return aqplatform.ErrWorkerUnknown
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

// answer hands out the next single-use token with the runs that changed after
// a version.
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
		if after > 0 && r.changed <= after {
			continue
		}
		answer.Runs = append(answer.Runs, aqplatform.TaskRun{
			Task:       id.Task,
			Attempt:    id.Attempt,
			State:      r.state,
			Checkpoint: r.saved,
			Usage:      r.order.Declared.Min(r.order.Size),
			Lag:        usageLag,
			Slowdown:   noSlowdown,
		})
	}
	sort.Slice(answer.Runs, func(i, j int) bool { return answer.Runs[i].Task.Less(answer.Runs[j].Task) })
	return answer
}

// Usage is reported when a run has lasted for a while, seldom after that, and as
// it was some time before.
const (
	usageFirst = 30 * time.Second
	usageEvery = 5 * time.Minute
	usageLag   = 20 * time.Second
)

// noSlowdown is the slowdown in hundredths of a task that runs as if alone.
const noSlowdown = 100

// Command implements the worker's half of a command.
func (w *Worker) Command(_ context.Context, r aqplatform.CommandRequest) (aqplatform.CommandAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(r.Session, r.Epoch); err != nil {
		return aqplatform.CommandAnswer{}, err
	}
	if r.Number <= w.session.number {
		return aqplatform.CommandAnswer{}, aqplatform.ErrStaleNumber
	}
	w.session.number = r.Number
	for _, o := range r.Resizes {
		w.resize(o)
	}
	for _, id := range r.Forget {
		if known, ok := w.runs[id]; ok && known.state != aqplatform.RunRunning {
			delete(w.runs, id)
		}
	}
	for _, stop := range r.Stops {
		w.stop(stop)
	}
	var answer aqplatform.CommandAnswer
	resizes := make(map[aqplatform.RunID]aqplatform.ResizeOrder, len(r.Resizes))
	for _, o := range r.Resizes {
		resizes[o.Run] = o
	}
	for _, start := range r.Starts {
		if !w.start(start, resizes) {
			answer.NoRoom = append(answer.NoRoom, start.Run)
		}
	}
	return answer, nil
}

// start reports false when the worker has no room for the run.
func (w *Worker) start(order aqplatform.StartOrder, resizes map[aqplatform.RunID]aqplatform.ResizeOrder) bool {
	if _, known := w.runs[order.Run]; known {
		return true
	}
	full := order.Size.MilliCPU
	if o, resized := resizes[order.Run]; resized {
		order.Size = o.Size
		full = o.Full.MilliCPU
	}
	used := w.used().Add(order.Size)
	if w.foreign != (aqtype.Resources{}) && !used.Add(w.foreign).Fits(w.host.Capacity) {
		return false
	}
	w.runs[order.Run] = &run{
		order:    order,
		state:    aqplatform.RunRunning,
		began:    w.clock.Now(),
		progress: checkpointProgress(order.Checkpoint),
		full:     full,

		reportDue: w.clock.Now().Add(usageFirst),
	}
	w.witness.SawRun(RunEvent{
		Kind:       RunBegan,
		Worker:     w.host.ID,
		Run:        order.Run,
		Checkpoint: order.Checkpoint,
		Beyond:     !used.Fits(w.host.Capacity),
	})
	if order.Serves != "" && w.endpoints != nil {
		w.endpoints.Open(w.host.ID, order.Run, order.Serves)
	}
	return true
}

// resize changes what a run may use; a throttled run slows down in proportion.
func (w *Worker) resize(order aqplatform.ResizeOrder) {
	r, ok := w.runs[order.Run]
	if !ok || r.state != aqplatform.RunRunning {
		return
	}
	now := w.clock.Now()
	r.progress = r.progressAt(now)
	r.began = now
	r.order.Size = order.Size
	r.full = order.Full.MilliCPU
}

func (r *run) progressAt(now time.Time) time.Duration {
	speed := float64(r.order.Size.MilliCPU) / float64(max(r.full, 1))
	return r.progress + time.Duration(float64(now.Sub(r.began))*speed)
}

func (w *Worker) used() aqtype.Resources {
	var used aqtype.Resources
	for _, r := range w.runs {
		if r.state == aqplatform.RunRunning {
			used = used.Add(r.order.Size)
		}
	}
	return used
}

// Used returns what the running tasks reserve.
func (w *Worker) Used() aqtype.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used()
}

func (w *Worker) stop(order aqplatform.StopOrder) {
	r, ok := w.runs[order.Run]
	if !ok || r.state != aqplatform.RunRunning || r.closing {
		return
	}
	if order.Checkpoint {
		r.saved = newCheckpoint(order.Run, r.progressAt(w.clock.Now()))
	}
	if r.order.Serves == "" || w.endpoints == nil {
		w.end(order.Run, r, aqplatform.RunStopped)
		return
	}
	r.closing = true
	w.endpoints.Close(order.Run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(order.Run, r, aqplatform.RunStopped)
	})
}

func (w *Worker) end(id aqplatform.RunID, r *run, state aqplatform.RunState) {
	if r.state != aqplatform.RunRunning {
		return
	}
	r.state = state
	w.version++
	r.changed = w.version
	kind := RunCut
	if state == aqplatform.RunFinished {
		kind = RunDone
	}
	w.witness.SawRun(RunEvent{
		Kind:   kind,
		Worker: w.host.ID,
		Run:    id,
	})
	w.notify()
}

// failAfter is how long a run lasts on a worker that fails everything.
const failAfter = 100 * time.Millisecond

// Tick ends the runs that are due and the session that has lapsed.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
}

func (w *Worker) tick() {
	now := w.clock.Now()
	for id, r := range w.runs {
		if r.state != aqplatform.RunRunning {
			continue
		}
		switch {
		case w.failAll && now.Sub(r.began) >= failAfter:
			w.end(id, r, aqplatform.RunFailed)
		case !r.order.Endless && r.progressAt(now) >= r.order.RunTime:
			w.end(id, r, aqplatform.RunFinished)
		case !now.Before(r.reportDue):
			w.version++
			r.changed = w.version
			r.reportDue = now.Add(usageEvery)
		}
	}
	if w.session.epoch == 0 || !now.After(w.session.expires) {
		return
	}
	for id, r := range w.runs {
		if r.state == aqplatform.RunRunning && w.endpoints != nil && r.order.Serves != "" {
			w.endpoints.Close(id, func() {})
		}
		w.end(id, r, aqplatform.RunStopped)
	}
}

// newCheckpoint writes the progress into the id, so that any worker can resume.
func newCheckpoint(id aqplatform.RunID, progress time.Duration) aqtype.CheckpointID {
	return aqtype.CheckpointID(fmt.Sprintf("%s#%d@%d", id.Task, id.Attempt, progress.Milliseconds()))
}

func checkpointProgress(id aqtype.CheckpointID) time.Duration {
	_, millis, ok := strings.Cut(string(id), "@")
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
