// Package aqsite runs a site's scheduler: it elects the leader, keeps jobs in
// the store, carries the decider's orders to the workers, and answers
// submitters.
package aqsite

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// WorkerTime is a time on a worker's own steady clock, since its start or any
// other origin.
type WorkerTime time.Duration

// Fence is the token of a leader's orders: the revision of the write by which it
// took the leadership. Workers do nothing for a lower one than they have seen.
type Fence int64

// Workers carries calls to workers.
type Workers interface {
	// Heartbeat prolongs the worker's lease and lists what runs and what has ended.
	Heartbeat(ctx context.Context, to Address, r HeartbeatRequest) (HeartbeatAnswer, error)
	Start(ctx context.Context, to Address, r StartRequest) error
	Stop(ctx context.Context, to Address, r StopRequest) error
	Pace(ctx context.Context, to Address, r PaceRequest) error
}

// Advisor asks the advice service which workers may run a group.
type Advisor interface {
	Advise(ctx context.Context, q aqdecider.AdviceRequest) (aqdecider.Advice, error)
}

// Address is where one life of a worker is reached.
type Address struct {
	Worker   aqdecider.Worker
	HostPort string
}

// HeartbeatRequest asks a worker what runs on it.
type HeartbeatRequest struct {
	Fence Fence
	// LeaseEnd is the end of the lease, zero to leave it as it is.
	LeaseEnd WorkerTime
	// AckedEnd is the number of the last end that the worker may forget.
	AckedEnd int
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// HeartbeatAnswer is a worker's listing with its clock.
type HeartbeatAnswer struct {
	Report aqdecider.WorkerReport
	Clock  WorkerTime
}

// StartRequest starts one attempt.
type StartRequest struct {
	Fence    Fence
	LeaseEnd WorkerTime
	Order    aqdecider.Start
}

// StopRequest ends a run and forbids one that has not arrived.
type StopRequest struct {
	Fence Fence
	Run   aqdecider.RunID
}

// PaceRequest sets the share of its speed at which a run works.
type PaceRequest struct {
	Fence   Fence
	Run     aqdecider.RunID
	Percent int
}

// The outcomes of calls to workers besides success. After each but
// ErrUnanswered the call has done nothing.
var (
	// ErrFenced means that the worker has seen a higher fence.
	ErrFenced = errors.New("worker: fenced off")
	// ErrSuperseded means that the run is not above one that was stopped or has
	// ended there.
	ErrSuperseded = errors.New("worker: attempt superseded")
	// ErrTooLate means that the lease end of the call has passed.
	ErrTooLate = errors.New("worker: lease end has passed")
	// ErrNoRoom means that the worker guards its capacity.
	ErrNoRoom = errors.New("worker: no room")
	// ErrNoTicket means that the ticket is missing or not valid.
	ErrNoTicket = errors.New("worker: no valid ticket")
	// ErrUnhealthy means that the worker takes no work.
	ErrUnhealthy = errors.New("worker: unhealthy")
	// ErrOtherIncarnation means that another life of the worker answered.
	ErrOtherIncarnation = errors.New("worker: another life")
	// ErrInvalid means that the worker does not understand the call.
	ErrInvalid = errors.New("worker: call not valid")
	// ErrUnanswered means that no answer came: the call may be executed later.
	ErrUnanswered = errors.New("worker: no answer")
)

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int
}

// Route leads submissions to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  aqjob.Queue
}

// Catalog decodes what others write into the store.
type Catalog struct {
	// WorkerPrefix is where service discovery lists workers.
	WorkerPrefix string
	// ConfigKey holds the operators' configuration.
	ConfigKey    string
	DecodeWorker func(item aqstore.Item) (aqdecider.Worker, error)
	// WorkerIDOf names the worker of a key under WorkerPrefix.
	WorkerIDOf   func(key string) string
	DecodeConfig func(value []byte) (*Config, error)
}
