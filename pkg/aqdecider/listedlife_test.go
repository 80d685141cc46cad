//go:build knownred

package aqdecider

import (
	"testing"

	"acaciaquay/pkg/aqjob"
)

// Guards against LIMIT and ROUTE: a worker restarted with another capacity and other labels, reported before its entry was
// read, and got tasks by those of its earlier incarnation.
func TestRestartedWorkerGetsTasksByItsOwnEntry(t *testing.T) {
	restarted := poolWorker("w1", "r1-1", 1000)
	restarted.Incarnation = 2
	restarted.Labels = []string{"b", "r1-1"}
	constrained := tasks(1, 500)
	constrained.Constraint = "a"
	for _, test := range []struct {
		name  string
		group aqjob.Group
		// fits is set if the group suits the worker's present incarnation.
		fits bool
	}{
		{name: "too large", group: tasks(1, 4000)},
		{name: "label gone", group: constrained},
		{name: "suits both", group: tasks(1, 500), fits: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000))
			h.d.WorkerReported("w1", WorkerReport{Incarnation: 2, Complete: true, Sent: h.nextTime(), Settled: true})
			h.d.AddJob(testJob(1, test.group), nil, 0, false)
			h.tick()
			if !test.fits && len(h.started) > 0 {
				t.Error("a task is started by the entry of the earlier incarnation")
			}
			h.d.UpdateWorker(restarted)
			h.d.WorkerReported("w1", WorkerReport{Incarnation: 2, Complete: true, Sent: h.nextTime(), Settled: true})
			h.tick()
			if started := len(h.started) > 0; started != test.fits {
				t.Errorf("started by its own entry: %v, want %v", started, test.fits)
			}
		})
	}
}
