package aqsite

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
)

// recordsPerTxn keeps a transaction within aqstore.MaxTxnEntries: each record takes two
// or three entries in addition to the condition on the lead key.
const recordsPerTxn = 10

// cancelsPerTxn is the same for the deletion of cancellations.
const cancelsPerTxn = aqstore.MaxTxnEntries - 1

// storeLoop stores decisions in rounds, one round at a time.
func (l *leader) storeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case <-l.wakeStore:
		}
		if err := l.storeFleet(ctx); err != nil {
			l.commitFailed(ctx, err)
			aqsignal.Send(l.wakeStore)
			continue
		}
		if !l.urgent() {
			l.waitUrgent(ctx)
		}
		l.storeRound(ctx)
		aqclock.Sleep(ctx, l.node.clock, minStoreInterval)
	}
}

// urgent reports whether the next round stores a final state, for which a caller may
// wait.
func (l *leader) urgent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decider.HasUnstoredFinalState()
}

// waitUrgent waits up to maxStoreDelay, so that one round stores more decisions. It
// returns early when a final state is to be stored.
func (l *leader) waitUrgent(ctx context.Context) {
	timeout := l.node.clock.After(maxStoreDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case <-timeout:
			return
		case <-l.wakeStore:
			if l.urgent() {
				return
			}
			aqclock.Sleep(ctx, l.node.clock, minTickInterval)
		}
	}
}

// storeRound stores one batch. It returns once the whole batch is stored or the
// leadership has ended.
func (l *leader) storeRound(ctx context.Context) {
	started := l.node.clock.Now()
	var batch aqdecider.Batch
	l.decide(func(d *aqdecider.Decider) { batch = d.TakeBatch() })
	var group sync.WaitGroup
	for first := 0; first < len(batch.Records); first += recordsPerTxn {
		records := batch.Records[first:min(first+recordsPerTxn, len(batch.Records))]
		group.Add(1)
		l.spawn("store records", func() {
			defer group.Done()
			l.storeRecords(ctx, records)
		})
	}
	for expired := range slices.Chunk(batch.ExpiredCancels, cancelsPerTxn) {
		group.Add(1)
		l.spawn("delete cancellations", func() {
			defer group.Done()
			l.deleteCancels(ctx, expired)
		})
	}
	group.Wait()
	select {
	case <-l.ended:
		return
	default:
	}
	if ctx.Err() != nil {
		return
	}
	l.decide(func(d *aqdecider.Decider) { d.BatchStored(batch) })
	l.agents.sendAcks(batch.WorkersWithEnds())
	l.node.metrics.Observe(aqmetric.TimeCommit, l.node.clock.Now().Sub(started))
}

// deleteCancels deletes the cancellations of jobs whose submissions cannot reach the store any more.
func (l *leader) deleteCancels(ctx context.Context, jobs []aqjob.ID) {
	txn := aqstore.Txn{Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}}}
	for _, id := range jobs {
		txn.Deletes = append(txn.Deletes, cancelKey(id))
	}
	l.commitRecords(ctx, txn, nil)
}

// storeRecords stores records in one transaction.
func (l *leader) storeRecords(ctx context.Context, records []aqdecider.Record) {
	txn := aqstore.Txn{Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}}}
	for _, r := range records {
		value, omitted, err := r.Progress.EncodeWithin(l.node.settings.StoreValueMax)
		if err != nil {
			l.lose(err)
			return
		}
		if omitted.Any() && l.node.ignored.Allow(progressKey(r.Job), l.node.clock.Now()) {
			l.node.log.Write(aqlog.ProgressTrimmed, slog.String("Job", string(r.Job)), slog.Int("Omitted", omitted.Checkpoints),
				slog.Int("OmittedCrashes", omitted.Crashes),
				slog.Int("Bytes", len(value)))
		}
		key := progressKey(r.Job)
		txn.Conditions = append(txn.Conditions, aqstore.Condition{Key: key, ModRevision: r.Expect})
		if r.Delete {
			txn.Deletes = append(txn.Deletes, key, jobKey(r.Job))
			continue
		}
		txn.Puts = append(txn.Puts, aqstore.Put{Key: key, Value: value})
		if r.Remainder == nil {
			continue
		}
		remainder, err := aqjob.Encode(r.Remainder)
		if err != nil {
			l.lose(err)
			return
		}
		txn.Puts = append(txn.Puts, aqstore.Put{Key: jobKey(r.Job), Value: remainder})
	}
	l.commitRecords(ctx, txn, records)
}

// commitRecords repeats one transaction until its outcome is known.
func (l *leader) commitRecords(ctx context.Context, txn aqstore.Txn, records []aqdecider.Record) {
	for ctx.Err() == nil {
		revision, err := l.node.store.Commit(ctx, txn)
		l.node.recordStoreResult(err)
		if err == nil {
			l.recordsStored(records, revision)
			return
		}
		var conflict *aqstore.ConflictError
		if errors.As(err, &conflict) {
			if l.alreadyApplied(conflict, txn, records) {
				return
			}
			l.lose(errors.WithMessage(err, "written by another process"))
			return
		}
		l.commitFailed(ctx, err)
		select {
		case <-l.ended:
			return
		default:
		}
	}
}

func (l *leader) recordsStored(records []aqdecider.Record, revision aqstore.Revision) {
	l.decide(func(d *aqdecider.Decider) {
		for _, r := range records {
			d.RecordStored(r, revision)
		}
	})
}

// alreadyApplied reports whether a conflict shows that an earlier try of the same
// transaction took effect.
func (l *leader) alreadyApplied(conflict *aqstore.ConflictError, txn aqstore.Txn, records []aqdecider.Record) bool {
	current := map[string]aqstore.Item{}
	for _, item := range conflict.Current {
		current[item.Key] = item
	}
	if current[leadKey].ModRevision != l.leadKeyRevision {
		return false
	}
	var revision aqstore.Revision
	for _, w := range txn.Puts {
		if _, isProgress := jobIDFromKey(progressPrefix, w.Key); !isProgress {
			// The conditions cover the progress of each job, which changes together with
			// the job itself.
			continue
		}
		if !bytes.Equal(current[w.Key].Value, w.Value) {
			return false
		}
		revision = current[w.Key].ModRevision
	}
	for _, key := range txn.Deletes {
		if current[key].ModRevision != 0 {
			return false
		}
	}
	l.recordsStored(records, revision)
	return true
}

func (l *leader) commitFailed(ctx context.Context, err error) {
	l.node.metrics.Retried(aqmetric.RetryCommitLost)
	if ctx.Err() == nil {
		l.node.log.Write(aqlog.CommitFailed, aqlog.Err(err))
	}
	aqclock.Sleep(ctx, l.node.clock, retryPause)
}
