// Package aqscheduler owns shards of workers and workloads. A shard decides
// under its lock, commits its decisions in its journal, and only then acts on
// them.
package aqscheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

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

// Limits are the bounds that a shard works within.
type Limits struct {
	Session aqsession.Limits
	// CommitInterval is the least time between two journal writes of a shard.
	CommitInterval time.Duration
	// PlanInterval is the least time between two placement rounds.
	PlanInterval time.Duration
	// Stall is how long a journal write may take before submissions are
	// refused.
	Stall time.Duration
	// Retention is how long an ended workload is kept.
	Retention time.Duration
	// KeyRetention is how long a request key is kept.
	KeyRetention time.Duration
	// MaxWorkloads bounds the workloads that one shard keeps.
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
	// Peers are the other shards, to which tasks are handed on.
	Peers   PeerShards
	Log     *aqlog.Logger
	Metrics *aqmetric.Set
	// RunSession runs a worker's session until the returned function is called,
	// which waits for the last call to end.
	RunSession func(*aqsession.Client) (stop func())
}

// Shard is one shard in its owner's hands.
type Shard struct {
	options Options
	// log and write belong to the goroutine that commits. write is the segment
	// under way, nil when there is none.
	log   *aqjournal.Log
	write *aqjournal.PendingWrite

	mu sync.Mutex
	// planned is committed with every decision made since: those in flight and
	// those that wait.
	planned *aqshard.State
	// committed holds what the journal holds. Callers are only shown this.
	committed *aqshard.State
	// open collects decisions for the next write; flight is being written.
	open   *batch
	flight *batch
	// flightSince is when the write under way began.
	flightSince time.Time
	// proof is when the last call that proved ownership was sent.
	proof time.Time
	// epochAt is when this owner's first segment was committed.
	epochAt time.Time
	// closing is set once, when a hand-over begins: what is decided is still
	// committed, and nothing more is decided.
	closing bool
	// err is set once, when the shard is lost, released or stopped.
	err error

	queue    *aqplacement.Queue
	workers  map[aqtype.WorkerID]*worker
	starts   map[aqplatform.RunID]startNote
	reasons  map[aqtype.TaskID]string
	earmarks map[aqtype.TaskID]earmark
	ended    map[aqtype.WorkloadKey]time.Time
	budget   evictionBudget
	// throttled is set while a usable worker may have a throttled task. A new
	// owner looks once.
	throttled bool
	// rightsized is when running reservations were last looked at.
	rightsized time.Time
	// keysSwept is when the age of request keys was last looked at.
	keysSwept time.Time
	// takenUpTo is the last offer that each shard is known to have taken, acks
	// are ends to be forgotten there. Both may be lost: they are learnt again.
	takenUpTo map[aqtype.ShardID]uint64
	acks      map[aqtype.ShardID][]Ack

	pairs     *aqplacement.SlowdownModel
	sizes     *aqplacement.UsageModel
	history   *aqplacement.History
	probation *aqplacement.Probation

	wakeCommit chan struct{}
	wakePlan   chan struct{}
	wakeProve  chan struct{}
	// stopped is closed with the setting of err, ran when Run returns.
	stopped chan struct{}
	ran     chan struct{}
}

// worker is a listed worker of the shard.
type worker struct {
	host   aqplatform.WorkerHost
	keeper *aqsession.Client
	stop   func()
	// serial is that of the open session, zero while there is none.
	serial aqsession.Serial
	// silentSince is when the worker was last heard of.
	silentSince time.Time
	// openedAt is when the open session was opened, strays the runs seen under
	// it that are not this shard's.
	openedAt time.Time
	strays   map[aqplatform.RunID]bool
	// avoidUntil keeps new tasks off after the worker refused one.
	avoidUntil time.Time
	// gone is set when the platform has dropped the host.
	gone bool
}

// startNote is what is known of a start beside the journal.
type startNote struct {
	serial aqsession.Serial
	at     time.Time
	order  aqplatform.StartOrder
}

// earmark keeps room for a task whose victims are being stopped.
type earmark struct {
	worker aqtype.WorkerID
	size   aqtype.Resources
	until  time.Time
}

// Why a shard is no longer in its owner's hands, besides the journal's errors.
var (
	// ErrReleased means that the owner handed the shard over.
	ErrReleased = errors.New("scheduler: shard released")
	// ErrStopped means that the owner stopped without a hand-over.
	ErrStopped = errors.New("scheduler: shard stopped")
)

// TakeOver reads the shard's journal, commits this owner's epoch, and returns
// the shard ready to run.
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
	planned, err := state.Clone()
	if err != nil {
		return nil, err
	}
	s := &Shard{
		options:    o,
		log:        log,
		planned:    planned,
		committed:  state,
		open:       newBatch(),
		proof:      log.Proof(),
		epochAt:    o.Clock.Now(),
		queue:      aqplacement.NewQueue(),
		workers:    map[aqtype.WorkerID]*worker{},
		starts:     map[aqplatform.RunID]startNote{},
		reasons:    map[aqtype.TaskID]string{},
		earmarks:   map[aqtype.TaskID]earmark{},
		ended:      map[aqtype.WorkloadKey]time.Time{},
		throttled:  true,
		takenUpTo:  map[aqtype.ShardID]uint64{},
		acks:       map[aqtype.ShardID][]Ack{},
		pairs:      aqplacement.NewSlowdownModel(),
		sizes:      aqplacement.NewUsageModel(),
		history:    aqplacement.NewHistory(),
		probation:  aqplacement.NewProbation(),
		wakeCommit: make(chan struct{}, 1),
		wakePlan:   make(chan struct{}, 1),
		wakeProve:  make(chan struct{}, 1),
		stopped:    make(chan struct{}),
		ran:        make(chan struct{}),
	}
	for _, id := range s.planned.Queued() {
		s.enqueue(id, time.Time{})
	}
	state.Workloads(func(key aqtype.WorkloadKey, w *aqshard.Workload) bool {
		if w.Done() && !w.Guest {
			s.ended[key] = o.Clock.Now()
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

// Stopped is closed when the shard is lost or released.
func (s *Shard) Stopped() <-chan struct{} { return s.stopped }

// Err returns why the shard was stopped, nil while it is owned.
func (s *Shard) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Run commits and plans until ctx ends or the shard is lost.
func (s *Shard) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var planning sync.WaitGroup
	planning.Add(2)
	go func() {
		defer planning.Done()
		s.runPlan(ctx)
	}()
	go func() {
		defer planning.Done()
		s.runHandOn(ctx)
	}()
	s.runCommit(ctx)
	cancel()
	planning.Wait()
	s.stopKeepers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		s.lose(ErrStopped)
	}
	close(s.ran)
}

// planTick bounds how long a placement round waits for an event.
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

// lose ends the shard. The lock is held.
func (s *Shard) lose(err error) {
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

func (s *Shard) stopKeepers() {
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

// Release hands the shard over: it commits what is decided, ends every
// session's calls, and commits the hand-over. Run must be under way.
func (s *Shard) Release(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	signal(s.wakeCommit)
	select {
	case <-s.ran:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := s.Err(); err != nil {
		return err
	}
	err := s.log.Release(ctx)
	s.mu.Lock()
	s.lose(ErrReleased)
	s.mu.Unlock()
	if err == nil {
		s.options.Log.Write(aqlog.ShardReleased, s.shardAttr())
	}
	return err
}

// RequestProof asks for a proof of ownership now, because a worker or a peer has seen a
// higher epoch. An owner that has nothing to commit would not notice otherwise.
func (s *Shard) RequestProof() { signal(s.wakeProve) }

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// shardAttr is the log attribute that names the shard.
func (s *Shard) shardAttr() slog.Attr { return slog.Int("Shard", int(s.options.ID)) }
