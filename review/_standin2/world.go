// Command standin2 plays the platform, the workers and a submitter for the scripts of
// review/6 to review/10. It starts the site's processes and checks rules by what workers
// and submitters see.
package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a task group as the submitter declares it, with what its tasks do.
type step struct {
	count         int
	milliCPU      int64
	work          time.Duration
	after         []int
	gang          bool
	perpetual     bool
	checkpointing bool
	fails         bool
	// failRate is the share of the attempts that fail.
	failRate float64
}

// job is a submission with the outcomes that its submitter has seen.
type job struct {
	id      string
	spec    string
	steps   []step
	repeats int
	startAt time.Time
	period  time.Duration

	accepted  bool
	uncertain bool
	cancelled bool
	// cancelledAt is when the cancellation was acknowledged.
	cancelledAt time.Time
}

// success is an end with the outcome done.
type success struct {
	worker string
	at     time.Time
	// noted is set once the end has been acknowledged without a lapse of the lease since.
	noted bool
	// startsAfter counts later starts of the task.
	startsAfter int
}

// taskLog is what the workers have seen of one task.
type taskLog struct {
	runsOn    map[string]int
	successes []*success
	// failures are those that have been noted, failed all of them.
	failures int
	failed   int
	starts   int
	crashes  int
	// checkpoints are the values that a run of the task, or of its gang, has reported.
	checkpoints map[string]bool
	lastEnd     time.Time
}

// world holds everything that the stand-ins share. Its lock protects all of it.
type world struct {
	mu         sync.Mutex
	began      time.Time
	out        *os.File
	jobs       map[string]*job
	tasks      map[string]*taskLog
	workers    []*worker
	gangs      map[string]map[*worker]int
	violations []string
	starts     int
	ends       map[string]int
}

func newWorld(record string) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{
		began: time.Now(),
		out:   out,
		jobs:  map[string]*job{},
		tasks: map[string]*taskLog{},
		gangs: map[string]map[*worker]int{},
		ends:  map[string]int{},
	}, nil
}

// note writes a line to the record. The caller holds the lock.
func (w *world) note(format string, values ...any) {
	fmt.Fprintf(w.out, "%9.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.out, format+"\n", values...)
}

func (w *world) log(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, values...)
}

// broken records a violation. The caller holds the lock.
func (w *world) broken(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	w.violations = append(w.violations, fmt.Sprintf("%.3f %s", time.Since(w.began).Seconds(), text))
	w.note("BROKEN %s", text)
}

func (w *world) task(name string) *taskLog {
	t := w.tasks[name]
	if t == nil {
		t = &taskLog{runsOn: map[string]int{}, checkpoints: map[string]bool{"": true}}
		w.tasks[name] = t
	}
	return t
}

func taskName(id string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index)
}

// parseTask returns the parts of a task's name.
func parseTask(name string) (id string, occurrence, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return "", 0, 0, 0, false
		}
		numbers[i] = n
	}
	return parts[0], numbers[0], numbers[1], numbers[2], true
}

// stepOf returns the job and the step of a task.
func (w *world) stepOf(name string) (*job, *step, bool) {
	id, occurrence, number, index, ok := parseTask(name)
	j := w.jobs[id]
	if !ok || j == nil || number >= len(j.steps) || index >= j.steps[number].count || occurrence >= max(1, j.repeats) {
		return nil, nil, false
	}
	return j, &j.steps[number], true
}

// started checks a start. The caller holds the lock.
func (w *world) started(on *worker, name string, attempt int, spec, checkpoint string) *step {
	w.starts++
	j, s, ok := w.stepOf(name)
	if !ok || j.spec != spec {
		w.broken("UNASKED %s attempt %d starts on %s", name, attempt, on.id)
		return &step{work: time.Second}
	}
	id, occurrence, number, _, _ := parseTask(name)
	t := w.task(name)
	t.starts++
	w.note("start %s attempt %d on %s checkpoint %q", name, attempt, on.id, checkpoint)
	for other, a := range t.runsOn {
		w.broken("TWICE %s attempt %d starts on %s while attempt %d runs on %s", name, attempt, on.id, a, other)
	}
	for _, done := range t.successes {
		done.startsAfter++
		if done.noted {
			w.broken("TWICE %s attempt %d starts on %s after its success on %s was noted", name, attempt, on.id, done.worker)
		}
	}
	if !t.checkpoints[checkpoint] {
		w.broken("UNASKED %s attempt %d starts with the foreign checkpoint %q", name, attempt, checkpoint)
	}
	if t.failures >= maxAttempts && !s.perpetual {
		w.broken("BUDGET %s attempt %d starts after %d noted failures", name, attempt, t.failures)
	}
	for _, before := range s.after {
		for i := range j.steps[before].count {
			if len(w.task(taskName(id, occurrence, before, i)).successes) == 0 && !j.steps[before].gang {
				w.broken("ORDER %s starts before step %d is done", name, before)
			}
		}
	}
	if j.repeats > 0 {
		due := j.startAt.Add(time.Duration(occurrence) * j.period)
		if time.Until(due) > earlyLimit {
			w.broken("ORDER %s starts %s early", name, time.Until(due))
		}
	}
	if late := time.Since(j.cancelledAt); !j.cancelledAt.IsZero() && late > cancelLimit {
		w.broken("UNASKED %s attempt %d starts on %s %s after the cancellation", name, attempt, on.id, late)
	}
	_ = number
	t.runsOn[on.id] = attempt
	return s
}

// acknowledged notes an acknowledged end. The caller holds the lock.
func (w *world) acknowledged(on *worker, e *end) {
	t := w.task(e.task)
	if e.lapses != on.lapses {
		return
	}
	switch e.how {
	case "done":
		e.success.noted = true
		if e.success.startsAfter > 0 {
			w.broken("TWICE %s was started again after its success on %s, which has been noted since", e.task, on.id)
		}
	case "failed":
		t.failures++
	}
}

// anyBroken reports whether a rule has been broken.
func (w *world) anyBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.violations) > 0
}

// summary returns the counts of starts and ends.
func (w *world) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kinds []string
	for how, n := range w.ends {
		kinds = append(kinds, fmt.Sprintf("%s %d", how, n))
	}
	sort.Strings(kinds)
	return fmt.Sprintf("%d jobs, %d starts, ends: %s", len(w.jobs), w.starts, strings.Join(kinds, ", "))
}
