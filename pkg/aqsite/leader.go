package aqsite

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqquorum"
	"acaciaquay/internal/site/aqround"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Intervals of a leader's loops.
const (
	// maxTickInterval is the maximum time between two rounds of decisions.
	maxTickInterval = 250 * time.Millisecond
	// minTickInterval is the minimum interval between two rounds, so that one round
	// handles all events that arrived in between.
	minTickInterval = 20 * time.Millisecond
	// minStoreInterval is the minimum interval between two rounds of writes to the
	// store. maxStoreDelay limits how long a round waits for more decisions when no
	// caller waits for a final state.
	minStoreInterval = 25 * time.Millisecond
	maxStoreDelay    = 150 * time.Millisecond
	// retryPause is the delay after a failed store call.
	retryPause = 200 * time.Millisecond
	// watchWait is how long the store may hold one watch call without events.
	watchWait = 10 * time.Second
	// busyWatchWait is the same for a prefix below which something is written all the time: the watch probe, or the
	// entries of workers.
	busyWatchWait = time.Second
	// proofLimit is how long a leader continues without proof of its leadership from the
	// store, if a majority of the processes follows it.
	proofLimit = 6 * time.Second
)

// leader is one term of leadership.
type leader struct {
	node  *Node
	fence aqworker.Fence
	// record is the value of the lead key.
	record aqagent.LeadRecord
	// leadKeyRevision is the revision of the lead key in this term.
	leadKeyRevision aqstore.Revision

	agents *agentPool
	// beganAt is the elapsed time at the beginning of the term.
	beganAt time.Duration

	mu      sync.Mutex
	decider *aqdecider.Decider
	// proofAt is the elapsed time at the last proof of leadership.
	proofAt time.Duration
	// support tells whether a majority of the processes follows this leader, succession whether
	// an earlier leader may have one.
	support    aqquorum.Support
	succession aqquorum.Succession
	// votersRenewed is set once this leader has stored voters of its own. From then on they
	// change with the members.
	votersRenewed bool
	lost          error
	// recovered is set once the stored jobs have been read.
	recovered bool
	// directory keeps the newest entries of service discovery.
	directory directory
	// probe checks that the watches still deliver events.
	probe watchProbe
	// evacuations is what the leader knows of evacuated zones.
	evacuations evacuations
	// cancellations is what the leader knows of stored cancellations.
	cancellations cancellations
	// resync triggers a full read of the list of workers.
	resync chan struct{}
	// fleetRevision is the revision of the stored list of workers and agents;
	// fleetWritten is set once this leader has written it. storedMemberChanges and
	// storedWorkerChanges are the change counts that the stored list covers.
	fleetRevision aqstore.Revision
	fleetWritten  bool
	// firstLeader is set if no earlier leader has stored the list.
	firstLeader         bool
	storedMemberChanges uint64
	storedWorkerChanges uint64
	// inheritedFleet is the stored list of workers of the earlier leader.
	inheritedFleet []aqtype.WorkerID
	// storedEntries is the value of entriesKey, storedEntryChanges the number of changes that it holds. Only
	// entriesLoop uses them.
	storedEntries      []byte
	storedEntryChanges uint64
	// storedLearned is what learnedKey holds. Only learnedLoop uses it.
	storedLearned learnedRecord
	// unacknowledged holds the agents of an earlier leader that have not yet answered
	// a poll of this one: they may still accept orders of the earlier leader.
	unacknowledged map[string]bool
	// backlog is what the leader's polls tell of waits.
	backlog backlogEstimate
	// room is an aqbacklog.Room.
	room atomic.Int64
	// notifiedJobs are stored jobs that other processes have reported and the watch
	// has not delivered yet.
	notifiedJobs map[aqjob.ID]notifiedJob

	wakeTick  chan struct{}
	wakeStore chan struct{}
	ended     chan struct{}
	work      sync.WaitGroup
}

// fleetRecord is the value of the fleet key.
type fleetRecord struct {
	Workers []aqtype.WorkerID
	// Restarted are those of them that have restarted so recently that a lease may last there longer than one
	// that an agent renews.
	Restarted []aqtype.WorkerID `msgpack:",omitempty"`
	// Agents are the processes that may manage workers for the leader.
	Agents []nodeRecord
	// Voters are the processes of which a leader without proof needs a majority. They change at
	// the earliest proofLimit after the beginning of a term: earlier leaders may count on them
	// until then. Earlier versions stored none.
	Voters []aqquorum.Voter `msgpack:",omitempty"`
}

// leaseDuration is how long workers keep their tasks without a renewal.
func (l *leader) leaseDuration() time.Duration { return l.node.settings.WorkerLease }

// mayOrder reports whether the leadership was proved within aqquorum.UnaidedLimit, or within
// proofLimit and a majority of the processes still follows this leader.
func (l *leader) mayOrder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.clock.Elapsed()
	if l.lost != nil || now-l.proofAt >= proofLimit {
		return false
	}
	if now-l.proofAt < aqquorum.UnaidedLimit {
		return true
	}
	at, known := l.support.MajorityAt()
	return known && now-at < aqquorum.MajorityLimit
}

// mayPoll reports whether the leader may still find out that a majority follows it.
func (l *leader) mayPoll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost == nil && l.node.clock.Elapsed()-l.proofAt < proofLimit
}

// proofAge returns the time since the last proof of leadership.
func (l *leader) proofAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.clock.Elapsed() - l.proofAt
}

// deposed ends the term because another process has seen a higher fencing token.
func (l *leader) deposed(err error) { l.lose(err) }

func (l *leader) lose(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost != nil {
		return
	}
	l.lost = err
	close(l.ended)
}

// decide calls change with the decider, and wakes the loops that send the resulting
// orders and store the resulting records. It does nothing once the leadership is lost.
func (l *leader) decide(change func(*aqdecider.Decider)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost != nil {
		return
	}
	l.decider.SetTime(l.node.clock.Now(), l.node.wallTime())
	change(l.decider)
	if l.decider.HasWork() {
		aqsignal.Send(l.wakeTick)
	}
	if l.decider.Dirty() {
		aqsignal.Send(l.wakeStore)
	}
}

// run leads until ctx ends or the leadership is lost, and returns the cause.
func (l *leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.work.Wait()
	defer cancel()
	started := l.node.clock.Now()
	jobsFrom, workersFrom, err := l.recover(ctx)
	if err != nil {
		return err
	}
	l.node.log.Write(aqlog.StateRecovered, slog.Duration("Took", l.node.clock.Now().Sub(started)),
		slog.Int("Workers", l.workerCount()))
	for _, loop := range []namedLoop{
		{name: "job watch", run: func(ctx context.Context) { l.watchJobs(ctx, jobsFrom) }},
		{name: "worker watch", run: func(ctx context.Context) { l.watchWorkers(ctx, workersFrom) }},
		{name: "member watch", run: l.watchMembers},
		{name: "notified jobs", run: l.notifiedJobsLoop},
		{name: "cancellations", run: l.cancellationsLoop},
		{name: "resync", run: l.resyncLoop},
		{name: "advice", run: l.adviceLoop},
		{name: "decisions", run: l.tickLoop},
		{name: "store writes", run: l.storeLoop},
		{name: "worker entries", run: l.entriesLoop},
		{name: "learned", run: l.learnedLoop},
	} {
		l.spawn(loop.name, func() { loop.run(ctx) })
	}
	select {
	case <-ctx.Done():
		l.lose(ctx.Err())
	case <-l.ended:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// spawn runs f in the background until the term ends. A panic ends the term: the state
// of the decisions may be inconsistent, and the next leader reads the stored one.
func (l *leader) spawn(name string, f func()) {
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		if err := l.node.guard.Run(name, f); err != nil {
			l.lose(err)
		}
	}()
}

// watchJobs follows submissions, cancellations and the lead key.
func (l *leader) watchJobs(ctx context.Context, from aqstore.Revision) {
	l.node.watchPrefix(ctx, prefixWatch{
		prefix:     inPrefix,
		onSnapshot: l.applyJobSnapshot,
		onEvents:   l.applyEvents,
		wait:       busyWatchWait,
	}, from)
}

func (l *leader) applyEvents(events []aqstore.Event) {
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		if e.Key == leadKey && e.ModRevision != l.leadKeyRevision {
			l.lose(errors.Errorf("lead key changed at revision %d", e.ModRevision))
			return
		}
	}
	l.decide(func(d *aqdecider.Decider) {
		for _, e := range events {
			if e.Deleted {
				continue
			}
			if id, ok := jobIDFromKey(jobPrefix, e.Key); ok {
				l.addJob(d, id, e.Item, nil)
			}
			if id, ok := jobIDFromKey(cancelPrefix, e.Key); ok {
				l.cancel(d, id, byWatch)
			}
		}
	})
	// Only now the decider knows what the watch has delivered.
	var delivered aqstore.Revision
	for _, e := range events {
		delivered = max(delivered, e.ModRevision)
	}
	l.watchDelivered(delivered)
}

// applyJobSnapshot applies a full read of inPrefix after the store has compacted the
// watched history. The lead key is read last, so no job of a later leader's term is
// added.
func (l *leader) applyJobSnapshot(items []aqstore.Item, revision aqstore.Revision) {
	held := false
	for _, item := range items {
		held = held || item.Key == leadKey && item.ModRevision == l.leadKeyRevision
	}
	if !held {
		l.lose(errors.New("lead key is held by another process"))
		return
	}
	l.decide(func(d *aqdecider.Decider) { l.addJobs(d, items, nil) })
	l.watchDelivered(revision)
}

// tickLoop runs rounds of decisions and dispatches the resulting orders. It ends the term
// when they are slow and another process can lead.
func (l *leader) tickLoop(ctx context.Context) {
	var meter aqround.Meter
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case <-l.wakeTick:
		case <-l.node.clock.After(maxTickInterval):
		}
		started := l.node.clock.Now()
		l.dispatchRound()
		if l.proofAge() > agingProof {
			l.agents.wakeIdle()
		}
		if l.votersDue() {
			aqsignal.Send(l.wakeStore)
		}
		took := l.node.clock.Now().Sub(started)
		l.node.metrics.Observe(aqmetric.TimeRound, took)
		if meter.Add(took) && l.mayYield() {
			l.lose(errSlow)
			return
		}
		aqclock.Sleep(ctx, l.node.clock, max(minTickInterval, l.agents.gatherTime()/tickGatherShare))
	}
}

// dispatchRound decides one round and queues its orders.
func (l *leader) dispatchRound() {
	var orders []aqdecider.Order
	var limit startLimit
	l.decide(func(d *aqdecider.Decider) {
		l.agents.expireLeases(d)
		d.SetZones(l.zoneConditions())
		l.holdStarts(d)
		// What is learned after the decision says nothing about it.
		limit = l.cancellations.startLimit()
		orders = d.Tick()
		l.estimateBacklog(d)
		l.noteRoom(d)
	})
	l.agents.dispatch(orders, limit)
}

// tickGatherShare makes rounds of decisions rarer in the proportion in which agents gather
// events: each round sends orders to most agents.
const tickGatherShare = 2

func (l *leader) workerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.decider.WorkerIDs())
}

// setQueues applies the queues of the configuration. It reads that under the lock, so that of two calls at the same time none
// applies an older one last.
func (l *leader) setQueues() {
	l.decide(func(d *aqdecider.Decider) {
		config := l.node.routes.config()
		if config == nil {
			return
		}
		queues := make([]aqjob.Queue, 0, len(config.Routes))
		for _, r := range config.Routes {
			queues = append(queues, r.Queue)
		}
		d.SetQueues(queues)
	})
}

// hasRecovered reports whether the stored jobs have been read.
func (l *leader) hasRecovered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recovered
}

// mayAnswer reports whether this leader has recovered the jobs and still leads, so
// that its answers are current.
func (l *leader) mayAnswer() bool { return l.hasRecovered() && l.mayOrder() }
