package aqscheduler

import (
	"context"
	"time"

	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// The methods of request keys.
const (
	MethodReserveKey aqpeer.Method = "ReserveKey"
	MethodReleaseKey aqpeer.Method = "ReleaseKey"
)

// KeyHolderRequest names a key and who wants it.
type KeyHolderRequest struct {
	Shard  aqtype.ShardID
	Key    aqshard.RequestKey
	Holder string
}

// KeyAnswer says whether the holder has the key.
type KeyAnswer struct {
	Held bool
}

// maxKeys bounds the keys that one shard holds.
const maxKeys = 50_000

// ReserveKey gives a key to its first holder, and returns once that is
// committed. Asking again as the same holder has no effect.
func (s *Shard) ReserveKey(ctx context.Context, key aqshard.RequestKey, holder string) (bool, error) {
	s.mu.Lock()
	err := s.reserveKey(key, holder)
	held := s.planned.KeyHolder(key) == holder
	waiting := s.lastBatch()
	s.mu.Unlock()
	if err != nil {
		return false, err
	}
	if err := await(ctx, waiting); err != nil {
		return false, aqpeer.Errorf(aqpeer.CodeUnknown, "%v", err)
	}
	return held, nil
}

// reserveKey decides on a reservation. The lock is held.
func (s *Shard) reserveKey(key aqshard.RequestKey, holder string) error {
	switch {
	case s.err != nil || s.closing:
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	case s.planned.KeyHolder(key) != "":
		return nil
	case s.stalled():
		s.options.Metrics.Refused(aqmetric.RefusedStoreDown)
		return aqpeer.Errorf(aqpeer.CodeExhausted, "the platform's store does not take writes; not run")
	case s.planned.KeyCount() >= maxKeys:
		s.options.Metrics.Refused(aqmetric.RefusedShardFull)
		return aqpeer.Errorf(aqpeer.CodeExhausted, "shard %d holds %d keys; not run", s.options.ID, maxKeys)
	}
	s.decide(aqshard.KeyReserved{
		Key:      key,
		Holder:   holder,
		AtMillis: s.options.Clock.Now().UnixMilli(),
	})
	return nil
}

// ReleaseKey gives back a key whose request was not sent.
func (s *Shard) ReleaseKey(ctx context.Context, key aqshard.RequestKey, holder string) error {
	s.mu.Lock()
	if s.err != nil || s.closing {
		s.mu.Unlock()
		return aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", s.options.ID)
	}
	s.decide(aqshard.KeyReleased{Key: key, Holder: holder})
	waiting := s.lastBatch()
	s.mu.Unlock()
	return await(ctx, waiting)
}

// keySweep is the time between two looks at the age of keys.
const keySweep = time.Minute

// expireKeys forgets keys that are older than the retention. The lock is held.
func (s *Shard) expireKeys(now time.Time) {
	if now.Sub(s.keysSwept) < keySweep {
		return
	}
	s.keysSwept = now
	before := now.Add(-s.options.Limits.KeyRetention).UnixMilli()
	if s.planned.HasKeyBefore(before) {
		s.decide(aqshard.KeysExpired{BeforeMillis: before})
	}
}
