package aqsite

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// payloadStart returns an order to start one task of a job.
func payloadStart(job aqjob.ID, index int) aqdecider.Start {
	return aqdecider.Start{
		Worker:  "w1",
		Run:     aqdecider.RunID{Task: aqjob.TaskID{Job: job, Index: index}, Attempt: 1},
		Payload: "payload of " + string(job),
	}
}

// A payload goes to an agent once for all tasks of a job, and again after the agent may
// have lost it: a call failed, the agent refused a start, or the payload was idle for long.
func TestPayloadIsSentOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		event func(*leader, *member, *testClockStep)
		want  int
	}{
		{name: "nothing happens", event: func(*leader, *member, *testClockStep) {}, want: 1},
		{
			name:  "a call failed",
			event: func(l *leader, m *member, _ *testClockStep) { l.agents.reassignWorkersOf(m) },
			want:  2,
		},
		{
			name:  "the agent refused a start",
			event: func(l *leader, m *member, _ *testClockStep) { l.agents.payloadMissing(m, "j1") },
			want:  2,
		},
		{
			name:  "the payload was idle",
			event: func(_ *leader, _ *member, s *testClockStep) { s.step = payloadIdleTime + time.Second },
			want:  2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, clock := testNode(t, store)
			l := lead(t, n, store)
			m := addMember(l, "a1", true)
			l.agents.addWorker(aqdecider.Worker{ID: "w1", Incarnation: 1})
			sent := 0
			take := func() (call aqagent.OrdersCall) {
				call, m.pending = m.pending, aqagent.OrdersCall{}
				for _, p := range call.Payloads {
					if p.Job == "j1" && p.Payload == "payload of j1" {
						sent++
					}
				}
				return call
			}
			l.agents.dispatch([]aqdecider.Order{payloadStart("j1", 0), payloadStart("j1", 1)})
			if call := take(); len(call.Orders) != 2 || call.Orders[0].Start.Payload != "" {
				t.Fatalf("orders %+v, want two starts without payload", call.Orders)
			}
			step := &testClockStep{}
			test.event(l, m, step)
			if step.step > 0 {
				clock.Advance(step.step)
				l.agents.dispatch([]aqdecider.Order{payloadStart("j2", 0)})
				if call := take(); len(call.Forget) != 1 {
					t.Fatalf("the agent is to forget %v, want the idle payload", call.Forget)
				}
			}
			l.agents.dispatch([]aqdecider.Order{payloadStart("j1", 2)})
			take()
			if sent != test.want {
				t.Errorf("the payload was sent %d times, want %d", sent, test.want)
			}
		})
	}
}

// testClockStep is how far an event advances the clock.
type testClockStep struct{ step time.Duration }
