// Package aqworker defines the calls to workers: heartbeats, which renew leases, and
// orders to start, stop and pace runs.
package aqworker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
)

// Time is a time on a worker's own monotonic clock, whose origin is not
// specified.
type Time time.Duration

// Fence is the fencing token of a leader: the revision of the write by which it acquired the
// leadership.
type Fence int64

// Restarts counts the restarts of one worker that a leader has learned of in its term.
type Restarts uint16

// restartBits is the number of the low bits of a Token that hold the Restarts.
const restartBits = 16

// Token is the fencing token of a call to a worker. Workers refuse calls whose token is lower than the
// highest one that they have received. It rises with every leader and, in its term, with every restart of
// the worker, so that one call to the new incarnation makes it refuse the delayed calls to earlier ones.
type Token int64

// Token returns the token of the leader's calls to a worker that has restarted so often in its term.
func (f Fence) Token(restarts Restarts) Token { return Token(f)<<restartBits | Token(restarts) }

// Client makes calls to workers.
type Client interface {
	// Heartbeat renews the worker's lease and returns what runs and what has ended.
	Heartbeat(ctx context.Context, to Address, r HeartbeatRequest) (HeartbeatAnswer, error)
	Start(ctx context.Context, to Address, r StartRequest) error
	Stop(ctx context.Context, to Address, r StopRequest) error
	Pace(ctx context.Context, to Address, r PaceRequest) error
}

// Address is where one incarnation of a worker is reached.
type Address struct {
	Worker   aqdecider.Worker
	HostPort string
}

// HeartbeatRequest renews a worker's lease, acknowledges ends, and asks what runs on the
// worker.
type HeartbeatRequest struct {
	Token Token
	// LeaseEnd is the new end of the lease, zero to leave it unchanged.
	LeaseEnd Time
	// AckedEnd is the number of the last end that the worker may discard.
	AckedEnd int
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// HeartbeatAnswer is a worker's report with its clock.
type HeartbeatAnswer struct {
	Report aqdecider.WorkerReport
	Clock  Time
}

// StartRequest starts one attempt.
type StartRequest struct {
	Token    Token
	LeaseEnd Time
	Order    aqdecider.Start
	// Payload is the payload of the task's job.
	Payload string
}

// StopRequest ends a run, or forbids its start if that has not arrived yet.
type StopRequest struct {
	Token Token
	Run   aqdecider.RunID
}

// PaceRequest sets the speed of a run, in percent of its full speed.
type PaceRequest struct {
	Token   Token
	Run     aqdecider.RunID
	Percent int
}

// The outcomes of calls to workers besides success. Each except ErrUnanswered means
// that the call had no effect.
var (
	// ErrFenced means that the worker has received a higher fencing token.
	ErrFenced = errors.New("worker: fencing token is too low")
	// ErrSuperseded means that the same or a later attempt of the task was stopped or
	// has ended on the worker.
	ErrSuperseded = errors.New("worker: attempt superseded")
	// ErrTooLate means that the lease end in the call has passed.
	ErrTooLate = errors.New("worker: lease end has passed")
	// ErrNoRoom means that the run would exceed the worker's capacity.
	ErrNoRoom = errors.New("worker: no room")
	// ErrNoTicket means that the ticket is missing or not valid.
	ErrNoTicket = errors.New("worker: no valid ticket")
	// ErrUnhealthy means that the worker accepts no work.
	ErrUnhealthy = errors.New("worker: unhealthy")
	// ErrOtherWorker means that another worker answered at the worker's address.
	ErrOtherWorker = errors.New("worker: another worker answered")
	// ErrInvalid means that the worker does not understand the call.
	ErrInvalid = errors.New("worker: call not valid")
	// ErrUnanswered means that no answer came: the call may take effect later.
	ErrUnanswered = errors.New("worker: no answer")
)
