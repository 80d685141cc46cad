package aqdecider

import (
	"slices"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// leasesEnd is how long the next leader waits for a worker that does not report.
const leasesEnd = 10 * time.Second

// next returns a harness whose decider takes over from h's with the stored list of workers and
// a sound worker that reports.
func (h *harness) next(stored []aqtype.WorkerID, sound Worker) *harness {
	n := &harness{
		t: h.t,
		d: New(Options{
			Limits:  Limits{Retention: time.Hour, StopGrace: 100 * time.Millisecond},
			Log:     aqlog.Discard(),
			Metrics: aqmetric.New(),
		}),
		now:     h.now,
		running: map[aqtype.WorkerID]map[RunID]RunReport{sound.ID: {}},
	}
	n.d.SetTime(n.now, n.now)
	n.d.AwaitReports(stored, n.now.Add(leasesEnd))
	n.d.UpdateWorker(sound)
	n.d.MarkPersisted(n.d.FleetIDs())
	n.report(sound.ID)
	return n
}

// storeFleet stores the list of workers if the decider asks for it, and returns the stored one.
func (h *harness) storeFleet(before []aqtype.WorkerID) []aqtype.WorkerID {
	if !h.d.Dirty() {
		return before
	}
	ids := h.d.FleetIDs()
	h.d.MarkPersisted(ids)
	return ids
}

func TestWorkerThatIsGoneDoesNotHoldBackTheNextLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		// leave makes worker w2, which runs a task if busy is set, go.
		leave func(*harness)
		busy  bool
		// waits is set if the next leader has to wait for the worker.
		waits bool
	}{
		{name: "listed", leave: func(h *harness) { h.d.WorkerUnresponsive("w2") }},
		{
			name: "listed and reassigned",
			leave: func(h *harness) {
				h.d.WorkerReassigned("w2")
				h.d.WorkerUnresponsive("w2")
			},
		},
		{
			name: "not listed",
			leave: func(h *harness) {
				h.d.DelistWorker("w2")
				h.d.WorkerUnresponsive("w2")
			},
		},
		{
			name: "lease expired",
			leave: func(h *harness) {
				h.d.WorkerUnresponsive("w2")
				h.d.LeaseExpired("w2")
			},
			busy: true,
		},
		{
			name: "lease expired, not listed",
			leave: func(h *harness) {
				h.d.DelistWorker("w2")
				h.d.WorkerUnresponsive("w2")
				h.d.LeaseExpired("w2")
			},
			busy: true,
		},
		{name: "lease not expired", leave: func(h *harness) { h.d.WorkerUnresponsive("w2") }, busy: true, waits: true},
		{
			name: "with an orphan",
			leave: func(h *harness) {
				orphan := RunID{Task: aqjob.TaskID{Job: testJob(9).ID}, Attempt: 1}
				h.running["w2"][orphan] = RunReport{Run: orphan}
				h.report("w2")
				h.d.WorkerUnresponsive("w2")
			},
			waits: true,
		},
		{
			name: "with an end that is not stored",
			leave: func(h *harness) {
				h.report("w2", EndReport{Number: 1, Run: RunID{Task: aqjob.TaskID{Job: testJob(9).ID}, Attempt: 1}, Reason: EndDone})
				h.d.WorkerUnresponsive("w2")
			},
			waits: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			sound := poolWorker("w1", "r1-1", 8000)
			h := newHarness(t, sound, poolWorker("w2", "r1-1", 16000))
			stored := h.d.FleetIDs()
			h.d.MarkPersisted(stored)
			if test.busy {
				h.d.AddJob(testJob(1, tasks(1, 16000)), nil, 0, false)
				h.tick()
				h.report("w2")
			}
			// Only a change of the list of workers is to be stored from here on.
			h.d.BatchStored(h.d.TakeBatch())
			test.leave(h)
			for passed := time.Duration(0); passed <= silenceTimeout; passed += 100 * time.Millisecond {
				h.advance(100 * time.Millisecond)
				h.report("w1")
				h.tick()
				stored = h.storeFleet(stored)
			}
			n := h.next(stored, sound)
			n.d.AddJob(testJob(2, tasks(1, 1000)), nil, 0, true)
			n.tick()
			if got := n.hasStarted(2); got == test.waits {
				t.Fatalf("started at once: %v, want %v; stored %v", got, !test.waits, stored)
			}
			n.advance(leasesEnd + time.Millisecond)
			n.tick()
			if !n.hasStarted(2) {
				t.Fatal("not started once the leases have ended")
			}
		})
	}
}

// An idle worker that has left the stored list and returns gets nothing before the next leader
// would find it.
func TestWorkerThatReturnsIsStoredBeforeItIsUsed(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.WorkerUnresponsive("w1")
	h.advance(silenceTimeout)
	h.tick()
	h.advance(silenceTimeout)
	h.tick()
	stored := h.storeFleet([]aqtype.WorkerID{"w1"})
	if len(stored) != 0 {
		t.Fatalf("stored %v", stored)
	}
	h.report("w1")
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.tick()
	if h.hasStarted(1) {
		t.Fatal("started before the list of workers is stored")
	}
	if stored = h.storeFleet(stored); len(stored) != 1 {
		t.Fatalf("stored %v", stored)
	}
	h.tick()
	if !h.hasStarted(1) {
		t.Fatal("not started though the list of workers is stored")
	}
}

// The next leader does not wait for a worker whose runs this one has given up, however soon it follows.
func TestWorkerWhoseLeaseHasExpiredLeavesTheStoredListAtOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		before   func(*harness)
		busy     bool
		remains  bool
		returned bool
	}{
		{name: "idle"},
		{name: "busy", busy: true},
		{name: "restarted", busy: true, remains: true, before: func(h *harness) {
			h.d.WorkerReplaced("w2")
		}},
		{name: "with an end that is not stored", remains: true, before: func(h *harness) {
			h.report("w2", EndReport{Number: 1, Run: RunID{Task: aqjob.TaskID{Job: testJob(9).ID}, Attempt: 1}, Reason: EndDone})
		}},
		{name: "that returns", remains: true, returned: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 16000))
			stored := h.d.FleetIDs()
			h.d.MarkPersisted(stored)
			if test.busy {
				h.d.AddJob(testJob(1, tasks(1, 16000)), nil, 0, false)
				h.tick()
				h.report("w2")
			}
			h.d.BatchStored(h.d.TakeBatch())
			if test.before != nil {
				test.before(h)
			}
			h.d.WorkerUnresponsive("w2")
			h.d.LeaseExpired("w2")
			h.tick()
			stored = h.storeFleet(stored)
			if test.returned {
				h.report("w2")
				stored = h.storeFleet(stored)
			}
			if got := slices.Contains(stored, "w2"); got != test.remains {
				t.Fatalf("stored %v, want the worker there: %v", stored, test.remains)
			}
		})
	}
}
