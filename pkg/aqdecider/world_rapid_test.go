package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

func drawJob(t *rapid.T, n int) *aqjob.Job {
	job := &aqjob.Job{
		ID:    aqjob.ID(fmt.Sprintf("%016x", n)),
		Queue: aqjob.Queue{ID: testQueue, Service: testPool, MaxAttempts: 3, Stretch: 2},
	}
	groups := rapid.IntRange(1, 3).Draw(t, "groups")
	for i := range groups {
		g := aqjob.Group{
			Count:    rapid.IntRange(1, 4).Draw(t, "count"),
			Size:     aqtype.Resources{MilliCPU: aqtype.MilliCPU(rapid.IntRange(1, 4).Draw(t, "cpu")) * 500, Memory: 500},
			Estimate: time.Second,
		}
		if i > 0 && rapid.Bool().Draw(t, "after") {
			g.After = []int{i - 1}
		}
		job.Groups = append(job.Groups, g)
	}
	return job
}

// Whatever fails in whatever order, no task runs twice at a time or again after
// an acknowledged end, steps keep their order, workers their capacity, and in the
// end every job is done.
func TestDeciderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		submitted := 0
		actions := map[string]func(*rapid.T){
			"step": func(*rapid.T) { w.step() },
			"steps": func(*rapid.T) {
				for range 8 {
					w.step()
				}
			},
			"store": func(*rapid.T) { w.store() },
			"submit": func(t *rapid.T) {
				if submitted < 6 {
					submitted++
					w.submit(drawJob(t, submitted))
				}
			},
			"takeover":             func(*rapid.T) { w.takeover(w.ids()) },
			"takeover of the rest": func(*rapid.T) { w.takeover(w.reachable()) },
			"cut": func(t *rapid.T) {
				fake := w.workers[rapid.SampledFrom(w.ids()).Draw(t, "worker")]
				fake.cut = !fake.cut
			},
			"reborn": func(t *rapid.T) {
				w.reborn(w.workers[rapid.SampledFrom(w.ids()).Draw(t, "worker")])
			},
			"failing": func(t *rapid.T) {
				fake := w.workers[rapid.SampledFrom(w.ids()).Draw(t, "worker")]
				fake.failing = !fake.failing
			},
			"cancel": func(t *rapid.T) {
				id := aqjob.ID(fmt.Sprintf("%016x", rapid.IntRange(1, 6).Draw(t, "job")))
				if _, again := w.cancels[id]; !again {
					w.cancels[id] = w.now
				}
				w.decider.Cancel(id)
			},
		}
		t.Repeat(actions)
		w.calm(t)
	})
}

// calm ends all faults and expects every job to reach a final state.
func (w *world) calm(t *rapid.T) {
	for _, id := range w.ids() {
		w.workers[id].cut = false
		w.workers[id].failing = false
	}
	for range 2000 {
		w.step()
		w.store()
		open := 0
		for id := range w.jobs {
			if state, _ := w.decider.State(id); !state.Final() {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
	for id := range w.jobs {
		state, _ := w.decider.State(id)
		t.Logf("job %s is %s", id, state)
	}
	t.Fatal("a job reaches no final state")
}
