package aqdecider

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
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

// crashSeeds is the number of seeds of TestTaskBesideACrashingOneIsNotGivenUp.
var crashSeeds = flag.Int64("crashseeds", 200, "number of seeds of the tests of tasks beside crashing ones")

// A task that only ran beside crashing ones is not given up in their place, also where
// workers crash under it for other reasons.
func TestTaskBesideACrashingOneIsNotGivenUp(t *testing.T) {
	for seed := range *crashSeeds {
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

// isolationHarness has a suspected task of job 1: two workers have crashed just after its
// starts. w0 is the second of them; others more workers are free.
func isolationHarness(t *testing.T, others int) *harness {
	t.Helper()
	h := newHarness(t, poolWorker("first", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	for _, id := range []aqtype.WorkerID{"first", "w0"} {
		if id != "first" {
			h.addWorker(string(id))
		}
		h.tick()
		if last := h.started[len(h.started)-1]; last.Worker != id {
			t.Fatalf("started on %s, want %s", last.Worker, id)
		}
		h.d.WorkerUnresponsive(id)
		h.d.LeaseExpired(id)
	}
	h.started = nil
	for n := range others {
		h.addWorker(fmt.Sprintf("w%d", n+1))
	}
	return h
}

func (h *harness) addWorker(id string) {
	w := poolWorker(id, "r1-1", 8000)
	h.running[w.ID] = map[RunID]RunReport{}
	h.d.UpdateWorker(w)
	h.d.MarkPersisted(h.d.FleetIDs())
	h.d.WorkerReported(w.ID, WorkerReport{Incarnation: 1, Complete: true, Sent: h.nextTime()})
}

// storeAll stores everything that is to be stored.
func (h *harness) storeAll() {
	batch := h.d.TakeBatch()
	for _, r := range batch.Records {
		h.d.RecordStored(r, r.Expect+1)
	}
	h.d.BatchStored(batch)
}

// A later leader must know of an isolated run that crashes its worker, so the run is stored
// before it starts.
func TestIsolatedRunIsStoredBeforeItStarts(t *testing.T) {
	h := isolationHarness(t, 1)
	for range 3 {
		h.tick()
	}
	if len(h.started) != 0 {
		t.Fatalf("%d starts before anything was stored", len(h.started))
	}
	h.storeAll()
	h.tick()
	if len(h.started) != 1 {
		t.Fatalf("%d starts once the trial was stored, want 1", len(h.started))
	}
}

// While a suspected task is on trial, nothing else starts on its worker; after it has been
// seen to run, other tasks do.
func TestNothingStartsBesideAnIsolatedRun(t *testing.T) {
	h := isolationHarness(t, 1)
	h.tick()
	h.storeAll()
	h.tick()
	h.d.AddJob(testJob(2, tasks(1, 1000)), nil, 0, false)
	h.tick()
	if len(h.started) != 1 {
		t.Fatalf("%d starts beside an isolated run", len(h.started)-1)
	}
	h.advance(600 * time.Millisecond)
	h.report("w1")
	h.tick()
	if len(h.started) != 2 {
		t.Fatal("nothing starts on the worker after the trial")
	}
}

// A worker that was only unreachable does not count as crashed once it reports again.
func TestReturningWorkerHasNotCrashed(t *testing.T) {
	h := isolationHarness(t, 1)
	h.tick()
	h.storeAll()
	task := h.d.task(aqjob.TaskID{Job: testJob(1).ID})
	if len(task.history.Crashes) != 2 || task.trialWorker == nil {
		t.Fatalf("history %+v, want two crashes and a trial", task.history)
	}
	h.running["w0"] = map[RunID]RunReport{}
	h.report("w0")
	h.tick()
	h.tick()
	if len(task.history.Crashes) != 1 || task.trialWorker != nil || len(h.started) != 1 {
		t.Fatalf("history %+v, %d starts", task.history, len(h.started))
	}
}
