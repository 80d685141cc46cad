package aqagent

import (
	"context"
	"testing"
	"time"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// Guards against a leader that does not learn under which tasks a worker has crashed
// before its term: an agent tells it of the runs on workers that have not answered since.
func TestNextLeaderLearnsOfRunsOnASilentWorker(t *testing.T) {
	run := func(index int) aqdecider.RunID {
		return aqdecider.RunID{
			Task:    aqjob.TaskID{Job: "0000000000000001", Index: index},
			Attempt: 1,
		}
	}
	for _, test := range []struct {
		name string
		play func(s *session, crashed *bool)
		want []int
	}{
		{name: "the worker answers", play: func(*session, *bool) {}},
		{name: "it no longer answers", want: []int{0}, play: func(s *session, crashed *bool) {
			*crashed = true
			s.heartbeat()
		}},
		{name: "it has not answered since a start", want: []int{0, 1}, play: func(s *session, _ *bool) {
			s.agent.clock.(interface{ Advance(time.Duration) }).Advance(time.Second)
			s.start(aqdecider.Start{Worker: "w1", Run: run(1)})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			crashed := false
			workers := &fakeWorkers{
				heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
					if crashed {
						return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
					}
					return aqworker.HeartbeatAnswer{
						Report: aqdecider.WorkerReport{
							Incarnation: 1,
							Running:     []aqdecider.RunReport{{Run: run(0)}},
							Complete:    true,
						},
						Clock: aqworker.Time(100 * time.Second),
					}, nil
				},
				start: func(aqworker.StartRequest) error { return nil },
			}
			s, a, _ := testSession(t, workers)
			s.params.Renew = true
			awaitPayload(t, s, "0000000000000001")
			s.heartbeat()
			test.play(s, &crashed)
			poll := func(acked uint64) PollAnswer {
				answer, err := a.Poll(context.Background(), PollCall{Fence: 6, AckedAnswer: acked})
				if err != nil {
					t.Fatal(err)
				}
				return answer
			}
			first := poll(0)
			told := map[int]bool{}
			for _, e := range first.Earlier {
				for _, r := range e.Runs {
					told[r.Run.Task.Index] = true
				}
			}
			if len(told) != len(test.want) {
				t.Fatalf("told of %v, want %v", told, test.want)
			}
			for _, index := range test.want {
				if !told[index] {
					t.Fatalf("told of %v, want %v", told, test.want)
				}
			}
			again := poll(0)
			if len(again.Earlier) != len(first.Earlier) {
				t.Fatal("an answer that was not acknowledged is not repeated")
			}
			if last := poll(again.Number); len(last.Earlier) != 0 {
				t.Fatal("told again after the acknowledgement")
			}
			next, err := a.Poll(context.Background(), PollCall{Fence: 7})
			if err != nil || len(next.Earlier) != len(first.Earlier) {
				t.Fatalf("the leader after the next is told of %v: %v", next.Earlier, err)
			}
		})
	}
}

// Guards against LOST: a leader that took a worker to have crashed under a task that had not
// started there.
func TestNextLeaderLearnsThatASilentWorkerRanNothing(t *testing.T) {
	crashed := true
	workers := &fakeWorkers{
		heartbeat: func(aqworker.HeartbeatRequest) (aqworker.HeartbeatAnswer, error) {
			if crashed {
				return aqworker.HeartbeatAnswer{}, aqworker.ErrUnanswered
			}
			return aqworker.HeartbeatAnswer{
				Report: aqdecider.WorkerReport{
					Incarnation: 1,
					Complete:    true,
				},
				Clock: aqworker.Time(100 * time.Second),
			}, nil
		},
	}
	s, a, _ := testSession(t, workers)
	s.heartbeat()
	if runs, ok := s.unsettledRuns(); ok {
		t.Fatalf("a session that was never answered knows of %v", runs)
	}
	crashed = false
	s.heartbeat()
	if runs, ok := s.unsettledRuns(); ok {
		t.Fatalf("a worker that answers is told of: %v", runs)
	}
	crashed = true
	s.heartbeat()
	first, err := a.Poll(context.Background(), PollCall{Fence: 6})
	if err != nil || len(first.Earlier) != 1 || first.Earlier[0].Worker != s.id || len(first.Earlier[0].Runs) != 0 {
		t.Fatalf("told of %v: %v", first.Earlier, err)
	}
	next, err := a.Poll(context.Background(), PollCall{Fence: 7})
	if err != nil || len(next.Earlier) != 0 {
		t.Fatalf("the leader after the next is told of %v: %v", next.Earlier, err)
	}
}
