package aqscheduler

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqjournal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

// testLimits has short session times and a short stall limit, so that a sequence of
// steps exceeds them.
var testLimits = Limits{
	Session: aqsession.Limits{
		TTL:        4 * time.Second,
		ProofLimit: 6 * time.Second,
	},
	StallLimit:   time.Second,
	Retention:    time.Hour,
	KeyRetention: time.Hour,
	MaxWorkloads: 1000,
}

var workerSize = aqtype.Resources{
	MilliCPU: 4000,
	Memory:   4096,
}

// testEnv is the environment of one shard: fakes of the platform, and the processes
// that own the shard or owned it before. Everything runs in the caller's goroutine.
type testEnv struct {
	clock    *aqclock.Fake
	store    *aqstandin.Store
	truth    *aqstandin.Truth
	fleet    *aqstandin.Fleet
	workers  []*aqstandin.Worker
	hosts    []aqplatform.WorkerHost
	dropped  []aqtype.WorkerID
	owners   []*owner
	nonce    uint64
	delivery func() aqstandin.Delivery
	// acked holds the workloads whose submission succeeded.
	acked map[aqtype.WorkloadKey]aqtype.Spec
	// refused holds the workloads whose submission was answered as not run.
	refused map[aqtype.WorkloadKey]bool
	// granted holds the holders whose reservation of a key succeeded.
	granted map[aqshard.RequestKey][]string
	config  *aqconfig.Holder
	shard   aqtype.ShardID
	// peers are the other shards.
	peers PeerShards
}

// noPeers is a PeerShards without shards.
type noPeers struct{}

func (noPeers) SpareCapacities() []SpareCapacity { return nil }

func (noPeers) Offload(context.Context, aqtype.ShardID, OffloadRequest) (OffloadAnswer, error) {
	return OffloadAnswer{}, aqpeer.ErrNotSent
}

// owner is one process that took the shard over, or tried to.
type owner struct {
	env     *testEnv
	name    string
	network *aqstandin.Network
	shard   *Shard
	clients map[*aqsession.Client]bool
	submits []pendingSubmit
	keys    []pendingKey
}

// pendingKey is a key reservation whose caller still waits for the answer.
type pendingKey struct {
	key    aqshard.RequestKey
	holder string
	batch  *batch
}

// pendingSubmit is a submission whose caller still waits for the answer.
type pendingSubmit struct {
	spec  aqtype.Spec
	batch *batch
}

func newTestEnv(workers int) *testEnv {
	env := &testEnv{
		clock:    aqclock.NewFake(),
		truth:    aqstandin.NewTruth(),
		delivery: func() aqstandin.Delivery { return aqstandin.Delivered },
		acked:    map[aqtype.WorkloadKey]aqtype.Spec{},
		refused:  map[aqtype.WorkloadKey]bool{},
		granted:  map[aqshard.RequestKey][]string{},
		config:   aqconfig.NewHolder(aqlog.Discard()),

		peers: noPeers{},
	}
	env.store = aqstandin.NewStore(env.clock)
	for i := range workers {
		host := aqstandin.NewWorkerHost(fmt.Sprintf("w%d", i), workerSize)
		env.hosts = append(env.hosts, host)
		env.workers = append(env.workers, aqstandin.NewWorker(env.clock, host, env.truth, nil))
	}
	env.fleet = aqstandin.NewFleet(env.workers...)
	return env
}

// advance advances the clock and runs the workers up to the new time.
func (env *testEnv) advance(d time.Duration) {
	env.clock.Advance(d)
	env.fleet.Tick()
}

// takeOver makes a new process take the shard over. It returns nil if that failed.
func (env *testEnv) takeOver() *owner {
	o := &owner{
		env:     env,
		name:    fmt.Sprintf("owner%d", len(env.owners)),
		clients: map[*aqsession.Client]bool{},
	}
	o.network = &aqstandin.Network{Next: func() aqstandin.Delivery { return env.delivery() }}
	shard, err := TakeOver(context.Background(), o.options())
	env.owners = append(env.owners, o)
	if err != nil {
		return nil
	}
	o.shard = shard
	o.readHosts()
	return o
}

func (o *owner) options() Options {
	env := o.env
	metrics := aqmetric.New()
	log, _ := aqlog.New(io.Discard, o.name, "")
	return Options{
		ID: env.shard,
		Journal: aqjournal.Options{
			Shard:  env.shard,
			Store:  aqstandin.StoreNetwork{Network: o.network, Store: env.store},
			Clock:  env.clock,
			Writer: aqtype.ProcessID(o.name),
			NextNonce: func() uint64 {
				env.nonce++
				return env.nonce
			},
			Observer: Observer{
				Log:     log,
				Metrics: metrics,
			},
		},
		Workers: aqstandin.WorkerNetwork{Network: o.network, Workers: env.fleet},
		Clock:   env.clock,
		Config:  env.config,
		Limits:  testLimits,
		Policy: func(*aqplacement.SlowdownModel) aqplacement.Policy {
			return aqplacement.Spread{}
		},
		Peers:   env.peers,
		Log:     log,
		Metrics: metrics,
		RunSession: func(c *aqsession.Client) func() {
			o.clients[c] = true
			return func() {}
		},
	}
}

func (o *owner) readHosts() { o.shard.SetHosts(o.env.hosts, o.env.dropped) }

// alive reports whether the process considers itself the owner of the shard.
func (o *owner) alive() bool { return o.shard != nil && o.shard.Err() == nil }

// liveOwners returns the processes that consider themselves owners of the shard.
func (env *testEnv) liveOwners() []*owner {
	var alive []*owner
	for _, o := range env.owners {
		if o.alive() {
			alive = append(alive, o)
		}
	}
	return alive
}

// commit makes one attempt to write the segment in flight, and answers the callers
// whose submissions and key reservations it resolves.
func (o *owner) commit() {
	o.shard.CommitStep(context.Background())
	o.answerCallers()
}

// reserve asks for a key. A later commit answers the caller.
func (o *owner) reserve(key aqshard.RequestKey, holder string) {
	s := o.shard
	s.mu.Lock()
	err := s.reserveKey(key, holder)
	held := s.latestState.KeyHolder(key) == holder
	pending := s.lastBatch()
	s.mu.Unlock()
	if err == nil && held {
		o.keys = append(o.keys, pendingKey{
			key:    key,
			holder: holder,
			batch:  pending,
		})
	}
}

func (o *owner) answerKeys() {
	left := o.keys[:0]
	for _, p := range o.keys {
		select {
		case <-p.batch.done:
			if p.batch.err == nil {
				o.env.granted[p.key] = append(o.env.granted[p.key], p.holder)
			}
		default:
			left = append(left, p)
		}
	}
	o.keys = left
}

func (o *owner) answerCallers() {
	o.answerKeys()
	left := o.submits[:0]
	for _, p := range o.submits {
		select {
		case <-p.batch.done:
			if p.batch.err == nil {
				o.env.acked[p.spec.Base().Key] = p.spec
			}
		default:
			left = append(left, p)
		}
	}
	o.submits = left
}

// stepSessions steps every session client once and sends its queued orders.
func (o *owner) stepSessions() {
	for _, c := range o.sortedClients() {
		if o.shard.Err() != nil {
			return
		}
		if err := c.Step(context.Background()); err != nil {
			c.CloseSession(err)
		}
		c.Flush(context.Background())
	}
}

func (o *owner) sortedClients() []*aqsession.Client {
	var all []*aqsession.Client
	for c := range o.clients {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Worker() < all[j].Worker() })
	return all
}

// submit submits a workload. A later commit answers the caller, unless the workload is
// refused or already committed.
func (o *owner) submit(spec aqtype.Spec) {
	s := o.shard
	s.mu.Lock()
	err := s.accept(spec)
	pending := s.lastBatch()
	s.mu.Unlock()
	key := spec.Base().Key
	switch {
	case err != nil:
		o.env.refused[key] = true
	case pending == nil:
		o.env.acked[key] = spec
	default:
		o.submits = append(o.submits, pendingSubmit{spec: spec, batch: pending})
	}
}

// cancel cancels a workload without waiting for the commit.
func (o *owner) cancel(key aqtype.WorkloadKey) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, _ = o.shard.Cancel(ctx, key)
}

// runRound runs one round of everything that an owner does.
func (o *owner) runRound() {
	o.readHosts()
	if o.shard.write == nil {
		o.shard.ProveOnce(context.Background())
	}
	o.stepSessions()
	o.shard.Plan()
	o.commit()
	o.stepSessions()
}

// violation describes a violated invariant, empty if there is none.
func (env *testEnv) violation() string {
	r := env.truth.Report()
	if r.Doubled != 0 {
		return fmt.Sprintf("%d tasks ran twice", r.Doubled)
	}
	if r.OverCommitted != 0 {
		return fmt.Sprintf("%d starts beyond a worker's capacity", r.OverCommitted)
	}
	for key, holders := range env.granted {
		if len(holders) > 1 {
			return fmt.Sprintf("key %s was granted to %v", key, holders)
		}
	}
	for _, o := range env.owners {
		if o.alive() {
			if found := overReserved(o.shard); found != "" {
				return found
			}
		}
	}
	return ""
}

func overReserved(s *Shard) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.latestState.Workers() {
		if reserved := s.latestState.Reserved(id); !reserved.Fits(workerSize) {
			return fmt.Sprintf("%s is reserved %s of %s", id, reserved, workerSize)
		}
	}
	return ""
}

// unfinished describes a task of an acknowledged job that has neither finished nor been
// cancelled or abandoned after failures, or whose finish does not match the workers'
// record. It returns an empty string if there is none.
func (env *testEnv) unfinished(s *Shard) string {
	for key, spec := range env.acked {
		if _, isJob := spec.(aqtype.Job); !isJob {
			continue
		}
		status, err := s.Get(key)
		if err != nil {
			return fmt.Sprintf("%s: %v", key, err)
		}
		ran := env.truth.FinishedTasks(key)
		for _, t := range status.Tasks {
			id := aqtype.TaskID{Workload: key, Index: t.Index}
			switch {
			case t.State == aqshard.TaskFinished && ran[id] != 1:
				return fmt.Sprintf("%s is committed as finished but finished %d times", id, ran[id])
			case !aqshard.Task{State: t.State}.HasEnded():
				return fmt.Sprintf("%s has not ended (state %d, attempt %d, %s)", id, t.State, t.Attempt, t.Reason)
			}
		}
	}
	return ""
}

func testJob(key string, tasks int, cpu aqtype.MilliCPU, run time.Duration, u aqtype.Urgency) aqtype.Job {
	return aqtype.Job{
		Common: aqtype.Common{
			Key:     aqtype.WorkloadKey(key),
			Team:    "press",
			Kind:    "imposition",
			Urgency: u,
			Size: aqtype.Resources{
				MilliCPU: cpu,
				Memory:   64,
			},
		},
		Tasks:       tasks,
		RunTime:     run,
		MaxFailures: 3,
	}
}
