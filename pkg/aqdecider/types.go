// Package aqdecider decides what runs where on a site. It is a state machine
// without input or output of its own: what workers and submitters say goes in,
// orders and records to store come out.
package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// Incarnation tells two lives of a worker under one id apart. It is the time at which
// the worker started.
type Incarnation int64

// LogicalTime orders the calls to one worker and their answers, while the same agent
// makes them. It starts at one.
type LogicalTime uint64

// Attempt numbers the starts of a task from one. It only rises.
type Attempt int

// RunID names one attempt of a task.
type RunID struct {
	Task    aqjob.TaskID
	Attempt Attempt
}

// Worker is a worker as service discovery lists it. The list lags.
type Worker struct {
	ID          aqtype.WorkerID
	Address     string
	Zone        aqtype.Zone
	Service     aqjob.ServiceID
	Labels      []string
	Capacity    aqtype.Resources
	Incarnation Incarnation
	Draining    bool
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
}

// SameInstance reports whether an agent can treat two listings alike.
func (w Worker) SameInstance(o Worker) bool {
	return w.Address == o.Address && w.Incarnation == o.Incarnation
}

// EndReason says how a run ended.
type EndReason int

// The ways in which a run ends.
const (
	// EndDone is success.
	EndDone EndReason = iota + 1
	// EndFailed counts against the task's attempts.
	EndFailed
	// EndStopped follows an order to stop.
	EndStopped
	// EndLeaseExpired means that the worker's lease ran out.
	EndLeaseExpired
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that the other members of the gang did not come.
	EndGangIncomplete
	// EndLost means that the worker's life ended, or the run never began.
	EndLost
)

var howNames = map[EndReason]string{
	EndDone:           "Done",
	EndFailed:         "Failed",
	EndStopped:        "Stopped",
	EndLeaseExpired:   "Lapsed",
	EndGangBroken:     "Broken",
	EndGangIncomplete: "Alone",
	EndLost:           "Lost",
}

// String returns the name that logs use.
func (h EndReason) String() string { return howNames[h] }

// RunReport is one running task as its worker sees it.
type RunReport struct {
	Run        RunID
	Checkpoint string
	// Percent is the progress of a task that ends, and 100 for a perpetual task
	// that is at work.
	Percent int
	// Tail is the tail latency of a task that serves, over the last half second.
	Tail time.Duration
	// Usage is what any other task uses of the processors.
	Usage aqtype.MilliCPU
}

// EndReport is one ended run as its worker remembers it.
type EndReport struct {
	// Number counts the ends of the worker's life from one.
	Number     int
	Run        RunID
	Reason     EndReason
	Checkpoint string
}

// WorkerReport is a worker's answer to a look at it.
type WorkerReport struct {
	Incarnation Incarnation
	Running     []RunReport
	Ended       []EndReport
	// Sent is when the call that brought the listing was sent.
	Sent LogicalTime
	// Complete is unset when the worker has more ends than it listed.
	Complete bool
}

// Order is what a worker is to be told. It is sealed: Start, Stop and Pace.
type Order interface {
	// Target is the worker that the order is for.
	Target() aqtype.WorkerID
	isOrder()
}

// Start starts one attempt.
type Start struct {
	Worker     aqtype.WorkerID
	Run        RunID
	Payload    string
	Checkpoint string
	// Ticket is the permission of the advice service, empty where none is needed.
	Ticket string
}

// Stop ends a run, and forbids one that has not arrived.
type Stop struct {
	Worker aqtype.WorkerID
	Run    RunID
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Worker  aqtype.WorkerID
	Run     RunID
	Percent int
}

// Target implements Order.
func (s Start) Target() aqtype.WorkerID { return s.Worker }

// Target implements Order.
func (s Stop) Target() aqtype.WorkerID { return s.Worker }

// Target implements Order.
func (p Pace) Target() aqtype.WorkerID { return p.Worker }

func (Start) isOrder() {}
func (Stop) isOrder()  {}
func (Pace) isOrder()  {}

// Outcome is what is known of an order to start.
type Outcome int

// The outcomes of an order to start.
const (
	// OutcomeAccepted means that the run is or was on the worker.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeNoRoom means that the worker has no room; nothing runs.
	OutcomeNoRoom
	// OutcomeNoTicket means that the ticket is not valid; nothing runs.
	OutcomeNoTicket
	// OutcomeUnhealthy means that the worker takes no work now; nothing runs.
	OutcomeUnhealthy
	// OutcomeInvalid means that the worker does not understand the order.
	OutcomeInvalid
	// OutcomeNotSent means that no try of this order has left.
	OutcomeNotSent
	// OutcomeUnknown means that the run may begin later.
	OutcomeUnknown
)

var outcomeNames = map[Outcome]string{
	OutcomeAccepted:  "Accepted",
	OutcomeNoRoom:    "NoRoom",
	OutcomeNoTicket:  "NoTicket",
	OutcomeUnhealthy: "Unhealthy",
	OutcomeInvalid:   "Invalid",
	OutcomeNotSent:   "NotSent",
	OutcomeUnknown:   "Unknown",
}

// String returns the name that logs use.
func (o Outcome) String() string { return outcomeNames[o] }
