// Package aqdecider schedules the tasks of a site onto its workers. It is a state
// machine that does no I/O: its inputs are worker reports, submitted jobs and
// cancellations, its outputs are orders to workers and records to store.
package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// Incarnation is the time at which a worker started. It changes when a worker
// restarts under the same id.
type Incarnation int64

// LogicalTime orders the calls to one worker and their answers. Each agent counts
// from one, so values from different agents are not comparable.
type LogicalTime uint64

// Attempt numbers the starts of a task, from one. It increases with every start.
type Attempt int

// RunID identifies one attempt of a task.
type RunID struct {
	Task    aqjob.TaskID
	Attempt Attempt
}

// Worker is the entry of a worker in service discovery, which lags behind the worker.
type Worker struct {
	ID          aqtype.WorkerID
	Address     string
	Zone        aqtype.Zone
	Service     aqjob.ServiceID
	Labels      []string
	Capacity    aqtype.Resources
	Incarnation Incarnation
	Draining    bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
	// Cold is how much longer the worker remains slow after its start.
	Cold time.Duration
}

// SameInstance reports whether two entries have the same address and incarnation. The
// worker's agent then needs no new assignment.
func (w Worker) SameInstance(o Worker) bool {
	return w.Address == o.Address && w.Incarnation == o.Incarnation
}

// EndReason is the reason for which a run ended.
type EndReason int

// The reasons for which a run ends.
const (
	// EndDone is success.
	EndDone EndReason = iota + 1
	// EndFailed counts against the task's attempts.
	EndFailed
	// EndStopped follows an order to stop.
	EndStopped
	// EndLeaseExpired means that the worker ended the run because its lease expired.
	EndLeaseExpired
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that the other members of the gang did not start.
	EndGangIncomplete
	// EndLost means that the worker restarted, that its lease expired without a
	// report, or that the run never started.
	EndLost
)

var endReasonNames = map[EndReason]string{
	EndDone:           "Done",
	EndFailed:         "Failed",
	EndStopped:        "Stopped",
	EndLeaseExpired:   "Lapsed",
	EndGangBroken:     "Broken",
	EndGangIncomplete: "Alone",
	EndLost:           "Lost",
}

// String returns the name that logs use.
func (r EndReason) String() string { return endReasonNames[r] }

// RunReport is a worker's report of one running task.
type RunReport struct {
	Run        RunID
	Checkpoint string
	// Percent is the progress of a finite task. A perpetual task has 100 when it is
	// ready.
	Percent int
	// Tail is the tail latency of a serving task over the last half second.
	Tail time.Duration
	// Usage is the CPU use of a task that does not serve.
	Usage aqtype.MilliCPU
}

// EndReport is a worker's report of one ended run.
type EndReport struct {
	// Number counts the ends of the worker's incarnation from one.
	Number     int
	Run        RunID
	Reason     EndReason
	Checkpoint string
}

// WorkerReport is a worker's answer to a heartbeat.
type WorkerReport struct {
	Incarnation Incarnation
	Running     []RunReport
	Ended       []EndReport
	// Sent is when the heartbeat that this report answers was sent.
	Sent LogicalTime
	// Clock is the worker's monotonic clock when it answered. Unlike the time at which the
	// leader handles the report, it does not depend on who is slow.
	Clock time.Duration
	// ProgressOmitted is set when a Percent that has not risen may be that of an earlier
	// report.
	ProgressOmitted bool
	// Complete is unset when the worker has more ends than the report holds.
	Complete bool
	// Settled is set once by each agent after a restart, by which time the worker refuses calls to its earlier
	// incarnations. Agents start nothing there before.
	Settled bool
}

// Order is an order to a worker. It is sealed: Start, Stop and Pace.
type Order interface {
	// Target returns the worker that the order is for.
	Target() aqtype.WorkerID
	isOrder()
}

// Start starts one attempt.
type Start struct {
	Worker aqtype.WorkerID
	Run    RunID
	// PayloadSource is the peer address of the process that accepted the job and has its
	// payload, empty if that is not known.
	PayloadSource string
	Checkpoint    string
	// Ticket is the permission of the advice service, empty if none is needed.
	Ticket string
}

// Stop ends a run. If the start has not arrived yet, the worker rejects it later.
type Stop struct {
	Worker aqtype.WorkerID
	Run    RunID
}

// Pace limits a run to a percentage of its full speed.
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

// Outcome is the outcome of an order to start, as far as the agent knows it.
type Outcome int

// The outcomes of an order to start.
const (
	// OutcomeAccepted means that the worker has started the run, which may have ended
	// since.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeNoRoom means that the worker has no room; nothing runs.
	OutcomeNoRoom
	// OutcomeNoTicket means that the ticket is not valid; nothing runs.
	OutcomeNoTicket
	// OutcomeUnhealthy means that the worker accepts no tasks now; nothing runs.
	OutcomeUnhealthy
	// OutcomeInvalid means that the worker does not understand the order.
	OutcomeInvalid
	// OutcomeNotSent means that the order was never sent.
	OutcomeNotSent
	// OutcomeUnknown means that the run may have started or may start later.
	OutcomeUnknown
	// OutcomeExpired means that the order was not sent, since it had become too old.
	OutcomeExpired
)

var outcomeNames = map[Outcome]string{
	OutcomeAccepted:  "Accepted",
	OutcomeNoRoom:    "NoRoom",
	OutcomeNoTicket:  "NoTicket",
	OutcomeUnhealthy: "Unhealthy",
	OutcomeInvalid:   "Invalid",
	OutcomeNotSent:   "NotSent",
	OutcomeUnknown:   "Unknown",
	OutcomeExpired:   "Expired",
}

// String returns the name that logs use.
func (o Outcome) String() string { return outcomeNames[o] }
