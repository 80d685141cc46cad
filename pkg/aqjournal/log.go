package aqjournal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Observer is notified of failed tries of a write.
type Observer interface {
	// InDoubt is called when a try to write the segment with this number had no answer
	// and its outcome is unknown.
	InDoubt(segment uint64)
	// StoreRefused is called when the store refused a try.
	StoreRefused()
}

// Options configure a log.
type Options struct {
	Store  aqplatform.Store
	Clock  aqclock.Clock
	Shard  aqtype.ShardID
	Writer aqtype.ProcessID
	// NextNonce returns a number that this writer has never used before.
	NextNonce func() uint64
	// RetryWait is the delay before a write that was refused or had no answer is
	// retried.
	RetryWait time.Duration
	Observer  Observer
}

// Log reads and writes a shard's journal for its owner. It is not safe for
// concurrent use.
type Log struct {
	options Options
	epoch   aqtype.Epoch
	// last is the number of the last segment known to be committed.
	last uint64
	// slots holds the store's revision of each ring slot as last read or written.
	// A slot is overwritten only at this revision, by compare-and-swap.
	slots [RingSlots]aqplatform.Revision
	// snapshotThrough is the last segment that the snapshot contains. It is at
	// most last and at least last-RingSlots, so that recovery finds every segment
	// that it needs.
	snapshotThrough  uint64
	snapshotRevision aqplatform.Revision
	// proof is when the last call that proved ownership was sent.
	proof time.Time
}

// Recovered is the content of a journal as read.
type Recovered struct {
	// State is the snapshot's state, nil if there is no snapshot yet.
	State []byte
	// Segments are those after the snapshot, without a gap.
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

// read reports false if a segment after the snapshot is missing because the
// snapshot was replaced between the two reads.
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

// Claim tries once to commit a first segment under the next epoch. ErrDeposed or
// ErrDeposedInDoubt means that another writer was faster, and ErrInterrupted that
// the outcome is unknown; in each case the journal must be read again.
func (l *Log) Claim(ctx context.Context) (aqtype.Epoch, error) {
	l.epoch++
	write, err := l.Begin(nil, false)
	if err != nil {
		return 0, err
	}
	resolved, err := write.Try(ctx)
	if !resolved {
		return 0, ErrInterrupted
	}
	return l.epoch, err
}

// Epoch returns the epoch under which this log writes.
func (l *Log) Epoch() aqtype.Epoch { return l.epoch }

// LastSegment returns the number of the last committed segment.
func (l *Log) LastSegment() uint64 { return l.last }

// Proof returns the send time of the last call that proved ownership.
func (l *Log) Proof() time.Time { return l.proof }

// SnapshotDue reports whether half of the ring is used since the last snapshot.
func (l *Log) SnapshotDue() bool { return l.last-l.snapshotThrough >= RingSlots/2 }

// Append writes the records as the next segment and returns when its outcome is
// known. A nil error means committed.
func (l *Log) Append(ctx context.Context, records [][]byte) error {
	return l.write(ctx, records, false)
}

// Release writes a last segment that hands the shard over.
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

// PendingWrite is one segment whose outcome is not known yet. Until it is, its log
// must not write anything else.
type PendingWrite struct {
	log     *Log
	segment Segment
	value   []byte
	// firstSent is the send time of the first try, zero before that.
	firstSent time.Time
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

// Resolve retries the write until its outcome is known.
func (w *PendingWrite) Resolve(ctx context.Context) error {
	for {
		resolved, err := w.Try(ctx)
		if resolved {
			return err
		}
		if err := w.log.pause(ctx); err != nil {
			return err
		}
	}
}

// Try writes the segment by compare-and-swap at the last known revision of its
// slot, and reports whether the outcome is known. Repeating it is safe: at most
// one try can take effect, and all write the same segment.
func (w *PendingWrite) Try(ctx context.Context) (bool, error) {
	l := w.log
	sent := l.options.Clock.Now()
	if w.firstSent.IsZero() {
		w.firstSent = sent
	}
	key := slotKey(l.options.Shard, w.segment.Number)
	revision, err := l.options.Store.Put(ctx, key, w.value, l.slots[w.segment.Number%RingSlots], 0)
	switch {
	case err == nil:
		l.recordCommit(w.segment, revision, sent)
		return true, nil
	case errors.Is(err, aqplatform.ErrConflict):
		return l.resolveConflict(ctx, w.segment, key, w.firstSent)
	case errors.Is(err, aqplatform.ErrRefused):
		l.options.Observer.StoreRefused()
	default:
		l.options.Observer.InDoubt(w.segment.Number)
	}
	return false, nil
}

func (l *Log) recordCommit(segment Segment, revision aqplatform.Revision, sent time.Time) {
	l.slots[segment.Number%RingSlots] = revision
	l.last = segment.Number
	l.proof = sent
}

// resolveConflict reads the slot after a conflict, because an earlier try of the
// same write may have taken effect. It reports false if the store did not answer.
// The try that took effect may be any since firstSent, so ownership is proved only
// at firstSent.
func (l *Log) resolveConflict(ctx context.Context, segment Segment, key string, firstSent time.Time) (bool, error) {
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
		l.recordCommit(segment, entry.Revision, firstSent)
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

// Prove reads the next slot. If no other writer has written there, this owner
// still owned the shard when the call was sent.
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

// WriteSnapshot replaces the snapshot. The state must be that after the last
// committed segment.
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

// adoptSnapshot reads the snapshot after a conflict. An earlier write of this log
// whose answer was lost may have stored it, or a deposed owner, whose snapshot
// covers a prefix of the same journal.
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
