package aqplatform

import (
	"context"

	"acaciaquay/pkg/aqtype"
)

// HostState is the state of a host in the platform's list. The list lags behind the
// actual state.
type HostState int

// The host states. A host that has shut down is no longer listed.
const (
	HostLive HostState = iota + 1
	HostDraining
)

// WorkerHost is a worker in the platform's list.
type WorkerHost struct {
	ID       aqtype.WorkerID
	Address  string
	Zone     aqtype.Zone
	Rack     aqtype.Rack
	State    HostState
	Capacity aqtype.Resources
}

// EndpointHost is an instance of a service in the platform's list.
type EndpointHost struct {
	ID      string
	Service string
	Address string
	Zone    aqtype.Zone
	State   HostState
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
}

// Hosts is the content of the platform's list at one time.
type Hosts struct {
	Workers   []WorkerHost
	Endpoints []EndpointHost
	// Dropped lists the workers that the platform has declared permanently stopped.
	Dropped []aqtype.WorkerID
}

// HostList reads the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context) (Hosts, error)
}
