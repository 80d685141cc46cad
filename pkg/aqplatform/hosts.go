package aqplatform

import (
	"context"

	"acaciaquay/pkg/aqtype"
)

// HostState is what the platform's list says of a host. The list lags.
type HostState int

// The host states. A host that is gone is no longer listed.
const (
	HostLive HostState = iota + 1
	HostDraining
)

// WorkerHost is a listed worker.
type WorkerHost struct {
	ID       aqtype.WorkerID
	Address  string
	Zone     aqtype.Zone
	Rack     aqtype.Rack
	State    HostState
	Capacity aqtype.Resources
}

// EndpointHost is a listed instance of a service.
type EndpointHost struct {
	ID      string
	Service string
	Address string
	Zone    aqtype.Zone
	State   HostState
	// Slots is how many requests the endpoint works on side by side.
	Slots int
}

// Hosts is one reading of the platform's list.
type Hosts struct {
	Workers   []WorkerHost
	Endpoints []EndpointHost
	// Dropped lists workers that the platform has declared stopped for good.
	Dropped []aqtype.WorkerID
}

// HostList reads the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context) (Hosts, error)
}
