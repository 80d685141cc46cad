package aqdecider

import (
	"testing"
	"time"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// startTrial starts the isolated run of isolationHarness on w1 and answers with an outcome.
func (h *harness) startTrial(outcome Outcome) Start {
	h.t.Helper()
	h.tick()
	h.storeAll()
	for _, o := range h.d.Tick() {
		if order, ok := o.(Start); ok {
			h.started = append(h.started, order)
			h.d.StartAnswered(order.Worker, 1, order.Run, outcome, h.nextTime())
		}
	}
	if len(h.started) != 1 || h.started[0].Worker != "w1" {
		h.t.Fatalf("started %v, want one start on w1", h.started)
	}
	return h.started[0]
}

// Guards against BUDGET: a crashing task was started again, and counted as started, for each
// start without an answer.
func TestSuspectIsNotStartedAgainForALostAnswer(t *testing.T) {
	h := isolationHarness(t, 2)
	start := h.startTrial(OutcomeUnknown)
	h.running["w1"][start.Run] = RunReport{Run: start.Run}
	for range 5 {
		h.advance(200 * time.Millisecond)
		h.report("w1")
		h.report("w2")
		h.tick()
	}
	if len(h.started) != 1 || len(h.stopped) != 0 {
		t.Fatalf("%d starts and %d stops of a run that its worker reports", len(h.started), len(h.stopped))
	}
	if run := h.d.task(start.Run.Task).run; run == nil || run.state != runRunning {
		t.Fatal("the run that the worker reports is not adopted")
	}
}

// Guards against a suspected task that is left waiting since its start never arrived.
func TestSuspectWhoseStartIsLostIsStartedAgain(t *testing.T) {
	h := isolationHarness(t, 2)
	start := h.startTrial(OutcomeUnknown)
	for range 5 {
		h.advance(200 * time.Millisecond)
		h.report("w1")
		h.report("w2")
		h.tick()
	}
	if len(h.stopped) != 1 || h.stopped[0].Run != start.Run {
		t.Fatalf("stopped %v, want %v", h.stopped, start.Run)
	}
	h.d.StopAnswered("w1", 1, start.Run, h.nextTime())
	h.report("w1")
	h.tick()
	h.storeAll()
	h.tick()
	if len(h.started) != 2 {
		t.Fatalf("%d starts, want 2", len(h.started))
	}
}

// Guards against LOST: a trial was started on a worker that had crashed and was not missed yet,
// and its crash convicted the task.
func TestTrialPrefersTheWorkerThatReportedLast(t *testing.T) {
	h := isolationHarness(t, 3)
	h.advance(200 * time.Millisecond)
	h.report("w2")
	h.tick()
	if got := h.d.task(aqjob.TaskID{Job: testJob(1).ID}).trialWorker.info.ID; got != "w2" {
		t.Fatalf("the trial is reserved on %s, want w2", got)
	}
}

// Guards against BUDGET: a crash just after the end of a trial convicted nobody.
func TestCrashJustAfterATrialIsIsolated(t *testing.T) {
	for _, test := range []struct {
		name   string
		beside bool
	}{
		{name: "alone"},
		{name: "beside a run that has just started", beside: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := isolationHarness(t, 1)
			h.tick()
			h.storeAll()
			h.tick()
			h.advance(600 * time.Millisecond)
			h.report("w1")
			if test.beside {
				h.d.AddJob(testJob(2, tasks(1, 1000)), nil, 0, false)
			}
			h.tick()
			h.advance(100 * time.Millisecond)
			h.d.WorkerUnresponsive("w1")
			crashes := h.d.task(h.started[0].Run.Task).history.Crashes
			if last := crashes[len(crashes)-1]; len(crashes) != 3 || last.Isolated == test.beside {
				t.Fatalf("crashes %+v", crashes)
			}
		})
	}
}

// Guards against BUDGET: a leader that was slow or paused took the time until it handled a report
// for the age of the run, and cleared a task that crashes its workers.
func TestReportHandledLateDoesNotClearASuspect(t *testing.T) {
	h := isolationHarness(t, 1)
	h.report("w1")
	made := h.now
	start := h.startTrial(OutcomeAccepted)
	h.advance(11 * time.Second)
	report := WorkerReport{
		Incarnation: 1,
		Complete:    true,
		Sent:        h.nextTime(),
		Clock:       time.Duration(made.Add(300 * time.Millisecond).UnixNano()),
		Running:     []RunReport{{Run: start.Run}},
	}
	h.d.WorkerReported("w1", report)
	if suspect := h.d.task(start.Run.Task); len(suspect.history.Crashes) != 2 || suspect.trialWorker == nil {
		t.Fatalf("a report made 0.3 s after the start leaves %+v", suspect.history)
	}
	report.Clock += 11 * time.Second
	report.Sent = h.nextTime()
	h.d.WorkerReported("w1", report)
	if suspect := h.d.task(start.Run.Task); len(suspect.history.Crashes) != 0 {
		t.Fatalf("a report made 11.3 s after the start leaves %+v", suspect.history)
	}
}

// suspectOfEarlierTerm has job 1, whose only task was on trial on w1 in the term of an earlier
// leader, and waits until w2 has reported or its lease has expired.
func suspectOfEarlierTerm(t *testing.T) (*harness, *task) {
	t.Helper()
	h := newHarness(t)
	h.d.AwaitReports([]aqtype.WorkerID{"w1", "w2"}, h.now.Add(3*time.Second))
	trial := aqcrash.Instance{Worker: "w1", Incarnation: 1}
	progress := aqjob.Progress{
		State: aqjob.StateRunning,
		Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{
			0: {
				Crashes: map[int]*aqcrash.History{
					0: {
						Crashes: []aqcrash.Crash{
							{Instance: aqcrash.Instance{Worker: "gone1", Incarnation: 1}},
							{Instance: aqcrash.Instance{Worker: "gone2", Incarnation: 1}},
						},
						Trial: &trial,
					},
				},
			},
		},
	}
	h.d.AddJob(testJob(1, tasks(1, 1000)), &progress, 1, true)
	return h, h.d.task(aqjob.TaskID{Job: testJob(1).ID})
}

// loseLater lets w1 crash after a time, and w2 never answer.
func (h *harness) loseLater() {
	h.tick()
	h.advance(2 * time.Second)
	h.d.WorkerUnresponsive("w1")
	h.advance(2 * time.Second)
	h.d.LeaseExpired("w1")
	h.addWorker("w3")
	h.tick()
}

// Guards against LOST: a trial counted as a crash, and convicted, though its worker had
// reported without the run and crashed for another reason later.
func TestTrialThatNeverStartedIsNoCrash(t *testing.T) {
	h, suspect := suspectOfEarlierTerm(t)
	h.addWorker("w1")
	h.loseLater()
	if len(suspect.history.Crashes) != 2 || suspect.group.occurrence.job.state.Final() {
		t.Fatalf("crashes %+v, job %s", suspect.history.Crashes, suspect.group.occurrence.job.state)
	}
}

// A trial on a worker that has not reported since counts as a crash.
func TestTrialOnAWorkerThatNeverReportsIsACrash(t *testing.T) {
	h, suspect := suspectOfEarlierTerm(t)
	h.loseLater()
	if len(suspect.history.Crashes) != 3 || !suspect.history.Crashes[2].Isolated {
		t.Fatalf("crashes %+v", suspect.history.Crashes)
	}
}

// Guards against LOST: a trial that never started counted as a crash in isolation, though the
// agent of its worker knew of no run there.
func TestTrialThatNoAgentKnowsOfDoesNotConvict(t *testing.T) {
	h, suspect := suspectOfEarlierTerm(t)
	h.d.NoteEarlierRuns(EarlierRuns{
		Worker:      "w1",
		Incarnation: 1,
	})
	h.loseLater()
	crashes := suspect.history.Crashes
	if len(crashes) != 3 || crashes[2].Isolated || suspect.group.occurrence.job.state.Final() {
		t.Fatalf("crashes %+v, job %s", crashes, suspect.group.occurrence.job.state)
	}
}

// Guards against LOST: a run of an earlier term counted as lost with a worker that had reported
// without it and crashed for another reason later.
func TestEarlierRunThatAWorkerDoesNotReportIsNoCrash(t *testing.T) {
	h, suspect := suspectOfEarlierTerm(t)
	suspect.history.Trial = nil
	h.d.NoteEarlierRuns(EarlierRuns{
		Worker:      "w1",
		Incarnation: 1,
		Runs:        []EarlierRun{{Run: RunID{Task: suspect.id(), Attempt: 3}}},
	})
	h.addWorker("w1")
	h.loseLater()
	if len(suspect.history.Crashes) != 2 {
		t.Fatalf("crashes %+v", suspect.history.Crashes)
	}
}
