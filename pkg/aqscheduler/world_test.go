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

// testLimits are short, so that a run of steps passes every bound.
var testLimits = Limits{
	Session: aqsession.Limits{
		TTL:        4 * time.Second,
		ProofLimit: 6 * time.Second,
	},
	Stall:        time.Second,
	Retention:    time.Hour,
	KeyRetention: time.Hour,
	MaxWorkloads: 1000,
}

var workerSize = aqtype.Resources{
	MilliCPU: 4000,
	Memory:   4096,
}

// world is one shard's surroundings: the platform's stand-ins and the processes
// that own the shard or once did. Everything happens in the caller's goroutine.
type world struct {
	clock   *aqclock.Fake
	store   *aqstandin.Store
	truth   *aqstandin.Truth
	fleet   *aqstandin.Fleet
	workers []*aqstandin.Worker
	hosts   []aqplatform.WorkerHost
	dropped []aqtype.WorkerID
	owners  []*owner
	nonce   uint64
	fate    func() aqstandin.Delivery
	// acked holds the workloads whose submission was answered with success,
	// refused those that were answered as not run.
	acked   map[aqtype.WorkloadKey]aqtype.Spec
	refused map[aqtype.WorkloadKey]bool
	// granted holds the holders that were told that they have a key.
	granted map[aqshard.RequestKey][]string
	config  *aqconfig.Holder
	shard   aqtype.ShardID
	// neighbours are the other shards; alone has none.
	neighbours PeerShards
}

// alone is a shard without others.
type alone struct{}

func (alone) SpareCapacities() []SpareCapacity { return nil }

func (alone) Offload(context.Context, aqtype.ShardID, OffloadRequest) (OffloadAnswer, error) {
	return OffloadAnswer{}, aqpeer.ErrNotSent
}

// owner is one process that took the shard.
type owner struct {
	world   *world
	name    string
	network *aqstandin.Network
	shard   *Shard
	keepers map[*aqsession.Client]bool
	waiting []pendingSubmit
	keys    []pendingKey
}

// pendingKey is a reservation whose caller still waits.
type pendingKey struct {
	key    aqshard.RequestKey
	holder string
	batch  *batch
}

// pendingSubmit is a submission whose caller still waits.
type pendingSubmit struct {
	spec  aqtype.Spec
	batch *batch
}

func newWorld(workers int) *world {
	w := &world{
		clock:   aqclock.NewFake(),
		truth:   aqstandin.NewTruth(),
		fate:    func() aqstandin.Delivery { return aqstandin.Delivered },
		acked:   map[aqtype.WorkloadKey]aqtype.Spec{},
		refused: map[aqtype.WorkloadKey]bool{},
		granted: map[aqshard.RequestKey][]string{},
		config:  aqconfig.NewHolder(aqlog.Discard()),

		neighbours: alone{},
	}
	w.store = aqstandin.NewStore(w.clock)
	for i := range workers {
		host := aqstandin.TestHost(fmt.Sprintf("w%d", i), workerSize)
		w.hosts = append(w.hosts, host)
		w.workers = append(w.workers, aqstandin.NewWorker(w.clock, host, w.truth, nil))
	}
	w.fleet = aqstandin.NewFleet(w.workers...)
	return w
}

// advance moves time and the workers with it.
func (w *world) advance(d time.Duration) {
	w.clock.Advance(d)
	w.fleet.Tick()
}

// takeOver lets a new process take the shard, nil when it could not.
func (w *world) takeOver() *owner {
	o := &owner{
		world:   w,
		name:    fmt.Sprintf("owner%d", len(w.owners)),
		keepers: map[*aqsession.Client]bool{},
	}
	o.network = &aqstandin.Network{Next: func() aqstandin.Delivery { return w.fate() }}
	shard, err := TakeOver(context.Background(), o.options())
	w.owners = append(w.owners, o)
	if err != nil {
		return nil
	}
	o.shard = shard
	o.readHosts()
	return o
}

func (o *owner) options() Options {
	w := o.world
	metrics := aqmetric.New()
	log, _ := aqlog.New(io.Discard, o.name, "")
	return Options{
		ID: w.shard,
		Journal: aqjournal.Options{
			Shard:  w.shard,
			Store:  aqstandin.StoreNetwork{Network: o.network, Store: w.store},
			Clock:  w.clock,
			Writer: aqtype.HostID(o.name),
			NextNonce: func() uint64 {
				w.nonce++
				return w.nonce
			},
			Observer: Observer{
				Log:     log,
				Metrics: metrics,
			},
		},
		Workers: aqstandin.WorkerNetwork{Network: o.network, Workers: w.fleet},
		Clock:   w.clock,
		Config:  w.config,
		Limits:  testLimits,
		Policy: func(*aqplacement.SlowdownModel) aqplacement.Policy {
			return aqplacement.Spread{}
		},
		Peers:   w.neighbours,
		Log:     log,
		Metrics: metrics,
		RunSession: func(k *aqsession.Client) func() {
			o.keepers[k] = true
			return func() {}
		},
	}
}

func (o *owner) readHosts() { o.shard.SetHosts(o.world.hosts, o.world.dropped) }

// alive reports whether the process still believes that it owns the shard.
func (o *owner) alive() bool { return o.shard != nil && o.shard.Err() == nil }

// aliveOwners lists the processes that believe that they own the shard.
func (w *world) aliveOwners() []*owner {
	var alive []*owner
	for _, o := range w.owners {
		if o.alive() {
			alive = append(alive, o)
		}
	}
	return alive
}

// commit makes one try at the segment under way and tells the callers whose
// submissions it settles.
func (o *owner) commit() {
	o.shard.CommitStep(context.Background())
	o.answerCallers()
}

// reserve asks for a key; the caller is answered by a later commit.
func (o *owner) reserve(key aqshard.RequestKey, holder string) {
	s := o.shard
	s.mu.Lock()
	err := s.reserveKey(key, holder)
	held := s.planned.KeyHolder(key) == holder
	waiting := s.lastBatch()
	s.mu.Unlock()
	if err == nil && held {
		o.keys = append(o.keys, pendingKey{
			key:    key,
			holder: holder,
			batch:  waiting,
		})
	}
}

func (o *owner) answerKeys() {
	left := o.keys[:0]
	for _, p := range o.keys {
		select {
		case <-p.batch.done:
			if p.batch.err == nil {
				o.world.granted[p.key] = append(o.world.granted[p.key], p.holder)
			}
		default:
			left = append(left, p)
		}
	}
	o.keys = left
}

func (o *owner) answerCallers() {
	o.answerKeys()
	left := o.waiting[:0]
	for _, p := range o.waiting {
		select {
		case <-p.batch.done:
			if p.batch.err == nil {
				o.world.acked[p.spec.Base().Key] = p.spec
			}
		default:
			left = append(left, p)
		}
	}
	o.waiting = left
}

// sessions steps every keeper once and sends what is queued.
func (o *owner) sessions() {
	for _, k := range o.sortedKeepers() {
		if o.shard.Err() != nil {
			return
		}
		if err := k.Step(context.Background()); err != nil {
			k.Fail(err)
		}
		k.Flush(context.Background())
	}
}

func (o *owner) sortedKeepers() []*aqsession.Client {
	var all []*aqsession.Client
	for k := range o.keepers {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Worker() < all[j].Worker() })
	return all
}

// submit hands a workload in; the caller is answered by a later commit.
func (o *owner) submit(spec aqtype.Spec) {
	s := o.shard
	s.mu.Lock()
	err := s.accept(spec)
	waiting := s.lastBatch()
	s.mu.Unlock()
	key := spec.Base().Key
	switch {
	case err != nil:
		o.world.refused[key] = true
	case waiting == nil:
		o.world.acked[key] = spec
	default:
		o.waiting = append(o.waiting, pendingSubmit{spec: spec, batch: waiting})
	}
}

// cancel asks for the end of a workload.
func (o *owner) cancel(key aqtype.WorkloadKey) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, _ = o.shard.Cancel(ctx, key)
}

// turn runs a whole round of an owner.
func (o *owner) turn() {
	o.readHosts()
	if o.shard.write == nil {
		o.shard.ProveOnce(context.Background())
	}
	o.sessions()
	o.shard.Plan()
	o.commit()
	o.sessions()
}

// problem says what is broken, empty when nothing is.
func (w *world) problem() string {
	r := w.truth.Report()
	if r.Doubled != 0 {
		return fmt.Sprintf("%d tasks ran twice", r.Doubled)
	}
	if r.OverCommitted != 0 {
		return fmt.Sprintf("%d starts beyond a worker's capacity", r.OverCommitted)
	}
	for key, holders := range w.granted {
		if len(holders) > 1 {
			return fmt.Sprintf("key %s was granted to %v", key, holders)
		}
	}
	for _, o := range w.owners {
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
	for _, id := range s.planned.Workers() {
		if reserved := s.planned.Reserved(id); !reserved.Fits(workerSize) {
			return fmt.Sprintf("%s is reserved %s of %s", id, reserved, workerSize)
		}
	}
	return ""
}

// unfinished names an acknowledged job task that has neither finished nor been
// cancelled or given up.
func (w *world) unfinished(s *Shard) string {
	for key, spec := range w.acked {
		if _, isJob := spec.(aqtype.Job); !isJob {
			continue
		}
		status, err := s.Get(key)
		if err != nil {
			return fmt.Sprintf("%s: %v", key, err)
		}
		ran := w.truth.FinishedTasks(key)
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
