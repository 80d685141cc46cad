// Package aqshard is the state of one shard: its workloads, their tasks, and
// the reservations of its workers. The state changes only by applying records,
// so that a journal of records rebuilds it.
package aqshard

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqtype"
)

// Record is one decision. It is sealed by the types of this file.
type Record interface {
	isRecord()
}

// Accepted adds a workload with all its tasks queued.
type Accepted struct {
	Spec aqtype.Spec
	// AtMillis is the wall clock in milliseconds, shown to operators only.
	AtMillis int64
}

// Started places the next attempt of a queued task on a worker.
type Started struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
	Worker  aqtype.WorkerID
	// Size is what is reserved, which may differ from what was declared.
	Size aqtype.Resources
}

// Stopping decides that a running attempt is to be stopped. Its reservation
// stays until the attempt has ended.
type Stopping struct {
	Task    aqtype.TaskID
	Attempt aqtype.Attempt
	Why     StopReason
}

// Ended says how an attempt ended. It frees the reservation.
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

// Pruned forgets a workload whose tasks have all ended.
type Pruned struct {
	Workload aqtype.WorkloadKey
}

// Offered hands a queued task on to another shard, which decides about it until
// it reports its end or returns it.
type Offered struct {
	Task aqtype.TaskID
	To   aqtype.ShardID
	// Sequence is one more than that of the offer before to the same shard.
	Sequence uint64
}

// Taken takes a task that another shard, its home, has offered.
type Taken struct {
	From     aqtype.ShardID
	Sequence uint64
	Spec     aqtype.Spec
	Index    int
	Progress Progress
	// Cancelled is set when the workload was cancelled before.
	Cancelled bool
}

// Progress is what goes with a task from shard to shard.
type Progress struct {
	Attempt    aqtype.Attempt
	Checkpoint aqtype.CheckpointID
	Failures   int
	Evictions  int
	Worker     aqtype.WorkerID
}

// Returned gives a queued task of another shard back.
type Returned struct {
	Task aqtype.TaskID
}

// Reported ends an offer at the task's home.
type Reported struct {
	Task     aqtype.TaskID
	Sequence uint64
	// State is how the task ended there, or TaskReturned.
	State    TaskState
	Progress Progress
}

// Forgotten drops a task of another shard whose end that shard has committed.
type Forgotten struct {
	Task     aqtype.TaskID
	Sequence uint64
}

// Resized changes what a running attempt reserves. Full is what it should have by
// what was learned of its kind; with a smaller Size it is throttled.
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

// StopReason says why an attempt is stopped.
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
	// OutcomeFailed counts against the workload's failures.
	OutcomeFailed
	// OutcomeStopped follows a stop.
	OutcomeStopped
	// OutcomeLost means that the worker can no longer be running the attempt.
	OutcomeLost
	// OutcomeNotRun means that the worker refused the start.
	OutcomeNotRun
)

// envelope carries one record on the wire; exactly one field is set.
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

// SpecWire carries a workload's description; exactly one field is set.
type SpecWire struct {
	Service *aqtype.Service `msgpack:",omitempty"`
	Job     *aqtype.Job     `msgpack:",omitempty"`
	Watcher *aqtype.Watcher `msgpack:",omitempty"`
}

// ErrRecord means that a record or description is not one of the known kinds.
var ErrRecord = errors.New("shard: unknown record")

// WrapSpec prepares a description for the wire.
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
	return nil, ErrRecord
}

// EncodeRecord packs a record for the journal.
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
	return decodeOther(e)
}

// decodeOther decodes the records of handing on and of request keys.
func decodeOther(e envelope) (Record, error) {
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
	return nil, ErrRecord
}
