package aqscheduler

import (
	"context"
	"time"

	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// RPC methods that reserve and release a request key.
const (
	MethodReserveKey aqpeer.Method = "ReserveKey"
	MethodReleaseKey aqpeer.Method = "ReleaseKey"
)

// KeyHolderRequest reserves or releases a request key for a holder.
type KeyHolderRequest struct {
	Shard  aqtype.ShardID
	Key    aqshard.RequestKey
	Holder string
}

// KeyAnswer reports whether the holder has the key.
type KeyAnswer struct {
	Held bool
}

// maxKeys is the maximum number of reserved keys in one shard.
const maxKeys = 50_000

// ReserveKey reserves a key for the first holder that asks for it. It returns once the
// reservation is committed, and reports whether the given holder has the key. A
// repeated call of the same holder has no effect.
func (s *Shard) ReserveKey(ctx context.Context, key aqshard.RequestKey, holder string) (bool, error) {
	s.mu.Lock()
	err := s.reserveKey(key, holder)
	held := s.latestState.KeyHolder(key) == holder
	pending := s.lastBatch()
	s.mu.Unlock()
	if err != nil {
		return false, err
	}
	if err := await(ctx, pending); err != nil {
		return false, aqpeer.Errorf(aqpeer.CodeUnknown, "%v", err)
	}
	return held, nil
}

// reserveKey appends the record of a reservation. The caller holds the lock.
func (s *Shard) reserveKey(key aqshard.RequestKey, holder string) error {
	switch {
	case s.err != nil || s.closing:
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	case s.latestState.KeyHolder(key) != "":
		return nil
	case s.stalled():
		s.options.Metrics.Refused(aqmetric.RefusedStoreDown)
		return aqpeer.Errorf(aqpeer.CodeExhausted, "the platform's store does not take writes; not run")
	case s.latestState.KeyCount() >= maxKeys:
		s.options.Metrics.Refused(aqmetric.RefusedShardFull)
		return aqpeer.Errorf(aqpeer.CodeExhausted, "shard %d holds %d keys; not run", s.options.ID, maxKeys)
	}
	s.appendRecord(aqshard.KeyReserved{
		Key:      key,
		Holder:   holder,
		AtMillis: s.options.Clock.Now().UnixMilli(),
	})
	return nil
}

// ReleaseKey releases a key whose request was not sent to an endpoint.
func (s *Shard) ReleaseKey(ctx context.Context, key aqshard.RequestKey, holder string) error {
	s.mu.Lock()
	if s.err != nil || s.closing {
		s.mu.Unlock()
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	s.appendRecord(aqshard.KeyReleased{Key: key, Holder: holder})
	pending := s.lastBatch()
	s.mu.Unlock()
	return await(ctx, pending)
}

// keySweepInterval is the time between two searches for expired keys.
const keySweepInterval = time.Minute

// expireKeys deletes keys that are older than the retention time. The caller holds the
// lock.
func (s *Shard) expireKeys(now time.Time) {
	if now.Sub(s.keysSweptAt) < keySweepInterval {
		return
	}
	s.keysSweptAt = now
	before := now.Add(-s.options.Limits.KeyRetention).UnixMilli()
	if s.latestState.HasKeyBefore(before) {
		s.appendRecord(aqshard.KeysExpired{BeforeMillis: before})
	}
}
