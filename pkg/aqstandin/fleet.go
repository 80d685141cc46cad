package aqstandin

import (
	"context"
	"sort"
	"sync"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Fleet calls workers in the same process by id. It implements aqplatform.Workers and
// ignores the address.
type Fleet struct {
	mu      sync.Mutex
	workers map[aqtype.WorkerID]*Worker
}

// NewFleet returns a fleet of the workers.
func NewFleet(workers ...*Worker) *Fleet {
	f := &Fleet{workers: map[aqtype.WorkerID]*Worker{}}
	for _, w := range workers {
		f.workers[w.host.ID] = w
	}
	return f
}

func (f *Fleet) worker(id aqtype.WorkerID) (*Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	if !ok {
		return nil, aqplatform.ErrWorkerOutcomeUnknown
	}
	return w, nil
}

// Tick calls Tick on every worker, in the order of their ids.
func (f *Fleet) Tick() {
	f.mu.Lock()
	workers := make([]*Worker, 0, len(f.workers))
	for _, w := range f.workers {
		workers = append(workers, w)
	}
	f.mu.Unlock()
	sort.Slice(workers, func(i, j int) bool { return workers[i].host.ID < workers[j].host.ID })
	for _, w := range workers {
		w.Tick()
	}
}

// Open implements aqplatform.Workers.
func (f *Fleet) Open(
	ctx context.Context, _ string, r aqplatform.OpenRequest,
) (aqplatform.SessionAnswer, error) {
	w, err := f.worker(r.Worker)
	if err != nil {
		return aqplatform.SessionAnswer{}, err
	}
	return w.Open(ctx, r)
}

// Renew implements aqplatform.Workers.
func (f *Fleet) Renew(
	ctx context.Context, _ string, r aqplatform.RenewRequest,
) (aqplatform.SessionAnswer, error) {
	w, err := f.worker(r.Worker)
	if err != nil {
		return aqplatform.SessionAnswer{}, err
	}
	return w.Renew(ctx, r)
}

// Command implements aqplatform.Workers.
func (f *Fleet) Command(
	ctx context.Context, _ string, r aqplatform.CommandRequest,
) (aqplatform.CommandAnswer, error) {
	w, err := f.worker(r.Worker)
	if err != nil {
		return aqplatform.CommandAnswer{}, err
	}
	return w.Command(ctx, r)
}

// versionedHost is an entry of service discovery with the time at which it becomes
// visible.
type versionedHost[T any] struct {
	host      T
	visibleAt time.Time
}

// HostRegistry is the platform's service discovery. An entry becomes visible after the
// lag.
type HostRegistry struct {
	mu         sync.Mutex
	clock      aqclock.Clock
	lag        time.Duration
	workers    map[aqtype.WorkerID]versionedHost[aqplatform.WorkerHost]
	heartbeats map[aqtype.WorkerID]time.Time
	dropAfter  time.Duration
	dropped    map[aqtype.WorkerID]bool
	endpoints  map[string][]versionedHost[aqplatform.EndpointHost]
}

// NewHostRegistry returns an empty registry. A worker without a heartbeat for dropAfter
// is dropped; zero means never.
func NewHostRegistry(clock aqclock.Clock, lag, dropAfter time.Duration) *HostRegistry {
	return &HostRegistry{
		clock:      clock,
		lag:        lag,
		workers:    map[aqtype.WorkerID]versionedHost[aqplatform.WorkerHost]{},
		heartbeats: map[aqtype.WorkerID]time.Time{},
		dropAfter:  dropAfter,
		dropped:    map[aqtype.WorkerID]bool{},
		endpoints:  map[string][]versionedHost[aqplatform.EndpointHost]{},
	}
}

// PutWorker lists a worker. Each call counts as its heartbeat.
func (r *HostRegistry) PutWorker(h aqplatform.WorkerHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats[h.ID] = r.clock.Now()
	if known, ok := r.workers[h.ID]; ok && known.host == h {
		return
	}
	delete(r.dropped, h.ID)
	r.workers[h.ID] = versionedHost[aqplatform.WorkerHost]{host: h, visibleAt: r.clock.Now().Add(r.lag)}
}

// DropWorker declares a worker stopped permanently.
func (r *HostRegistry) DropWorker(id aqtype.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id)
}

func (r *HostRegistry) drop(id aqtype.WorkerID) {
	delete(r.workers, id)
	delete(r.heartbeats, id)
	r.dropped[id] = true
}

// PutEndpoint lists an endpoint or changes its state.
func (r *HostRegistry) PutEndpoint(h aqplatform.EndpointHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := versionedHost[aqplatform.EndpointHost]{host: h, visibleAt: r.clock.Now().Add(r.lag)}
	r.endpoints[h.ID] = append(r.endpoints[h.ID], entry)
}

// RemoveEndpoint removes an endpoint.
func (r *HostRegistry) RemoveEndpoint(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, id)
}

// Hosts implements aqplatform.HostList.
func (r *HostRegistry) Hosts(context.Context) (aqplatform.Hosts, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.dropExpired(now)
	var hosts aqplatform.Hosts
	for _, w := range r.workers {
		if !w.visibleAt.After(now) {
			hosts.Workers = append(hosts.Workers, w.host)
		}
	}
	for id := range r.dropped {
		hosts.Dropped = append(hosts.Dropped, id)
	}
	for _, versions := range r.endpoints {
		if e, ok := latestVisible(versions, now); ok {
			hosts.Endpoints = append(hosts.Endpoints, e)
		}
	}
	sort.Slice(hosts.Workers, func(i, j int) bool { return hosts.Workers[i].ID < hosts.Workers[j].ID })
	sort.Slice(hosts.Dropped, func(i, j int) bool { return hosts.Dropped[i] < hosts.Dropped[j] })
	sort.Slice(hosts.Endpoints, func(i, j int) bool { return hosts.Endpoints[i].ID < hosts.Endpoints[j].ID })
	return hosts, nil
}

func (r *HostRegistry) dropExpired(now time.Time) {
	if r.dropAfter == 0 {
		return
	}
	for id, lastHeartbeat := range r.heartbeats {
		if now.Sub(lastHeartbeat) > r.dropAfter {
			r.drop(id)
		}
	}
}

func latestVisible(
	versions []versionedHost[aqplatform.EndpointHost], now time.Time,
) (aqplatform.EndpointHost, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].visibleAt.After(now) {
			return versions[i].host, true
		}
	}
	return aqplatform.EndpointHost{}, false
}
