package aqdecider

import (
	"testing"
	"time"
)

// newRestartHarness returns a harness with a run that is on its way to w1, which has restarted unreachably since,
// and w2, on which the task could run.
func newRestartHarness(t *testing.T) (h *harness, run RunID) {
	t.Helper()
	h = newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.options.Limits.LeaseMax = 6 * time.Second
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	orders := h.d.Tick()
	if len(orders) != 1 {
		t.Fatalf("%d orders, want a start", len(orders))
	}
	h.d.WorkerUnresponsive("w1")
	restarted := poolWorker("w1", "r1-1", 8000)
	restarted.Incarnation = 2
	h.d.UpdateWorker(restarted)
	h.d.UpdateWorker(poolWorker("w2", "r1-1", 8000))
	h.running["w2"] = map[RunID]RunReport{}
	h.d.MarkPersisted(h.d.FleetIDs())
	h.report("w2")
	h.d.Tick()
	return h, orders[0].(Start).Run
}

// startsAfter ticks for a time, in which progress is stored, and returns how many starts were ordered.
func (h *harness) startsAfter(elapsed time.Duration) int {
	for until := h.now.Add(elapsed); h.now.Before(until); {
		h.advance(100 * time.Millisecond)
		h.tick()
		batch := h.d.TakeBatch()
		for _, r := range batch.Records {
			h.d.RecordStored(r, 7)
		}
		h.d.BatchStored(batch)
	}
	return len(h.started)
}

// Guards against TWICE: the end of the lease of a worker's earlier incarnation gave up a run whose start was
// on its way, before the present incarnation was known to refuse it.
func TestEndOfAnEarlierLeaseDoesNotGiveUpAStartOnItsWay(t *testing.T) {
	h, run := newRestartHarness(t)
	h.d.LeaseExpired("w1")
	if starts := h.startsAfter(time.Second); starts > 0 {
		t.Fatal("the task is started elsewhere though the restarted worker may still start it")
	}
	h.d.StopAnswered("w1", 2, run, 1)
	h.d.WorkerReported("w1", WorkerReport{Incarnation: 2, Complete: true, Sent: 2})
	if starts := h.startsAfter(time.Second); starts != 1 {
		t.Fatalf("%d starts once the restarted worker has acknowledged the stop, want 1", starts)
	}
}

// A worker that is not reached any more holds its tasks back for a limited time only.
func TestStartOnItsWayToARestartedWorkerIsGivenUpInTime(t *testing.T) {
	h, _ := newRestartHarness(t)
	until := h.d.LeaseExpired("w1")
	if wait := until.Sub(h.now); wait <= 0 || wait > startDelayLimit+h.d.options.Limits.LeaseMax {
		t.Fatalf("the run is held for %s", wait)
	}
	if starts := h.startsAfter(until.Sub(h.now)); starts > 0 {
		t.Fatal("the task is started elsewhere before the run is given up")
	}
	h.advance(time.Millisecond)
	if again := h.d.LeaseExpired("w1"); !again.IsZero() {
		t.Fatalf("the run is held again for %s", again.Sub(h.now))
	}
	if starts := h.startsAfter(time.Second); starts != 1 {
		t.Fatalf("%d starts, want 1", starts)
	}
}

// Guards against TWICE: a run that was started after a restart is kept while a lease of a call to the earlier incarnation
// may last, whatever the lease that its agent has renewed, and is given up after that.
func TestStrayLeaseHoldsRunsOfTheIncarnation(t *testing.T) {
	for _, test := range []struct {
		name string
		// settled is set if the decider learns that the worker refuses calls to its earlier incarnations.
		settled bool
		// passed is the time from then to the end of the lease.
		passed time.Duration
		want   time.Duration
	}{
		{name: "lost soon", settled: true, passed: time.Second, want: 5 * time.Second},
		{name: "lost later", settled: true, passed: 6 * time.Second, want: 0},
		{name: "agent lost with the report", passed: time.Second, want: 6 * time.Second},
	} {
		h := newHarness(t, poolWorker("w1", "r1-1", 8000))
		h.d.options.Limits.LeaseMax = 6 * time.Second
		restarted := poolWorker("w1", "r1-1", 8000)
		restarted.Incarnation = 2
		h.d.UpdateWorker(restarted)
		h.d.WorkerReported("w1", WorkerReport{Incarnation: 2, Complete: true, Sent: h.nextTime(), Settled: test.settled})
		h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
		h.d.MarkPersisted(h.d.FleetIDs())
		h.tick()
		if len(h.started) != 1 {
			t.Fatalf("%s: %d starts, want 1", test.name, len(h.started))
		}
		h.advance(test.passed)
		h.d.WorkerUnresponsive("w1")
		until := h.d.LeaseExpired("w1")
		held := time.Duration(0)
		if !until.IsZero() {
			held = until.Sub(h.now)
		}
		if held != test.want || h.d.Occupied("w1") != (test.want > 0) {
			t.Errorf("%s: held for %s, want %s", test.name, held, test.want)
		}
		h.advance(held)
		if again := h.d.LeaseExpired("w1"); !again.IsZero() || h.d.Occupied("w1") {
			t.Errorf("%s: the run is held again", test.name)
		}
	}
}

// A later agent finds a worker settled that has long refused calls to its earlier incarnations: nothing is held for that.
// A worker that nobody had settled when its lease ended is settled by the first agent that reaches it.
func TestStrayLeaseCountsFromTheFirstSettledReport(t *testing.T) {
	settledReport := func(h *harness) {
		h.d.WorkerReported("w1", WorkerReport{Incarnation: 2, Complete: true, Sent: h.nextTime(), Settled: true})
	}
	for _, test := range []struct {
		name string
		// before happens after the restart.
		before func(h *harness)
		held   bool
	}{
		{name: "settled long before", before: func(h *harness) {
			settledReport(h)
			h.advance(6 * time.Second)
			h.d.WorkerReassigned("w1")
		}},
		{name: "lease ended before", held: true, before: func(h *harness) {
			h.d.LeaseExpired("w1")
			h.advance(6 * time.Second)
			h.d.LeaseExpired("w1")
		}},
	} {
		h := newHarness(t, poolWorker("w1", "r1-1", 8000))
		h.d.options.Limits.LeaseMax = 6 * time.Second
		restarted := poolWorker("w1", "r1-1", 8000)
		restarted.Incarnation = 2
		h.d.UpdateWorker(restarted)
		test.before(h)
		settledReport(h)
		h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
		h.tick()
		if len(h.started) != 1 {
			t.Fatalf("%s: %d starts, want 1", test.name, len(h.started))
		}
		h.d.WorkerUnresponsive("w1")
		h.d.LeaseExpired("w1")
		if h.d.Occupied("w1") != test.held {
			t.Errorf("%s: held %v, want %v", test.name, !test.held, test.held)
		}
	}
}

// A run is lost as soon as the lease has ended if no attempt to start it can be on its way to a worker that has
// restarted since.
func TestRunOfARestartedWorkerIsNotHeldWithoutNeed(t *testing.T) {
	for _, test := range []struct {
		name string
		// settle tells the decider of the outcome of the start, or lets time pass.
		settle func(h *harness, run RunID)
		// acked is set if the next incarnation acknowledges the stop.
		acked bool
		held  bool
	}{
		{name: "nothing known", settle: func(*harness, RunID) {}, held: true},
		{
			name: "answered, with an unanswered attempt",
			settle: func(h *harness, run RunID) {
				h.d.StartAnswered("w1", 1, run, OutcomeAccepted, h.nextTime())
				h.report("w1")
			},
			held: true,
		},
		{
			name: "every attempt answered",
			settle: func(h *harness, run RunID) {
				h.d.StartSettled("w1", 1, run)
				h.d.StartAnswered("w1", 1, run, OutcomeAccepted, h.nextTime())
				h.report("w1")
			},
		},
		{
			name: "every attempt of the last of two agents answered",
			settle: func(h *harness, run RunID) {
				h.d.WorkerReassigned("w1")
				h.d.StartSettled("w1", 1, run)
				h.d.StartAnswered("w1", 1, run, OutcomeAccepted, h.nextTime())
				h.report("w1")
			},
			held: true,
		},
		{
			name: "answered long before the restart",
			settle: func(h *harness, run RunID) {
				h.d.StartAnswered("w1", 1, run, OutcomeAccepted, h.nextTime())
				h.advance(startDelayLimit + time.Second)
				h.report("w1")
			},
		},
		{
			name: "running for long without an outcome",
			settle: func(h *harness, _ RunID) {
				h.report("w1")
				h.advance(startDelayLimit + startTimeout + time.Second)
				h.report("w1")
			},
		},
		{name: "stopped in the next incarnation", settle: func(*harness, RunID) {}, acked: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000))
			h.d.options.Limits.LeaseMax = 6 * time.Second
			h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
			run := h.d.Tick()[0].(Start).Run
			h.running["w1"][run] = RunReport{Run: run}
			test.settle(h, run)
			h.d.WorkerUnresponsive("w1")
			restarted := poolWorker("w1", "r1-1", 8000)
			restarted.Incarnation = 2
			h.d.UpdateWorker(restarted)
			if test.acked {
				h.d.StopAnswered("w1", 2, run, h.nextTime())
			}
			h.advance(6 * time.Second)
			if until := h.d.LeaseExpired("w1"); until.IsZero() == test.held {
				t.Errorf("held for %s, want held %v", until.Sub(h.now), test.held)
			}
		})
	}
}

// The next leader must not be told of an earlier incarnation.
func TestRestartChangesTheStoredEntries(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	restarted := poolWorker("w1", "r1-1", 8000)
	restarted.Incarnation = 2
	for _, test := range []struct {
		name  string
		learn func()
	}{
		{name: "entry", learn: func() { h.d.UpdateWorker(restarted) }},
		{name: "report", learn: func() { h.d.WorkerReported("w1", WorkerReport{Incarnation: 3, Complete: true, Sent: 1}) }},
	} {
		before := h.d.FleetChanges()
		test.learn()
		if h.d.FleetChanges() == before {
			t.Errorf("%s: not a change", test.name)
		}
	}
	if got := h.d.FleetEntries()[0].Incarnation; got != 3 {
		t.Errorf("the entry names incarnation %d, want 3", got)
	}
}

// Guards against TWICE: a delayed renewal of an earlier incarnation prolongs what a delayed start has begun in the
// present one beyond the time for which the run is held.
func TestHeldRunAwaitsDelayedRenewals(t *testing.T) {
	const orderDelay = 12 * time.Second
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.options.Limits.LeaseMax = 6 * time.Second
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	run := h.d.Tick()[0].(Start).Run
	h.advance(700 * time.Millisecond)
	h.d.StartAnswered("w1", 1, run, OutcomeAccepted, 1)
	h.running["w1"][run] = RunReport{Run: run}
	for range 93 {
		h.advance(100 * time.Millisecond)
		h.report("w1")
	}
	renewedAt := h.now
	h.d.WorkerUnresponsive("w1")
	restarted := poolWorker("w1", "r1-1", 8000)
	restarted.Incarnation = 2
	h.d.UpdateWorker(restarted)
	until := h.d.LeaseExpired("w1")
	if last := renewedAt.Add(orderDelay + h.d.options.Limits.LeaseMax); until.Before(last) {
		t.Errorf("held %s too short", last.Sub(until))
	}
}
