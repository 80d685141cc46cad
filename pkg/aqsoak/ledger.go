package aqsoak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciaquay/platform/aqfake"
)

// group is a set of equal tasks of a soak's job.
type group struct {
	Count    int
	MilliCPU int64
	Work     aqfake.Work
	After    []int
}

// job is a job of a soak with what its submitter knows of it.
type job struct {
	ID     string
	Groups []group
	// accepted is set once an answer said so, doubtful once a submission had no
	// clear answer. A job that is neither must never run.
	accepted bool
	doubtful bool
	// cancelled is set for a job whose submitter cancels it.
	cancelled bool
}

func (j *job) payload() string { return "payload of " + j.ID }

// poisoned reports whether a task of the job can never be done.
func (j *job) poisoned() bool {
	for _, g := range j.Groups {
		if g.Work.Fails {
			return true
		}
	}
	return false
}

// taskLedger follows the runs of one task.
type taskLedger struct {
	// where holds the workers that run it now.
	where map[string]int
	// noted is set when an end with success was taken note of.
	noted   bool
	done    bool
	failed  int
	started bool
}

// Ledger follows every run on every worker, and notes what breaks a promise. It
// implements aqfake.Observer.
type Ledger struct {
	// attempts is how often a task may fail.
	attempts int
	// capacity is that of each worker in thousandths of a core.
	capacity int64

	mu    sync.Mutex
	jobs  map[string]*job
	tasks map[string]*taskLedger
	used  map[string]int64
	// ended counts the runs by how they ended.
	ended  map[string]int
	starts int
	broken []string
	begun  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(attempts int, capacity int64) *Ledger {
	return &Ledger{
		attempts: attempts,
		capacity: capacity,
		jobs:     map[string]*job{},
		tasks:    map[string]*taskLedger{},
		used:     map[string]int64{},
		ended:    map[string]int{},
		begun:    time.Now(),
	}
}

// Broken lists what broke a promise.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Summary says in one line what has run.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d jobs, %d runs, ends %v", len(l.jobs), l.starts, l.ended)
}

func (l *Ledger) breaks(format string, values ...any) {
	at := time.Since(l.begun).Round(time.Millisecond)
	l.broken = append(l.broken, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, values...))
}

// Breaks notes a broken promise that a submitter has seen.
func (l *Ledger) Breaks(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(format, values...)
}

func (l *Ledger) add(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.ID] = j
}

// submitted notes the outcome of one try to hand a job in.
func (l *Ledger) submitted(j *job, result aqfake.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.accepted = j.accepted || result == aqfake.OutcomeAccepted
	j.doubtful = j.doubtful || result != aqfake.OutcomeRefused
}

func taskName(id string, group, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, group, index) }

// names lists the tasks of a job.
func (j *job) names() []string {
	var names []string
	for number, g := range j.Groups {
		for index := range g.Count {
			names = append(names, taskName(j.ID, number, index))
		}
	}
	return names
}

func (l *Ledger) task(name string) *taskLedger {
	t := l.tasks[name]
	if t == nil {
		t = &taskLedger{where: map[string]int{}}
		l.tasks[name] = t
	}
	return t
}

// taskOf finds the job and group of a task's name, false for one that nobody
// submitted.
func (l *Ledger) taskOf(name string) (*job, *group, bool) {
	parts := strings.Split(name, ".")
	j := l.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, nil, false
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number >= len(j.Groups) {
		return nil, nil, false
	}
	return j, &j.Groups[number], true
}

// Started implements aqfake.Observer.
func (l *Ledger) Started(worker string, run aqfake.TaskRun, payload, _ string) aqfake.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	j, g, known := l.taskOf(run.Task)
	if !known {
		l.breaks("UNASKED: %s starts on %s", run.Task, worker)
		return aqfake.Work{}
	}
	t := l.task(run.Task)
	switch {
	case payload != j.payload():
		l.breaks("UNASKED: %s starts with payload %q", run.Task, payload)
	case len(t.where) > 0:
		l.breaks("TWICE: %s attempt %d starts on %s and runs on %v", run.Task, run.Attempt, worker, t.where)
	case t.noted:
		l.breaks("TWICE: %s attempt %d starts on %s after its end was noted", run.Task, run.Attempt, worker)
	case t.failed >= l.attempts && !g.Work.Perpetual:
		l.breaks("BUDGET: %s starts after %d failures", run.Task, t.failed)
	}
	for _, before := range g.After {
		for index := range j.Groups[before].Count {
			name := taskName(j.ID, before, index)
			if !l.task(name).done {
				l.breaks("ORDER: %s starts before %s is done", run.Task, name)
			}
		}
	}
	t.started = true
	t.where[worker] = run.Attempt
	l.used[worker] += g.MilliCPU
	if l.used[worker] > l.capacity {
		l.breaks("LIMIT: %s holds %d of %d on %s", run.Task, l.used[worker], l.capacity, worker)
	}
	return g.Work
}

// Ended implements aqfake.Observer.
func (l *Ledger) Ended(worker string, run aqfake.TaskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[how]++
	_, g, known := l.taskOf(run.Task)
	if !known {
		return
	}
	t := l.task(run.Task)
	delete(t.where, worker)
	l.used[worker] -= g.MilliCPU
	t.done = t.done || how == "done"
}

// Acknowledged implements aqfake.Observer.
func (l *Ledger) Acknowledged(_ string, run aqfake.TaskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(run.Task)
	switch how {
	case "done":
		t.noted = true
	case "failed":
		t.failed++
	}
}

// Check compares a final state that a submitter was shown with what has run.
func (l *Ledger) Check(j *job, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case "completed":
		for _, name := range j.names() {
			if !l.task(name).done {
				l.breaks("MIXED: %s is shown as completed and %s is not done", j.ID, name)
			}
		}
	case "failed":
		if !j.poisoned() {
			l.breaks("LOST: %s is shown as failed without cause", j.ID)
		}
	case "cancelled":
		if !j.cancelled {
			l.breaks("LOST: %s is shown as cancelled and nobody asked for it", j.ID)
		}
	}
}

// CheckEnd looks, after everything has come to rest, for tasks that must not have
// started or must not run any more.
func (l *Ledger) CheckEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		for _, name := range j.names() {
			t := l.task(name)
			if t.started && !j.accepted && !j.doubtful {
				l.breaks("REFUSED: %s started, and every submission was refused", name)
			}
			if len(t.where) > 0 && j.accepted {
				l.breaks("UNASKED: %s still runs on %v", name, t.where)
			}
		}
	}
}

// acceptedJobs lists the jobs that were accepted.
func (l *Ledger) acceptedJobs() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []*job
	for _, j := range l.jobs {
		if j.accepted {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	return jobs
}
