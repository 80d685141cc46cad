package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
)

// crashKinds are the kinds of groups with a task that crashes its workers.
var crashKinds = []struct {
	name string
	make func() aqjob.Group
}{
	{name: "finite", make: func() aqjob.Group { return tasks(3, 1000) }},
	{name: "checkpointing", make: func() aqjob.Group {
		g := tasks(3, 1000)
		g.Checkpointing = true
		return g
	}},
	{name: "perpetual", make: func() aqjob.Group {
		g := tasks(3, 1000)
		g.Perpetual = true
		return g
	}},
	{name: "gang", make: func() aqjob.Group {
		g := tasks(3, 1000)
		g.Gang = true
		return g
	}},
}

// crashLoad submits work that runs beside the deadly tasks: a perpetual job, and finite
// jobs in the course of time.
func (c *crashWorld) crashLoad() {
	perpetual := tasks(6, 500)
	perpetual.Perpetual = true
	c.submit(testJob(100, perpetual))
	for n := range 12 {
		c.submit(testJob(200+n, tasks(4, 500)))
	}
}

// Guards against BUDGET: a task that crashes its workers was started without bound.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, kind := range crashKinds {
		for _, after := range []time.Duration{0, 700 * time.Millisecond, 2500 * time.Millisecond} {
			for _, leader := range []string{"stays", "changes before", "changes across", "changes after", "changes twice"} {
				for _, sameID := range []bool{false, true} {
					name := fmt.Sprintf("%s/after %v/leader %s/same id %v", kind.name, after, leader, sameID)
					t.Run(name, func(t *testing.T) {
						c := newCrashWorld(t, 1, 8)
						c.sameID = sameID
						c.unknownRate = 0.1
						c.crashLoad()
						for range 20 {
							c.step()
						}
						deadly := aqjob.TaskID{Job: testJob(1).ID, Index: 1}
						c.deadly[deadly] = after
						c.submit(testJob(1, kind.make()))
						c.changeLeaders(leader, deadly)
						c.expectState(deadly.Job, aqjob.StateFailed)
						if c.crashes[deadly] < 2 {
							t.Errorf("given up after %d crashes", c.crashes[deadly])
						}
						for n := range 12 {
							c.expectState(testJob(200+n).ID, aqjob.StateCompleted)
						}
						c.expectState(testJob(100).ID, aqjob.StateRunning)
					})
				}
			}
		}
	}
}

// changeLeaders plays until the given change of the leader relative to the crashes.
func (c *crashWorld) changeLeaders(when string, deadly aqjob.TaskID) {
	awaitCrash := func(n int) {
		for range 2000 {
			if c.crashes[deadly] >= n {
				return
			}
			c.step()
		}
		c.t.Fatalf("%d crashes, want %d", c.crashes[deadly], n)
	}
	switch when {
	case "changes before":
		c.step()
		c.loseLeader()
	case "changes across":
		awaitCrash(1)
		c.loseLeader()
	case "changes after":
		awaitCrash(2)
		for range 100 {
			c.step()
		}
		c.loseLeader()
	case "changes twice":
		awaitCrash(1)
		c.loseLeader()
		awaitCrash(2)
		c.loseLeader()
	}
}

// A task that only ran beside crashing ones is not given up in their place, also where
// workers crash under it for other reasons.
func TestTaskBesideACrashingOneIsNotGivenUp(t *testing.T) {
	for seed := range int64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newCrashWorld(t, seed, 10)
			c.sameID = seed%2 == 0
			c.unknownRate = 0.1
			c.crashLoad()
			for n := range 6 {
				deadly := aqjob.TaskID{Job: testJob(1 + n).ID, Index: n % 3}
				c.deadly[deadly] = time.Duration(n%3) * 600 * time.Millisecond
				c.submit(testJob(1+n, crashKinds[n%len(crashKinds)].make()))
				for range 30 {
					c.step()
				}
				all := c.sorted()
				if w := all[c.random.Intn(len(all))]; !w.down() {
					c.crash(w)
				}
				if n == 3 {
					c.loseLeader()
				}
			}
			for n := range 6 {
				c.expectState(testJob(1+n).ID, aqjob.StateFailed)
			}
			for n := range 12 {
				c.expectState(testJob(200+n).ID, aqjob.StateCompleted)
			}
			c.expectState(testJob(100).ID, aqjob.StateRunning)
		})
	}
}
