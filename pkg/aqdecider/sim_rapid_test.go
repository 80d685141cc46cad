package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

func drawJob(t *rapid.T, n int, speculative bool) *aqjob.Job {
	job := &aqjob.Job{
		ID:    aqjob.ID(fmt.Sprintf("%016x", n)),
		Queue: aqjob.Queue{ID: testQueue, Service: testService, MaxAttempts: simMaxAttempts, Stretch: 2},
	}
	groups := rapid.IntRange(1, 3).Draw(t, "groups")
	for i := range groups {
		g := aqjob.Group{
			Count:    rapid.IntRange(1, 4).Draw(t, "count"),
			Size:     aqtype.Resources{MilliCPU: aqtype.MilliCPU(rapid.IntRange(1, 4).Draw(t, "cpu")) * 500, Memory: 500},
			Estimate: time.Second,
		}
		g.Speculative = speculative && rapid.Bool().Draw(t, "speculative")
		if i > 0 && rapid.Bool().Draw(t, "after") {
			g.After = []int{i - 1}
		}
		job.Groups = append(job.Groups, g)
	}
	return job
}

// Under any sequence of faults no task has two runs at a time or starts again after an
// acknowledged success, groups wait for their predecessors, workers stay within their
// capacity, and every job reaches a final state once the faults end.
func TestDeciderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playFaults(t, false) })
}

// The same where tasks may have copies: these have at most two runs at a time, on different workers.
func TestCopiesUnderFaults(t *testing.T) {
	copies := 0
	rapid.Check(t, func(t *rapid.T) { copies += playFaults(t, true) })
	if copies == 0 {
		t.Fatal("no copy was started")
	}
	t.Logf("%d copies", copies)
}

// playFaults plays a sequence of faults and returns how many copies were started.
func playFaults(t *rapid.T, speculative bool) int {
	s := newSim(t, 3)
	submitted := 0
	actions := map[string]func(*rapid.T){
		"step": func(*rapid.T) { s.step() },
		"steps": func(*rapid.T) {
			for range 8 {
				s.step()
			}
		},
		"store": func(*rapid.T) { s.store() },
		"submit": func(t *rapid.T) {
			if submitted < 6 {
				submitted++
				s.submit(drawJob(t, submitted, speculative))
			}
		},
		"takeover":             func(*rapid.T) { s.takeover(s.ids()) },
		"takeover of the rest": func(*rapid.T) { s.takeover(s.reachable()) },
		"cut": func(t *rapid.T) {
			fake := s.workers[rapid.SampledFrom(s.ids()).Draw(t, "worker")]
			fake.partitioned = !fake.partitioned
		},
		"reborn": func(t *rapid.T) {
			s.restart(s.workers[rapid.SampledFrom(s.ids()).Draw(t, "worker")])
		},
		"failing": func(t *rapid.T) {
			fake := s.workers[rapid.SampledFrom(s.ids()).Draw(t, "worker")]
			fake.failing = !fake.failing
		},
		"cancel": func(t *rapid.T) {
			id := aqjob.ID(fmt.Sprintf("%016x", rapid.IntRange(1, 6).Draw(t, "job")))
			if _, again := s.cancelledAt[id]; !again {
				s.cancelledAt[id] = s.now
			}
			s.decider.Cancel(id)
		},
	}
	t.Repeat(actions)
	s.expectCompletion(t)
	return s.copies
}

// expectCompletion ends all faults and expects every job to reach a final state.
func (s *sim) expectCompletion(t *rapid.T) {
	for _, id := range s.ids() {
		s.workers[id].partitioned = false
		s.workers[id].failing = false
	}
	for range 2000 {
		s.step()
		s.store()
		open := 0
		for id := range s.jobs {
			if state, _ := s.decider.State(id); !state.Final() {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
	for id := range s.jobs {
		state, _ := s.decider.State(id)
		_, groups, _ := s.decider.ViewJob(id)
		t.Logf("job %s is %s: %+v", id, state, groups)
	}
	t.Logf("workers: %+v", s.decider.ViewWorkers())
	t.Fatal("a job did not reach a final state")
}
