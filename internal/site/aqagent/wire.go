package aqagent

import (
	"time"

	"acaciaquay/internal/site/aqbacklog"
	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Methods by which a leader has its agents manage workers.
const (
	MethodOrders aqpeer.Method = "Agent.Orders"
	MethodPoll   aqpeer.Method = "Agent.Poll"
)

// Serial numbers the assignments of workers to agents in one term. The leader drops
// events of an earlier assignment.
type Serial uint64

// LeadRecord is the value of the lead key.
type LeadRecord struct {
	Node        string
	Address     string
	Incarnation int64
	Term        int64
}

// CheckReport is a leader's report of its last check.
type CheckReport struct {
	// Config is the revision of the configuration that the check found current.
	Config aqstore.Revision
	// Age is the time since the check.
	Age time.Duration
}

// Assignment makes an agent manage a worker.
type Assignment struct {
	Worker aqdecider.Worker
	Serial Serial
	Params HeartbeatParams
}

// Dropped ends the assignments of a worker to an agent up to a serial, those included that reach
// the agent later.
type Dropped struct {
	Worker aqtype.WorkerID
	Serial Serial
}

// HeartbeatParams are the leader's parameters for the heartbeats to a worker.
type HeartbeatParams struct {
	Worker aqtype.WorkerID
	// Serial is that of the assignment that the parameters are for.
	Serial Serial
	// Number orders the parameters of one assignment: polls and orders calls carry them
	// and may overtake each other.
	Number uint64
	// AckedEnd is the number of the last end that the leader acknowledges; the worker
	// may discard the ends up to it. Incarnation is the incarnation of the worker that
	// numbered them.
	AckedEnd    int
	Incarnation aqdecider.Incarnation
	// Restarts counts the worker's restarts in the leader's term. The tokens of the agent's calls name it.
	Restarts aqworker.Restarts
	Wait     time.Duration
	// Renew is set once the leader has received a report of the worker in this
	// assignment. The agent does not renew the lease before, so that the leader knows
	// when it expires.
	Renew bool
	// Silences is the number of Unresponsive events of this assignment that the leader has
	// received. The agent renews the lease only if these are all: each tells the leader when
	// the lease expires.
	Silences int
}

// OrdersCall gives assignments and orders to an agent. The leader makes one call at a
// time to one agent.
type OrdersCall struct {
	// Agent is the name of the process that the call is for. The process at its address may be another one by now.
	Agent string
	Fence aqworker.Fence
	Lease time.Duration
	// Assign is applied before Orders.
	Assign []Assignment
	Drop   []Dropped
	Params []HeartbeatParams
	Orders []OrderWire
	// Starts limits until when the starts in Orders may be sent, nil if that is not limited.
	Starts *StartLimit `msgpack:",omitempty"`
}

// StartLimit is a time after which a start is too old to be sent. It counts from when the agent sent an answer to a poll, which the
// leader had received, since the order itself may have been delayed.
type StartLimit struct {
	// Answer is the number of that answer, zero if the leader has received none.
	Answer uint64
	// Within is the time since then.
	Within time.Duration
}

// PollCall asks an agent for its events. The agent holds the call for up to Wait until
// it has one, but answers at once while it has no permit.
type PollCall struct {
	// Agent is that of OrdersCall.
	Agent string
	Fence aqworker.Fence
	// Leader is the calling leader. An agent that the store does not serve learns of a
	// new leader from it.
	Leader LeadRecord
	// AckedAnswer is the number of the last answer that the leader has received from the
	// agent, zero before the first. The agent's permit lasts for PermitTime from when it
	// sent that answer, not from the poll's arrival, since a poll may be delayed.
	AckedAnswer uint64
	// Checked reports the leader's last check, which the agent may count as its own.
	Checked CheckReport
	Params  []HeartbeatParams
	// Pending are the leader's counts of jobs that have not started.
	Pending PendingCounts
	// Evacuations is what the leader knows of evacuated zones, nil where nobody evacuates zones.
	Evacuations *aqevacuation.Report `msgpack:",omitempty"`
	// Backlog is how long submissions would wait.
	Backlog aqbacklog.Estimate
	// Gather is how long the agent gathers events after its last answer, and after the
	// first event.
	Gather time.Duration
	Wait   time.Duration
}

// PendingCounts holds the number of jobs of each queue of which no task has started.
type PendingCounts struct {
	// Known is unset when the leader has not counted.
	Known bool
	// Queues lists the queues with a count above zero.
	Queues []QueueCount
}

// QueueCount is the number of a queue's jobs of which no task has started.
type QueueCount struct {
	Queue aqjob.QueueID
	Count int
}

// PollAnswer holds the events since the last answer.
type PollAnswer struct {
	// Number identifies the answer. The leader's next poll acknowledges it.
	Number uint64
	// Instance is the incarnation of the agent's process. One that has restarted does not know
	// which leader it followed before.
	Instance int64
	Events   []EventWire
	// Earlier holds the runs on workers of which the agent did not know, when it learned of
	// a new leader, whether they still run.
	Earlier []aqdecider.EarlierRuns `msgpack:",omitempty"`
}

// OrderWire carries one order; exactly one of the pointers is set.
type OrderWire struct {
	// Serial is that of the assignment in which the leader gave the order. It is carried out in no
	// other one.
	Serial Serial
	Start  *aqdecider.Start `msgpack:",omitempty"`
	Stop   *aqdecider.Stop  `msgpack:",omitempty"`
	Pace   *aqdecider.Pace  `msgpack:",omitempty"`
}

// WrapOrder returns the wire form of an order that is given in an assignment.
func WrapOrder(serial Serial, o aqdecider.Order) OrderWire {
	wire := OrderWire{Serial: serial}
	switch order := o.(type) {
	case aqdecider.Start:
		wire.Start = &order
	case aqdecider.Stop:
		wire.Stop = &order
	case aqdecider.Pace:
		wire.Pace = &order
	}
	return wire
}

// Unwrap returns nil for an order of an unknown kind.
func (w OrderWire) Unwrap() aqdecider.Order {
	switch {
	case w.Start != nil:
		return *w.Start
	case w.Stop != nil:
		return *w.Stop
	case w.Pace != nil:
		return *w.Pace
	}
	return nil
}

// Event is what an agent reports about a worker. Only the types below implement it.
type Event interface{ isEvent() }

// ReportReceived carries what a worker's report changes.
type ReportReceived struct {
	Difference aqreport.Difference
	// Settled is that of aqdecider.WorkerReport.
	Settled bool
}

// Unresponsive means that a worker does not answer.
type Unresponsive struct {
	// ExpiresIn is how long until the worker's lease has certainly expired, negative
	// when the agent does not know.
	ExpiresIn time.Duration
}

// StartResult carries the outcome of an order to start.
type StartResult struct {
	Incarnation aqdecider.Incarnation
	Run         aqdecider.RunID
	Outcome     aqdecider.Outcome
	// Unanswered is set if an attempt of this agent to deliver the order got no answer. The worker may
	// still carry it out.
	Unanswered bool
	At         aqdecider.LogicalTime
}

// StopResult carries the outcome of an order to stop.
type StopResult struct {
	Incarnation aqdecider.Incarnation
	Run         aqdecider.RunID
	// Answered is false when the worker has not confirmed the stop.
	Answered bool
	At       aqdecider.LogicalTime
}

// Fenced means that the worker has received a higher fencing token.
type Fenced struct{}

func (ReportReceived) isEvent() {}
func (Unresponsive) isEvent()   {}
func (StartResult) isEvent()    {}
func (StopResult) isEvent()     {}
func (Fenced) isEvent()         {}

// EventWire carries one event; exactly one of the pointers is set.
type EventWire struct {
	Worker       aqtype.WorkerID
	Serial       Serial
	Report       *ReportReceived `msgpack:",omitempty"`
	Unresponsive *Unresponsive   `msgpack:",omitempty"`
	StartResult  *StartResult    `msgpack:",omitempty"`
	StopResult   *StopResult     `msgpack:",omitempty"`
	Fenced       *Fenced         `msgpack:",omitempty"`
}

func wrapEvent(worker aqtype.WorkerID, serial Serial, e Event) EventWire {
	w := EventWire{Worker: worker, Serial: serial}
	switch e := e.(type) {
	case ReportReceived:
		w.Report = &e
	case Unresponsive:
		w.Unresponsive = &e
	case StartResult:
		w.StartResult = &e
	case StopResult:
		w.StopResult = &e
	case Fenced:
		w.Fenced = &e
	}
	return w
}

// Unwrap returns nil for an event of an unknown kind.
func (w EventWire) Unwrap() Event {
	switch {
	case w.Report != nil:
		return *w.Report
	case w.Unresponsive != nil:
		return *w.Unresponsive
	case w.StartResult != nil:
		return *w.StartResult
	case w.StopResult != nil:
		return *w.StopResult
	case w.Fenced != nil:
		return *w.Fenced
	}
	return nil
}
