//go:build knownred

package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqtype"
)

// Guards against TWICE: a worker restarts unreachably while the leader changes, and a start of the earlier term reaches
// its next incarnation.
func TestNextLeaderAwaitsDelayedStartsOfARestartedWorker(t *testing.T) {
	h := newHarness(t, poolWorker("w2", "r1-1", 8000))
	h.d.options.Limits.LeaseMax = 6 * time.Second
	h.d.AwaitReports([]aqtype.WorkerID{"w1"}, h.now.Add(leasesEnd))
	h.d.RestoreWorker(poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, true)
	restarted := poolWorker("w1", "r1-1", 8000)
	restarted.Incarnation = 2
	h.d.UpdateWorker(restarted)
	h.d.MarkPersisted(h.d.FleetIDs())
	h.d.LimitReportWait(h.now.Add(6 * time.Second))
	if starts := h.startsAfter(startDelayLimit); starts > 0 {
		t.Error("the task is started elsewhere while a start of the earlier term may be on its way")
	}
}

// Guards against TWICE: a worker restarts unknown to the leader, and a start that was on its way reaches its next
// incarnation after the lease of the earlier one.
func TestRestartThatIsLearntOfAfterTheLease(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.options.Limits.LeaseMax = 6 * time.Second
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.d.Tick()
	h.d.UpdateWorker(poolWorker("w2", "r1-1", 8000))
	h.running["w2"] = map[RunID]RunReport{}
	h.d.MarkPersisted(h.d.FleetIDs())
	h.report("w2")
	h.d.WorkerUnresponsive("w1")
	h.d.DelistWorker("w1")
	h.advance(6 * time.Second)
	h.d.LeaseExpired("w1")
	if h.startsAfter(time.Second) > 0 {
		t.Error("the task is started elsewhere while its first start may be on its way")
	}
}
