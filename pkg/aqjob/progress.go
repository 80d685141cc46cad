package aqjob

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/internal/site/aqcrash"
)

// State is a job's state as its submitter sees it.
type State string

// The states of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Progress is the stored part of a job's state. The current runs are not stored:
// the workers report them.
type Progress struct {
	State State
	// FinalAt is the wall-clock time of the final state in milliseconds since
	// 1970.
	FinalAt int64 `msgpack:",omitempty"`
	// Occurrences holds the occurrences that have started and are not done.
	Occurrences map[Occurrence]*OccurrenceProgress `msgpack:",omitempty"`
	// DoneBelow and DoneAbove are the done occurrences: all below DoneBelow, and
	// those listed in DoneAbove.
	DoneBelow Occurrence   `msgpack:",omitempty"`
	DoneAbove []Occurrence `msgpack:",omitempty"`
}

// OccurrenceProgress is the stored state of one occurrence's tasks. A task's position
// is its index among the tasks of all groups, in order.
type OccurrenceProgress struct {
	// Done has one bit for each task.
	Done []byte
	// Failed lists the attempts that ended with a failure, by the task's position.
	Failed map[int][]int `msgpack:",omitempty"`
	// Checkpoints holds the saved progress, by the task's position.
	Checkpoints map[int]string `msgpack:",omitempty"`
	// Crashes holds the crashes of workers under the tasks, by the task's position.
	Crashes map[int]*aqcrash.History `msgpack:",omitempty"`
}

// Encode encodes a job or a progress record for the store.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	return data, errors.Wrap(err, "job: encode")
}

// DecodeJob decodes and validates a stored job.
func DecodeJob(data []byte) (*Job, error) {
	var j Job
	if err := msgpack.Unmarshal(data, &j); err != nil {
		return nil, errors.Wrap(err, "job: decode")
	}
	return &j, j.Validate()
}

// DecodeProgress decodes and validates a stored progress record.
func DecodeProgress(data []byte) (*Progress, error) {
	var p Progress
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "job: decode progress")
	}
	return &p, p.validate()
}

// validate checks what does not depend on the job.
func (p *Progress) validate() error {
	switch p.State {
	case StateQueued, StateRunning, StateCompleted, StateFailed, StateCancelled:
	default:
		return errors.Errorf("job: progress has unknown state %q", p.State)
	}
	if p.DoneBelow < 0 {
		return errors.Errorf("job: progress has %d done occurrences", p.DoneBelow)
	}
	for k, o := range p.Occurrences {
		if k < 0 || o == nil {
			return errors.Errorf("job: progress of occurrence %d is not valid", k)
		}
		for position, h := range o.Crashes {
			if h == nil {
				return errors.Errorf("job: crashes of task %d of occurrence %d are not valid", position, k)
			}
		}
	}
	return nil
}

// ValidateFor checks that the progress can be that of a job.
func (p *Progress) ValidateFor(j *Job) error {
	last := Occurrence(j.Occurrences())
	if p.DoneBelow > last {
		return errors.Errorf("job: %d occurrences are done of %d", p.DoneBelow, last)
	}
	for k := range p.Occurrences {
		if k >= last {
			return errors.Errorf("job: progress of occurrence %d of %d", k, last)
		}
	}
	return nil
}
