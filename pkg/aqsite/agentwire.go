package aqsite

import (
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// Methods by which a leader has its agents manage workers.
const (
	methodOrders aqpeer.Method = "Agent.Orders"
	methodPoll   aqpeer.Method = "Agent.Poll"
)

// Serial numbers the assignments of workers to agents in one term. The leader drops
// events of an earlier assignment.
type Serial uint64

// assignment makes an agent manage a worker.
type assignment struct {
	Worker aqdecider.Worker
	Serial Serial
	Params heartbeatParams
}

// heartbeatParams are the leader's parameters for the heartbeats to a worker.
type heartbeatParams struct {
	Worker aqtype.WorkerID
	// AckedEnd is the number of the last end that the leader acknowledges; the worker
	// may discard the ends up to it. Incarnation is the incarnation of the worker that
	// numbered them.
	AckedEnd    int
	Incarnation aqdecider.Incarnation
	Wait        time.Duration
	// Renew is set once the leader has received a report of the worker in this
	// assignment. The agent does not renew the lease before, so that the leader knows
	// when it expires.
	Renew bool
}

// ordersCall gives assignments and orders to an agent. The leader makes one call at a
// time to one agent.
type ordersCall struct {
	Fence Fence
	Lease time.Duration
	// Assign is applied before Orders.
	Assign []assignment
	Drop   []aqtype.WorkerID
	Orders []orderWire
}

// pollCall asks an agent for its events. The agent holds the call for up to Wait until
// it has one, but answers at once while it has no permit.
type pollCall struct {
	Fence Fence
	// Leader is the calling leader. An agent that the store does not serve learns of a
	// new leader from it.
	Leader leadRecord
	// AckedAnswer is the number of the last answer that the leader has received from the
	// agent, zero before the first. The agent's permit lasts for permitTime from when it
	// sent that answer, not from the poll's arrival, since a poll may be delayed.
	AckedAnswer uint64
	// Checked reports the leader's last check, which the agent may count as its own.
	Checked checkReport
	Params  []heartbeatParams
	Wait    time.Duration
}

type pollAnswer struct {
	// Number identifies the answer. The leader's next poll acknowledges it.
	Number uint64
	Events []eventWire
}

// orderWire carries one order; exactly one of the pointers is set.
type orderWire struct {
	Start *aqdecider.Start `msgpack:",omitempty"`
	Stop  *aqdecider.Stop  `msgpack:",omitempty"`
	Pace  *aqdecider.Pace  `msgpack:",omitempty"`
}

func wrapOrder(o aqdecider.Order) orderWire {
	switch order := o.(type) {
	case aqdecider.Start:
		return orderWire{Start: &order}
	case aqdecider.Stop:
		return orderWire{Stop: &order}
	case aqdecider.Pace:
		return orderWire{Pace: &order}
	}
	return orderWire{}
}

// unwrap returns nil for an order of an unknown kind.
func (w orderWire) unwrap() aqdecider.Order {
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

// event is what an agent reports about a worker. Only the types below implement it.
type event interface{ isEvent() }

// reportReceived carries a worker's report.
type reportReceived struct {
	Report aqdecider.WorkerReport
}

// unresponsive means that a worker does not answer.
type unresponsive struct {
	// ExpiresIn is how long until the worker's lease has certainly expired, negative
	// when the agent does not know.
	ExpiresIn time.Duration
}

// startResult carries the outcome of an order to start.
type startResult struct {
	Incarnation aqdecider.Incarnation
	Run         aqdecider.RunID
	Outcome     aqdecider.Outcome
	At          aqdecider.LogicalTime
}

// stopResult carries the outcome of an order to stop.
type stopResult struct {
	Incarnation aqdecider.Incarnation
	Run         aqdecider.RunID
	// Answered is false when the worker has not confirmed the stop.
	Answered bool
	At       aqdecider.LogicalTime
}

// fenced means that the worker has received a higher fencing token.
type fenced struct{}

func (reportReceived) isEvent() {}
func (unresponsive) isEvent()   {}
func (startResult) isEvent()    {}
func (stopResult) isEvent()     {}
func (fenced) isEvent()         {}

// eventWire carries one event; exactly one of the pointers is set.
type eventWire struct {
	Worker       aqtype.WorkerID
	Serial       Serial
	Report       *reportReceived `msgpack:",omitempty"`
	Unresponsive *unresponsive   `msgpack:",omitempty"`
	StartResult  *startResult    `msgpack:",omitempty"`
	StopResult   *stopResult     `msgpack:",omitempty"`
	Fenced       *fenced         `msgpack:",omitempty"`
}

func wrapEvent(worker aqtype.WorkerID, serial Serial, e event) eventWire {
	w := eventWire{Worker: worker, Serial: serial}
	switch e := e.(type) {
	case reportReceived:
		w.Report = &e
	case unresponsive:
		w.Unresponsive = &e
	case startResult:
		w.StartResult = &e
	case stopResult:
		w.StopResult = &e
	case fenced:
		w.Fenced = &e
	}
	return w
}

// unwrap returns nil for an event of an unknown kind.
func (w eventWire) unwrap() event {
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
