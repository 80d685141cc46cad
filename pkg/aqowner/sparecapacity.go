package aqowner

import (
	"context"
	"time"

	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqtype"
)

// SpareCapacities implements aqscheduler.PeerShards. It returns the spare capacity of
// each shard that a peer claims or this process owns.
func (d *Daemon) SpareCapacities() []aqscheduler.SpareCapacity {
	var capacities []aqscheduler.SpareCapacity
	for _, c := range d.options.Directory.Claims() {
		capacities = append(capacities, aqscheduler.SpareCapacity{
			Shard:            c.Shard,
			Free:             c.Free,
			MaxFreePerWorker: c.MaxFreePerWorker,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(capacities, d.ownCapacities...)
}

// refreshOwnCapacities refreshes the spare capacities of this process's shards. The shards
// read these copies, because a shard must not lock another one.
func (d *Daemon) refreshOwnCapacities() {
	shards := d.ownedShards()
	capacities := make([]aqscheduler.SpareCapacity, 0, len(shards))
	for _, s := range shards {
		capacities = append(capacities, s.SpareCapacity())
	}
	d.mu.Lock()
	d.ownCapacities = capacities
	d.mu.Unlock()
}

// Offload implements aqscheduler.PeerShards. It calls a shard of this process
// directly and any other through its owner.
func (d *Daemon) Offload(ctx context.Context, to aqtype.ShardID, r aqscheduler.OffloadRequest) (aqscheduler.OffloadAnswer, error) {
	if d.shard(to) != nil {
		return d.acceptOffload(ctx, r)
	}
	owner, epoch := d.options.Directory.Owner(to)
	if epoch == 0 {
		return aqscheduler.OffloadAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "nobody owns shard %d", to)
	}
	var answer aqscheduler.OffloadAnswer
	err := d.options.Peers.Call(ctx, owner.PeerAddress, aqscheduler.MethodOffload, r, &answer)
	return answer, err
}

func (d *Daemon) acceptOffload(ctx context.Context, r aqscheduler.OffloadRequest) (aqscheduler.OffloadAnswer, error) {
	shard, err := d.owned(r.To)
	if err != nil {
		return aqscheduler.OffloadAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, offloadTimeout)
	defer cancel()
	return shard.AcceptOffload(ctx, r)
}

// offloadTimeout is the receiving shard's time limit for one offload call.
const offloadTimeout = 5 * time.Second
