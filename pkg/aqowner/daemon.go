// Package aqowner runs a scheduler process: it takes the shards that membership
// gives to it, hands others over, and answers the peers' calls.
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
	Self      aqtype.HostID
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
	// HostPollInterval is the time between two readings of the host list.
	HostPollInterval time.Duration
	// HandoverDelay is how long the preferred owner must stay the same before a shard
	// is handed over to it.
	HandoverDelay time.Duration
	// StartDelay is how long a new process listens before it takes shards.
	StartDelay time.Duration
	// RetryDelay is the pause before a refused or lost journal call is tried again.
	RetryDelay time.Duration
	Log        *aqlog.Logger
	Metrics    *aqmetric.Set
}

// Daemon owns the shards that membership gives to this process.
type Daemon struct {
	options DaemonOptions
	nonce   atomic.Uint64

	mu     sync.Mutex
	shards map[aqtype.ShardID]*held
	// unsettled is when another member became the preferred owner of a held
	// shard.
	unsettled map[aqtype.ShardID]time.Time
	taking    map[aqtype.ShardID]bool
	hosts     aqplatform.Hosts
	ownRooms  []aqscheduler.SpareCapacity
	leaving   bool
	work      sync.WaitGroup
}

// held is a shard in this process's hands.
type held struct {
	shard  *aqscheduler.Shard
	cancel context.CancelFunc
}

// NewDaemon returns a scheduler that owns nothing yet.
func NewDaemon(o DaemonOptions) *Daemon {
	d := &Daemon{
		options:   o,
		shards:    map[aqtype.ShardID]*held{},
		unsettled: map[aqtype.ShardID]time.Time{},
		taking:    map[aqtype.ShardID]bool{},
	}
	d.nonce.Store(uint64(o.Clock.Now().UnixNano()))
	return d
}

// balancePeriod bounds how long a change of membership goes unnoticed.
const balancePeriod = 500 * time.Millisecond

// Run balances shards until ctx ends. Shards are stopped, not handed over; see
// Leave.
func (d *Daemon) Run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Add(1)
	go func() {
		defer polling.Done()
		d.runHosts(ctx)
	}()
	d.awaitPeers(ctx)
	for ctx.Err() == nil {
		changed := d.options.Directory.Changed()
		d.balance(ctx)
		d.readRooms()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-d.options.Clock.After(balancePeriod):
		}
	}
	polling.Wait()
	d.work.Wait()
}

// awaitPeers gives a new process the time to learn which shards the others hold,
// so that a start does not depose owners that live.
func (d *Daemon) awaitPeers(ctx context.Context) {
	aqclock.Sleep(ctx, d.options.Clock, d.options.StartDelay)
}

func (d *Daemon) runHosts(ctx context.Context) {
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
	for _, s := range d.allHeld() {
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

// balance takes the shards that this process should own and nobody holds, and
// hands over those that another should own.
func (d *Daemon) balance(ctx context.Context) {
	for id := range aqtype.ShardID(d.options.Shards) {
		preferred, ok := d.options.Directory.Preferred(id)
		if !ok {
			continue
		}
		mine := preferred.ID == d.options.Self
		held := d.held(id)
		if held != nil {
			d.doubtIfClaimed(held)
		}
		switch {
		case mine && held == nil:
			d.tryTake(ctx, id)
		case mine:
			d.settled(id)
		case held != nil && d.shouldHandOver(id):
			d.handOver(ctx, id)
		}
	}
}

// allHeld lists the shards in this process's hands, in no order.
func (d *Daemon) allHeld() []*aqscheduler.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	shards := make([]*aqscheduler.Shard, 0, len(d.shards))
	for _, h := range d.shards {
		shards = append(shards, h.shard)
	}
	return shards
}

// doubtIfClaimed asks a held shard for a proof when a peer claims it under a
// higher epoch.
func (d *Daemon) doubtIfClaimed(shard *aqscheduler.Shard) {
	if _, epoch := d.options.Directory.Owner(shard.ID()); epoch > shard.Epoch() {
		shard.RequestProof()
	}
}

func (d *Daemon) held(id aqtype.ShardID) *aqscheduler.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.shards[id]; h != nil {
		return h.shard
	}
	return nil
}

func (d *Daemon) settled(id aqtype.ShardID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unsettled, id)
}

func (d *Daemon) shouldHandOver(id aqtype.ShardID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	since, ok := d.unsettled[id]
	if !ok {
		d.unsettled[id] = now
		return false
	}
	return now.Sub(since) >= d.options.HandoverDelay
}

// tryTake takes a shard over in the background unless somebody who answers
// claims it.
func (d *Daemon) tryTake(ctx context.Context, id aqtype.ShardID) {
	if _, epoch := d.options.Directory.Owner(id); epoch > 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.taking[id] || d.leaving {
		return
	}
	d.taking[id] = true
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		d.take(ctx, id)
	}()
}

// takeLimit bounds one takeover, so that a store that is down does not hold it
// for ever.
const takeLimit = 10 * time.Second

func (d *Daemon) take(ctx context.Context, id aqtype.ShardID) {
	limited, cancelLimit := context.WithTimeout(ctx, takeLimit)
	shard, err := aqscheduler.TakeOver(limited, d.shardOptions(ctx, id))
	cancelLimit()
	d.mu.Lock()
	delete(d.taking, id)
	if err != nil {
		d.mu.Unlock()
		d.options.Log.Write(aqlog.TakeoverFailed, aqlog.Err(err))
		return
	}
	running, cancel := context.WithCancel(ctx)
	d.shards[id] = &held{shard: shard, cancel: cancel}
	hosts := d.hosts
	d.mu.Unlock()
	shard.SetHosts(d.workersByShard(hosts)[id], hosts.Dropped)
	shard.Run(running)
	if errShard := shard.Err(); errShard != nil {
		d.drop(id, shard)
	}
}

func (d *Daemon) drop(id aqtype.ShardID, shard *aqscheduler.Shard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.shards[id]; h != nil && h.shard == shard {
		h.cancel()
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
		Policy:     interferingPolicy,
		Peers:      d,
		Log:        o.Log,
		Metrics:    o.Metrics,
		RunSession: func(k *aqsession.Client) func() { return runKeeper(ctx, k) },
	}
}

func interferingPolicy(pairs *aqplacement.SlowdownModel) aqplacement.Policy {
	return aqplacement.LeastInterference{Model: pairs}
}

func runKeeper(ctx context.Context, k *aqsession.Client) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// handOver releases a shard in the background.
func (d *Daemon) handOver(ctx context.Context, id aqtype.ShardID) {
	d.mu.Lock()
	h := d.shards[id]
	delete(d.unsettled, id)
	d.mu.Unlock()
	if h == nil {
		return
	}
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		d.release(ctx, id, h.shard)
	}()
}

func (d *Daemon) release(ctx context.Context, id aqtype.ShardID, shard *aqscheduler.Shard) {
	limited, cancel := context.WithTimeout(ctx, takeLimit)
	defer cancel()
	if err := shard.Release(limited); err != nil {
		d.options.Log.Write(aqlog.TakeoverFailed, slog.Int("Shard", int(id)), aqlog.Err(err))
	}
	d.drop(id, shard)
}

// Leave hands every shard over, for a planned stop.
func (d *Daemon) Leave(ctx context.Context) {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	var releases sync.WaitGroup
	for _, shard := range d.allHeld() {
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
	rooms := make(map[aqtype.ShardID]aqscheduler.SpareCapacity, len(d.ownRooms))
	for _, room := range d.ownRooms {
		rooms[room.Shard] = room
	}
	claims := make([]aqmember.Claim, 0, len(d.shards))
	for id, h := range d.shards {
		room := rooms[id]
		claims = append(claims, aqmember.Claim{
			Shard:   id,
			Epoch:   h.shard.Epoch(),
			Free:    room.Free,
			Largest: room.Largest,
		})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Shard < claims[j].Shard })
	return claims
}
