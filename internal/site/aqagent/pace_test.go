package aqagent

import (
	"context"
	"slices"
	"testing"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// pacedWorkers answers each order to pace with a function.
type pacedWorkers struct {
	fakeWorkers
	pace func(percent int) error
}

func (p *pacedWorkers) Pace(_ context.Context, _ aqworker.Address, r aqworker.PaceRequest) error {
	return p.pace(r.Percent)
}

// Guards against HARM and suspended tasks: an order to pace that was not answered was not repeated, and a task that the leader
// takes to be suspended disturbed others, or one that it had resumed stood still.
func TestUnansweredPaceIsRepeated(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	for _, test := range []struct {
		name string
		// answers are those of the first calls.
		answers []error
		want    []int
	}{
		{name: "answered", want: []int{0}},
		{name: "not answered", answers: []error{aqworker.ErrUnanswered}, want: []int{0, 0}},
		{name: "never answered", answers: []error{aqworker.ErrUnanswered, aqworker.ErrUnanswered}, want: []int{0, 0}},
		{name: "refused", answers: []error{aqworker.ErrInvalid}, want: []int{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var paces []int
			s, _, _ := testSession(t, &pacedWorkers{pace: func(percent int) error {
				paces = append(paces, percent)
				if len(paces) <= len(test.answers) {
					return test.answers[len(paces)-1]
				}
				return nil
			}})
			s.queue = []aqdecider.Order{aqdecider.Pace{Worker: "w1", Run: run}}
			s.inFlight = 1
			s.deliverOrders()
			if !slices.Equal(paces, test.want) {
				t.Errorf("paces %v, want %v", paces, test.want)
			}
		})
	}
}

// Guards against HARM and suspended tasks: two orders to pace one run were delivered at the same time and could overtake each
// other.
func TestLastPaceIsDeliveredLast(t *testing.T) {
	run := aqdecider.RunID{Task: aqjob.TaskID{Job: "j"}, Attempt: 1}
	pace := func(percent int) aqdecider.Pace {
		return aqdecider.Pace{
			Worker:  "w1",
			Run:     run,
			Percent: percent,
		}
	}
	var s *session
	var paces []int
	workers := &pacedWorkers{pace: func(percent int) error {
		paces = append(paces, percent)
		if len(paces) > 1 {
			return nil
		}
		s.send(pace(50), startDeadline{})
		s.send(pace(100), startDeadline{})
		if o, ok := s.nextOrder(); ok {
			t.Errorf("%+v is delivered beside an earlier order for the same run", o)
		}
		return aqworker.ErrUnanswered
	}}
	s, _, _ = testSession(t, workers)
	s.queue = []aqdecider.Order{pace(0)}
	// The test delivers the orders itself.
	s.inFlight = maxOrdersInFlight
	s.deliverOrders()
	if want := []int{0, 100}; !slices.Equal(paces, want) {
		t.Errorf("paces %v, want %v", paces, want)
	}
}
