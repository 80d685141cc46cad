// Package aqtype holds the identifiers, units and workload descriptions that
// every other package shares.
package aqtype

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// HostID names an entry host's process in membership.
type HostID string

// WorkerID names a worker as the platform lists it.
type WorkerID string

// Zone names an availability zone.
type Zone string

// Rack names a rack within an availability zone.
type Rack string

// TeamID names the team that owns a workload and its quota.
type TeamID string

// WorkloadKey is the operator's key of a workload. Submitting the same key
// twice meets the first submission.
type WorkloadKey string

// TaskKind names a recurring sort of task, such as a proof render.
type TaskKind string

// ShardID numbers a shard from zero.
type ShardID int

// Epoch counts the owners of one shard. It only grows.
type Epoch uint64

// Attempt numbers the runs of one task from one.
type Attempt int

// CheckpointID names saved progress on the platform; empty means none.
type CheckpointID string

// TaskID names one task of a workload.
type TaskID struct {
	Workload WorkloadKey
	Index    int
}

// String renders the id as key/index.
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

// HomeShard is the shard that keeps the workload with this key. The same key
// always has the same home, which is what makes a submission idempotent.
func HomeShard(key WorkloadKey, shards int) ShardID {
	return ShardID(xxhash.Sum64String(string(key)) % uint64(shards))
}

// WorkerShard is the shard that holds the reservations of a worker. The shards
// of one availability zone are those congruent to the zone's index.
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
