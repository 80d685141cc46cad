// Package aqsettings reads the settings of a process from an INI file and checks
// all of them before the process starts.
package aqsettings

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Settings has one of two forms. For a host, whose gateway and scheduler read the same
// file, all fields but Site are set. For a process that schedules a site, only Site is
// set. The fields are named after their settings; Fields and SiteFields document each
// of them.
type Settings struct {
	Process   Process
	Platform  Platform
	Peers     Peers
	Shards    Shards
	Scheduler Scheduler
	Session   Session
	Gateway   Gateway
	Log       Log
	// Intake is also set by LoadSite and ParseSite.
	Intake Intake
	// Site is set by LoadSite and ParseSite, which leave the other fields empty.
	Site Site
}

// Process identifies the host on which the gateway and the scheduler run.
type Process struct {
	// ID names the host; the id of each of its processes is ID, a hyphen and the role.
	ID   aqtype.ProcessID
	Zone aqtype.Zone
}

// Platform holds the addresses of the platform and the timing of calls to it.
type Platform struct {
	Store    string
	HostList string
	// CallTimeout is the timeout of one call to the store or the host list.
	CallTimeout time.Duration
	// HostPoll is the interval between two reads of the host list.
	HostPoll time.Duration
}

// Peers configures membership and the calls between processes.
type Peers struct {
	// Seeds are peer addresses that get heartbeats even if the store does not list
	// them.
	Seeds       []string
	DialTimeout time.Duration
	// CallTimeout is the timeout of one call to a peer.
	CallTimeout time.Duration
	// LeaseTTL is the time to live of a process's lease in the store.
	LeaseTTL time.Duration
	// WatchWait is how long one watch of members and configuration waits for a
	// change.
	WatchWait time.Duration
	// Heartbeat is the interval between two rounds of heartbeats to peers.
	Heartbeat time.Duration
	// Silence is the heartbeat timeout: the time without a heartbeat from a peer
	// after which its claims to shards are ignored.
	Silence time.Duration
	// StoreSilence is the time since the store last answered a peer after which the
	// peer's claims to shards are ignored.
	StoreSilence time.Duration
	// FanOut is the maximum number of peers in one round of heartbeats.
	FanOut int
}

// Shards divides the fleet. Its values must be the same in every process of a site.
type Shards struct {
	// Count is the number of shards of the site.
	Count int
	// Zones are the availability zones of the site, in the same order on every host.
	Zones []aqtype.Zone
}

// Scheduler configures a scheduler.
type Scheduler struct {
	PeerAddress string
	// OperatorAddress is the address on which the scheduler serves health and metrics.
	OperatorAddress string
	// CommitInterval is the minimum interval between two journal writes of a shard.
	CommitInterval time.Duration
	// PlanInterval is the minimum interval between two placement rounds of a shard.
	PlanInterval time.Duration
	// Stall is how long a journal write may take before the shard refuses
	// submissions and pauses placement.
	Stall time.Duration
	// Retention is how long the shard retains an ended workload.
	Retention time.Duration
	// KeyRetention is how long the shard retains the idempotency key of a request.
	KeyRetention time.Duration
	// MaxWorkloads is the maximum number of workloads in one shard, including ended
	// ones.
	MaxWorkloads int
	// Settle is the hand-over delay: how long another scheduler must be a shard's
	// preferred owner before the shard is handed over to it.
	Settle time.Duration
	// StoreRetry is the delay before a refused or lost journal call is retried.
	StoreRetry time.Duration
}

// Session configures worker sessions.
type Session struct {
	// TTL is how long a worker keeps its tasks without a renewal of its session.
	TTL time.Duration
	// ProofLimit is how long a scheduler renews sessions without new proof that it
	// owns the shard.
	ProofLimit time.Duration
	// Wait is how long a worker holds a renewal while it has no change to report.
	Wait time.Duration
	// Pause is the delay between the answer to a renewal and the next renewal.
	Pause time.Duration
	// Reopen is the delay before a failed session is opened again, and before orders
	// with an unknown outcome are sent again.
	Reopen time.Duration
	// DriftPercent is the maximum difference in rate between two hosts' clocks.
	DriftPercent int
}

// Gateway configures a gateway.
type Gateway struct {
	CallerAddress string
	PeerAddress   string
	// OperatorAddress is the address on which the gateway serves operators, health
	// and metrics.
	OperatorAddress string
	// RequestTimeout is the longest timeout of a caller's request, and its default.
	RequestTimeout time.Duration
	// OperatorTimeout is the timeout of an operator's call.
	OperatorTimeout time.Duration
	// DialTimeout is the timeout of opening a connection to an endpoint.
	DialTimeout time.Duration
	// ProgressTimeout is how long a connection to an endpoint or to a slow caller may
	// transfer no bytes before it is closed.
	ProgressTimeout time.Duration
	// DrainTimeout is how long a planned stop waits for requests in flight.
	DrainTimeout time.Duration
	// MaxQueue is the maximum number of requests that wait for one service.
	MaxQueue     int
	MaxBodyBytes int
	// RetryEarnPercent is the percentage of one retry that each answered request
	// adds to the retry budget.
	RetryEarnPercent int
	// RetryBurst is the maximum number of retries in the retry budget.
	RetryBurst int
}

// Log selects the log events that are written. Layers is a comma-separated list of
// components, such as journal or gateway, whose events below warning level are written
// too; "all" means every one.
type Log struct {
	Layers string
}
