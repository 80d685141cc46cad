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
	// Speeds is how fast workers are.
	Speeds []byte `msgpack:",omitempty"`
	// Interference is which fillers harm which serving tasks.
	Interference []byte `msgpack:",omitempty"`
	// StoredAt is the wall-clock time of the write in milliseconds since 1970, by the clock of its leader.
	StoredAt int64 `msgpack:",omitempty"`
}

// age returns for how long the record has been stored, as far as wall clocks tell.
func (r learnedRecord) age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(r.StoredAt)))
}

// sameAs reports whether two records hold the same.
func (r learnedRecord) sameAs(o learnedRecord) bool {
	return bytes.Equal(r.Speeds, o.Speeds) && bytes.Equal(r.Interference, o.Interference)
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
	var record learnedRecord
	if err := decode(item.Value, &record); err != nil {
		l.node.log.Write(aqlog.LearnedIgnored, slog.String("Part", "all"), aqlog.Err(err))
		return nil
	}
	l.storedLearned = record
	l.decide(func(d *aqdecider.Decider) {
		l.restorePart("Interference", record.Interference, d.RestoreInterference)
		l.restorePart("Speeds", record.Speeds, func(part []byte) error {
			return d.RestoreSpeeds(part, record.age(l.node.wallTime()))
		})
	})
	return nil
}

// restorePart applies one part of the record. One that cannot be used does not affect the others.
func (l *leader) restorePart(name string, part []byte, restore func([]byte) error) {
	if len(part) == 0 {
		return
	}
	if err := restore(part); err != nil {
		l.node.log.Write(aqlog.LearnedIgnored, slog.String("Part", name), aqlog.Err(err))
		return
	}
	l.node.log.Write(aqlog.LearnedRestored, slog.String("Part", name), slog.Int("Bytes", len(part)))
}

// storeLearned stores what has been learned unless the store has it.
func (l *leader) storeLearned(ctx context.Context) error {
	record := learnedRecord{StoredAt: l.node.wallTime().UnixMilli()}
	var failure error
	l.decide(func(d *aqdecider.Decider) {
		if record.Interference, failure = d.LearnedInterference(); failure == nil {
			record.Speeds, failure = d.EncodeSpeeds()
		}
	})
	if failure != nil {
		return failure
	}
	if record.sameAs(l.storedLearned) {
		return nil
	}
	value, err := msgpack.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "site: encode what has been learned")
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
	l.storedLearned = record
	return nil
}
