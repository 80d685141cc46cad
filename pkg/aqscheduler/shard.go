// Package aqscheduler schedules the workloads of a shard on the shard's workers. A
// shard makes decisions under its lock, commits them to its journal, and only then
// executes them.
package aqscheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqjournal"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Limits are the intervals, timeouts and maximum counts of a shard.
type Limits struct {
	Session aqsession.Limits
	// CommitInterval is the minimum interval between two journal writes of a shard.
	CommitInterval time.Duration
	// PlanInterval is the minimum interval between two placement rounds.
	PlanInterval time.Duration
	// StallLimit is how long a journal write may take before the shard refuses
	// submissions and reservations of request keys, and pauses placement.
	StallLimit time.Duration
	// Retention is how long the shard retains an ended workload.
	Retention time.Duration
	// KeyRetention is how long the shard retains a request key.
	KeyRetention time.Duration
	// MaxWorkloads is the maximum number of workloads in one shard.
	MaxWorkloads int
}

// Options configure a shard.
type Options struct {
	ID      aqtype.ShardID
	Journal aqjournal.Options
	Workers aqplatform.Workers
	Clock   aqclock.Clock
	Config  *aqconfig.Holder
	Limits  Limits
	Policy  func(*aqplacement.SlowdownModel) aqplacement.Policy
	// Peers are the other shards, to which this one offloads tasks.
	Peers   PeerShards
	Log     *aqlog.Logger
	Metrics *aqmetric.Set
	// RunSession runs a session client in the background. The returned function
	// stops it and waits for its last call to end.
	RunSession func(*aqsession.Client) (stop func())
}

// Shard is one shard as its owner runs it.
type Shard struct {
	options Options
	// Only the commit goroutine uses log and write. write is the segment in
	// flight, nil if there is none.
	log   *aqjournal.Log
	write *aqjournal.PendingWrite

	mu sync.Mutex
	// latestState is the committed state with all uncommitted decisions applied: those
	// in flight and those that are not written yet.
	latestState *aqshard.State
	// committed is the state in the journal. Callers see only this state.
	committed *aqshard.State
	// open collects decisions for the next write. inFlight is being written.
	open     *batch
	inFlight *batch
	// inFlightSince is when the write in flight began.
	inFlightSince time.Time
	// proof is the time at which the last call that proved ownership was sent.
	proof time.Time
	// epochAt is when this owner committed its first segment.
	epochAt time.Time
	// closing is set when a hand-over begins. The shard then commits the decisions
	// it has made and makes no more.
	closing bool
	// err is set when the shard is lost, released or stopped, and never changes
	// after that.
	err error

	queue   *aqplacement.Queue
	workers map[aqtype.WorkerID]*worker
	starts  map[aqplatform.RunID]startInfo
	// reasons holds why queued tasks are waiting.
	reasons     map[aqtype.TaskID]string
	nominations map[aqtype.TaskID]nomination
	// endedAt is when each retained workload ended, or when this owner took the shard
	// over if it had ended before.
	endedAt map[aqtype.WorkloadKey]time.Time
	budget  evictionBudget
	// throttled is set while a usable worker may have a throttled task. It is
	// initially set, so that a new owner checks once.
	throttled bool
	// rightsizedAt is when the reservations of running tasks were last adjusted.
	rightsizedAt time.Time
	// keysSweptAt is when expired request keys were last searched for.
	keysSweptAt time.Time
	// lastTaken is the sequence of the last offer that each shard is known to have
	// accepted. acks are the ends of offloaded tasks to acknowledge to each shard.
	// Both are in memory only: a new owner rebuilds them from the shards' answers.
	lastTaken map[aqtype.ShardID]uint64
	acks      map[aqtype.ShardID][]Ack

	slowdowns *aqplacement.SlowdownModel
	usage     *aqplacement.UsageModel
	history   *aqplacement.History
	probation *aqplacement.Probation

	wakeCommit chan struct{}
	wakePlan   chan struct{}
	wakeProve  chan struct{}
	// stopped is closed when err is set, and runDone when Run returns.
	stopped chan struct{}
	runDone chan struct{}
}

// worker is a worker in the shard's host list, or one that has left the list and
// still holds tasks.
type worker struct {
	host    aqplatform.WorkerHost
	session *aqsession.Client
	stop    func()
	// serial is the serial of the open session, zero if there is none.
	serial aqsession.Serial
	// epochAt is the commit time of the owner's epoch. Nothing reads it.
	epochAt time.Time
	// openedAt is when the session was opened. orphans are the runs reported in
	// it that do not belong to this shard.
	openedAt time.Time
	orphans  map[aqplatform.RunID]bool
	// avoidUntil is when the worker may get new tasks again after it refused one.
	avoidUntil time.Time
	// dropped is set when the platform has declared the host stopped.
	dropped bool
}

// startInfo holds the data of a start that the journal does not store: a new owner
// does not have it.
type startInfo struct {
	serial aqsession.Serial
	at     time.Time
	order  aqplatform.StartOrder
}

// nomination holds capacity on a worker for a task while the victims evicted for it
// are being stopped.
type nomination struct {
	worker aqtype.WorkerID
	size   aqtype.Resources
	until  time.Time
}

// Reasons why an owner no longer runs a shard, besides the journal's errors.
var (
	// ErrReleased means that the owner handed the shard over to another process.
	ErrReleased = errors.New("scheduler: shard released")
	// ErrStopped means that the owner stopped without handing the shard over.
	ErrStopped = errors.New("scheduler: shard stopped")
)

// TakeOver reads the shard's journal, commits this owner's epoch, and returns the
// shard ready to run. It reads the journal again if another process claimed the
// shard in between.
func TakeOver(ctx context.Context, o Options) (*Shard, error) {
	for {
		log, recovered, err := aqjournal.Read(ctx, o.Journal)
		if err != nil {
			return nil, err
		}
		state, err := rebuild(recovered)
		if err != nil {
			return nil, err
		}
		_, err = log.Claim(ctx)
		if errors.Is(err, aqjournal.ErrDeposed) || errors.Is(err, aqjournal.ErrDeposedInDoubt) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return newShard(o, log, state)
	}
}

func rebuild(recovered aqjournal.Recovered) (*aqshard.State, error) {
	state, err := aqshard.Decode(recovered.State)
	if err != nil {
		return nil, err
	}
	for _, segment := range recovered.Segments {
		for _, data := range segment.Records {
			record, err := aqshard.DecodeRecord(data)
			if err != nil {
				return nil, err
			}
			if err := state.Apply(record); err != nil {
				return nil, err
			}
		}
	}
	return state, nil
}

func newShard(o Options, log *aqjournal.Log, state *aqshard.State) (*Shard, error) {
	latest, err := state.Clone()
	if err != nil {
		return nil, err
	}
	s := &Shard{
		options:     o,
		log:         log,
		latestState: latest,
		committed:   state,
		open:        newBatch(),
		proof:       log.Proof(),
		epochAt:     o.Clock.Now(),
		queue:       aqplacement.NewQueue(),
		workers:     map[aqtype.WorkerID]*worker{},
		starts:      map[aqplatform.RunID]startInfo{},
		reasons:     map[aqtype.TaskID]string{},
		nominations: map[aqtype.TaskID]nomination{},
		endedAt:     map[aqtype.WorkloadKey]time.Time{},
		throttled:   true,
		lastTaken:   map[aqtype.ShardID]uint64{},
		acks:        map[aqtype.ShardID][]Ack{},
		slowdowns:   aqplacement.NewSlowdownModel(),
		usage:       aqplacement.NewUsageModel(),
		history:     aqplacement.NewHistory(),
		probation:   aqplacement.NewProbation(),
		wakeCommit:  make(chan struct{}, 1),
		wakePlan:    make(chan struct{}, 1),
		wakeProve:   make(chan struct{}, 1),
		stopped:     make(chan struct{}),
		runDone:     make(chan struct{}),
	}
	for _, id := range s.latestState.Queued() {
		s.enqueue(id, time.Time{})
	}
	state.Workloads(func(key aqtype.WorkloadKey, w *aqshard.Workload) bool {
		if w.Done() && !w.Guest {
			s.endedAt[key] = o.Clock.Now()
		}
		return true
	})
	o.Metrics.Inc(aqmetric.ShardsTaken)
	o.Log.Write(aqlog.ShardTaken, slog.Int("Shard", int(o.ID)), slog.Uint64("Epoch", uint64(log.Epoch())))
	return s, nil
}

// ID returns the shard's number.
func (s *Shard) ID() aqtype.ShardID { return s.options.ID }

// Epoch returns the owner's epoch.
func (s *Shard) Epoch() aqtype.Epoch { return s.log.Epoch() }

// Stopped returns a channel that is closed when the shard is lost, released or
// stopped.
func (s *Shard) Stopped() <-chan struct{} { return s.stopped }

// Err returns why the owner no longer runs the shard, nil while it does.
func (s *Shard) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Run runs the commit, placement and offload loops until ctx ends or the shard is
// lost or ready to be released.
func (s *Shard) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	loops.Add(2)
	go func() {
		defer loops.Done()
		s.runPlan(ctx)
	}()
	go func() {
		defer loops.Done()
		s.runOffload(ctx)
	}()
	s.runCommit(ctx)
	cancel()
	loops.Wait()
	s.stopSessions()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		s.terminate(ErrStopped)
	}
	close(s.runDone)
}

// planTick is the longest wait between placement rounds if no event triggers one.
const planTick = 250 * time.Millisecond

func (s *Shard) runPlan(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopped:
			return
		case <-s.wakePlan:
		case <-s.options.Clock.After(planTick):
		}
		s.Plan()
		s.sleep(ctx, s.options.Limits.PlanInterval)
	}
}

func (s *Shard) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.stopped:
	case <-s.options.Clock.After(d):
	}
}

// terminate stops the shard for the given reason and fails the open batch. The
// caller holds the lock.
func (s *Shard) terminate(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	close(s.stopped)
	s.open.err = err
	close(s.open.done)
	s.open = newBatch()
	if !errors.Is(err, ErrReleased) && !errors.Is(err, ErrStopped) {
		s.options.Metrics.Inc(aqmetric.ShardsLost)
		s.options.Log.Write(aqlog.OwnershipLost, s.shardAttr(), aqlog.Err(err))
	}
}

func (s *Shard) stopSessions() {
	s.mu.Lock()
	var stops []func()
	for _, w := range s.workers {
		if w.stop != nil {
			stops = append(stops, w.stop)
			w.stop = nil
		}
	}
	s.mu.Unlock()
	var all sync.WaitGroup
	for _, stop := range stops {
		all.Add(1)
		go func() {
			defer all.Done()
			stop()
		}()
	}
	all.Wait()
}

// Release hands the shard over: it commits the decisions made so far, stops all
// session clients, and commits the hand-over. Run must be running.
func (s *Shard) Release(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	aqsignal.Send(s.wakeCommit)
	select {
	case <-s.runDone:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := s.Err(); err != nil {
		return err
	}
	err := s.log.Release(ctx)
	s.mu.Lock()
	s.terminate(ErrReleased)
	s.mu.Unlock()
	if err == nil {
		s.options.Log.Write(aqlog.ShardReleased, s.shardAttr())
	}
	return err
}

// RequestProof makes the commit loop prove ownership now, because a worker or a peer
// knows a higher epoch. An owner that has nothing to commit would otherwise
// notice only at the next periodic proof.
func (s *Shard) RequestProof() { aqsignal.Send(s.wakeProve) }

// shardAttr returns the log attribute with the shard's number.
func (s *Shard) shardAttr() slog.Attr { return slog.Int("Shard", int(s.options.ID)) }
