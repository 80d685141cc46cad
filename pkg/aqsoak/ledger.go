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
	accepted       bool
	outcomeUnknown bool
	// cancelled is set for a job whose submitter cancels it.
	cancelled bool
}

func (j *job) payload() string { return "payload of " + j.ID }

// alwaysFails reports whether a task of the job can never be done.
func (j *job) alwaysFails() bool {
	for _, g := range j.Groups {
		if g.Work.Fails {
			return true
		}
	}
	return false
}

// taskHistory follows the runs of one task.
type taskHistory struct {
	// runsOn holds the workers that run it now.
	runsOn map[string]int
	// successAcked is set when an end with success was taken note of.
	successAcked bool
	done         bool
	failed       int
	started      bool
}

// Checker follows every run on every worker, and notes what breaks a promise. It
// implements aqfake.Observer.
type Checker struct {
	// maxAttempts is how often a task may fail.
	maxAttempts int
	// capacity is that of each worker in thousandths of a core.
	capacity int64

	mu    sync.Mutex
	jobs  map[string]*job
	tasks map[string]*taskHistory
	used  map[string]int64
	// endCounts counts the runs by how they ended.
	endCounts  map[string]int
	starts     int
	violations []string
	startedAt  time.Time
}

// NewChecker returns an empty ledger.
func NewChecker(attempts int, capacity int64) *Checker {
	return &Checker{
		maxAttempts: attempts,
		capacity:    capacity,
		jobs:        map[string]*job{},
		tasks:       map[string]*taskHistory{},
		used:        map[string]int64{},
		endCounts:   map[string]int{},
		startedAt:   time.Now(),
	}
}

// Violations lists what broke a promise.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Summary says in one line what has run.
func (c *Checker) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d jobs, %d runs, ends %v", len(c.jobs), c.starts, c.endCounts)
}

func (c *Checker) addViolation(format string, values ...any) {
	at := time.Since(c.startedAt).Round(time.Millisecond)
	c.violations = append(c.violations, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, values...))
}

// AddViolation notes a broken promise that a submitter has seen.
func (c *Checker) AddViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, values...)
}

func (c *Checker) add(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID] = j
}

// recordSubmission notes the outcome of one try to hand a job in.
func (c *Checker) recordSubmission(j *job, result aqfake.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.accepted = j.accepted || result == aqfake.OutcomeAccepted
	j.outcomeUnknown = j.outcomeUnknown || result != aqfake.OutcomeRefused
}

func taskName(id string, group, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, group, index) }

// taskNames lists the tasks of a job.
func (j *job) taskNames() []string {
	var names []string
	for number, g := range j.Groups {
		for index := range g.Count {
			names = append(names, taskName(j.ID, number, index))
		}
	}
	return names
}

func (c *Checker) task(name string) *taskHistory {
	t := c.tasks[name]
	if t == nil {
		t = &taskHistory{runsOn: map[string]int{}}
		c.tasks[name] = t
	}
	return t
}

// taskOf finds the job and group of a task's name, false for one that nobody
// submitted.
func (c *Checker) taskOf(name string) (*job, *group, bool) {
	parts := strings.Split(name, ".")
	j := c.jobs[parts[0]]
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
func (c *Checker) Started(worker string, run aqfake.TaskRun, payload, _ string) aqfake.Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	j, g, known := c.taskOf(run.Task)
	if !known {
		c.addViolation("UNASKED: %s starts on %s", run.Task, worker)
		return aqfake.Work{}
	}
	t := c.task(run.Task)
	switch {
	case payload != j.payload():
		c.addViolation("UNASKED: %s starts with payload %q", run.Task, payload)
	case len(t.runsOn) > 0:
		c.addViolation("TWICE: %s attempt %d starts on %s and runs on %v", run.Task, run.Attempt, worker, t.runsOn)
	case t.successAcked:
		c.addViolation("TWICE: %s attempt %d starts on %s after its end was noted", run.Task, run.Attempt, worker)
	case t.failed >= c.maxAttempts && !g.Work.Perpetual:
		c.addViolation("BUDGET: %s starts after %d failures", run.Task, t.failed)
	}
	for _, predecessor := range g.After {
		for index := range j.Groups[predecessor].Count {
			name := taskName(j.ID, predecessor, index)
			if !c.task(name).done {
				c.addViolation("ORDER: %s starts before %s is done", run.Task, name)
			}
		}
	}
	t.started = true
	t.runsOn[worker] = run.Attempt
	c.used[worker] += g.MilliCPU
	if c.used[worker] > c.capacity {
		c.addViolation("LIMIT: %s holds %d of %d on %s", run.Task, c.used[worker], c.capacity, worker)
	}
	return g.Work
}

// Ended implements aqfake.Observer.
func (c *Checker) Ended(worker string, run aqfake.TaskRun, endReason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endCounts[endReason]++
	_, g, known := c.taskOf(run.Task)
	if !known {
		return
	}
	t := c.task(run.Task)
	delete(t.runsOn, worker)
	c.used[worker] -= g.MilliCPU
	t.done = t.done || endReason == "done"
}

// Acknowledged implements aqfake.Observer.
func (c *Checker) Acknowledged(_ string, run aqfake.TaskRun, endReason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(run.Task)
	switch endReason {
	case "done":
		t.successAcked = true
	case "failed":
		t.failed++
	}
}

// CheckFinalState compares a final state that a submitter was shown with what has run.
func (c *Checker) CheckFinalState(j *job, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case "completed":
		for _, name := range j.taskNames() {
			if !c.task(name).done {
				c.addViolation("MIXED: %s is shown as completed and %s is not done", j.ID, name)
			}
		}
	case "failed":
		if !j.alwaysFails() {
			c.addViolation("LOST: %s is shown as failed without cause", j.ID)
		}
	case "cancelled":
		if !j.cancelled {
			c.addViolation("LOST: %s is shown as cancelled and nobody asked for it", j.ID)
		}
	}
}

// CheckIdle looks, after everything has come to rest, for tasks that must not have
// started or must not run any more.
func (c *Checker) CheckIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		for _, name := range j.taskNames() {
			t := c.task(name)
			if t.started && !j.accepted && !j.outcomeUnknown {
				c.addViolation("REFUSED: %s started, and every submission was refused", name)
			}
			if len(t.runsOn) > 0 && j.accepted {
				c.addViolation("UNASKED: %s still runs on %v", name, t.runsOn)
			}
		}
	}
}

// acceptedJobs lists the jobs that were accepted.
func (c *Checker) acceptedJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var jobs []*job
	for _, j := range c.jobs {
		if j.accepted {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	return jobs
}
