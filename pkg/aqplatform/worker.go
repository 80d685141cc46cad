package aqplatform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// SessionID identifies a session. A worker does not reuse an ID, even after a restart.
type SessionID string

// SessionToken is a single-use token. Each answer of the worker carries the token for
// the next renewal.
type SessionToken string

// Errors of the calls to a worker. Each but ErrWorkerOutcomeUnknown means that the
// worker started nothing.
var (
	// ErrStaleEpoch means that the worker has a session of a higher epoch.
	ErrStaleEpoch = errors.New("worker: stale epoch")
	// ErrNoSession means that the session has expired or never existed.
	ErrNoSession = errors.New("worker: session unknown or expired")
	// ErrStaleCommandNumber means that the worker has already received a later command.
	ErrStaleCommandNumber = errors.New("worker: stale command number")
	// ErrWorkerOutcomeUnknown means that no usable answer arrived: the worker may have
	// executed the call.
	ErrWorkerOutcomeUnknown = errors.New("worker: outcome unknown")
)

// OpenRequest opens the owner's session on a worker. A higher epoch replaces the
// session of a lower one and keeps its tasks. An open does not extend the time that
// the tasks may run, because its answer may be lost; only a renewal does.
type OpenRequest struct {
	Worker aqtype.WorkerID
	Shard  aqtype.ShardID
	Epoch  aqtype.Epoch
	TTL    time.Duration
	// Number acts as a command number: the worker refuses every later command of this
	// epoch whose number is not higher.
	Number uint64
}

// RunState is the state of a task as its worker reports it.
type RunState int

// The states of a run.
const (
	RunRunning RunState = iota + 1
	RunFinished
	RunFailed
	RunStopped
)

// TaskRun is one run as its worker reports it. The worker keeps reporting an ended
// run until a command lists it in Forget.
type TaskRun struct {
	Task       aqtype.TaskID
	Attempt    aqtype.Attempt
	State      RunState
	Checkpoint aqtype.CheckpointID
	// Usage and Slowdown were measured Lag ago.
	Usage aqtype.Resources
	Lag   time.Duration
	// Slowdown is the task's measured time in percent of its time without
	// co-located tasks.
	Slowdown int
}

// SessionAnswer is the worker's answer to an open or a renewal.
type SessionAnswer struct {
	Session SessionID
	Token   SessionToken
	// Number is the last command number of this epoch that the worker received.
	Number uint64
	// Version increases with every change of a run.
	Version uint64
	// Runs holds all runs in the answer to an open, and in the answer to a renewal
	// those that changed since the version in the request.
	Runs []TaskRun
}

// RenewRequest renews a session. It is a long poll: the worker answers when a task has
// ended, or after Wait. The session's TTL starts anew when the worker receives the
// request.
type RenewRequest struct {
	Worker  aqtype.WorkerID
	Session SessionID
	Epoch   aqtype.Epoch
	Token   SessionToken
	Version uint64
	Wait    time.Duration
}

// RunID identifies one attempt of a task.
type RunID struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
}

// StartOrder starts one attempt. A repeated order has no effect while the worker
// still has a record of the attempt.
type StartOrder struct {
	Run RunID
	// Size is the limit of the run's usage.
	Size aqtype.Resources
	// Declared is the size that the operator declared.
	Declared aqtype.Resources
	RunTime  time.Duration
	// Endless is set for tasks that run until they are stopped.
	Endless bool
	// Serves names the service that the run is an instance of; it is empty for other
	// tasks.
	Serves     string
	Checkpoint aqtype.CheckpointID
}

// StopOrder stops one attempt, after a checkpoint if Checkpoint is set.
type StopOrder struct {
	Run        RunID
	Checkpoint bool
}

// ResizeOrder changes the limit of one attempt's usage. The same command may start
// the attempt: a worker executes resizes before starts, and starts such an attempt at
// its new size. An attempt with a Size below Full is throttled.
type ResizeOrder struct {
	Run  RunID
	Size aqtype.Resources
	Full aqtype.Resources
}

// CommandRequest carries orders to a worker. It needs a session that has not expired.
type CommandRequest struct {
	Worker  aqtype.WorkerID
	Session SessionID
	Epoch   aqtype.Epoch
	// Number increases with each command of an epoch. The worker refuses a number
	// that is not above the last one, so a delayed command starts nothing.
	Number  uint64
	Resizes []ResizeOrder
	Starts  []StartOrder
	Stops   []StopOrder
	// Forget lists ended runs whose end the owner has committed. The worker stops
	// reporting them.
	Forget []RunID
}

// CommandAnswer lists the starts that the worker refused for lack of capacity.
type CommandAnswer struct {
	NoRoom []RunID
}

// Workers is the interface to the platform's workers.
type Workers interface {
	Open(ctx context.Context, address string, r OpenRequest) (SessionAnswer, error)
	Renew(ctx context.Context, address string, r RenewRequest) (SessionAnswer, error)
	Command(ctx context.Context, address string, r CommandRequest) (CommandAnswer, error)
}
