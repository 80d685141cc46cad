package aqjournal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Observer is told what happens inside a write.
type Observer interface {
	// InDoubt is called when the answer to a write was lost.
	InDoubt(number uint64)
	// StoreRefused is called when the store refused a call and it is tried again.
	StoreRefused()
}

// Options configure a log.
type Options struct {
	Store  aqplatform.Store
	Clock  aqclock.Clock
	Shard  aqtype.ShardID
	Writer aqtype.HostID
	// NextNonce returns a number that this writer never used before.
	NextNonce func() uint64
	// RetryWait is the pause before a refused or lost call is tried again.
	RetryWait time.Duration
	Observer  Observer
}

// Log is the owner's end of a shard's journal. One goroutine uses it at a time.
type Log struct {
	options Options
	epoch   aqtype.Epoch
	// last is the number of the last segment known to be committed.
	last uint64
	// slots holds the revision of each ring slot as this owner last saw it. A
	// slot is overwritten only at this revision.
	slots [RingSlots]aqplatform.Revision
	// snapshotThrough is never above last, and last never passes it by more
	// than RingSlots, so that recovery always finds every segment it needs.
	snapshotThrough  uint64
	snapshotRevision aqplatform.Revision
	// proof is when the last call that proved ownership was sent.
	proof time.Time
}

// Recovered is what a journal held when it was read.
type Recovered struct {
	// State is the snapshot's state, nil when there is none yet.
	State []byte
	// Segments follow the snapshot without a gap.
	Segments []Segment
	// Epoch is the highest epoch so far.
	Epoch aqtype.Epoch
	// Released reports that the last owner handed the shard over.
	Released bool
}

// Read reads a shard's journal without claiming it.
func Read(ctx context.Context, o Options) (*Log, Recovered, error) {
	log := &Log{options: o}
	for {
		recovered, complete, err := log.read(ctx)
		if err != nil || complete {
			return log, recovered, err
		}
	}
}

// read reports false when the snapshot moved on between the two reads.
func (l *Log) read(ctx context.Context) (Recovered, bool, error) {
	var recovered Recovered
	snapshot, err := l.readSnapshot(ctx)
	if err != nil {
		return recovered, false, err
	}
	segments, err := l.readSlots(ctx)
	if err != nil {
		return recovered, false, err
	}
	recovered.State = snapshot.State
	recovered.Epoch = snapshot.Epoch
	l.last = snapshot.Through
	highest := snapshot.Through
	for _, s := range segments {
		highest = max(highest, s.Number)
	}
	for number := snapshot.Through + 1; number <= highest; number++ {
		s, ok := segments[number]
		if !ok {
			return recovered, false, nil
		}
		recovered.Segments = append(recovered.Segments, s)
		recovered.Epoch = s.Epoch
		recovered.Released = s.Released
		l.last = number
	}
	l.epoch = recovered.Epoch
	return recovered, true, nil
}

func (l *Log) readSnapshot(ctx context.Context) (Snapshot, error) {
	var snapshot Snapshot
	entry, err := l.options.Store.Get(ctx, snapshotKey(l.options.Shard))
	switch {
	case errors.Is(err, aqplatform.ErrNotFound):
		l.snapshotRevision = 0
	case err != nil:
		return snapshot, errors.WithMessage(ErrStoreDown, err.Error())
	default:
		if err := decode(entry.Value, &snapshot); err != nil {
			return snapshot, errors.WithMessage(ErrCorrupt, err.Error())
		}
		l.snapshotRevision = entry.Revision
	}
	l.snapshotThrough = snapshot.Through
	return snapshot, nil
}

func (l *Log) readSlots(ctx context.Context) (map[uint64]Segment, error) {
	entries, err := l.options.Store.List(ctx, shardPrefix(l.options.Shard)+"seg/")
	if err != nil {
		return nil, errors.WithMessage(ErrStoreDown, err.Error())
	}
	l.slots = [RingSlots]aqplatform.Revision{}
	segments := make(map[uint64]Segment, len(entries))
	for _, e := range entries {
		var s Segment
		if err := decode(e.Value, &s); err != nil {
			return nil, errors.WithMessage(ErrCorrupt, err.Error())
		}
		segments[s.Number] = s
		l.slots[s.Number%RingSlots] = e.Revision
	}
	return segments, nil
}

// Claim tries once to commit a first segment under the next epoch. ErrDeposed
// means that another writer was faster, and ErrInterrupted that the outcome is
// not known; in both cases the journal must be read again.
func (l *Log) Claim(ctx context.Context) (aqtype.Epoch, error) {
	l.epoch++
	write, err := l.Begin(nil, false)
	if err != nil {
		return 0, err
	}
	settled, err := write.Try(ctx)
	if !settled {
		return 0, ErrInterrupted
	}
	return l.epoch, err
}

// Epoch returns the epoch under which this log writes.
func (l *Log) Epoch() aqtype.Epoch { return l.epoch }

// Last returns the number of the last committed segment.
func (l *Log) Last() uint64 { return l.last }

// Proof returns when the last call that proved ownership was sent.
func (l *Log) Proof() time.Time { return l.proof }

// SnapshotDue reports whether the ring has room for few further segments.
func (l *Log) SnapshotDue() bool { return l.last-l.snapshotThrough >= RingSlots/2 }

// Append commits the records as the next segment and returns once its outcome
// is known. A nil error means committed.
func (l *Log) Append(ctx context.Context, records [][]byte) error {
	return l.write(ctx, records, false)
}

// Release commits a last segment that hands the shard over.
func (l *Log) Release(ctx context.Context) error {
	return l.write(ctx, nil, true)
}

func (l *Log) write(ctx context.Context, records [][]byte, released bool) error {
	write, err := l.Begin(records, released)
	if err != nil {
		return err
	}
	return write.Resolve(ctx)
}

// PendingWrite is one segment on its way. While it is not settled, nothing else may be
// written by its log.
type PendingWrite struct {
	log     *Log
	segment Segment
	value   []byte
	// first is when the first try was sent, zero before that.
	first time.Time
}

// Begin prepares the records as the next segment.
func (l *Log) Begin(records [][]byte, released bool) (*PendingWrite, error) {
	if l.last-l.snapshotThrough >= RingSlots {
		return nil, errors.WithMessage(ErrTooLarge, "the ring is full without a snapshot")
	}
	segment := Segment{
		Number:   l.last + 1,
		Epoch:    l.epoch,
		Writer:   l.options.Writer,
		Nonce:    l.options.NextNonce(),
		Released: released,
		Records:  records,
	}
	value, err := encode(segment)
	if err != nil {
		return nil, err
	}
	if len(value) > aqplatform.MaxValueBytes {
		return nil, ErrTooLarge
	}
	return &PendingWrite{
		log:     l,
		segment: segment,
		value:   value,
	}, nil
}

// Resolve tries until the segment's fate is known.
func (w *PendingWrite) Resolve(ctx context.Context) error {
	for {
		settled, err := w.Try(ctx)
		if settled {
			return err
		}
		if err := w.log.pause(ctx); err != nil {
			return err
		}
	}
}

// Try writes the segment at the revision that its slot had when the log last
// saw it, and reports whether its fate is known. Repeating it is safe: at most
// one of the tries can take effect, and each carries the same decision.
func (w *PendingWrite) Try(ctx context.Context) (bool, error) {
	l := w.log
	sent := l.options.Clock.Now()
	if w.first.IsZero() {
		w.first = sent
	}
	key := slotKey(l.options.Shard, w.segment.Number)
	revision, err := l.options.Store.Put(ctx, key, w.value, l.slots[w.segment.Number%RingSlots], 0)
	switch {
	case err == nil:
		l.committed(w.segment, revision, sent)
		return true, nil
	case errors.Is(err, aqplatform.ErrConflict):
		return l.resolveConflict(ctx, w.segment, key, w.first)
	case errors.Is(err, aqplatform.ErrRefused):
		l.options.Observer.StoreRefused()
	default:
		l.options.Observer.InDoubt(w.segment.Number)
	}
	return false, nil
}

func (l *Log) committed(segment Segment, revision aqplatform.Revision, sent time.Time) {
	l.slots[segment.Number%RingSlots] = revision
	l.last = segment.Number
	l.proof = sent
}

// resolveConflict reads the slot after a conflict: an earlier try of the same write may
// have taken effect. It reports false when the store did not answer. The try
// that took effect may be any since first, so first is all that it proves.
func (l *Log) resolveConflict(ctx context.Context, segment Segment, key string, first time.Time) (bool, error) {
	entry, err := l.options.Store.Get(ctx, key)
	if err != nil {
		return false, nil
	}
	var found Segment
	if err := decode(entry.Value, &found); err != nil {
		return true, errors.WithMessage(ErrCorrupt, err.Error())
	}
	switch {
	case found.sameWrite(segment):
		l.committed(segment, entry.Revision, first)
		return true, nil
	case found.Number > segment.Number:
		return true, ErrDeposedInDoubt
	}
	return true, ErrDeposed
}

func (l *Log) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ErrInterrupted
	case <-l.options.Clock.After(l.options.RetryWait):
		return nil
	}
}

// Prove reads the next slot: while nobody has written there, this log's owner
// was the owner when the call was sent.
func (l *Log) Prove(ctx context.Context) error {
	sent := l.options.Clock.Now()
	next := l.last + 1
	entry, err := l.options.Store.Get(ctx, slotKey(l.options.Shard, next))
	switch {
	case errors.Is(err, aqplatform.ErrNotFound):
	case err != nil:
		return errors.WithMessage(ErrStoreDown, err.Error())
	case entry.Revision != l.slots[next%RingSlots]:
		return ErrDeposed
	}
	l.proof = sent
	return nil
}

// WriteSnapshot replaces the snapshot by the state after the last committed
// segment.
func (l *Log) WriteSnapshot(ctx context.Context, state []byte) error {
	value, err := encode(Snapshot{
		Through: l.last,
		Epoch:   l.epoch,
		State:   state,
	})
	if err != nil {
		return err
	}
	if len(value) > maxStateBytes {
		return ErrTooLarge
	}
	through := l.last
	revision, err := l.options.Store.Put(ctx, snapshotKey(l.options.Shard), value, l.snapshotRevision, 0)
	switch {
	case err == nil:
		l.snapshotRevision = revision
		l.snapshotThrough = through
		return nil
	case errors.Is(err, aqplatform.ErrConflict):
		return l.adoptSnapshot(ctx)
	}
	return errors.WithMessage(ErrStoreDown, err.Error())
}

// adoptSnapshot takes note of a snapshot that is not the one last seen: an
// earlier write of this log whose answer was lost, or one of a deposed owner
// that holds a prefix of the same journal.
func (l *Log) adoptSnapshot(ctx context.Context) error {
	entry, err := l.options.Store.Get(ctx, snapshotKey(l.options.Shard))
	if err != nil {
		return errors.WithMessage(ErrStoreDown, err.Error())
	}
	var snapshot Snapshot
	if err := decode(entry.Value, &snapshot); err != nil {
		return errors.WithMessage(ErrCorrupt, err.Error())
	}
	if snapshot.Through > l.last {
		return ErrDeposed
	}
	l.snapshotRevision = entry.Revision
	l.snapshotThrough = snapshot.Through
	return nil
}
