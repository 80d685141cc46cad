package aqagent

import (
	"context"
	"log/slog"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// drop ends the session of a dropped assignment. The caller holds the lock.
func (a *Agent) drop(d Dropped) {
	a.dropped[d.Worker] = max(a.dropped[d.Worker], d.Serial)
	if s := a.sessions[d.Worker]; s != nil && s.serial <= d.Serial {
		s.cancel()
		delete(a.sessions, d.Worker)
	}
}

// assign starts or updates a session. Calls may be delayed, so an earlier assignment may arrive after a
// later one. The caller holds the lock.
func (a *Agent) assign(next Assignment) {
	id := next.Worker.ID
	if next.Serial <= a.dropped[id] {
		return
	}
	if s := a.sessions[id]; s != nil {
		if s.serial == next.Serial {
			s.updateWorker(next.Worker)
			return
		}
		if s.serial > next.Serial {
			return
		}
		s.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		id:       id,
		serial:   next.Serial,
		fence:    a.fence,
		lease:    a.lease,
		agent:    a,
		worker:   next.Worker,
		params:   next.Params,
		ctx:      ctx,
		cancel:   cancel,
		acked:    make(chan struct{}, 1),
		received: map[aqdecider.RunID]receivedStart{},
		starting: map[aqdecider.RunID]startDelivery{},
		pacing:   map[aqdecider.RunID]bool{},
		// The agent before may not have had an answer to a call with the raised token.
		unsettled: next.Params.Restarts > 0,
	}
	a.sessions[id] = s
	go s.run()
}

// deliver passes an order to the session of the assignment that it was given in. Calls may be delayed
// or carry several assignments of a worker: by a later one the run may be lost and its task placed
// elsewhere. The leader repeats in each assignment what is still needed. A start is sent until the given time.
// The caller holds the lock.
func (a *Agent) deliver(wire OrderWire, until startDeadline) {
	order := wire.Unwrap()
	if order == nil {
		return
	}
	current := Serial(0)
	if s := a.sessions[order.Target()]; s != nil {
		if s.serial == wire.Serial {
			s.send(order, until)
			return
		}
		current = s.serial
	}
	a.metrics.Retried(aqmetric.RetryOrderOutdated)
	name, run := describeOrder(order)
	a.log.Write(aqlog.OrderOutdated, slog.String("Task", run.Task.String()), slog.Int("Attempt", int(run.Attempt)),
		slog.String("Worker", string(order.Target())), slog.String("Order", name),
		slog.Uint64("Serial", uint64(wire.Serial)), slog.Uint64("Current", uint64(current)))
}

// describeOrder returns the name of an order's kind in the logs, and its run.
func describeOrder(o aqdecider.Order) (string, aqdecider.RunID) {
	switch order := o.(type) {
	case aqdecider.Start:
		return "start", order.Run
	case aqdecider.Stop:
		return "stop", order.Run
	case aqdecider.Pace:
		return "pace", order.Run
	}
	return "", aqdecider.RunID{}
}
