package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// Guards against review/4: a perpetual task whose run ended as done while the leader changed was
// done for good, and its job was shown as completed.
func TestPerpetualTaskIsStartedAgainHoweverItEndsDuringTakeover(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*aqjob.Group)
		reason EndReason
	}{
		{name: "done", change: func(*aqjob.Group) {}, reason: EndDone},
		{name: "failed", change: func(*aqjob.Group) {}, reason: EndFailed},
		{name: "lease expired", change: func(*aqjob.Group) {}, reason: EndLeaseExpired},
		{name: "gang done", change: func(g *aqjob.Group) { g.Gang = true }, reason: EndDone},
		{name: "filler done", change: func(g *aqjob.Group) { g.Filler = true }, reason: EndDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, poolWorker("w1", "r1-1", 8000))
			h.d.AwaitReports([]aqtype.WorkerID{"w1"}, h.now.Add(leasesEnd))
			group := tasks(2, 1000)
			group.Perpetual = true
			test.change(&group)
			job := testJob(1, group)
			h.d.AddJob(job, nil, 0, true)
			var ends []EndReport
			for i := range group.Count {
				ends = append(ends, EndReport{
					Number: i + 1,
					Run:    RunID{Task: aqjob.TaskID{Job: job.ID, Index: i}, Attempt: 1},
					Reason: test.reason,
				})
			}
			h.report("w1", ends...)
			h.tick()
			if len(h.started) != group.Count {
				t.Fatalf("%d tasks started again, want %d; the job is %s", len(h.started), group.Count, h.d.jobs[job.ID].state)
			}
			h.report("w1")
			if state, _ := h.d.State(job.ID); state != aqjob.StateRunning {
				t.Fatalf("the job is %s", state)
			}
		})
	}
}

// The end of an earlier attempt does not stop the run that has replaced it.
func TestPerpetualRunContinuesWhenAnEarlierAttemptEndedDone(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	group := tasks(1, 1000)
	group.Perpetual = true
	job := testJob(1, group)
	h.d.AddJob(job, nil, 0, true)
	later := RunID{Task: aqjob.TaskID{Job: job.ID}, Attempt: 2}
	h.running["w1"][later] = RunReport{Run: later}
	h.report("w1")
	h.report("w2", EndReport{Number: 1, Run: laterAttempt(later, -1), Reason: EndDone})
	h.advance(time.Second)
	h.report("w1")
	h.tick()
	if len(h.started)+len(h.stopped) != 0 {
		t.Fatalf("started %v, stopped %v", h.started, h.stopped)
	}
}

// Progress that an earlier version stored may mark perpetual tasks as done.
func TestPerpetualTaskThatIsStoredAsDoneIsStarted(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	group := tasks(2, 1000)
	group.Perpetual = true
	job := testJob(1, group)
	h.d.AddJob(job, &aqjob.Progress{
		State:       aqjob.StateRunning,
		Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{0: {Done: []byte{1}}},
	}, 1, true)
	h.report("w1")
	h.tick()
	if len(h.started) != group.Count {
		t.Fatalf("%d tasks started, want %d", len(h.started), group.Count)
	}
}
