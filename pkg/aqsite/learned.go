package aqsite

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

// learnedRecord is the value of learnedKey: what a leader has learned and the next one may use. Each
// part is encoded by those that learn it, and may be missing.
type learnedRecord struct {
	Paces        []byte `msgpack:",omitempty"`
	Interference []byte `msgpack:",omitempty"`
}

const (
	// learnedInterval is the minimum interval between two writes of what has been learned.
	learnedInterval = 10 * time.Second
	// maxLearnedBytes limits the value, besides Settings.StoreValueMax.
	maxLearnedBytes = 256 << 10
)

// learnedLoop takes over what the earlier leader has learned, and then stores what this one learns.
func (l *leader) learnedLoop(ctx context.Context) {
	if err := l.persist(ctx, func() error { return l.restoreLearned(ctx) }); err != nil {
		return
	}
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, learnedInterval)
		if err := l.storeLearned(ctx); err != nil && ctx.Err() == nil {
			l.node.log.Write(aqlog.LearnedNotStored, aqlog.Err(err))
		}
	}
}

// restoreLearned applies the stored record as far as it can be read. Only a store that does not answer
// is an error.
func (l *leader) restoreLearned(ctx context.Context) error {
	item, err := l.node.store.Get(ctx, learnedKey)
	if errors.Is(err, aqstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	l.storedLearned = item.Value
	var record learnedRecord
	if err := decode(item.Value, &record); err != nil {
		l.node.log.Write(aqlog.LearnedIgnored, slog.String("Part", "all"), aqlog.Err(err))
		return nil
	}
	l.decide(func(d *aqdecider.Decider) {
		if len(record.Interference) == 0 {
			return
		}
		if err := d.RestoreInterference(record.Interference); err != nil {
			l.node.log.Write(aqlog.LearnedIgnored, slog.String("Part", "Interference"), aqlog.Err(err))
			return
		}
		l.node.log.Write(aqlog.LearnedRestored, slog.Int("Bytes", len(item.Value)))
	})
	return nil
}

// storeLearned stores what has been learned unless the store has it.
func (l *leader) storeLearned(ctx context.Context) error {
	var record learnedRecord
	var failure error
	l.decide(func(d *aqdecider.Decider) { record.Interference, failure = d.LearnedInterference() })
	if failure != nil {
		return failure
	}
	value, err := msgpack.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "site: encode what has been learned")
	}
	if bytes.Equal(value, l.storedLearned) {
		return nil
	}
	if most := min(maxLearnedBytes, l.node.settings.StoreValueMax); len(value) > most {
		return errors.Errorf("site: %d bytes have been learned, more than %d", len(value), most)
	}
	if _, err := l.node.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}},
		Puts:       []aqstore.Put{{Key: learnedKey, Value: value}},
	}); err != nil {
		return err
	}
	l.storedLearned = value
	return nil
}
