package aqjob

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// State is what a submitter is told of a job.
type State string

// The states. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state does not change any more.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Progress is the stored part of a job's state. What runs is not stored: the
// workers know it.
type Progress struct {
	State State
	// FinalAt is the wall-clock time of the final state in milliseconds since
	// 1970.
	FinalAt int64 `msgpack:",omitempty"`
	// Occurrences holds those that have begun and are not done.
	Occurrences map[Occurrence]*OccurrenceProgress `msgpack:",omitempty"`
	// DoneOccurrences counts those that are done; all below DoneBelow are, and
	// the others are listed.
	DoneBelow Occurrence   `msgpack:",omitempty"`
	DoneAbove []Occurrence `msgpack:",omitempty"`
}

// OccurrenceProgress is the stored state of one occurrence's tasks, in group
// order.
type OccurrenceProgress struct {
	// Done has one bit a task.
	Done []byte
	// Failed lists the attempts that have ended failed, and Checkpoints the saved
	// progress, keyed by the task's position.
	Failed      map[int][]int  `msgpack:",omitempty"`
	Checkpoints map[int]string `msgpack:",omitempty"`
}

// Encode packs a job or a progress record for the store.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	return data, errors.Wrap(err, "job: encode")
}

// DecodeJob unpacks a stored job.
func DecodeJob(data []byte) (*Job, error) {
	var j Job
	if err := msgpack.Unmarshal(data, &j); err != nil {
		return nil, errors.Wrap(err, "job: decode")
	}
	return &j, j.Validate()
}

// DecodeProgress unpacks a stored progress record.
func DecodeProgress(data []byte) (*Progress, error) {
	var p Progress
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "job: decode progress")
	}
	return &p, nil
}
