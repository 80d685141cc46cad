// Package aqsettings reads a process's settings from an INI file and checks
// every one of them before anything starts.
package aqsettings

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Settings are a host's settings. Both daemons of a host read the same file.
type Settings struct {
	Process   Process
	Platform  Platform
	Peers     Peers
	Shards    Shards
	Scheduler Scheduler
	Session   Session
	Gateway   Gateway
	Log       Log
	// Site is set instead of the others in the file of a site's process.
	Site Site
}

// Process says who the host is.
type Process struct {
	ID   aqtype.HostID
	Zone aqtype.Zone
}

// Platform says where the platform is.
type Platform struct {
	Store       string
	HostList    string
	CallTimeout time.Duration
	HostPoll    time.Duration
}

// Peers bounds membership and the calls between processes.
type Peers struct {
	Seeds        []string
	DialTimeout  time.Duration
	CallTimeout  time.Duration
	LeaseTTL     time.Duration
	WatchWait    time.Duration
	Heartbeat    time.Duration
	Silence      time.Duration
	StoreSilence time.Duration
	FanOut       int
}

// Shards divides the fleet. Every process of a site must have the same values.
type Shards struct {
	Count int
	Zones []aqtype.Zone
}

// Scheduler bounds what a scheduler does.
type Scheduler struct {
	PeerAddress     string
	OperatorAddress string
	CommitInterval  time.Duration
	PlanInterval    time.Duration
	Stall           time.Duration
	Retention       time.Duration
	KeyRetention    time.Duration
	MaxWorkloads    int
	Settle          time.Duration
	StoreRetry      time.Duration
}

// Session bounds worker sessions.
type Session struct {
	TTL          time.Duration
	ProofLimit   time.Duration
	Wait         time.Duration
	Pause        time.Duration
	Reopen       time.Duration
	DriftPercent int
}

// Gateway bounds what a gateway does.
type Gateway struct {
	CallerAddress    string
	PeerAddress      string
	OperatorAddress  string
	RequestTimeout   time.Duration
	OperatorTimeout  time.Duration
	DialTimeout      time.Duration
	ProgressTimeout  time.Duration
	DrainTimeout     time.Duration
	MaxQueue         int
	MaxBodyBytes     int
	RetryEarnPercent int
	RetryBurst       int
}

// Log says what is written.
type Log struct {
	Layers string
}
