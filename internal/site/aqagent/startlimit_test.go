package aqagent

import (
	"context"
	"testing"
	"time"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqmetric"
)

// Guards against UNASKED: a start was sent however long it had been on its way to the agent or had waited there.
func TestStartThatIsTooOldIsNotSent(t *testing.T) {
	for _, test := range []struct {
		name string
		// limit returns the limit of a start, by the last answer that the leader has received.
		limit func(answered uint64) *StartLimit
		// later is how long after that answer the start is delivered.
		later   time.Duration
		outcome aqdecider.Outcome
	}{
		{name: "no limit", limit: func(uint64) *StartLimit { return nil }, later: time.Hour, outcome: aqdecider.OutcomeAccepted},
		{name: "in time", limit: within(time.Second), later: 999 * time.Millisecond, outcome: aqdecider.OutcomeAccepted},
		{name: "too late", limit: within(time.Second), later: time.Second, outcome: aqdecider.OutcomeExpired},
		{name: "expired when it was sent", limit: within(-time.Second), outcome: aqdecider.OutcomeExpired},
		{
			name:    "no answer has reached the leader",
			limit:   func(uint64) *StartLimit { return &StartLimit{Within: time.Hour} },
			outcome: aqdecider.OutcomeExpired,
		},
		{
			name:    "an answer of an earlier process",
			limit:   func(answered uint64) *StartLimit { return within(time.Hour)(answered + 7) },
			outcome: aqdecider.OutcomeExpired,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempts := 0
			s := listingSession(t, func() aqdecider.WorkerReport { return reportOf(1, nil, nil) }, func(aqworker.StartRequest) error {
				attempts++
				return nil
			})
			order := startOf(0)
			awaitPayload(t, s, order.Run.Task.Job)
			s.heartbeat()
			answer, err := s.agent.Poll(context.Background(), PollCall{Fence: s.fence})
			if err != nil {
				t.Fatal(err)
			}
			s.agent.clock.(interface{ Advance(time.Duration) }).Advance(test.later)
			s.agent.permitAt = s.agent.clock.Elapsed()
			s.heartbeat()
			s.inFlight = maxOrdersInFlight
			call := OrdersCall{
				Fence:  s.fence,
				Lease:  s.lease,
				Orders: []OrderWire{WrapOrder(s.serial, order)},
				Starts: test.limit(answer.Number),
			}
			if err := s.agent.Orders(context.Background(), call); err != nil {
				t.Fatal(err)
			}
			s.deliverOrders()
			checkStartResult(t, s, test.outcome)
			if sent := attempts > 0; sent != (test.outcome == aqdecider.OutcomeAccepted) {
				t.Errorf("%d attempts", attempts)
			}
			if counted := s.agent.metrics.RetriedCount(aqmetric.RetryStartExpired) > 0; counted != (attempts == 0) {
				t.Errorf("counted as expired: %v", counted)
			}
		})
	}
}

// An attempt that was not answered may have started the run, however old the order is since.
func TestUnansweredStartThatExpiresMeanwhile(t *testing.T) {
	var s *session
	attempts := 0
	s = listingSession(t, func() aqdecider.WorkerReport { return reportOf(1, nil, nil) }, func(aqworker.StartRequest) error {
		attempts++
		s.agent.clock.(interface{ Advance(time.Duration) }).Advance(PermitTime / 2)
		return aqworker.ErrUnanswered
	})
	order := startOf(0)
	awaitPayload(t, s, order.Run.Task.Job)
	s.heartbeat()
	s.inFlight = maxOrdersInFlight
	s.send(order, startDeadline{
		limited: true,
		at:      s.agent.clock.Elapsed() + PermitTime/2,
	})
	s.deliverOrders()
	checkStartResult(t, s, aqdecider.OutcomeUnknown)
	if attempts != 1 {
		t.Errorf("%d attempts, want one", attempts)
	}
}

func within(d time.Duration) func(uint64) *StartLimit {
	return func(answered uint64) *StartLimit {
		return &StartLimit{
			Answer: answered,
			Within: d,
		}
	}
}
