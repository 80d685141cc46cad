package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqstore"
)

// registryStore carries out the first registration late, without an answer, after the second one. Leases that are not
// renewed end after the renewals in expireAt.
type registryStore struct {
	*fakeStore
	late      *aqstore.Txn
	delivered bool
	granted   aqstore.LeaseID
	renewed   map[aqstore.LeaseID]bool
	renewals  int
	expireAt  int
	// lease is that of the registration.
	lease aqstore.LeaseID
	// onRenewal is called with each renewal.
	onRenewal func(renewals int)
}

// Grant implements aqstore.Store.
func (s *registryStore) Grant(context.Context, time.Duration) (aqstore.LeaseID, error) {
	s.granted++
	return s.granted, nil
}

// Commit implements aqstore.Store.
func (s *registryStore) Commit(ctx context.Context, txn aqstore.Txn) (aqstore.Revision, error) {
	if s.late == nil {
		s.late = &txn
		return 0, aqstore.ErrUnknown
	}
	s.lease = txn.Puts[0].Lease
	return s.fakeStore.Commit(ctx, txn)
}

// KeepAlive implements aqstore.Store.
func (s *registryStore) KeepAlive(ctx context.Context, lease aqstore.LeaseID) error {
	if !s.delivered {
		s.delivered = true
		if _, err := s.Commit(ctx, *s.late); err != nil {
			return err
		}
	}
	s.renewed[lease] = true
	s.renewals++
	if s.renewals == s.expireAt && !s.renewed[s.lease] {
		if _, err := s.fakeStore.Commit(ctx, aqstore.Txn{Deletes: []string{s.late.Puts[0].Key}}); err != nil {
			return err
		}
	}
	s.onRenewal(s.renewals)
	return nil
}

// Guards against a process that is never registered again: its first registration, which was not answered, took effect after the
// second one, and ended with its own lease, which nobody renewed.
func TestDelayedRegistrationDoesNotEndTheNextOne(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &registryStore{
		fakeStore: newFakeStore(),
		renewed:   map[aqstore.LeaseID]bool{},
		expireAt:  5,
	}
	n, _ := testNode(t, store)
	registered := false
	store.onRenewal = func(renewals int) {
		if renewals == 60 {
			_, err := store.Get(ctx, nodeKey(n.settings.Name))
			registered = err == nil
			cancel()
		}
	}
	n.register(ctx)
	if !registered {
		t.Error("the process is not registered a minute after its registration")
	}
}
