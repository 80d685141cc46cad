package aqscheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjournal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// batch is a group of decisions that are committed by one write.
type batch struct {
	records []aqshard.Record
	// done is closed after err is set.
	done chan struct{}
	err  error
}

func newBatch() *batch {
	return &batch{done: make(chan struct{})}
}

// decide applies a record to the planned state and queues it for commit. The
// lock is held. A record that does not fit the state is dropped.
func (s *Shard) decide(record aqshard.Record) bool {
	if s.err != nil || s.closing {
		return false
	}
	if err := s.planned.Apply(record); err != nil {
		return false
	}
	s.open.records = append(s.open.records, record)
	signal(s.wakeCommit)
	return true
}

// lastBatch returns the batch that holds the newest decision, nil when all is
// committed. The lock is held.
func (s *Shard) lastBatch() *batch {
	if len(s.open.records) > 0 {
		return s.open
	}
	return s.flight
}

// await waits until a batch is committed. Nil is committed already.
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

// stalled reports whether the journal has not taken a write for too long. The
// lock is held.
func (s *Shard) stalled() bool {
	return s.flight != nil && s.options.Clock.Now().Sub(s.flightSince) > s.options.Limits.Stall
}

// proofParts is how many proofs are due within the proof limit.
const proofParts = 4

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
		case <-s.options.Clock.After(s.options.Limits.Session.ProofLimit / proofParts):
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

// flushed reports whether a hand-over has nothing left to commit.
func (s *Shard) flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing && len(s.open.records) > 0 {
		signal(s.wakeCommit)
	}
	return s.closing && len(s.open.records) == 0
}

// ProveOnce proves ownership by a read and reports whether the shard goes on.
func (s *Shard) ProveOnce(ctx context.Context) bool {
	err := s.log.Prove(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, aqjournal.ErrDeposed) {
		s.lose(err)
		return false
	}
	s.proof = s.log.Proof()
	return s.err == nil
}

// CommitOnce writes the waiting decisions as one segment and acts on them. It
// reports whether the shard goes on.
func (s *Shard) CommitOnce(ctx context.Context) bool {
	for {
		settled, alive := s.CommitStep(ctx)
		if settled {
			return alive
		}
		aqclock.Sleep(ctx, s.options.Clock, s.options.Journal.RetryWait)
		if ctx.Err() != nil {
			s.settle(aqjournal.ErrInterrupted)
			return false
		}
	}
}

// CommitStep makes one try at the segment under way, which it begins when
// decisions wait. It reports whether no segment is in doubt afterwards and
// whether the shard goes on.
func (s *Shard) CommitStep(ctx context.Context) (settled, alive bool) {
	if s.write == nil {
		b := s.takeBatch()
		if b == nil {
			return true, s.Err() == nil
		}
		if err := s.begin(b); err != nil {
			s.settle(err)
			return true, false
		}
	}
	settled, err := s.write.Try(ctx)
	if !settled {
		return false, true
	}
	s.settle(err)
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
	s.flight = b
	s.flightSince = s.options.Clock.Now()
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

// settle ends the write under way: with a nil error its decisions are committed
// and acted on, with any other the shard is lost.
func (s *Shard) settle(err error) {
	s.write = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.flight
	s.flight = nil
	b.err = err
	defer close(b.done)
	if err != nil {
		s.lose(err)
		return
	}
	s.proof = s.log.Proof()
	s.options.Metrics.Inc(aqmetric.SegmentsCommitted)
	s.options.Metrics.Add(aqmetric.RecordsCommitted, len(b.records))
	for _, r := range b.records {
		if err := s.committed.Apply(r); err != nil {
			s.lose(err)
			return
		}
		s.act(r)
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
		s.lose(err)
		s.mu.Unlock()
	}
}

// Observer tells the journal's retries to metrics and log.
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

// retentionSweep is how many ended workloads one round forgets at most.
const retentionSweep = 100

// prune forgets workloads that ended long ago. The lock is held.
func (s *Shard) prune(now time.Time) {
	pruned := 0
	for key, at := range s.ended {
		if pruned == retentionSweep {
			return
		}
		if now.Sub(at) >= s.options.Limits.Retention {
			s.decide(aqshard.Pruned{Workload: key})
			delete(s.ended, key)
			pruned++
		}
	}
}
