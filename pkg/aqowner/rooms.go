package aqowner

import (
	"context"
	"time"

	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqtype"
)

// Rooms implements Neighbours: the shards of this process and of others.
func (d *Daemon) Rooms() []aqscheduler.Room {
	var rooms []aqscheduler.Room
	for _, c := range d.options.Directory.Claims() {
		rooms = append(rooms, aqscheduler.Room{
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
	rooms := make([]aqscheduler.Room, 0, len(shards))
	for _, s := range shards {
		rooms = append(rooms, s.Room())
	}
	d.mu.Lock()
	d.ownRooms = rooms
	d.mu.Unlock()
}

// HandOn implements Neighbours.
func (d *Daemon) HandOn(ctx context.Context, to aqtype.ShardID, r aqscheduler.HandOnRequest) (aqscheduler.HandOnAnswer, error) {
	if d.held(to) != nil {
		return d.handOn(ctx, r)
	}
	owner, epoch := d.options.Directory.Owner(to)
	if epoch == 0 {
		return aqscheduler.HandOnAnswer{}, aqpeer.Errorf(aqpeer.CodeNotOwner, "nobody owns shard %d", to)
	}
	var answer aqscheduler.HandOnAnswer
	err := d.options.Peers.Call(ctx, owner.PeerAddress, aqscheduler.MethodHandOn, r, &answer)
	return answer, err
}

func (d *Daemon) handOn(ctx context.Context, r aqscheduler.HandOnRequest) (aqscheduler.HandOnAnswer, error) {
	shard, err := d.owned(r.To)
	if err != nil {
		return aqscheduler.HandOnAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, handOnLimit)
	defer cancel()
	return shard.HandOn(ctx, r)
}

// handOnLimit bounds one call between shards.
const handOnLimit = 5 * time.Second
