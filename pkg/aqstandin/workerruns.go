package aqstandin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// A run's usage is reported first after usageReportDelay, then every
// usageReportInterval. The reported values are usageLag old.
const (
	usageReportDelay    = 30 * time.Second
	usageReportInterval = 5 * time.Minute
	usageLag            = 20 * time.Second
)

// noSlowdownPercent is the slowdown of a task that runs as fast as it does solo.
const noSlowdownPercent = 100

// Command handles a command of the owner.
func (w *Worker) Command(_ context.Context, r aqplatform.CommandRequest) (aqplatform.CommandAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkSession(r.Session, r.Epoch); err != nil {
		return aqplatform.CommandAnswer{}, err
	}
	if r.Number <= w.session.number {
		return aqplatform.CommandAnswer{}, aqplatform.ErrStaleCommandNumber
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

// start starts a run unless the worker already has a record of it. It reports false
// when the run does not fit in the capacity that the older scheduler leaves. Without
// external usage, a run that exceeds the worker's capacity starts and is recorded as
// over-committed.
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
	if w.externalUsage != (aqtype.Resources{}) && !used.Add(w.externalUsage).Fits(w.host.Capacity) {
		return false
	}
	w.runs[order.Run] = &run{
		order:               order,
		state:               aqplatform.RunRunning,
		progressAsOf:        w.clock.Now(),
		progress:            checkpointProgress(order.Checkpoint),
		unthrottledMilliCPU: full,

		reportDue: w.clock.Now().Add(usageReportDelay),
	}
	w.recorder.RecordRun(RunEvent{
		Kind:       RunStarted,
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

// resize changes the resources of a run. A throttled run slows down in proportion.
func (w *Worker) resize(order aqplatform.ResizeOrder) {
	r, ok := w.runs[order.Run]
	if !ok || r.state != aqplatform.RunRunning {
		return
	}
	now := w.clock.Now()
	r.progress = r.progressAt(now)
	r.progressAsOf = now
	r.order.Size = order.Size
	r.unthrottledMilliCPU = order.Full.MilliCPU
}

func (r *run) progressAt(now time.Time) time.Duration {
	speed := float64(r.order.Size.MilliCPU) / float64(max(r.unthrottledMilliCPU, 1))
	return r.progress + time.Duration(float64(now.Sub(r.progressAsOf))*speed)
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

// Used returns the resources reserved by the running tasks.
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
		r.checkpoint = newCheckpoint(order.Run, r.progressAt(w.clock.Now()))
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
	r.changedVersion = w.version
	kind := RunInterrupted
	if state == aqplatform.RunFinished {
		kind = RunFinished
	}
	w.recorder.RecordRun(RunEvent{
		Kind:   kind,
		Worker: w.host.ID,
		Run:    id,
	})
	w.notify()
}

// failAfter is how long a run lasts while SetFailAll is set.
const failAfter = 100 * time.Millisecond

// Tick ends the runs that are due, and all runs once the session has expired.
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
		case w.failAll && now.Sub(r.progressAsOf) >= failAfter:
			w.end(id, r, aqplatform.RunFailed)
		case !r.order.Endless && r.progressAt(now) >= r.order.RunTime:
			w.end(id, r, aqplatform.RunFinished)
		case !now.Before(r.reportDue):
			w.version++
			r.changedVersion = w.version
			r.reportDue = now.Add(usageReportInterval)
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

// newCheckpoint encodes the progress in the id, so that any worker can resume from it.
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
