package aqagent

import (
	"context"
	"testing"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqmetric"
)

// Guards against TWICE: an order of an earlier assignment was delivered in the present one. Its run may be
// lost and its task placed elsewhere.
func TestOrdersAreDeliveredInTheirAssignmentOnly(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	present := OrdersCall{
		Fence:  5,
		Assign: []Assignment{{Worker: aqdecider.Worker{ID: "w1", Incarnation: 1}, Serial: 2}},
	}
	for _, order := range []aqdecider.Order{
		aqdecider.Start{Worker: "w1", Run: run},
		aqdecider.Stop{Worker: "w1", Run: run},
		aqdecider.Pace{Worker: "w1", Run: run, Percent: 25},
	} {
		name, _ := describeOrder(order)
		for _, test := range []struct {
			name   string
			serial Serial
			calls  func(OrderWire) []OrdersCall
			want   bool
		}{
			{
				name:   "present assignment",
				serial: 2,
				calls:  func(o OrderWire) []OrdersCall { return []OrdersCall{present, {Fence: 5, Orders: []OrderWire{o}}} },
				want:   true,
			},
			{
				name:   "in the call of its assignment",
				serial: 2,
				calls: func(o OrderWire) []OrdersCall {
					both := present
					both.Orders = []OrderWire{o}
					return []OrdersCall{both}
				},
				want: true,
			},
			{
				name:   "earlier assignment, in the call of the present one",
				serial: 1,
				calls: func(o OrderWire) []OrdersCall {
					both := present
					both.Drop = []Dropped{{Worker: "w1", Serial: 1}}
					both.Orders = []OrderWire{o}
					return []OrdersCall{both}
				},
			},
			{
				name:   "earlier assignment, in a delayed call",
				serial: 1,
				calls:  func(o OrderWire) []OrdersCall { return []OrdersCall{present, {Fence: 5, Orders: []OrderWire{o}}} },
			},
			{
				name:   "assignment that has not arrived",
				serial: 3,
				calls:  func(o OrderWire) []OrdersCall { return []OrdersCall{present, {Fence: 5, Orders: []OrderWire{o}}} },
			},
		} {
			t.Run(name+" of "+test.name, func(t *testing.T) {
				s, a, _ := testSession(t, &fakeWorkers{})
				s.serial = 2
				// Orders stay in the queue.
				s.inFlight = maxOrdersInFlight
				for _, call := range test.calls(WrapOrder(test.serial, order)) {
					if err := a.Orders(context.Background(), call); err != nil {
						t.Fatal(err)
					}
				}
				if a.sessions["w1"] != s {
					t.Fatal("the session has been replaced")
				}
				if got := len(s.queue) == 1; got != test.want {
					t.Errorf("queued: %v, want %v", got, test.want)
				}
				if got := a.metrics.RetriedCount(aqmetric.RetryOrderOutdated) == 0; got != test.want {
					t.Errorf("not counted as outdated: %v, want %v", got, test.want)
				}
			})
		}
	}
}

// Guards against TWICE: a delayed assignment replaced the session of a later one, and its agent went on with
// what the leader had taken back.
func TestDelayedAssignmentDoesNotReplaceALaterOne(t *testing.T) {
	s, a, _ := testSession(t, &fakeWorkers{})
	s.serial = 2
	delayed := OrdersCall{
		Fence:  5,
		Assign: []Assignment{{Worker: aqdecider.Worker{ID: "w1", Incarnation: 1}, Serial: 1}},
	}
	if err := a.Orders(context.Background(), delayed); err != nil {
		t.Fatal(err)
	}
	if got := a.sessions["w1"]; got != s {
		t.Errorf("session with serial %d, want 2", got.serial)
	}
}

// Guards against a start after its stop: a start that was sent twice in one assignment was withdrawn once.
func TestStopWithdrawsAStartThatWasSentTwice(t *testing.T) {
	s, _, _ := testSession(t, &fakeWorkers{})
	s.inFlight = maxOrdersInFlight
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	s.send(aqdecider.Start{Worker: "w1", Run: run}, startDeadline{})
	s.send(aqdecider.Start{Worker: "w1", Run: run}, startDeadline{})
	s.send(aqdecider.Stop{Worker: "w1", Run: run}, startDeadline{})
	if len(s.queue) != 1 || s.queue[0] != (aqdecider.Stop{Worker: "w1", Run: run}) {
		t.Errorf("queued %v, want only the stop", s.queue)
	}
}
