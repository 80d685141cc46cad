package aqsettings

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Field is one setting as the file, the checks and the docs know it.
type Field struct {
	Section string
	Key     string
	// Unit names what the value counts.
	Unit string
	// Default is taken when the key is absent; with Required there is none.
	Default  string
	Required bool
	Range    string
	Doc      string

	set func(*Settings, string) error
}

// Fields lists every setting in the order of the docs.
var Fields = []Field{
	required("Process", "Id", "name", "Name of this host, different from every other host's.",
		name(func(s *Settings, v string) { s.Process.ID = aqtype.HostID(v) })),
	required("Process", "Zone", "name", "Availability zone of this host, one of Shards.Zones.",
		name(func(s *Settings, v string) { s.Process.Zone = aqtype.Zone(v) })),

	required("Platform", "Store", "IP:port", "Address of the platform's key-value service.",
		address(func(s *Settings) *string { return &s.Platform.Store })),
	required("Platform", "HostList", "IP:port", "Address of the platform's list of hosts.",
		address(func(s *Settings) *string { return &s.Platform.HostList })),
	duration("Platform", "CallTimeout", "2s", 100*time.Millisecond, time.Minute,
		"Bound of one call of the platform's store or host list.",
		func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
	duration("Platform", "HostPoll", "1s", 50*time.Millisecond, 2*time.Second,
		"Time between two readings of the host list. A leaving endpoint gets nothing new one poll after it is listed.",
		func(s *Settings) *time.Duration { return &s.Platform.HostPoll }),

	optional("Peers", "Seeds", "IP:port, comma-separated", "",
		"Peer addresses to greet at a start while the store does not answer.",
		addresses(func(s *Settings) *[]string { return &s.Peers.Seeds })),
	duration("Peers", "DialTimeout", "500ms", 10*time.Millisecond, 10*time.Second,
		"Bound of opening a connection to a peer.",
		func(s *Settings) *time.Duration { return &s.Peers.DialTimeout }),
	duration("Peers", "CallTimeout", "3s", 100*time.Millisecond, time.Minute,
		"Bound of one call to a peer. A call that runs into it retires the connection.",
		func(s *Settings) *time.Duration { return &s.Peers.CallTimeout }),
	duration("Peers", "LeaseTTL", "3s", time.Second, time.Minute,
		"Time to live of a process's lease in the store.",
		func(s *Settings) *time.Duration { return &s.Peers.LeaseTTL }),
	duration("Peers", "WatchWait", "20s", time.Second, 10*time.Minute,
		"How long one watch of members and configuration waits.",
		func(s *Settings) *time.Duration { return &s.Peers.WatchWait }),
	duration("Peers", "Heartbeat", "1s", 50*time.Millisecond, 10*time.Second,
		"Time between two heartbeats to a peer.",
		func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
	duration("Peers", "Silence", "3s", 200*time.Millisecond, time.Minute,
		"Silence after which a peer's claims to shards do not count.",
		func(s *Settings) *time.Duration { return &s.Peers.Silence }),
	duration("Peers", "StoreSilence", "10s", time.Second, 10*time.Minute,
		"How long a peer may be cut off from the store before its claims do not count.",
		func(s *Settings) *time.Duration { return &s.Peers.StoreSilence }),
	count("Peers", "FanOut", "processes", "8", 1, 1000,
		"Peers that one round of heartbeats goes to at most.",
		func(s *Settings) *int { return &s.Peers.FanOut }),

	countRequired("Shards", "Count", "shards", 1, 10000,
		"Number of shards of the site. The same on every host; changing it needs an empty site.",
		func(s *Settings) *int { return &s.Shards.Count }),
	required("Shards", "Zones", "names, comma-separated",
		"Availability zones of the site, in the same order on every host.",
		zones(func(s *Settings) *[]aqtype.Zone { return &s.Shards.Zones })),

	required("Scheduler", "PeerAddress", "IP:port", "Where the scheduler serves peers.",
		address(func(s *Settings) *string { return &s.Scheduler.PeerAddress })),
	required("Scheduler", "OperatorAddress", "IP:port", "Where the scheduler serves health and metrics.",
		address(func(s *Settings) *string { return &s.Scheduler.OperatorAddress })),
	duration("Scheduler", "CommitInterval", "150ms", time.Millisecond, 10*time.Second,
		"Least time between two journal writes of a shard.",
		func(s *Settings) *time.Duration { return &s.Scheduler.CommitInterval }),
	duration("Scheduler", "PlanInterval", "20ms", time.Millisecond, 10*time.Second,
		"Least time between two placement rounds of a shard.",
		func(s *Settings) *time.Duration { return &s.Scheduler.PlanInterval }),
	duration("Scheduler", "Stall", "1s", 10*time.Millisecond, time.Minute,
		"How long a journal write may take before submissions are refused as not run.",
		func(s *Settings) *time.Duration { return &s.Scheduler.Stall }),
	duration("Scheduler", "Retention", "1h", time.Second, 30*24*time.Hour,
		"How long an ended workload is kept and shown, and its key stands for it.",
		func(s *Settings) *time.Duration { return &s.Scheduler.Retention }),
	duration("Scheduler", "KeyRetention", "1h", time.Minute, 7*24*time.Hour,
		"How long the key of a request is kept; a repeat after that is a new request.",
		func(s *Settings) *time.Duration { return &s.Scheduler.KeyRetention }),
	count("Scheduler", "MaxWorkloads", "workloads", "5000", 1, 100000,
		"Workloads that one shard keeps, ended ones included.",
		func(s *Settings) *int { return &s.Scheduler.MaxWorkloads }),
	duration("Scheduler", "Settle", "5s", time.Second, 10*time.Minute,
		"How long another scheduler must be preferred before a shard is handed over to it.",
		func(s *Settings) *time.Duration { return &s.Scheduler.Settle }),
	duration("Scheduler", "StoreRetry", "200ms", 10*time.Millisecond, time.Minute,
		"Pause before a refused or lost journal call is tried again.",
		func(s *Settings) *time.Duration { return &s.Scheduler.StoreRetry }),

	duration("Session", "TTL", "60s", time.Second, 10*time.Minute,
		"How long a worker keeps its tasks without a renewal (T).",
		func(s *Settings) *time.Duration { return &s.Session.TTL }),
	duration("Session", "ProofLimit", "10m", time.Second, 24*time.Hour,
		"How long renewals go on without proof of ownership (D). It bounds the store outage that running work survives.",
		func(s *Settings) *time.Duration { return &s.Session.ProofLimit }),
	duration("Session", "Wait", "20s", 100*time.Millisecond, 5*time.Minute,
		"How long a worker holds a renewal that has no news.",
		func(s *Settings) *time.Duration { return &s.Session.Wait }),
	duration("Session", "Pause", "50ms", time.Millisecond, 10*time.Second,
		"Least time between two renewals to a worker.",
		func(s *Settings) *time.Duration { return &s.Session.Pause }),
	duration("Session", "Reopen", "500ms", 10*time.Millisecond, time.Minute,
		"Pause before a failed session is opened again.",
		func(s *Settings) *time.Duration { return &s.Session.Reopen }),
	count("Session", "DriftPercent", "percent", "5", 0, 50,
		"Bound of how much faster one host's clock runs than another's.",
		func(s *Settings) *int { return &s.Session.DriftPercent }),

	required("Gateway", "CallerAddress", "IP:port", "Where the gateway serves callers.",
		address(func(s *Settings) *string { return &s.Gateway.CallerAddress })),
	required("Gateway", "PeerAddress", "IP:port", "Where the gateway serves peers.",
		address(func(s *Settings) *string { return &s.Gateway.PeerAddress })),
	required("Gateway", "OperatorAddress", "IP:port", "Where the gateway serves operators, health and metrics.",
		address(func(s *Settings) *string { return &s.Gateway.OperatorAddress })),
	duration("Gateway", "RequestTimeout", "30s", 10*time.Millisecond, time.Hour,
		"Bound of a request; callers can only ask for less.",
		func(s *Settings) *time.Duration { return &s.Gateway.RequestTimeout }),
	duration("Gateway", "OperatorTimeout", "10s", 100*time.Millisecond, 10*time.Minute,
		"Bound of an operator's call.",
		func(s *Settings) *time.Duration { return &s.Gateway.OperatorTimeout }),
	duration("Gateway", "DialTimeout", "500ms", 10*time.Millisecond, 10*time.Second,
		"Bound of opening a connection to an endpoint.",
		func(s *Settings) *time.Duration { return &s.Gateway.DialTimeout }),
	duration("Gateway", "ProgressTimeout", "10s", 10*time.Millisecond, time.Hour,
		"Time without a byte after which an endpoint's connection or a slow caller's is given up.",
		func(s *Settings) *time.Duration { return &s.Gateway.ProgressTimeout }),
	duration("Gateway", "DrainTimeout", "60s", time.Second, time.Hour,
		"How long a planned stop waits for requests in progress.",
		func(s *Settings) *time.Duration { return &s.Gateway.DrainTimeout }),
	count("Gateway", "MaxQueue", "requests", "2000", 1, 1000000,
		"Requests that wait for one service in one gateway.",
		func(s *Settings) *int { return &s.Gateway.MaxQueue }),
	count("Gateway", "MaxBodyBytes", "bytes", "8388608", 1, 1<<30,
		"Largest body of a request.",
		func(s *Settings) *int { return &s.Gateway.MaxBodyBytes }),
	count("Gateway", "RetryEarnPercent", "percent", "10", 0, 100,
		"Part of a retry that each answered request earns.",
		func(s *Settings) *int { return &s.Gateway.RetryEarnPercent }),
	count("Gateway", "RetryBurst", "retries", "10", 1, 10000,
		"Retries that can be saved up.",
		func(s *Settings) *int { return &s.Gateway.RetryBurst }),

	optional("Log", "Layers", "names, comma-separated", "all",
		"Layers whose events below warning are written: all, or some of member, journal, session, scheduler, gateway, peer, config, process.",
		setLayers),
}
