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
	// Speculative groups may have two runs of a task.
	Speculative bool
}

// job is a job of a soak with the outcomes that its submitter has seen.
type job struct {
	ID     string
	Groups []group
	// accepted is set once an answer has confirmed a submission.
	accepted bool
	// outcomeUnknown is set once a submission may have been accepted because its
	// result was anything but a refusal. A job with neither flag must never run.
	outcomeUnknown bool
	// toCancel is set for a job that its submitter cancels if it is accepted.
	toCancel bool
}

func (j *job) payload() string { return "payload of " + j.ID }

// alwaysFails reports whether the job has tasks that fail on every attempt.
func (j *job) alwaysFails() bool {
	for _, g := range j.Groups {
		if g.Work.Fails || g.Work.CrashesWorker {
			return true
		}
	}
	return false
}

// taskHistory records the runs of one task.
type taskHistory struct {
	// runsOn maps the workers that run the task now to the attempt.
	runsOn map[string]int
	// successAcked is set once the scheduler has acknowledged a successful end, at successAckedAt for the first
	// time.
	successAcked   bool
	successAckedAt time.Time
	done           bool
	failed         int
	// crashes counts the workers that have crashed under the task, startsAfterCrashes its
	// starts after maxCrashes of them.
	crashes            int
	startsAfterCrashes int
	started            bool
}

// Checker records every run on every worker and the violations of the guarantees.
// It implements aqfake.Observer.
type Checker struct {
	// maxAttempts is the maximum number of failures of a task.
	maxAttempts int
	// workerMilliCPU is the initial capacity of each worker.
	workerMilliCPU int64

	mu    sync.Mutex
	jobs  map[string]*job
	tasks map[string]*taskHistory
	// reservedMilliCPU maps each worker to the sum of its runs' reservations.
	reservedMilliCPU map[string]int64
	// capacities maps the workers whose capacity has changed to the changes.
	capacities map[string]*capacity
	// endCounts counts the ended runs by the reason of the end.
	endCounts map[string]int
	starts    int
	// copies counts the starts beside another run of the same task.
	copies     int
	transit    transitCounts
	zoneChecks zoneChecks
	// cancelChecks is used in every soak.
	cancelChecks cancelChecks
	violations   []string
	startedAt    time.Time
}

// NewChecker returns a checker without recorded runs.
func NewChecker(maxAttempts int, workerMilliCPU int64) *Checker {
	return &Checker{
		maxAttempts:      maxAttempts,
		workerMilliCPU:   workerMilliCPU,
		jobs:             map[string]*job{},
		tasks:            map[string]*taskHistory{},
		reservedMilliCPU: map[string]int64{},
		capacities:       map[string]*capacity{},
		zoneChecks:       newZoneChecks(),
		cancelChecks:     cancelChecks{ackedAt: map[string]time.Time{}},
		endCounts:        map[string]int{},
		startedAt:        time.Now(),
	}
}

// Violations returns the violations so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Summary returns one line with the numbers of jobs, runs and ends.
func (c *Checker) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("%d jobs, %d runs, ends %v", len(c.jobs), c.starts, c.endCounts)
	if c.copies > 0 {
		summary += fmt.Sprintf(", %d copies", c.copies)
	}
	if c.transit != (transitCounts{}) {
		summary += ", " + c.transit.String()
	}
	if len(c.cancelChecks.ackedAt) > 0 {
		summary += ", " + c.cancelChecks.String()
	}
	if c.zoneChecks.evacuations > 0 {
		summary += ", " + c.zoneChecks.String()
	}
	return summary
}

func (c *Checker) addViolation(format string, values ...any) {
	at := time.Since(c.startedAt).Round(time.Millisecond)
	c.violations = append(c.violations, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, values...))
}

// AddViolation records a violation that was seen outside the workers.
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

// recordSubmission records the outcome of one try to submit a job.
func (c *Checker) recordSubmission(j *job, result aqfake.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.accepted = j.accepted || result == aqfake.OutcomeAccepted
	j.outcomeUnknown = j.outcomeUnknown || result != aqfake.OutcomeRefused
}

func taskName(id string, group, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, group, index) }

// taskNames returns the names of the job's tasks.
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

// taskOf returns the job, the group and the index of a task, and false for a task of a job that
// was never submitted.
func (c *Checker) taskOf(name string) (j *job, g *group, index int, known bool) {
	parts := strings.Split(name, ".")
	j = c.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, nil, 0, false
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number >= len(j.Groups) {
		return nil, nil, 0, false
	}
	index, err = strconv.Atoi(parts[3])
	return j, &j.Groups[number], index, err == nil
}

// Started implements aqfake.Observer.
func (c *Checker) Started(worker string, run aqfake.TaskRun, payload, _ string) aqfake.Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	j, g, index, known := c.taskOf(run.Task)
	if !known {
		c.addViolation("UNASKED: %s starts on %s", run.Task, worker)
		return aqfake.Work{}
	}
	t := c.task(run.Task)
	switch {
	case payload != j.payload():
		c.addViolation("UNASKED: %s starts with payload %q", run.Task, payload)
	case !t.mayRunBeside(worker, g.Speculative):
		c.addViolation("TWICE: %s attempt %d starts on %s and runs on %v", run.Task, run.Attempt, worker, t.runsOn)
	case t.successAcked && (!g.Speculative || time.Since(t.successAckedAt) > maxOrderDelay):
		c.addViolation("TWICE: %s attempt %d starts on %s after its success was acknowledged", run.Task, run.Attempt, worker)
	case t.failed >= c.maxAttempts && !g.Work.Perpetual:
		c.addViolation("BUDGET: %s starts after %d failures", run.Task, t.failed)
	}
	if g.Work.CrashesWorker && t.crashes >= maxCrashes {
		if t.startsAfterCrashes++; t.startsAfterCrashes >= maxStartsAfterCrashes {
			c.addViolation("BUDGET: %s starts %d times after %d crashes", run.Task, t.startsAfterCrashes, maxCrashes)
		}
	}
	for _, predecessor := range g.After {
		for index := range j.Groups[predecessor].Count {
			name := taskName(j.ID, predecessor, index)
			if !c.task(name).done {
				c.addViolation("ORDER: %s starts before %s is done", run.Task, name)
			}
		}
	}
	c.checkZone(worker, run)
	c.checkCancelled(j, worker, run)
	first := !t.started
	t.started = true
	if len(t.runsOn) > 0 {
		c.copies++
	}
	t.runsOn[worker] = run.Attempt
	c.reservedMilliCPU[worker] += g.MilliCPU
	if allowed := c.allowedMilliCPU(worker); c.reservedMilliCPU[worker] > allowed {
		c.addViolation("LIMIT: %s raises the reservations to %d of %d on %s", run.Task, c.reservedMilliCPU[worker], allowed, worker)
	}
	return g.work(index, first)
}

// maxOrderDelay is how long an order may be on its way that a process has sent. The start of a copy may arrive after
// the success of the other run.
const maxOrderDelay = 13 * time.Second

// mayRunBeside reports whether a task may be started on a worker beside its present runs: one run of a speculative task
// on another worker.
func (t *taskHistory) mayRunBeside(worker string, speculative bool) bool {
	if len(t.runsOn) == 0 {
		return true
	}
	_, same := t.runsOn[worker]
	return speculative && len(t.runsOn) == 1 && !same
}

// Ended implements aqfake.Observer.
func (c *Checker) Ended(worker string, run aqfake.TaskRun, endReason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endCounts[endReason]++
	_, g, _, known := c.taskOf(run.Task)
	if !known {
		return
	}
	t := c.task(run.Task)
	delete(t.runsOn, worker)
	c.reservedMilliCPU[worker] -= g.MilliCPU
	t.done = t.done || endReason == "done"
	if endReason == "crashed" {
		t.crashes++
	}
}

// Acknowledged implements aqfake.Observer.
func (c *Checker) Acknowledged(_ string, run aqfake.TaskRun, endReason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(run.Task)
	switch endReason {
	case "done":
		if !t.successAcked {
			t.successAckedAt = time.Now()
		}
		t.successAcked = true
	case "failed":
		t.failed++
	}
}

// CheckFinalState compares the final state that a submitter received with the
// recorded runs.
func (c *Checker) CheckFinalState(j *job, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case "completed":
		for _, name := range j.taskNames() {
			if !c.task(name).done {
				c.addViolation("MIXED: %s is reported as completed, but %s is not done", j.ID, name)
			}
		}
	case "failed":
		if !j.alwaysFails() {
			c.addViolation("LOST: %s is reported as failed, but none of its tasks has to fail", j.ID)
		}
	case "cancelled":
		if !j.toCancel {
			c.addViolation("LOST: %s is reported as cancelled, but its submitter does not cancel it", j.ID)
		}
	}
}

// CheckIdle reports tasks that should not have started and tasks that still run. It is
// called when all work is expected to have ended.
func (c *Checker) CheckIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		for _, name := range j.taskNames() {
			t := c.task(name)
			if t.started && !j.accepted && !j.outcomeUnknown {
				c.addViolation("REFUSED: %s started, but every submission was refused", name)
			}
			if len(t.runsOn) > 0 && j.accepted {
				c.addViolation("UNASKED: %s still runs on %v", name, t.runsOn)
			}
		}
	}
}

// acceptedJobs returns the accepted jobs, sorted by id.
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
