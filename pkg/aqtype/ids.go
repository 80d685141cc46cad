// Package aqtype holds the identifiers, units and workload descriptions that
// the other packages share.
package aqtype

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ProcessID identifies a process among the members of the cluster.
type ProcessID string

// WorkerID identifies a worker in the platform's list of hosts.
type WorkerID string

// Zone identifies an availability zone.
type Zone string

// Rack identifies a rack within an availability zone.
type Rack string

// TeamID identifies the team that owns a workload and whose quota it counts against.
type TeamID string

// WorkloadKey is the key that the submitter gives a workload. A repeated submission
// with the same key refers to the first one.
type WorkloadKey string

// TaskKind identifies a kind of recurring task, such as a nightly
// video encode.
type TaskKind string

// ShardID numbers a shard from zero.
type ShardID int

// Epoch counts the successive owners of one shard. It never decreases.
type Epoch uint64

// Attempt numbers the runs of one task, starting at one.
type Attempt int

// CheckpointID identifies a checkpoint that the platform stores; empty means none.
type CheckpointID string

// TaskID identifies one task of a workload.
type TaskID struct {
	Workload WorkloadKey
	Index    int
}

// String formats the ID as key/index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d", t.Workload, t.Index)
}

// Less orders tasks by workload, then by index.
func (t TaskID) Less(o TaskID) bool {
	if t.Workload != o.Workload {
		return t.Workload < o.Workload
	}
	return t.Index < o.Index
}

// HomeShard returns the shard that stores the workload with this key. The same key
// always maps to the same shard, which makes a submission idempotent.
func HomeShard(key WorkloadKey, shards int) ShardID {
	return ShardID(xxhash.Sum64String(string(key)) % uint64(shards))
}

// WorkerShard returns the shard that holds the reservations of a worker. Shard s
// belongs to the availability zone zones[s % len(zones)].
func WorkerShard(worker WorkerID, zone Zone, zones []Zone, shards int) ShardID {
	index := zoneIndex(zone, zones)
	inZone := shardsInZone(index, len(zones), shards)
	if inZone == 0 {
		return ShardID(xxhash.Sum64String(string(worker)) % uint64(shards))
	}
	slot := int(xxhash.Sum64String(string(worker)) % uint64(inZone))
	return ShardID(index + slot*len(zones))
}

func zoneIndex(zone Zone, zones []Zone) int {
	for i, z := range zones {
		if z == zone {
			return i
		}
	}
	return 0
}

func shardsInZone(index, zones, shards int) int {
	if zones == 0 || index >= shards {
		return 0
	}
	return (shards - index + zones - 1) / zones
}
