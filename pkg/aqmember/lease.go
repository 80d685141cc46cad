package aqmember

import (
	"context"
	"log/slog"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqplatform"
)

// Every process watches livePrefix, which covers the members and the configuration,
// with a single watch.
const (
	livePrefix   = "aq/live/"
	memberPrefix = "aq/live/member/"
)

// Registrar keeps this process's lease alive and its directory up to date with the
// store.
type Registrar struct {
	Directory *Directory
	Store     aqplatform.Store
	Config    *aqconfig.Holder
	Log       *aqlog.Logger

	mu           sync.Mutex
	lease        aqplatform.LeaseID
	failing      bool
	revision     aqplatform.Revision
	deregistered bool
}

// renewalsPerTTL is the number of lease renewals per time to live.
const renewalsPerTTL = 3

// Run renews the lease and watches the store until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		r.runWatch(ctx)
	}()
	for ctx.Err() == nil {
		r.recordResult(r.Renew(ctx))
		aqclock.Sleep(ctx, r.Directory.clock, r.Directory.limits.TTL/renewalsPerTTL)
	}
	watching.Wait()
}

// Renew renews the lease, or registers if there is none.
func (r *Registrar) Renew(ctx context.Context) error {
	r.mu.Lock()
	lease, deregistered := r.lease, r.deregistered
	r.mu.Unlock()
	if deregistered {
		return nil
	}
	if lease == 0 {
		return r.register(ctx)
	}
	err := r.Store.Renew(ctx, lease)
	if errors.Is(err, aqplatform.ErrNotFound) {
		r.Log.Write(aqlog.LeaseLost)
		r.setLease(0)
		return r.register(ctx)
	}
	return err
}

func (r *Registrar) register(ctx context.Context) error {
	lease, err := r.Store.Grant(ctx, r.Directory.limits.TTL)
	if err != nil {
		return err
	}
	value, err := msgpack.Marshal(r.Directory.self)
	if err != nil {
		return errors.Wrap(err, "member: encode")
	}
	key := memberPrefix + string(r.Directory.self.ID)
	if _, err := r.Store.Put(ctx, key, value, aqplatform.AnyRevision, lease); err != nil {
		return err
	}
	r.setLease(lease)
	return nil
}

func (r *Registrar) setLease(lease aqplatform.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
}

// Deregister revokes the lease, so that other processes take over at once.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.deregistered = true
	r.lease = 0
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return r.Store.Revoke(ctx, lease)
}

// recordResult records the result of a renewal. It logs the first failure and the
// first success after failures.
func (r *Registrar) recordResult(err error) {
	if err == nil {
		r.Directory.storeAnswered()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && !r.failing:
		r.failing = true
		r.Log.Write(aqlog.StoreUnavailable, aqlog.Err(err))
	case err == nil && r.failing:
		r.failing = false
		r.Log.Write(aqlog.StoreBack)
	}
}

func (r *Registrar) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.Refresh(ctx); err != nil {
			aqclock.Sleep(ctx, r.Directory.clock, r.Directory.limits.HeartbeatInterval)
			continue
		}
		revision, err := r.Store.Watch(ctx, livePrefix, r.revision, r.Directory.limits.WatchWait)
		if err != nil {
			aqclock.Sleep(ctx, r.Directory.clock, r.Directory.limits.HeartbeatInterval)
			continue
		}
		r.revision = revision
	}
}

// Refresh reads the members and the configuration from the store.
func (r *Registrar) Refresh(ctx context.Context) error {
	entries, err := r.Store.List(ctx, livePrefix)
	if err != nil {
		return err
	}
	r.Directory.storeAnswered()
	var members []Member
	for _, e := range entries {
		switch {
		case e.Key == aqconfig.Key:
			r.Config.ApplyEncoded(e.Value)
		case strings.HasPrefix(e.Key, memberPrefix):
			var m Member
			if err := msgpack.Unmarshal(e.Value, &m); err == nil {
				members = append(members, m)
			}
		}
	}
	joined, left := r.Directory.setLeased(members)
	for _, m := range joined {
		r.Log.Write(aqlog.MemberJoined, slog.String("Member", string(m.ID)), slog.String("Role", string(m.Role)))
	}
	for _, m := range left {
		r.Log.Write(aqlog.MemberLeft, slog.String("Member", string(m.ID)), slog.String("Role", string(m.Role)))
	}
	return nil
}
