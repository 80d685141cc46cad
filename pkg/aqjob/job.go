// Package aqjob describes batch and standing work as its submitters declare
// it: a graph of task groups, run once or at set times.
package aqjob

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// ID names a job. Its submitter chooses it.
type ID string

// QueueID names the queue that a job was handed to.
type QueueID string

// ServiceID names a pool of workers.
type ServiceID string

// Occurrence counts the runs of a recurring job from zero.
type Occurrence int

// TaskID names one task of one occurrence.
type TaskID struct {
	Job        ID
	Occurrence Occurrence
	Group      int
	Index      int
}

// String renders the id as job.occurrence.group.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Group, t.Index)
}

// taskIDParts is the number of dot-separated parts of a task's name.
const taskIDParts = 4

// ParseTaskID is the inverse of String.
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

// Group is a set of equal tasks.
type Group struct {
	Count int
	// Size is what each task reserves.
	Size aqtype.Resources
	// Estimate is the submitter's guess of a task's run time and may be far off.
	Estimate time.Duration `msgpack:",omitempty"`
	// After lists earlier groups of the job whose tasks must all be done first.
	After []int `msgpack:",omitempty"`
	// Checkpointing tasks save their progress and resume from it.
	Checkpointing bool `msgpack:",omitempty"`
	// Gang tasks run only all together, and end together.
	Gang bool `msgpack:",omitempty"`
	// SameRack gangs slow down when they are spread over racks.
	SameRack bool `msgpack:",omitempty"`
	// Constraint is a label that the worker must have; empty allows any.
	Constraint string `msgpack:",omitempty"`
	// Affinity is the rack that holds the data; empty means none.
	Affinity string `msgpack:",omitempty"`
	// AntiAffinity bounds the group's tasks on one worker; zero means no bound.
	AntiAffinity int `msgpack:",omitempty"`
	// Speculative tasks may have several copies; the first end counts.
	Speculative bool `msgpack:",omitempty"`
	// Perpetual tasks run until the job is cancelled.
	Perpetual bool `msgpack:",omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `msgpack:",omitempty"`
	// TailTarget bounds the tail latency that the task's own users see; zero
	// means that it serves nobody.
	TailTarget time.Duration `msgpack:",omitempty"`
	// Filler tasks use what processors the others leave idle; their Size's
	// processors are not reserved.
	Filler bool `msgpack:",omitempty"`
	// DisruptionBudget is how many tasks may be away by our doing at one time.
	DisruptionBudget int `msgpack:",omitempty"`
}

// Reserved is what one task takes from its worker's capacity.
func (g Group) Reserved() aqtype.Resources {
	size := g.Size
	if g.Filler {
		size.MilliCPU = 0
	}
	return size
}

// Queue is what the configuration says of a queue.
type Queue struct {
	ID      QueueID
	Service ServiceID
	// Priority zero is the most urgent.
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of work, and Target on top, is the
	// job's latency objective.
	Stretch float64
	Target  time.Duration
	// Advised queues may run a group only on workers that the advice service
	// names.
	Advised bool `msgpack:",omitempty"`
	// AdviceBase and AdvicePerWorker are how long one advice call takes.
	AdviceBase      time.Duration `msgpack:",omitempty"`
	AdvicePerWorker time.Duration `msgpack:",omitempty"`
}

// Job is one accepted submission.
type Job struct {
	ID    ID
	Queue Queue
	// Payload is passed to the workers unread.
	Payload string
	Groups  []Group
	// Repeats is the number of occurrences of a recurring job, zero for a job
	// that runs once, now.
	Repeats int `msgpack:",omitempty"`
	// FirstAt is the wall-clock time of the first occurrence in milliseconds
	// since 1970, Period the time between two.
	FirstAt int64         `msgpack:",omitempty"`
	Period  time.Duration `msgpack:",omitempty"`
	// AcceptedAt is the wall-clock time of acceptance in milliseconds since
	// 1970, by the clock of the host that accepted it.
	AcceptedAt int64
}

// Occurrences is the number of times the groups run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// CriticalPath is the longest chain of estimated run times through the graph.
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

// Limits of one job.
const (
	maxPayloadBytes = 4000
	maxGroups       = 64
	maxTasks        = 10000
	maxRepeats      = 100000
	idLength        = 16
)

// Validate checks a job before it is stored. The error says which part is
// wrong.
func (j *Job) Validate() error {
	if err := validateID(j.ID); err != nil {
		return err
	}
	switch {
	case len(j.Payload) > maxPayloadBytes:
		return errors.Errorf("payload is longer than %d bytes", maxPayloadBytes)
	case len(j.Groups) == 0 || len(j.Groups) > maxGroups:
		return errors.Errorf("number of task groups must be from 1 to %d", maxGroups)
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
	if len(id) != idLength {
		return errors.Errorf("job id %q: want %d hexadecimal digits", id, idLength)
	}
	for _, c := range string(id) {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return errors.Errorf("job id %q: want %d hexadecimal digits", id, idLength)
		}
	}
	return nil
}
