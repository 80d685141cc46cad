package aqdecider

import (
	"testing"
	"time"
)

// A worker that is silent for a while, or whose agent is, keeps its runs: nothing is
// stopped, started elsewhere or given up before its lease has certainly expired. Once it
// answers again, the runs go on.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence func(*Decider)
		want    int
	}{
		{name: "no answer", silence: func(d *Decider) { d.WorkerUnresponsive("w1") }},
		{name: "another agent", silence: func(d *Decider) { d.WorkerReassigned("w1") }},
		{
			name: "no answer to two agents",
			silence: func(d *Decider) {
				d.WorkerUnresponsive("w1")
				d.WorkerReassigned("w1")
				d.WorkerUnresponsive("w1")
			},
		},
		{
			name: "unlisted meanwhile",
			silence: func(d *Decider) {
				d.WorkerUnresponsive("w1")
				d.DelistWorker("w1")
			},
		},
		{
			name: "lease expired",
			silence: func(d *Decider) {
				d.WorkerUnresponsive("w1")
				d.LeaseExpired("w1")
			},
			want: 4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000))
			h.d.AddJob(testJob(1, tasks(4, 1000)), nil, 0, false)
			h.tick()
			h.report("w1")
			before := len(h.started)
			if before != 4 {
				t.Fatalf("%d tasks were started", before)
			}
			test.silence(h.d)
			other := poolWorker("w2", "r1-1", 8000)
			h.running["w2"] = map[RunID]RunReport{}
			h.d.UpdateWorker(other)
			h.d.MarkPersisted(h.d.FleetIDs())
			h.d.WorkerReported("w2", WorkerReport{Incarnation: 1, Complete: true, Sent: h.nextTime()})
			for range 20 {
				h.advance(200 * time.Millisecond)
				h.tick()
			}
			if got := len(h.started) - before; got != test.want || len(h.stopped) != 0 {
				t.Fatalf("%d tasks were started elsewhere and %d stopped, want %d and 0", got, len(h.stopped), test.want)
			}
			if test.want > 0 {
				return
			}
			h.report("w1")
			h.tick()
			if len(h.started) != before || len(h.stopped) != 0 {
				t.Fatalf("after an answer: %d starts, %d stops", len(h.started)-before, len(h.stopped))
			}
		})
	}
}
