// Package aqstandin holds fakes of the platform of gateways and schedulers, which is
// pkg/aqplatform: store, worker, host list and endpoint. Tests, benchmarks,
// demonstrations and the dev command of acaciaquay use them. The fakes for site
// processes are in platform/aqfake.
package aqstandin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Outage refuses every call without running it.
	Outage bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseAnswers is the number of next puts that take effect without an answer.
	LoseAnswers int
	// DropWrites is the number of next puts that do not take effect. The caller
	// gets the same error as for a lost answer.
	DropWrites int
}

// CallCounts counts every call of the store by kind.
type CallCounts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Leases  uint64
	// Refused counts the calls refused by an outage.
	Refused uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory key-value service. It implements aqplatform.Store.
type Store struct {
	mu       sync.Mutex
	clock    aqclock.Clock
	entries  map[string]aqplatform.Entry
	leases   map[aqplatform.LeaseID]lease
	revision aqplatform.Revision
	// lastChange holds the revision of the last change of each key, including
	// deletions, so that a watch reports those too.
	lastChange map[string]aqplatform.Revision
	wake       chan struct{}
	faults     Faults
	counts     CallCounts
}

// NewStore returns an empty store.
func NewStore(clock aqclock.Clock) *Store {
	return &Store{
		clock:      clock,
		entries:    map[string]aqplatform.Entry{},
		leases:     map[aqplatform.LeaseID]lease{},
		lastChange: map[string]aqplatform.Revision{},
		wake:       make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Counts returns the number of calls so far.
func (s *Store) Counts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// beginCall applies an outage and the delay, and expires leases. It returns with the
// lock held unless it fails.
func (s *Store) beginCall(ctx context.Context, count *uint64) error {
	s.mu.Lock()
	delay := s.faults.Delay
	if s.faults.Outage {
		s.counts.Refused++
		s.mu.Unlock()
		return aqplatform.ErrRefused
	}
	*count++
	if delay > 0 {
		s.mu.Unlock()
		select {
		case <-s.clock.After(delay):
		case <-ctx.Done():
			return aqplatform.ErrOutcomeUnknown
		}
		s.mu.Lock()
	}
	s.expireLeases()
	return nil
}

func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id aqplatform.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			delete(s.entries, key)
			s.recordChange(key)
		}
	}
}

func (s *Store) recordChange(key string) aqplatform.Revision {
	s.revision++
	s.lastChange[key] = s.revision
	s.notify()
	return s.revision
}

func (s *Store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Get implements aqplatform.Store.
func (s *Store) Get(ctx context.Context, key string) (aqplatform.Entry, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return aqplatform.Entry{}, err
	}
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return aqplatform.Entry{}, aqplatform.ErrNotFound
	}
	return e, nil
}

// List implements aqplatform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]aqplatform.Entry, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var found []aqplatform.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Put implements aqplatform.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expect aqplatform.Revision, id aqplatform.LeaseID,
) (aqplatform.Revision, error) {
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return 0, aqplatform.ErrOutcomeUnknown
	}
	if expect != aqplatform.AnyRevision && s.entries[key].Revision != expect {
		return 0, aqplatform.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, aqplatform.ErrNotFound
	}
	revision := s.recordChange(key)
	s.entries[key] = aqplatform.Entry{
		Key:      key,
		Value:    append([]byte(nil), value...),
		Revision: revision,
		Lease:    id,
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, aqplatform.ErrOutcomeUnknown
	}
	return revision, nil
}

// Delete implements aqplatform.Store.
func (s *Store) Delete(ctx context.Context, key string, expect aqplatform.Revision) error {
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return aqplatform.ErrNotFound
	}
	if expect != aqplatform.AnyRevision && e.Revision != expect {
		return aqplatform.ErrConflict
	}
	delete(s.entries, key)
	s.recordChange(key)
	return nil
}

// Grant implements aqplatform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (aqplatform.LeaseID, error) {
	if err := s.beginCall(ctx, &s.counts.Leases); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.revision++
	id := aqplatform.LeaseID(s.revision)
	s.leases[id] = lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return id, nil
}

// Renew implements aqplatform.Store.
func (s *Store) Renew(ctx context.Context, id aqplatform.LeaseID) error {
	if err := s.beginCall(ctx, &s.counts.Leases); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return aqplatform.ErrNotFound
	}
	l.expires = s.clock.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke implements aqplatform.Store.
func (s *Store) Revoke(ctx context.Context, id aqplatform.LeaseID) error {
	if err := s.beginCall(ctx, &s.counts.Leases); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.dropLease(id)
	return nil
}

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

// Watch implements aqplatform.Store.
func (s *Store) Watch(
	ctx context.Context, prefix string, after aqplatform.Revision, wait time.Duration,
) (aqplatform.Revision, error) {
	if err := s.beginCall(ctx, &s.counts.Watches); err != nil {
		return 0, err
	}
	s.mu.Unlock()
	deadline := s.clock.Now().Add(wait)
	for {
		s.mu.Lock()
		s.expireLeases()
		now, wake := s.revision, s.wake
		refused := s.faults.Outage
		newer := s.newest(prefix) > after
		s.mu.Unlock()
		if refused {
			return 0, aqplatform.ErrRefused
		}
		if newer || !s.clock.Now().Before(deadline) {
			return now, nil
		}
		select {
		case <-wake:
		case <-s.clock.After(leaseCheckInterval):
		case <-ctx.Done():
			return 0, aqplatform.ErrOutcomeUnknown
		}
	}
}

func (s *Store) newest(prefix string) aqplatform.Revision {
	var newest aqplatform.Revision
	for key, revision := range s.lastChange {
		if strings.HasPrefix(key, prefix) {
			newest = max(newest, revision)
		}
	}
	return newest
}
