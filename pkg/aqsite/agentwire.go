package aqsite

import (
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// Methods by which a leader has its agents deal with workers.
const (
	methodOrders aqpeer.Method = "Agent.Orders"
	methodPoll   aqpeer.Method = "Agent.Poll"
)

// Serial numbers the assignments of workers to agents in one term. What comes
// of an earlier assignment is dropped.
type Serial uint64

// assignment tells an agent to deal with a worker.
type assignment struct {
	Worker aqdecider.Worker
	Serial Serial
	Params heartbeatParams
}

// heartbeatParams is what the leader wants of the looks at a worker.
type heartbeatParams struct {
	Worker aqtype.WorkerID
	// AckedEnd is the number of the last end that the worker may forget, in the
	// life for which it holds.
	AckedEnd    int
	Incarnation aqdecider.Incarnation
	Wait        time.Duration
	// Renew is set once the leader has heard of the worker in this assignment. The
	// lease is not prolonged before, so that the leader knows when it ends.
	Renew bool
}

// ordersCall gives an agent work. Calls to one agent are made one at a time.
type ordersCall struct {
	Fence Fence
	Lease time.Duration
	// Assign comes before Orders.
	Assign []assignment
	Drop   []aqtype.WorkerID
	Orders []orderWire
}

// pollCall asks an agent for its events. It waits for the first.
type pollCall struct {
	Fence Fence
	// Leader is who calls: an agent that the store turns away learns of a new
	// leader by it.
	Leader leadRecord
	// AckedAnswer is the number of the last answer that the leader has received from the
	// agent, zero before the first. It permits the agent to go on for a while after
	// that answer: a poll itself may come late.
	AckedAnswer uint64
	// Checked spares the agent checks of its own.
	Checked checkReport
	Params  []heartbeatParams
	Wait    time.Duration
}

type pollAnswer struct {
	// Number counts the agent's answers.
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

// event is what an agent tells of a worker. It is sealed.
type event interface{ isEvent() }

// reportReceived brings a worker's listing.
type reportReceived struct {
	Report aqdecider.WorkerReport
}

// unresponsive says that a worker does not answer.
type unresponsive struct {
	// ExpiresIn is how long until the worker's lease has certainly ended, negative
	// when the agent does not know.
	ExpiresIn time.Duration
}

// startResult brings the outcome of an order to start.
type startResult struct {
	Incarnation aqdecider.Incarnation
	Run         aqdecider.RunID
	Outcome     aqdecider.Outcome
	At          aqdecider.LogicalTime
}

// stopResult brings the outcome of an order to stop.
type stopResult struct {
	Incarnation aqdecider.Incarnation
	Run         aqdecider.RunID
	// Answered is unset when no answer came.
	Answered bool
	At       aqdecider.LogicalTime
}

// fenced says that the worker has seen a higher fence.
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
