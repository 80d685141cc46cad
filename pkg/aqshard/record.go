// Package aqshard holds the state of one shard: its workloads, their tasks, and
// the reservations on its workers. The state changes only by applying records, so
// that replaying a journal of records rebuilds it.
package aqshard

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqtype"
)

// Record is one decision. Only types of this package implement it.
type Record interface {
	isRecord()
}

// Accepted adds a workload with all its tasks queued.
type Accepted struct {
	Spec aqtype.Spec
	// AtMillis is the wall-clock time in milliseconds. It orders the queue that a
	// new owner rebuilds, and nothing else depends on it.
	AtMillis int64
}

// Started places the next attempt of a queued task on a worker.
type Started struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
	Worker  aqtype.WorkerID
	// Size is the reservation, which may differ from the declared size.
	Size aqtype.Resources
}

// Stopping marks a running attempt to be stopped. Its reservation stays until the
// attempt has ended.
type Stopping struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
	Why     StopReason
}

// Ended records how an attempt ended and releases its reservation.
type Ended struct {
	Task       aqtype.TaskID
	Attempt    aqtype.Attempt
	Outcome    Outcome
	Checkpoint aqtype.CheckpointID
}

// Cancelled ends the queued tasks of a workload and marks the running ones to
// be stopped.
type Cancelled struct {
	Workload aqtype.WorkloadKey
}

// Pruned deletes a workload whose tasks have all ended.
type Pruned struct {
	Workload aqtype.WorkloadKey
}

// Offered offloads a queued task to another shard, which then schedules the task
// until it reports the task's end or returns the task.
type Offered struct {
	Task aqtype.TaskID
	To   aqtype.ShardID
	// Sequence is one more than that of the previous offer to the same shard.
	Sequence uint64
}

// Taken accepts a task that its home shard has offered. The task is then a guest
// of this shard.
type Taken struct {
	From     aqtype.ShardID
	Sequence uint64
	Spec     aqtype.Spec
	Index    int
	Progress Progress
	// Cancelled is set if the workload was cancelled before.
	Cancelled bool
}

// Progress is the part of a task's state that moves with it between shards.
type Progress struct {
	Attempt    aqtype.Attempt
	Checkpoint aqtype.CheckpointID
	Failures   int
	Evictions  int
	Worker     aqtype.WorkerID
}

// Returned marks a queued guest task to be returned to its home shard.
type Returned struct {
	Task aqtype.TaskID
}

// Reported closes an offer in the task's home shard.
type Reported struct {
	Task     aqtype.TaskID
	Sequence uint64
	// State is the task's final state in the other shard, or TaskReturned.
	State    TaskState
	Progress Progress
}

// Forgotten deletes a guest task after its home shard has committed the task's
// end or return.
type Forgotten struct {
	Task     aqtype.TaskID
	Sequence uint64
}

// Resized changes the reservation of a running attempt. Full is the reservation
// that the usage model gives for its kind; with a smaller Size the attempt is
// throttled.
type Resized struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
	Size    aqtype.Resources
	Full    aqtype.Resources
}

func (Resized) isRecord()   {}
func (Offered) isRecord()   {}
func (Taken) isRecord()     {}
func (Returned) isRecord()  {}
func (Reported) isRecord()  {}
func (Forgotten) isRecord() {}
func (Accepted) isRecord()  {}
func (Started) isRecord()   {}
func (Stopping) isRecord()  {}
func (Ended) isRecord()     {}
func (Cancelled) isRecord() {}
func (Pruned) isRecord()    {}

// StopReason is why an attempt is stopped.
type StopReason int

// The stop reasons.
const (
	StopEvict StopReason = iota + 1
	StopCancel
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeFinished is success.
	OutcomeFinished Outcome = iota + 1
	// OutcomeFailed counts towards the task's failure limit.
	OutcomeFailed
	// OutcomeStopped means that the worker stopped the attempt on the owner's order.
	OutcomeStopped
	// OutcomeLost means that the attempt's end was not reported and that the worker
	// can no longer be running it.
	OutcomeLost
	// OutcomeNotRun means that the worker refused the start.
	OutcomeNotRun
)

// envelope is the encoding of a record; exactly one field is set.
type envelope struct {
	Accepted  *acceptedWire `msgpack:",omitempty"`
	Started   *Started      `msgpack:",omitempty"`
	Stopping  *Stopping     `msgpack:",omitempty"`
	Ended     *Ended        `msgpack:",omitempty"`
	Cancelled *Cancelled    `msgpack:",omitempty"`
	Pruned    *Pruned       `msgpack:",omitempty"`
	Offered   *Offered      `msgpack:",omitempty"`
	Taken     *takenWire    `msgpack:",omitempty"`
	Returned  *Returned     `msgpack:",omitempty"`
	Reported  *Reported     `msgpack:",omitempty"`
	Forgotten *Forgotten    `msgpack:",omitempty"`
	Resized   *Resized      `msgpack:",omitempty"`

	KeyReserved *KeyReserved `msgpack:",omitempty"`
	KeyReleased *KeyReleased `msgpack:",omitempty"`
	KeysExpired *KeysExpired `msgpack:",omitempty"`
}

type takenWire struct {
	From      aqtype.ShardID
	Sequence  uint64
	Spec      SpecWire
	Index     int
	Progress  Progress
	Cancelled bool
}

type acceptedWire struct {
	Spec     SpecWire
	AtMillis int64
}

// SpecWire is the encoding of a workload's specification; exactly one field is
// set.
type SpecWire struct {
	Service *aqtype.Service `msgpack:",omitempty"`
	Job     *aqtype.Job     `msgpack:",omitempty"`
	Watcher *aqtype.Watcher `msgpack:",omitempty"`
}

// ErrUnknownRecord means that a record or specification has no known type.
var ErrUnknownRecord = errors.New("shard: unknown record")

// WrapSpec wraps a specification for encoding.
func WrapSpec(spec aqtype.Spec) SpecWire {
	switch s := spec.(type) {
	case aqtype.Service:
		return SpecWire{Service: &s}
	case aqtype.Job:
		return SpecWire{Job: &s}
	case aqtype.Watcher:
		return SpecWire{Watcher: &s}
	}
	return SpecWire{}
}

// Unwrap is the inverse of WrapSpec.
func (w SpecWire) Unwrap() (aqtype.Spec, error) {
	switch {
	case w.Service != nil:
		return *w.Service, nil
	case w.Job != nil:
		return *w.Job, nil
	case w.Watcher != nil:
		return *w.Watcher, nil
	}
	return nil, ErrUnknownRecord
}

// EncodeRecord encodes a record for the journal.
func EncodeRecord(record Record) ([]byte, error) {
	var e envelope
	switch r := record.(type) {
	case Accepted:
		e.Accepted = &acceptedWire{Spec: WrapSpec(r.Spec), AtMillis: r.AtMillis}
	case Started:
		e.Started = &r
	case Stopping:
		e.Stopping = &r
	case Ended:
		e.Ended = &r
	case Cancelled:
		e.Cancelled = &r
	case Pruned:
		e.Pruned = &r
	case KeyReserved:
		e.KeyReserved = &r
	case KeyReleased:
		e.KeyReleased = &r
	case KeysExpired:
		e.KeysExpired = &r
	case Resized:
		e.Resized = &r
	case Offered:
		e.Offered = &r
	case Taken:
		e.Taken = &takenWire{
			From:      r.From,
			Sequence:  r.Sequence,
			Spec:      WrapSpec(r.Spec),
			Index:     r.Index,
			Progress:  r.Progress,
			Cancelled: r.Cancelled,
		}
	case Returned:
		e.Returned = &r
	case Reported:
		e.Reported = &r
	case Forgotten:
		e.Forgotten = &r
	}
	data, err := msgpack.Marshal(e)
	return data, errors.Wrap(err, "shard: encode record")
}

// DecodeRecord is the inverse of EncodeRecord.
func DecodeRecord(data []byte) (Record, error) {
	var e envelope
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "shard: decode record")
	}
	switch {
	case e.Accepted != nil:
		spec, err := e.Accepted.Spec.Unwrap()
		return Accepted{Spec: spec, AtMillis: e.Accepted.AtMillis}, err
	case e.Started != nil:
		return *e.Started, nil
	case e.Stopping != nil:
		return *e.Stopping, nil
	case e.Ended != nil:
		return *e.Ended, nil
	case e.Cancelled != nil:
		return *e.Cancelled, nil
	case e.Pruned != nil:
		return *e.Pruned, nil
	case e.Resized != nil:
		return *e.Resized, nil
	}
	return decodeOffloadOrKey(e)
}

// decodeOffloadOrKey decodes the records of offloaded tasks and of request keys.
func decodeOffloadOrKey(e envelope) (Record, error) {
	switch {
	case e.Offered != nil:
		return *e.Offered, nil
	case e.Taken != nil:
		spec, err := e.Taken.Spec.Unwrap()
		return Taken{
			From:      e.Taken.From,
			Sequence:  e.Taken.Sequence,
			Spec:      spec,
			Index:     e.Taken.Index,
			Progress:  e.Taken.Progress,
			Cancelled: e.Taken.Cancelled,
		}, err
	case e.Returned != nil:
		return *e.Returned, nil
	case e.Reported != nil:
		return *e.Reported, nil
	case e.Forgotten != nil:
		return *e.Forgotten, nil
	case e.KeyReserved != nil:
		return *e.KeyReserved, nil
	case e.KeyReleased != nil:
		return *e.KeyReleased, nil
	case e.KeysExpired != nil:
		return *e.KeysExpired, nil
	}
	return nil, ErrUnknownRecord
}
