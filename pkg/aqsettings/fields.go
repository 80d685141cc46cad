package aqsettings

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Field describes one setting: its place in the file, its check and its documentation.
type Field struct {
	Section string
	Key     string
	// Unit is the unit or the format of the value.
	Unit string
	// Default is used when the key is absent. A required setting has none.
	Default  string
	Required bool
	Range    string
	Doc      string

	set func(*Settings, string) error
}

// Fields lists the settings of gateways and schedulers in the order of the docs.
var Fields = append(hostFields, intakeFields...)

var hostFields = []Field{
	required("Process", "Id", "name", "Name of this host, unique among all hosts.",
		name(func(s *Settings, v string) { s.Process.ID = aqtype.ProcessID(v) })),
	required("Process", "Zone", "name", "Availability zone of this host, one of Shards.Zones.",
		name(func(s *Settings, v string) { s.Process.Zone = aqtype.Zone(v) })),

	required("Platform", "Store", "IP:port", "Address of the platform's key-value store.",
		address(func(s *Settings) *string { return &s.Platform.Store })),
	required("Platform", "HostList", "IP:port", "Address of the platform's list of hosts.",
		address(func(s *Settings) *string { return &s.Platform.HostList })),
	duration("Platform", "CallTimeout", "2s", 100*time.Millisecond, time.Minute,
		"Timeout of one call to the platform's store or host list.",
		func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
	duration("Platform", "HostPoll", "1s", 50*time.Millisecond, 2*time.Second,
		"Interval between two reads of the host list. An endpoint that is listed as draining gets no new requests after the next read.",
		func(s *Settings) *time.Duration { return &s.Platform.HostPoll }),

	optional("Peers", "Seeds", "IP:port, comma-separated", "",
		"Peer addresses that get heartbeats even if the store does not list them, so that a process can start during a store outage.",
		addresses(func(s *Settings) *[]string { return &s.Peers.Seeds })),
	duration("Peers", "DialTimeout", "500ms", 10*time.Millisecond, 10*time.Second,
		"Timeout of opening a connection to a peer.",
		func(s *Settings) *time.Duration { return &s.Peers.DialTimeout }),
	duration("Peers", "CallTimeout", "3s", 100*time.Millisecond, time.Minute,
		"Timeout of one call to a peer. When a call times out, its connection is closed.",
		func(s *Settings) *time.Duration { return &s.Peers.CallTimeout }),
	duration("Peers", "LeaseTTL", "3s", time.Second, time.Minute,
		"Time to live of a process's lease in the store.",
		func(s *Settings) *time.Duration { return &s.Peers.LeaseTTL }),
	duration("Peers", "WatchWait", "20s", time.Second, 10*time.Minute,
		"How long one watch of members and configuration waits for a change.",
		func(s *Settings) *time.Duration { return &s.Peers.WatchWait }),
	duration("Peers", "Heartbeat", "1s", 50*time.Millisecond, 10*time.Second,
		"Interval between two rounds of heartbeats to peers.",
		func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
	duration("Peers", "Silence", "3s", 200*time.Millisecond, time.Minute,
		"Time without a heartbeat from a peer after which its claims to shards no longer count.",
		func(s *Settings) *time.Duration { return &s.Peers.Silence }),
	duration("Peers", "StoreSilence", "10s", time.Second, 10*time.Minute,
		"How long a peer may be cut off from the store before its claims to shards no longer count.",
		func(s *Settings) *time.Duration { return &s.Peers.StoreSilence }),
	count("Peers", "FanOut", "processes", "8", 1, 1000,
		"Maximum number of peers in one round of heartbeats.",
		func(s *Settings) *int { return &s.Peers.FanOut }),

	countRequired("Shards", "Count", "shards", 1, 10000,
		"Number of shards of the site. It must be the same on every host, and changing it requires an empty site.",
		func(s *Settings) *int { return &s.Shards.Count }),
	required("Shards", "Zones", "names, comma-separated",
		"Availability zones of the site, in the same order on every host.",
		zones(func(s *Settings) *[]aqtype.Zone { return &s.Shards.Zones })),

	required("Scheduler", "PeerAddress", "IP:port", "Address on which the scheduler serves peers.",
		address(func(s *Settings) *string { return &s.Scheduler.PeerAddress })),
	required("Scheduler", "OperatorAddress", "IP:port", "Address on which the scheduler serves health and metrics.",
		address(func(s *Settings) *string { return &s.Scheduler.OperatorAddress })),
	duration("Scheduler", "CommitInterval", "150ms", time.Millisecond, 10*time.Second,
		"Minimum interval between two journal writes of a shard.",
		func(s *Settings) *time.Duration { return &s.Scheduler.CommitInterval }),
	duration("Scheduler", "PlanInterval", "20ms", time.Millisecond, 10*time.Second,
		"Minimum interval between two placement rounds of a shard.",
		func(s *Settings) *time.Duration { return &s.Scheduler.PlanInterval }),
	duration("Scheduler", "Stall", "1s", 10*time.Millisecond, time.Minute,
		"How long a journal write may take before the shard refuses submissions. Refused submissions did not run.",
		func(s *Settings) *time.Duration { return &s.Scheduler.Stall }),
	duration("Scheduler", "Retention", "1h", time.Second, 30*24*time.Hour,
		"How long an ended workload is kept and shown. Until then its key cannot be used for another workload.",
		func(s *Settings) *time.Duration { return &s.Scheduler.Retention }),
	duration("Scheduler", "KeyRetention", "1h", time.Minute, 7*24*time.Hour,
		"How long the idempotency key of a request is kept. A repeat after that counts as a new request.",
		func(s *Settings) *time.Duration { return &s.Scheduler.KeyRetention }),
	count("Scheduler", "MaxWorkloads", "workloads", "5000", 1, 100000,
		"Maximum number of workloads that one shard keeps, including ended ones.",
		func(s *Settings) *int { return &s.Scheduler.MaxWorkloads }),
	duration("Scheduler", "Settle", "5s", time.Second, 10*time.Minute,
		"How long another scheduler must be a shard's preferred owner before the shard is handed over to it.",
		func(s *Settings) *time.Duration { return &s.Scheduler.Settle }),
	duration("Scheduler", "StoreRetry", "200ms", 10*time.Millisecond, time.Minute,
		"Delay before a refused or lost journal call is retried.",
		func(s *Settings) *time.Duration { return &s.Scheduler.StoreRetry }),

	duration("Session", "TTL", "60s", time.Second, 10*time.Minute,
		"How long a worker keeps its tasks without a renewal of its session (T).",
		func(s *Settings) *time.Duration { return &s.Session.TTL }),
	duration("Session", "ProofLimit", "10m", time.Second, 24*time.Hour,
		"How long a scheduler renews sessions without new proof that it owns the shard (D). It limits the store outage that running work survives.",
		func(s *Settings) *time.Duration { return &s.Session.ProofLimit }),
	duration("Session", "Wait", "20s", 100*time.Millisecond, 5*time.Minute,
		"How long a worker holds a renewal while it has no change to report.",
		func(s *Settings) *time.Duration { return &s.Session.Wait }),
	duration("Session", "Pause", "50ms", time.Millisecond, 10*time.Second,
		"Minimum interval between two renewals to a worker.",
		func(s *Settings) *time.Duration { return &s.Session.Pause }),
	duration("Session", "Reopen", "500ms", 10*time.Millisecond, time.Minute,
		"Delay before a failed session is opened again, and before orders with an unknown outcome are sent again.",
		func(s *Settings) *time.Duration { return &s.Session.Reopen }),
	count("Session", "DriftPercent", "percent", "5", 0, 50,
		"Maximum clock drift: how much faster one host's clock may run than another's.",
		func(s *Settings) *int { return &s.Session.DriftPercent }),

	required("Gateway", "CallerAddress", "IP:port", "Address on which the gateway serves callers.",
		address(func(s *Settings) *string { return &s.Gateway.CallerAddress })),
	required("Gateway", "PeerAddress", "IP:port", "Address on which the gateway serves peers.",
		address(func(s *Settings) *string { return &s.Gateway.PeerAddress })),
	required("Gateway", "OperatorAddress", "IP:port", "Address on which the gateway serves operators, health and metrics.",
		address(func(s *Settings) *string { return &s.Gateway.OperatorAddress })),
	duration("Gateway", "RequestTimeout", "30s", 10*time.Millisecond, time.Hour,
		"Timeout of a request. Callers can ask for a shorter one, not for a longer one.",
		func(s *Settings) *time.Duration { return &s.Gateway.RequestTimeout }),
	duration("Gateway", "OperatorTimeout", "10s", 100*time.Millisecond, 10*time.Minute,
		"Timeout of an operator's call.",
		func(s *Settings) *time.Duration { return &s.Gateway.OperatorTimeout }),
	duration("Gateway", "DialTimeout", "500ms", 10*time.Millisecond, 10*time.Second,
		"Timeout of opening a connection to an endpoint.",
		func(s *Settings) *time.Duration { return &s.Gateway.DialTimeout }),
	duration("Gateway", "ProgressTimeout", "10s", 10*time.Millisecond, time.Hour,
		"How long a connection to an endpoint or to a slow caller may transfer no bytes before it is closed.",
		func(s *Settings) *time.Duration { return &s.Gateway.ProgressTimeout }),
	duration("Gateway", "DrainTimeout", "60s", time.Second, time.Hour,
		"How long a planned stop waits for requests in flight.",
		func(s *Settings) *time.Duration { return &s.Gateway.DrainTimeout }),
	count("Gateway", "MaxQueue", "requests", "2000", 1, 1000000,
		"Maximum number of requests that wait for one service in one gateway.",
		func(s *Settings) *int { return &s.Gateway.MaxQueue }),
	count("Gateway", "MaxBodyBytes", "bytes", "8388608", 1, 1<<30,
		"Maximum size of a request body.",
		func(s *Settings) *int { return &s.Gateway.MaxBodyBytes }),
	count("Gateway", "RetryEarnPercent", "percent", "10", 0, 100,
		"Retry budget: percent of one retry that each answered request adds.",
		func(s *Settings) *int { return &s.Gateway.RetryEarnPercent }),
	count("Gateway", "RetryBurst", "retries", "10", 1, 10000,
		"Retry budget: maximum number of retries that can accumulate.",
		func(s *Settings) *int { return &s.Gateway.RetryBurst }),

	optional("Log", "Layers", "names, comma-separated", "all",
		"Layers whose events below warning level are written: all, or some of member, journal, session, scheduler, gateway, peer, config, process.",
		setLayers),
}
