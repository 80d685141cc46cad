package aqshard

import (
	"github.com/pkg/errors"
)

// RequestKey combines a service and a caller's idempotency key. It identifies a
// request that must run at most once.
type RequestKey string

// KeyReserved allows the holder to send, at most once, the request that has this key.
type KeyReserved struct {
	Key RequestKey
	// Holder identifies one request that a gateway received.
	Holder   string
	AtMillis int64
}

// KeyReleased releases a key whose request was not sent to an endpoint.
type KeyReleased struct {
	Key    RequestKey
	Holder string
}

// KeysExpired deletes the keys reserved before a time.
type KeysExpired struct {
	BeforeMillis int64
}

func (KeyReserved) isRecord() {}
func (KeyReleased) isRecord() {}
func (KeysExpired) isRecord() {}

type keyEntry struct {
	Holder   string
	AtMillis int64
}

// KeyHolder returns the holder of a key, empty if the key is not reserved.
func (s *State) KeyHolder(key RequestKey) string { return s.keys[key].Holder }

// KeyCount returns the number of reserved keys.
func (s *State) KeyCount() int { return len(s.keys) }

// HasKeyBefore reports whether any key was reserved before a time.
func (s *State) HasKeyBefore(millis int64) bool {
	for _, e := range s.keys {
		if e.AtMillis < millis {
			return true
		}
	}
	return false
}

func (s *State) reserveKey(r KeyReserved) error {
	if _, held := s.keys[r.Key]; held {
		return errors.Wrapf(ErrInvalid, "key %s is reserved already", r.Key)
	}
	s.keys[r.Key] = keyEntry{Holder: r.Holder, AtMillis: r.AtMillis}
	return nil
}

func (s *State) releaseKey(r KeyReleased) error {
	if s.keys[r.Key].Holder != r.Holder {
		return errors.Wrapf(ErrInvalid, "key %s is not held by %s", r.Key, r.Holder)
	}
	delete(s.keys, r.Key)
	return nil
}

func (s *State) expireKeys(r KeysExpired) {
	for key, e := range s.keys {
		if e.AtMillis < r.BeforeMillis {
			delete(s.keys, key)
		}
	}
}
