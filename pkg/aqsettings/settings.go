// Package aqsettings reads the settings of a process from an INI file and checks
// all of them before the process starts.
package aqsettings

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Settings holds the settings of a host, whose gateway and scheduler read the same
// file, or those of a site's process in Site alone. The fields are named after their
// settings; Fields and SiteFields say what each one means.
type Settings struct {
	Process   Process
	Platform  Platform
	Peers     Peers
	Shards    Shards
	Scheduler Scheduler
	Session   Session
	Gateway   Gateway
	Log       Log
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
	Store       string
	HostList    string
	CallTimeout time.Duration
	HostPoll    time.Duration
}

// Peers configures membership and the calls between processes.
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

// Shards divides the fleet. Its values must be the same in every process of a site.
type Shards struct {
	Count int
	Zones []aqtype.Zone
}

// Scheduler configures a scheduler.
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

// Session configures worker sessions.
type Session struct {
	TTL          time.Duration
	ProofLimit   time.Duration
	Wait         time.Duration
	Pause        time.Duration
	Reopen       time.Duration
	DriftPercent int
}

// Gateway configures a gateway.
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

// Log selects the log events that are written. Layers is in the form that aqlog.New
// reads.
type Log struct {
	Layers string
}
