package aqstandin

import (
	"sync"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Truth is the ground truth of a test: it records what actually ran, as the simulated
// workers and endpoints report it. The system under test never reads it.
type Truth struct {
	mu          sync.Mutex
	running     map[aqtype.TaskID]aqtype.WorkerID
	finished    map[aqtype.TaskID]int
	recordLost  map[aqtype.TaskID]bool
	resumptions map[aqtype.CheckpointID]int
	requests    map[string]int
	report      TruthReport
}

// TruthReport holds the counts of a Truth.
type TruthReport struct {
	Starts   int
	Finishes int
	// DistinctFinished counts tasks that finished at least once.
	DistinctFinished int
	// Doubled counts duplicate work: starts of a task that was running or had
	// finished, and repeated resumptions of a checkpoint.
	Doubled int
	// OverCommitted counts starts beyond a worker's capacity.
	OverCommitted int
	// Interrupted counts runs that ended without finishing.
	Interrupted int
	RequestsRun int
	// RequestsDoubled counts repeated executions of a request that must run at most
	// once.
	RequestsDoubled int
}

// NewTruth returns an empty record.
func NewTruth() *Truth {
	return &Truth{
		running:     map[aqtype.TaskID]aqtype.WorkerID{},
		finished:    map[aqtype.TaskID]int{},
		recordLost:  map[aqtype.TaskID]bool{},
		resumptions: map[aqtype.CheckpointID]int{},
		requests:    map[string]int{},
	}
}

// RunEvent is one change of a run on a worker.
type RunEvent struct {
	Kind       RunEventKind
	Worker     aqtype.WorkerID
	Run        aqplatform.RunID
	Checkpoint aqtype.CheckpointID
	// Beyond is set on a start that takes the reservations beyond the worker's
	// capacity.
	Beyond bool
}

// RunEventKind is the kind of a RunEvent.
type RunEventKind int

// The kinds of RunEvent.
const (
	RunStarted RunEventKind = iota + 1
	RunFinished
	RunInterrupted
	// RunRecordLost reports that a worker's host failed permanently and lost its record
	// of a finished run. The task may run again if the owner had not received the
	// report of its end.
	RunRecordLost
)

// Recorder receives the changes of runs on workers and the requests on endpoints.
type Recorder interface {
	RecordRun(e RunEvent)
	RecordRequest(key string)
}

// RecordRun implements Recorder.
func (t *Truth) RecordRun(e RunEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.Kind {
	case RunStarted:
		t.runStarted(e)
	case RunFinished:
		delete(t.running, e.Run.Task)
		t.report.Finishes++
		if t.finished[e.Run.Task] == 0 {
			t.report.DistinctFinished++
		}
		t.finished[e.Run.Task]++
	case RunRecordLost:
		t.recordLost[e.Run.Task] = true
	case RunInterrupted:
		delete(t.running, e.Run.Task)
		t.report.Interrupted++
	}
}

func (t *Truth) runStarted(e RunEvent) {
	t.report.Starts++
	if t.recordLost[e.Run.Task] {
		t.finished[e.Run.Task] = 0
		delete(t.recordLost, e.Run.Task)
	}
	_, alreadyRunning := t.running[e.Run.Task]
	if alreadyRunning || t.finished[e.Run.Task] > 0 {
		t.report.Doubled++
	}
	if e.Beyond {
		t.report.OverCommitted++
	}
	if e.Checkpoint != "" {
		t.resumptions[e.Checkpoint]++
		if t.resumptions[e.Checkpoint] > 1 {
			t.report.Doubled++
		}
	}
	t.running[e.Run.Task] = e.Worker
}

// RecordRequest implements Recorder. The key identifies a request that must run at most
// once; it is empty for a request that may run more than once.
func (t *Truth) RecordRequest(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.RequestsRun++
	if key == "" {
		return
	}
	t.requests[key]++
	if t.requests[key] > 1 {
		t.report.RequestsDoubled++
	}
}

// Report returns the counts so far.
func (t *Truth) Report() TruthReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report
}

// FinishedTasks returns how often each task of a workload finished.
func (t *Truth) FinishedTasks(key aqtype.WorkloadKey) map[aqtype.TaskID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[aqtype.TaskID]int{}
	for task, n := range t.finished {
		if task.Workload == key {
			found[task] = n
		}
	}
	return found
}

// RunningTasks returns how many tasks run now.
func (t *Truth) RunningTasks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}
