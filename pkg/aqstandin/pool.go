package aqstandin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// WorkerPool runs several workers in one process and lists them in service discovery.
type WorkerPool struct {
	Platform *ControlClient
	Address  string
	// Prefix is the prefix of every worker's id.
	Prefix string
	Count  int
	// Zones are assigned to the workers round-robin.
	Zones []string
	// Intake limits the clients of the workers, nil for no limit.
	Intake *aqintake.Intake
}

// Intervals and timeouts of a worker pool, and the size of its workers.
const (
	poolTickInterval      = 20 * time.Millisecond
	poolHeartbeatInterval = 500 * time.Millisecond
	workerMilliCPU        = 64_000
	workerMemoryMiB       = 250 * 1024
	workerGPUs            = 2
	workersPerRack        = 6
	poolHeaderTimeout     = 5 * time.Second
	poolShutdownTimeout   = 2 * time.Second
)

// Run serves the workers until ctx ends.
func (p WorkerPool) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.Address)
	if err != nil {
		return errors.Wrap(err, "stand-in: listen for workers")
	}
	hosts := p.hosts()
	workers := make([]*Worker, 0, len(hosts))
	for _, h := range hosts {
		opener := NewEndpointOpener("127.0.0.1", h.Zone, p.Platform, p.Platform)
		workers = append(workers, NewWorker(aqclock.System{}, h, p.Platform, opener))
	}
	fleet := NewFleet(workers...)
	server := p.server(fleet.WorkerHandler())
	go func() { _ = server.Serve(listener) }()
	p.tickAndHeartbeat(ctx, fleet, hosts)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), poolShutdownTimeout)
	defer cancel()
	_ = server.Shutdown(closing)
	return nil
}

// server returns an HTTP server, with the limits of the intake if there is one.
func (p WorkerPool) server(handler http.Handler) interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
} {
	if p.Intake != nil {
		return p.Intake.Server(p.Address, handler, aqintake.Port{})
	}
	return &http.Server{Handler: handler, ReadHeaderTimeout: poolHeaderTimeout}
}

func (p WorkerPool) hosts() []aqplatform.WorkerHost {
	hosts := make([]aqplatform.WorkerHost, 0, p.Count)
	for i := range p.Count {
		hosts = append(hosts, aqplatform.WorkerHost{
			ID:      aqtype.WorkerID(fmt.Sprintf("%s%03d", p.Prefix, i)),
			Address: p.Address,
			Zone:    aqtype.Zone(p.Zones[i%len(p.Zones)]),
			Rack:    aqtype.Rack(fmt.Sprintf("%s-rack%d", p.Prefix, i/workersPerRack)),
			State:   aqplatform.HostLive,
			Capacity: aqtype.Resources{
				MilliCPU:     workerMilliCPU,
				Memory:       workerMemoryMiB,
				Accelerators: workerGPUs,
			},
		})
	}
	return hosts
}

// tickAndHeartbeat calls the workers' Tick and sends their heartbeats until ctx ends.
func (p WorkerPool) tickAndHeartbeat(ctx context.Context, fleet *Fleet, hosts []aqplatform.WorkerHost) {
	tick := time.NewTicker(poolTickInterval)
	defer tick.Stop()
	heartbeat := time.NewTicker(poolHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			fleet.Tick()
		case <-heartbeat.C:
			for _, h := range hosts {
				_ = p.Platform.PutWorker(h)
			}
		}
	}
}
