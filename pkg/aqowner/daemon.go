// Package aqowner runs a scheduler process: it takes over the shards that membership
// assigns to it, hands over the others, and answers the peers' calls.
package aqowner

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqjournal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqtype"
)

// DaemonOptions configure a scheduler process.
type DaemonOptions struct {
	Self      aqtype.ProcessID
	Shards    int
	Zones     []aqtype.Zone
	Store     aqplatform.Store
	Workers   aqplatform.Workers
	HostList  aqplatform.HostList
	Clock     aqclock.Clock
	Config    *aqconfig.Holder
	Directory *aqmember.Directory
	Peers     aqmember.Caller
	Limits    aqscheduler.Limits
	// HostPollInterval is the time between two reads of the host list.
	HostPollInterval time.Duration
	// HandoverDelay is how long other members must be the preferred owner of a
	// shard before the shard is handed over.
	HandoverDelay time.Duration
	// StartDelay is how long a new process receives heartbeats before it takes
	// over shards.
	StartDelay time.Duration
	// RetryDelay is the delay before a write of a journal is retried.
	RetryDelay time.Duration
	Log        *aqlog.Logger
	Metrics    *aqmetric.Set
}

// Daemon owns the shards that membership assigns to this process.
type Daemon struct {
	options DaemonOptions
	nonce   atomic.Uint64

	mu     sync.Mutex
	shards map[aqtype.ShardID]*ownedShard
	// otherPreferred is when another member became the preferred owner of a shard
	// that this process owns.
	otherPreferred map[aqtype.ShardID]time.Time
	takingOver     map[aqtype.ShardID]bool
	hosts          aqplatform.Hosts
	ownCapacities  []aqscheduler.SpareCapacity
	leaving        bool
	background     sync.WaitGroup
}

// ownedShard is a shard that this process owns.
type ownedShard struct {
	shard  *aqscheduler.Shard
	cancel context.CancelFunc
}

// NewDaemon returns a scheduler that owns no shards yet.
func NewDaemon(o DaemonOptions) *Daemon {
	d := &Daemon{
		options:        o,
		shards:         map[aqtype.ShardID]*ownedShard{},
		otherPreferred: map[aqtype.ShardID]time.Time{},
		takingOver:     map[aqtype.ShardID]bool{},
	}
	d.nonce.Store(uint64(o.Clock.Now().UnixNano()))
	return d
}

// balanceInterval is the maximum time between two checks of shard ownership. The
// hand-over delay and heartbeats that become too old cause no change event.
const balanceInterval = 500 * time.Millisecond

// Run balances shards until ctx ends. It then stops the shards without handing them
// over; see Leave.
func (d *Daemon) Run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Add(1)
	go func() {
		defer polling.Done()
		d.pollHosts(ctx)
	}()
	d.awaitPeers(ctx)
	for ctx.Err() == nil {
		changed := d.options.Directory.Changed()
		d.balance(ctx)
		d.refreshOwnCapacities()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-d.options.Clock.After(balanceInterval):
		}
	}
	polling.Wait()
	d.background.Wait()
}

// awaitPeers waits for the start-up delay, in which heartbeats report the peers'
// shards, so that a new process does not depose live owners.
func (d *Daemon) awaitPeers(ctx context.Context) {
	aqclock.Sleep(ctx, d.options.Clock, d.options.StartDelay)
}

func (d *Daemon) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if hosts, err := d.options.HostList.Hosts(ctx); err == nil {
			d.setHosts(hosts)
		}
		aqclock.Sleep(ctx, d.options.Clock, d.options.HostPollInterval)
	}
}

func (d *Daemon) setHosts(hosts aqplatform.Hosts) {
	d.mu.Lock()
	d.hosts = hosts
	d.mu.Unlock()
	byShard := d.workersByShard(hosts)
	for _, s := range d.ownedShards() {
		s.SetHosts(byShard[s.ID()], hosts.Dropped)
	}
}

func (d *Daemon) workersByShard(hosts aqplatform.Hosts) map[aqtype.ShardID][]aqplatform.WorkerHost {
	byShard := map[aqtype.ShardID][]aqplatform.WorkerHost{}
	for _, w := range hosts.Workers {
		id := aqtype.WorkerShard(w.ID, w.Zone, d.options.Zones, d.options.Shards)
		byShard[id] = append(byShard[id], w)
	}
	return byShard
}

// balance takes over the shards that this process should own and that no responsive
// peer claims, and hands over those that another member should own.
func (d *Daemon) balance(ctx context.Context) {
	for id := range aqtype.ShardID(d.options.Shards) {
		preferred, ok := d.options.Directory.Preferred(id)
		if !ok {
			continue
		}
		mine := preferred.ID == d.options.Self
		owned := d.shard(id)
		if owned != nil {
			d.proveIfClaimed(owned)
		}
		switch {
		case mine && owned == nil:
			d.startTakeover(ctx, id)
		case mine:
			d.clearOtherPreferred(id)
		case owned != nil && d.shouldHandOver(id):
			d.handOver(ctx, id)
		}
	}
}

// ownedShards lists the shards that this process owns, in no order.
func (d *Daemon) ownedShards() []*aqscheduler.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	shards := make([]*aqscheduler.Shard, 0, len(d.shards))
	for _, owned := range d.shards {
		shards = append(shards, owned.shard)
	}
	return shards
}

// proveIfClaimed requests a proof of ownership if a peer claims the shard under a
// higher epoch.
func (d *Daemon) proveIfClaimed(shard *aqscheduler.Shard) {
	if _, epoch := d.options.Directory.Owner(shard.ID()); epoch > shard.Epoch() {
		shard.RequestProof()
	}
}

func (d *Daemon) shard(id aqtype.ShardID) *aqscheduler.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if owned := d.shards[id]; owned != nil {
		return owned.shard
	}
	return nil
}

func (d *Daemon) clearOtherPreferred(id aqtype.ShardID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.otherPreferred, id)
}

func (d *Daemon) shouldHandOver(id aqtype.ShardID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	since, ok := d.otherPreferred[id]
	if !ok {
		d.otherPreferred[id] = now
		return false
	}
	return now.Sub(since) >= d.options.HandoverDelay
}

// startTakeover takes a shard over in the background unless a responsive peer
// claims it.
func (d *Daemon) startTakeover(ctx context.Context, id aqtype.ShardID) {
	if _, epoch := d.options.Directory.Owner(id); epoch > 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.takingOver[id] || d.leaving {
		return
	}
	d.takingOver[id] = true
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		d.takeOver(ctx, id)
	}()
}

// takeoverTimeout limits one takeover or hand-over, which would otherwise wait for
// as long as the store does not answer.
const takeoverTimeout = 10 * time.Second

func (d *Daemon) takeOver(ctx context.Context, id aqtype.ShardID) {
	limited, cancelLimit := context.WithTimeout(ctx, takeoverTimeout)
	shard, err := aqscheduler.TakeOver(limited, d.shardOptions(ctx, id))
	cancelLimit()
	d.mu.Lock()
	delete(d.takingOver, id)
	if err != nil {
		d.mu.Unlock()
		d.options.Log.Write(aqlog.TakeoverFailed, aqlog.Err(err))
		return
	}
	running, cancel := context.WithCancel(ctx)
	d.shards[id] = &ownedShard{shard: shard, cancel: cancel}
	hosts := d.hosts
	d.mu.Unlock()
	shard.SetHosts(d.workersByShard(hosts)[id], hosts.Dropped)
	shard.Run(running)
	if errShard := shard.Err(); errShard != nil {
		d.remove(id, shard)
	}
}

func (d *Daemon) remove(id aqtype.ShardID, shard *aqscheduler.Shard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if owned := d.shards[id]; owned != nil && owned.shard == shard {
		owned.cancel()
		delete(d.shards, id)
	}
}

func (d *Daemon) shardOptions(ctx context.Context, id aqtype.ShardID) aqscheduler.Options {
	o := d.options
	return aqscheduler.Options{
		ID: id,
		Journal: aqjournal.Options{
			Store:     o.Store,
			Clock:     o.Clock,
			Shard:     id,
			Writer:    o.Self,
			NextNonce: func() uint64 { return d.nonce.Add(1) },
			RetryWait: o.RetryDelay,
			Observer: aqscheduler.Observer{
				Log:     o.Log,
				Metrics: o.Metrics,
				Shard:   id,
			},
		},
		Workers:    o.Workers,
		Clock:      o.Clock,
		Config:     o.Config,
		Limits:     o.Limits,
		Policy:     leastInterference,
		Peers:      d,
		Log:        o.Log,
		Metrics:    o.Metrics,
		RunSession: func(c *aqsession.Client) func() { return runSession(ctx, c) },
	}
}

func leastInterference(model *aqplacement.SlowdownModel) aqplacement.Policy {
	return aqplacement.LeastInterference{Model: model}
}

func runSession(ctx context.Context, c *aqsession.Client) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// handOver releases a shard in the background.
func (d *Daemon) handOver(ctx context.Context, id aqtype.ShardID) {
	d.mu.Lock()
	owned := d.shards[id]
	delete(d.otherPreferred, id)
	d.mu.Unlock()
	if owned == nil {
		return
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		d.release(ctx, id, owned.shard)
	}()
}

func (d *Daemon) release(ctx context.Context, id aqtype.ShardID, shard *aqscheduler.Shard) {
	limited, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if err := shard.Release(limited); err != nil {
		d.options.Log.Write(aqlog.TakeoverFailed, slog.Int("Shard", int(id)), aqlog.Err(err))
	}
	d.remove(id, shard)
}

// Leave hands over all shards, for a planned shutdown.
func (d *Daemon) Leave(ctx context.Context) {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	var releases sync.WaitGroup
	for _, shard := range d.ownedShards() {
		releases.Add(1)
		go func() {
			defer releases.Done()
			d.release(ctx, shard.ID(), shard)
		}()
	}
	releases.Wait()
}

// Claims lists the shards that this process owns, ordered by shard.
func (d *Daemon) Claims() []aqmember.Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	capacities := make(map[aqtype.ShardID]aqscheduler.SpareCapacity, len(d.ownCapacities))
	for _, c := range d.ownCapacities {
		capacities[c.Shard] = c
	}
	claims := make([]aqmember.Claim, 0, len(d.shards))
	for id, owned := range d.shards {
		spare := capacities[id]
		claims = append(claims, aqmember.Claim{
			Shard:            id,
			Epoch:            owned.shard.Epoch(),
			Free:             spare.Free,
			MaxFreePerWorker: spare.MaxFreePerWorker,
		})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Shard < claims[j].Shard })
	return claims
}
