package aqscheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjournal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// batch is a group of decisions that one write commits.
type batch struct {
	records []aqshard.Record
	// done is closed after err is set.
	done chan struct{}
	err  error
}

func newBatch() *batch {
	return &batch{done: make(chan struct{})}
}

// appendRecord applies a record to the latest state and appends it to the batch of the
// next write. It returns false and drops the record if the record does not fit the
// state or the shard makes no more decisions. The caller holds the lock.
func (s *Shard) appendRecord(record aqshard.Record) bool {
	if s.err != nil || s.closing {
		return false
	}
	if err := s.latestState.Apply(record); err != nil {
		return false
	}
	s.open.records = append(s.open.records, record)
	aqsignal.Send(s.wakeCommit)
	return true
}

// lastBatch returns the batch with the newest decision, nil if all decisions are
// committed. The caller holds the lock.
func (s *Shard) lastBatch() *batch {
	if len(s.open.records) > 0 {
		return s.open
	}
	return s.inFlight
}

// await waits until a batch is committed. A nil batch stands for decisions that are
// already committed.
func await(ctx context.Context, b *batch) error {
	if b == nil {
		return nil
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errors.WithMessage(aqjournal.ErrInterrupted, ctx.Err().Error())
	}
}

// stalled reports whether the write in flight has taken longer than the stall limit.
// The caller holds the lock.
func (s *Shard) stalled() bool {
	return s.inFlight != nil && s.options.Clock.Now().Sub(s.inFlightSince) > s.options.Limits.StallLimit
}

// proofsPerLimit is how many times the owner proves ownership within the proof limit.
const proofsPerLimit = 4

func (s *Shard) runCommit(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopped:
			return
		case <-s.wakeCommit:
		case <-s.wakeProve:
			if !s.ProveOnce(ctx) {
				return
			}
		case <-s.options.Clock.After(s.options.Limits.Session.ProofLimit / proofsPerLimit):
			if !s.ProveOnce(ctx) {
				return
			}
		}
		if !s.CommitOnce(ctx) || s.flushed() {
			return
		}
		s.sleep(ctx, s.options.Limits.CommitInterval)
	}
}

// flushed reports whether a hand-over is in progress and has nothing left to commit.
func (s *Shard) flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing && len(s.open.records) > 0 {
		aqsignal.Send(s.wakeCommit)
	}
	return s.closing && len(s.open.records) == 0
}

// ProveOnce proves ownership by a read of the journal. It returns false if the shard
// is lost or stopped.
func (s *Shard) ProveOnce(ctx context.Context) bool {
	err := s.log.Prove(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, aqjournal.ErrDeposed) {
		s.terminate(err)
		return false
	}
	s.proof = s.log.Proof()
	return s.err == nil
}

// CommitOnce writes the open decisions as one segment and executes them. It retries
// until the outcome of the write is known or ctx ends, and returns false if the shard
// is lost or stopped.
func (s *Shard) CommitOnce(ctx context.Context) bool {
	for {
		resolved, owned := s.CommitStep(ctx)
		if resolved {
			return owned
		}
		aqclock.Sleep(ctx, s.options.Clock, s.options.Journal.RetryWait)
		if ctx.Err() != nil {
			s.completeWrite(aqjournal.ErrInterrupted)
			return false
		}
	}
}

// CommitStep makes one attempt to write the segment in flight. If there is none, it
// begins one from the open decisions. resolved reports that no segment is in flight
// afterwards, and owned that the shard is neither lost nor stopped.
func (s *Shard) CommitStep(ctx context.Context) (resolved, owned bool) {
	if s.write == nil {
		b := s.takeBatch()
		if b == nil {
			return true, s.Err() == nil
		}
		if err := s.begin(b); err != nil {
			s.completeWrite(err)
			return true, false
		}
	}
	resolved, err := s.write.Try(ctx)
	if !resolved {
		return false, true
	}
	s.completeWrite(err)
	if err == nil && s.log.SnapshotDue() {
		s.writeSnapshot(ctx)
	}
	return true, s.Err() == nil
}

func (s *Shard) begin(b *batch) error {
	encoded, err := encodeAll(b.records)
	if err != nil {
		return err
	}
	s.write, err = s.log.Begin(encoded, false)
	return err
}

func (s *Shard) takeBatch() *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || len(s.open.records) == 0 {
		return nil
	}
	b := s.open
	s.open = newBatch()
	s.inFlight = b
	s.inFlightSince = s.options.Clock.Now()
	return b
}

func encodeAll(records []aqshard.Record) ([][]byte, error) {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := aqshard.EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// completeWrite ends the write in flight. If err is nil, its decisions are committed
// and executed. Otherwise the shard is lost.
func (s *Shard) completeWrite(err error) {
	s.write = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.inFlight
	s.inFlight = nil
	b.err = err
	defer close(b.done)
	if err != nil {
		s.terminate(err)
		return
	}
	s.proof = s.log.Proof()
	s.options.Metrics.Inc(aqmetric.SegmentsCommitted)
	s.options.Metrics.Add(aqmetric.RecordsCommitted, len(b.records))
	for _, r := range b.records {
		if err := s.committed.Apply(r); err != nil {
			s.terminate(err)
			return
		}
		s.execute(r)
	}
}

func (s *Shard) writeSnapshot(ctx context.Context) {
	s.mu.Lock()
	state, err := s.committed.Encode()
	s.mu.Unlock()
	if err == nil {
		err = s.log.WriteSnapshot(ctx, state)
	}
	if err == nil {
		s.options.Log.Write(aqlog.SnapshotWritten, s.shardAttr())
		return
	}
	s.options.Metrics.Retried(aqmetric.RetryStoreDown)
	if errors.Is(err, aqjournal.ErrDeposed) {
		s.mu.Lock()
		s.terminate(err)
		s.mu.Unlock()
	}
}

// Observer counts and logs the retries of a journal.
type Observer struct {
	Log     *aqlog.Logger
	Metrics *aqmetric.Set
	Shard   aqtype.ShardID
}

// InDoubt implements aqjournal.Observer.
func (o Observer) InDoubt(number uint64) {
	o.Metrics.Retried(aqmetric.RetryInDoubt)
	o.Log.Write(aqlog.SegmentInDoubt, slog.Int("Shard", int(o.Shard)), slog.Uint64("Segment", number))
}

// StoreRefused implements aqjournal.Observer.
func (o Observer) StoreRefused() { o.Metrics.Retried(aqmetric.RetryStoreDown) }

// maxPrunedPerRound is the maximum number of ended workloads that one round prunes.
const maxPrunedPerRound = 100

// prune deletes workloads that ended longer ago than the retention time. The caller
// holds the lock.
func (s *Shard) prune(now time.Time) {
	pruned := 0
	for key, at := range s.endedAt {
		if pruned == maxPrunedPerRound {
			return
		}
		if now.Sub(at) >= s.options.Limits.Retention {
			s.appendRecord(aqshard.Pruned{Workload: key})
			delete(s.endedAt, key)
			pruned++
		}
	}
}
