// Package aqjob describes batch jobs and long-running work as submitters declare
// them: a graph of task groups that runs once or periodically.
package aqjob

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// ID identifies a job. Its submitter chooses it.
type ID string

// QueueID names the queue that a job is submitted to.
type QueueID string

// ServiceID names a pool of workers.
type ServiceID string

// Occurrence numbers the executions of a recurring job from zero.
type Occurrence int

// TaskID identifies one task of one occurrence.
type TaskID struct {
	Job        ID
	Occurrence Occurrence
	Group      int
	Index      int
}

// String formats the id as job.occurrence.group.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Group, t.Index)
}

// taskIDParts is the number of dot-separated parts of a task id.
const taskIDParts = 4

// ParseTaskID parses the result of String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskIDParts {
		return TaskID{}, errors.Errorf("%q is not a task: want job.occurrence.group.index", name)
	}
	var numbers [taskIDParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, errors.Errorf("%q is not a task: %q is not a number", name, part)
		}
		numbers[i] = n
	}
	return TaskID{
		Job:        ID(parts[0]),
		Occurrence: Occurrence(numbers[0]),
		Group:      numbers[1],
		Index:      numbers[2],
	}, nil
}

// Group is a set of identical tasks.
type Group struct {
	Count int
	// Size is what each task reserves.
	Size aqtype.Resources
	// Estimate is the submitter's estimate of a task's run time. It may be far off.
	Estimate time.Duration `msgpack:",omitempty"`
	// After lists earlier groups of the job. All their tasks must be done before a
	// task of this group starts.
	After []int `msgpack:",omitempty"`
	// Checkpointing tasks save their progress and resume from it.
	Checkpointing bool `msgpack:",omitempty"`
	// Gang tasks run all at the same time or not at all, and end together.
	Gang bool `msgpack:",omitempty"`
	// SameRack gangs run slower when spread over several racks.
	SameRack bool `msgpack:",omitempty"`
	// Constraint is a label that the worker must have; empty allows any.
	Constraint string `msgpack:",omitempty"`
	// Affinity is the rack that holds the data; empty means none.
	Affinity string `msgpack:",omitempty"`
	// AntiAffinity limits the group's tasks on one worker; zero means no limit.
	AntiAffinity int `msgpack:",omitempty"`
	// Speculative tasks may run as several copies, of which the first to end
	// counts.
	Speculative bool `msgpack:",omitempty"`
	// Perpetual tasks run until the job is cancelled.
	Perpetual bool `msgpack:",omitempty"`
	// Image names the program of the tasks. Tasks of one image behave alike.
	Image string `msgpack:",omitempty"`
	// TailTarget is the maximum tail latency that the task's own users should see;
	// zero for tasks that serve no requests.
	TailTarget time.Duration `msgpack:",omitempty"`
	// Filler tasks use processors that other tasks leave idle. The processors in
	// their Size are not reserved.
	Filler bool `msgpack:",omitempty"`
	// DisruptionBudget limits how many tasks of a perpetual group may be
	// unavailable when the scheduler moves one; zero counts as one.
	DisruptionBudget int `msgpack:",omitempty"`
}

// Reserved returns what one task reserves of its worker's capacity.
func (g Group) Reserved() aqtype.Resources {
	size := g.Size
	if g.Filler {
		size.MilliCPU = 0
	}
	return size
}

// Queue holds the settings of a queue.
type Queue struct {
	ID      QueueID
	Service ServiceID
	// Priority zero is the most urgent.
	Priority    int
	MaxAttempts int
	// Stretch and Target set the latency objective of a job: Stretch times its
	// critical path, plus Target, after an occurrence is due. For perpetual tasks it
	// is Target alone.
	Stretch float64
	Target  time.Duration
	// Advised queues run a group only on workers that the advice service permits.
	Advised bool `msgpack:",omitempty"`
	// AdviceBase and AdvicePerWorker are how long an advice call takes: a fixed
	// part, and a part for each worker.
	AdviceBase      time.Duration `msgpack:",omitempty"`
	AdvicePerWorker time.Duration `msgpack:",omitempty"`
}

// Job is one accepted submission.
type Job struct {
	ID    ID
	Queue Queue
	// Payload is passed to the workers unchanged and is not interpreted.
	Payload string
	Groups  []Group
	// Repeats is the number of occurrences of a recurring job, zero for a job that
	// runs once, immediately.
	Repeats int `msgpack:",omitempty"`
	// FirstAt is the wall-clock time of the first occurrence in milliseconds since
	// 1970.
	FirstAt int64 `msgpack:",omitempty"`
	// Period is the time between two occurrences.
	Period time.Duration `msgpack:",omitempty"`
	// AcceptedBy is the peer address of the process that accepted the job. It keeps the
	// payload for a while.
	AcceptedBy string `msgpack:",omitempty"`
	// Closed marks the remainder of a job that has ended: only ID and the id of its queue
	// are set. It keeps a repeated submission from storing the job again.
	Closed bool `msgpack:",omitempty"`
	// Rejected is set with Closed if the job was never accepted. Such a mark keeps delayed writes of earlier
	// attempts out, and gives way to a later attempt.
	Rejected bool `msgpack:",omitempty"`
	// AcceptedAt is the wall-clock time of acceptance in milliseconds since
	// 1970, by the clock of the host that accepted it.
	AcceptedAt int64
}

// Remainder returns what is kept of a job that has ended.
func (j *Job) Remainder() *Job {
	return &Job{
		ID:     j.ID,
		Queue:  Queue{ID: j.Queue.ID},
		Closed: true,
	}
}

// Occurrences returns how often the groups run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// CriticalPath returns the longest path through the graph by estimated run time.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Groups))
	var longest time.Duration
	for i, g := range j.Groups {
		var begin time.Duration
		for _, before := range g.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + g.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// PathAfter returns the longest path by estimated run time through the groups that depend on one, with a time for the
// step to each of them.
func (j *Job) PathAfter(group int, step time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Groups))
	depends := make([]bool, len(j.Groups))
	var longest time.Duration
	for i, g := range j.Groups {
		for _, before := range g.After {
			if before == group || depends[before] {
				depends[i] = true
				ends[i] = max(ends[i], ends[before]+step+g.Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Limits of one job.
const (
	// MaxGroups is the maximum number of task groups.
	MaxGroups       = 64
	maxPayloadBytes = 4000
	maxTasks        = 10000
	maxRepeats      = 100000
	idDigits        = 16
)

// Validate checks a job before it is stored. The error names the invalid part.
func (j *Job) Validate() error {
	if err := validateID(j.ID); err != nil {
		return err
	}
	if j.Closed {
		return nil
	}
	switch {
	case len(j.Payload) > maxPayloadBytes:
		return errors.Errorf("payload is longer than %d bytes", maxPayloadBytes)
	case len(j.Groups) == 0 || len(j.Groups) > MaxGroups:
		return errors.Errorf("number of task groups must be from 1 to %d", MaxGroups)
	case j.Repeats < 0 || j.Repeats > maxRepeats:
		return errors.Errorf("number of occurrences must be from 0 to %d", maxRepeats)
	case j.Repeats > 1 && j.Period <= 0:
		return errors.New("a recurring job needs a period above zero")
	}
	total := 0
	for i, g := range j.Groups {
		if err := g.validate(i); err != nil {
			return errors.WithMessagef(err, "task group %d", i)
		}
		total += g.Count
	}
	if total > maxTasks {
		return errors.Errorf("the job has %d tasks: at most %d", total, maxTasks)
	}
	return nil
}

func (g Group) validate(position int) error {
	switch {
	case g.Count < 1:
		return errors.New("count must be above zero")
	case g.Size.MilliCPU < 0 || g.Size.Memory < 0 || g.Size.Accelerators < 0:
		return errors.New("a size is below zero")
	case g.Estimate < 0 || g.TailTarget < 0 || g.AntiAffinity < 0 || g.DisruptionBudget < 0:
		return errors.New("a bound is below zero")
	}
	for _, before := range g.After {
		if before < 0 || before >= position {
			return errors.Errorf("depends on group %d, which is not an earlier one", before)
		}
	}
	return nil
}

func validateID(id ID) error {
	if len(id) != idDigits {
		return errors.Errorf("job id %q: want %d hexadecimal digits", id, idDigits)
	}
	for _, c := range string(id) {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return errors.Errorf("job id %q: want %d hexadecimal digits", id, idDigits)
		}
	}
	return nil
}
