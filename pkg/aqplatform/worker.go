package aqplatform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// SessionID names a session. A worker that restarts never repeats one.
type SessionID string

// SessionToken is the single-use token that the worker's previous answer gave.
type SessionToken string

// The worker's refusals. Each of them means that nothing was started.
var (
	// ErrStaleEpoch means that the worker has a session of a higher epoch.
	ErrStaleEpoch = errors.New("worker: stale epoch")
	// ErrNoSession means that the session has lapsed or never existed.
	ErrNoSession = errors.New("worker: no live session")
	// ErrStaleNumber means that a later command has reached the worker.
	ErrStaleNumber = errors.New("worker: stale command number")
	// ErrWorkerUnknown means that no answer came.
	ErrWorkerUnknown = errors.New("worker: outcome unknown")
)

// OpenRequest opens the owner's session on a worker. A higher epoch replaces
// the session of a lower one and keeps the tasks, but only a renewal makes them
// live longer: an open whose answer is lost must not.
type OpenRequest struct {
	Worker aqtype.WorkerID
	Shard  aqtype.ShardID
	Epoch  aqtype.Epoch
	TTL    time.Duration
	// Number refuses commands of this epoch up to it, as a command would.
	Number uint64
}

// RunState is what the worker says of a task.
type RunState int

// The states of a task on its worker.
const (
	RunRunning RunState = iota + 1
	RunFinished
	RunFailed
	RunStopped
)

// TaskRun is one task as its worker sees it. A task that has ended stays until
// the owner tells the worker to forget it.
type TaskRun struct {
	Task       aqtype.TaskID
	Attempt    aqtype.Attempt
	State      RunState
	Checkpoint aqtype.CheckpointID
	// Usage and Slowdown are those of Lag ago.
	Usage aqtype.Resources
	Lag   time.Duration
	// Slowdown is the task's measured time over its time alone, in hundredths.
	Slowdown int
}

// SessionAnswer is the worker's answer to an open or a renewal.
type SessionAnswer struct {
	Session SessionID
	Token   SessionToken
	// Number is the last command number that the worker knows of this epoch.
	Number uint64
	// Version grows with every change of a run.
	Version uint64
	// Runs holds every run after an open, and after a renewal those that
	// changed since the version that the renewal named.
	Runs []TaskRun
}

// RenewRequest extends a session. The worker answers when a task has ended or
// after Wait, and the session lives for its TTL from when the worker got it.
type RenewRequest struct {
	Worker  aqtype.WorkerID
	Session SessionID
	Epoch   aqtype.Epoch
	Token   SessionToken
	Version uint64
	Wait    time.Duration
}

// RunID names one attempt of a task.
type RunID struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
}

// StartOrder starts one attempt. Repeating it has no effect while the worker
// remembers the attempt.
type StartOrder struct {
	Run RunID
	// Size is what the run may use, Declared what its operator said.
	Size       aqtype.Resources
	Declared   aqtype.Resources
	RunTime    time.Duration
	Endless    bool
	Serves     string
	Checkpoint aqtype.CheckpointID
}

// StopOrder stops one attempt, after saving a checkpoint when asked to.
type StopOrder struct {
	Run        RunID
	Checkpoint bool
}

// ResizeOrder changes what one attempt may use, which may be one that the same
// command starts: a worker carries resizes out before the starts, and starts
// such an attempt at its new size. With a Size below Full it is throttled.
type ResizeOrder struct {
	Run  RunID
	Size aqtype.Resources
	Full aqtype.Resources
}

// CommandRequest carries orders to a worker under a live session.
type CommandRequest struct {
	Worker  aqtype.WorkerID
	Session SessionID
	Epoch   aqtype.Epoch
	// Number grows with each command of an epoch. The worker refuses a number
	// that is not above the last, so a delayed command can start nothing.
	Number  uint64
	Resizes []ResizeOrder
	Starts  []StartOrder
	Stops   []StopOrder
	// Forget names ended runs whose end the owner has committed.
	Forget []RunID
}

// CommandAnswer tells which starts were refused for lack of room.
type CommandAnswer struct {
	NoRoom []RunID
}

// Workers reaches the platform's workers.
type Workers interface {
	Open(ctx context.Context, address string, r OpenRequest) (SessionAnswer, error)
	Renew(ctx context.Context, address string, r RenewRequest) (SessionAnswer, error)
	Command(ctx context.Context, address string, r CommandRequest) (CommandAnswer, error)
}
