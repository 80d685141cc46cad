package aqowner

import (
	"context"
	"time"

	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqtype"
)

// SpareCapacities implements Neighbours: the shards of this process and of others.
func (d *Daemon) SpareCapacities() []aqscheduler.SpareCapacity {
	var rooms []aqscheduler.SpareCapacity
	for _, c := range d.options.Directory.Claims() {
		rooms = append(rooms, aqscheduler.SpareCapacity{
			Shard:   c.Shard,
			Free:    c.Free,
			Largest: c.Largest,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(rooms, d.ownRooms...)
}

// readRooms refreshes the rooms of this process's shards. Shards read each
// other's rooms from here, because they must not take each other's locks.
func (d *Daemon) readRooms() {
	shards := d.allHeld()
	rooms := make([]aqscheduler.SpareCapacity, 0, len(shards))
	for _, s := range shards {
		rooms = append(rooms, s.SpareCapacity())
	}
	d.mu.Lock()
	d.ownRooms = rooms
	d.mu.Unlock()
}

// Offload implements Neighbours.
func (d *Daemon) Offload(ctx context.Context, to aqtype.ShardID, r aqscheduler.OffloadRequest) (aqscheduler.OffloadAnswer, error) {
	if d.held(to) != nil {
		return d.handOn(ctx, r)
	}
	owner, epoch := d.options.Directory.Owner(to)
	if epoch == 0 {
		return aqscheduler.OffloadAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "nobody owns shard %d", to)
	}
	var answer aqscheduler.OffloadAnswer
	err := d.options.Peers.Call(ctx, owner.PeerAddress, aqscheduler.MethodOffload, r, &answer)
	return answer, err
}

func (d *Daemon) handOn(ctx context.Context, r aqscheduler.OffloadRequest) (aqscheduler.OffloadAnswer, error) {
	shard, err := d.owned(r.To)
	if err != nil {
		return aqscheduler.OffloadAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, handOnLimit)
	defer cancel()
	return shard.AcceptOffload(ctx, r)
}

// handOnLimit bounds one call between shards.
const handOnLimit = 5 * time.Second
