// Package aqagent manages workers for the site's leader: it renews their leases, delivers
// the leader's orders, and reports what the workers' answers change.
package aqagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciaquay/internal/base/aqguard"
	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/internal/site/aqpayload"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// Timing between a leader and its agents.
const (
	// PollWait is how long an agent holds a poll while it has no events. A poll that
	// acknowledges the last answer renews the agent's permit.
	PollWait = 500 * time.Millisecond
	// PermitTime is how long an agent starts runs, renews leases and acknowledges ends
	// without contact with its leader.
	PermitTime = 1500 * time.Millisecond
	// MinGatherTime is the minimum time for which an agent gathers events into one answer.
	MinGatherTime = 30 * time.Millisecond
)

// Agent manages workers for the leader with the highest fencing token that it has
// received.
type Agent struct {
	workers aqworker.Client
	clock   aqclock.Clock
	log     *aqlog.Logger
	metrics *aqmetric.Set
	guard   aqguard.Guard
	// name is the name of the process, instance its incarnation.
	name     string
	instance int64

	mu    sync.Mutex
	fence aqworker.Fence
	lease time.Duration
	// permitAt is the elapsed time at which the agent sent the last answer that the
	// leader has acknowledged.
	permitAt time.Duration
	// answers is the number of the last answer to a poll, answeredAt the elapsed time at
	// which the agent sent it.
	answers    uint64
	answeredAt time.Duration
	// answerTimes holds when the last answers were sent.
	answerTimes answerTimes
	sessions    map[aqtype.WorkerID]*session
	// dropped holds the serials up to which the leader has dropped the assignments of a worker.
	dropped  map[aqtype.WorkerID]Serial
	payloads *aqpayload.Cache
	events   []EventWire
	// earlier holds runs of earlier terms. earlierIn is the number of the first answer that
	// told the current leader of them, zero before that; earlierTold is set once the leader
	// has acknowledged it.
	earlier     []earlierRuns
	earlierIn   uint64
	earlierTold bool
	// evacuations is from the last poll that has renewed the permit. Without a permit it does not count.
	evacuations aqevacuation.Knowledge
	wake        chan struct{}
	// OnPoll is called with every accepted poll.
	OnPoll func(PollCall)
}

// Options configure an agent.
type Options struct {
	Workers  aqworker.Client
	Payloads aqpayload.Source
	Clock    aqclock.Clock
	Log      *aqlog.Logger
	Metrics  *aqmetric.Set
	// Name is the name of the process, Instance is different at every start of it.
	Name     string
	Instance int64
}

// New returns an agent that manages no workers yet.
func New(o Options) *Agent {
	guard := aqguard.New(o.Log, o.Metrics)
	return &Agent{
		workers:  o.Workers,
		clock:    o.Clock,
		log:      o.Log,
		metrics:  o.Metrics,
		guard:    guard,
		name:     o.Name,
		instance: o.Instance,
		sessions: map[aqtype.WorkerID]*session{},
		dropped:  map[aqtype.WorkerID]Serial{},
		payloads: aqpayload.New(o.Payloads, o.Clock, o.Log, guard),
		wake:     make(chan struct{}, 1),
	}
}

// acceptName refuses a call for another process, which had this one's address before.
func (a *Agent) acceptName(name string) error {
	if name != a.name {
		return aqpeer.Errorf(aqpeer.CodeNotFound, "this is %s, not %s", a.name, name)
	}
	return nil
}

// acceptFence refuses a fencing token below the highest one received. For a higher one
// it ends the sessions of the earlier leader. The caller holds the lock.
func (a *Agent) acceptFence(fence aqworker.Fence) error {
	if fence < a.fence {
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "fence %d is below %d", fence, a.fence)
	}
	if fence > a.fence {
		a.noteEarlier()
		a.endSessions()
		clear(a.dropped)
		a.fence = fence
		a.permitAt = noPermit
		// Skipping a number keeps a poll that acknowledges an earlier answer, or none,
		// from giving a permit.
		a.answers++
	}
	return nil
}

// earlierRuns are runs of an earlier term and when that term ended for the agent.
type earlierRuns struct {
	runs    aqdecider.EarlierRuns
	endedAt time.Duration
}

// earlierKept is how long runs of earlier terms are kept. A leader that is told of them may
// lose its term before it stores what follows from them.
const earlierKept = 30 * time.Second

// noteEarlier notes the runs on workers that may have crashed, for the next leaders. The
// caller holds the lock.
func (a *Agent) noteEarlier() {
	now := a.clock.Elapsed()
	a.earlier = slices.DeleteFunc(a.earlier, func(e earlierRuns) bool {
		// Other agents may have started runs in the term after the one in which there were none.
		return now-e.endedAt > earlierKept || len(e.runs.Runs) == 0
	})
	for _, s := range a.sessions {
		if runs, ok := s.unsettledRuns(); ok {
			a.earlier = append(a.earlier, earlierRuns{
				runs:    runs,
				endedAt: now,
			})
		}
	}
	a.earlierIn = 0
	a.earlierTold = false
}

// untoldEarlier returns what the current leader has not acknowledged yet. The caller holds
// the lock.
func (a *Agent) untoldEarlier() []aqdecider.EarlierRuns {
	if a.earlierTold {
		return nil
	}
	var untold []aqdecider.EarlierRuns
	for _, e := range a.earlier {
		untold = append(untold, e.runs)
	}
	return untold
}

// endSessions ends all sessions and drops their events. The caller holds the lock.
func (a *Agent) endSessions() {
	for id, s := range a.sessions {
		s.cancel()
		delete(a.sessions, id)
	}
	a.events = nil
}

// noPermit is a value of permitAt that gives no permit at any elapsed time.
const noPermit = -PermitTime

// Permitted reports whether the agent has a permit of the leader with this fencing
// token: the leader has acknowledged an answer that was sent within PermitTime.
func (a *Agent) Permitted(fence aqworker.Fence) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fence == a.fence && a.clock.Elapsed()-a.permitAt < PermitTime
}

// mayStartIn reports whether runs may be started on workers of a zone.
func (a *Agent) mayStartIn(zone aqtype.Zone) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evacuations.MayStart(zone, a.clock.Elapsed())
}

// Orders implements agentLink.
func (a *Agent) Orders(_ context.Context, call OrdersCall) error {
	if err := a.acceptName(call.Agent); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.acceptFence(call.Fence); err != nil {
		return err
	}
	a.lease = call.Lease
	for _, d := range call.Drop {
		a.drop(d)
	}
	for _, next := range call.Assign {
		a.assign(next)
	}
	a.setParams(call.Params)
	until := a.startDeadline(call.Starts)
	for _, wire := range call.Orders {
		a.deliver(wire, until)
	}
	return nil
}

// setParams applies the leader's parameters to the assignments that they are for. The caller holds the
// lock.
func (a *Agent) setParams(params []HeartbeatParams) {
	for _, p := range params {
		if s := a.sessions[p.Worker]; s != nil && s.serial == p.Serial {
			s.setParams(p)
		}
	}
}

// Poll implements agentLink.
func (a *Agent) Poll(ctx context.Context, call PollCall) (PollAnswer, error) {
	if err := a.acceptName(call.Agent); err != nil {
		return PollAnswer{}, err
	}
	if err := a.acceptPoll(call); err != nil {
		return PollAnswer{}, err
	}
	if a.OnPoll != nil {
		a.OnPoll(call)
	}
	if a.Permitted(call.Fence) {
		a.gather(ctx, call)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.Fence != a.fence {
		return PollAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "fence %d is below %d", call.Fence, a.fence)
	}
	a.answers++
	a.answeredAt = a.clock.Elapsed()
	a.answerTimes.add(a.answers, a.answeredAt)
	answer := PollAnswer{
		Number:   a.answers,
		Instance: a.instance,
		Events:   a.events,
		Earlier:  a.untoldEarlier(),
	}
	if a.earlierIn == 0 {
		a.earlierIn = a.answers
	}
	a.events = nil
	select {
	case <-a.wake:
	default:
	}
	return answer, nil
}

// gather waits until there are events to answer with, and for the leader's gather time
// after the first of them and after the last answer, whichever ends first.
func (a *Agent) gather(ctx context.Context, call PollCall) {
	pause := max(MinGatherTime, call.Gather)
	a.mu.Lock()
	waiting := len(a.events) > 0
	sinceAnswer := a.clock.Elapsed() - a.answeredAt
	a.mu.Unlock()
	if waiting {
		aqclock.Sleep(ctx, a.clock, pause-sinceAnswer)
		return
	}
	select {
	case <-ctx.Done():
	case <-a.wake:
		aqclock.Sleep(ctx, a.clock, pause)
	case <-a.clock.After(call.Wait):
	}
}

// acceptPoll checks a poll's fencing token, renews the permit when the poll acknowledges
// the last answer, and applies the parameters of heartbeats.
func (a *Agent) acceptPoll(call PollCall) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.acceptFence(call.Fence); err != nil {
		return err
	}
	if call.AckedAnswer == a.answers {
		a.permitAt = a.answeredAt
		// The leader has sent the poll after it had received that answer.
		a.evacuations = aqevacuation.FromReport(call.Evacuations, a.answeredAt)
		a.earlierTold = a.earlierIn > 0
	}
	a.setParams(call.Params)
	return nil
}

// emit queues an event for the leader, unless the session has ended.
func (a *Agent) emit(s *session, e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.id] != s {
		return
	}
	a.events = append(a.events, wrapEvent(s.id, s.serial, e))
	aqsignal.Send(a.wake)
}

// refused ends a session whose worker has received a higher token, and tells the leader: either there is a later
// leader, or the worker has another agent and this one has not been told.
func (a *Agent) refused(s *session) {
	a.emit(s, Fenced{})
	a.mu.Lock()
	defer a.mu.Unlock()
	s.cancel()
}

// Stop ends every session.
func (a *Agent) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endSessions()
}

// RegisterHandlers registers the handlers of a leader's calls.
func (a *Agent) RegisterHandlers(server *aqpeer.Server) {
	aqpeer.Handle(server, MethodOrders, func(ctx context.Context, in OrdersCall) (struct{}, error) {
		return struct{}{}, a.Orders(ctx, in)
	})
	aqpeer.Handle(server, MethodPoll, a.Poll)
}
