package aqsite

import (
	"context"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
)

// fakeStore is an in-memory store. fault, if set, decides the outcome of each
// commit.
type fakeStore struct {
	mu       sync.Mutex
	revision aqstore.Revision
	items    map[string]aqstore.Item
	// fault returns an error for a commit, and whether the commit takes effect
	// nevertheless.
	fault   func(aqstore.Txn) (err error, applied bool)
	commits int
	// rangeFault, if set, may fail a full read.
	rangeFault func(prefix string) error
	// onWatch, if set, is called with each watch.
	onWatch func(prefix string, wait time.Duration)
	// revoked counts the leases that were ended.
	revoked int
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, items: map[string]aqstore.Item{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (aqstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return item, aqstore.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]aqstore.Item, aqstore.Revision, error) {
	if s.rangeFault != nil {
		if err := s.rangeFault(prefix); err != nil {
			return nil, 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []aqstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, s.revision, nil
}

func (s *fakeStore) Watch(
	ctx context.Context, prefix string, after aqstore.Revision, wait time.Duration,
) ([]aqstore.Event, aqstore.Revision, error) {
	if s.onWatch != nil {
		s.onWatch(prefix, wait)
	}
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (s *fakeStore) Commit(_ context.Context, txn aqstore.Txn) (aqstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.fault != nil {
		if err, applied := s.fault(txn); err != nil {
			if applied {
				_, _ = s.apply(txn)
			}
			return 0, err
		}
	}
	return s.apply(txn)
}

func (s *fakeStore) apply(txn aqstore.Txn) (aqstore.Revision, error) {
	conflict := &aqstore.ConflictError{}
	holds := true
	for _, c := range txn.Conditions {
		item, ok := s.items[c.Key]
		holds = holds && item.ModRevision == c.ModRevision
		if ok {
			conflict.Current = append(conflict.Current, item)
		}
	}
	if !holds {
		return 0, conflict
	}
	s.revision++
	for _, w := range txn.Puts {
		created := s.items[w.Key].CreateRevision
		if created == 0 {
			created = s.revision
		}
		s.items[w.Key] = aqstore.Item{
			Key:            w.Key,
			Value:          w.Value,
			ModRevision:    s.revision,
			CreateRevision: created,
		}
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
	}
	return s.revision, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (aqstore.LeaseID, error) { return 1, nil }
func (s *fakeStore) KeepAlive(context.Context, aqstore.LeaseID) error              { return nil }
func (s *fakeStore) Revoke(context.Context, aqstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked++
	return nil
}

func testNode(t *testing.T, store aqstore.Store) (*Node, aqclock.Instant) {
	t.Helper()
	clock := aqclock.NewInstant()
	n := NewNode(Options{
		Catalog: Catalog{WorkerPrefix: "workers/"},
		Settings: Settings{
			Name:        "n1",
			PeerAddress: "127.0.0.1:1",
			Processors:  1,
			WorkerLease: 5 * time.Second,

			StoreValueMax: 1 << 20,

			Decider: aqdecider.Limits{Retention: time.Hour},
		},
		Store:   store,
		Clock:   clock,
		Log:     aqlog.Discard(),
		Metrics: aqmetric.New(),
		PeerLimits: aqinbound.Limits{
			Connections: 100,
			Budget:      aqinbound.DefaultBudget(0, aqpeer.MaxFrameBytes),
		},
		Incarnation: 7,
	})
	t.Cleanup(n.peers.Close)
	return n, clock
}
