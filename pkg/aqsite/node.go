package aqsite

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/internal/base/aqguard"
	"acaciaquay/internal/base/aqthrottle"
	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqcancel"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Settings describe one node.
type Settings struct {
	// Name is unique among the nodes.
	Name        string
	Zone        aqtype.Zone
	PeerAddress string
	// Processors is the number of cores that the node may use, possibly a fraction. A
	// node with few claims the leadership after the others and manages fewer workers.
	Processors float64
	// WorkerLease is how long a worker keeps its tasks without a renewal of its lease.
	WorkerLease time.Duration
	// StoreValueMax is the maximum size in bytes of a value in the store.
	StoreValueMax int
	// EvacuateWithin is the time after the evacuation of a zone from which nothing may be started there, zero if
	// nobody evacuates zones.
	EvacuateWithin time.Duration
	// CancelWithin is the time after an acknowledged cancellation from which no task of the job may be started, zero
	// if it is not limited.
	CancelWithin time.Duration
	Decider      aqdecider.Limits
}

// Options configure a node.
type Options struct {
	Settings Settings
	Store    aqstore.Store
	Workers  aqworker.Client
	// Advisor is nil where there is no advice service.
	Advisor Advisor
	Catalog Catalog
	Clock   aqclock.Clock
	Log     *aqlog.Logger
	Metrics *aqmetric.Set
	// PeerLimits are the limits of the port for the other processes.
	PeerLimits aqinbound.Limits
	// Incarnation is different at every start of the process.
	Incarnation int64
}

// Node is one process of the site.
type Node struct {
	settings    Settings
	store       aqstore.Store
	workers     aqworker.Client
	advisor     Advisor
	catalog     Catalog
	clock       aqclock.Clock
	log         *aqlog.Logger
	metrics     *aqmetric.Set
	guard       aqguard.Guard
	incarnation int64

	server *aqpeer.Server
	peers  *aqpeer.Pool
	agent  *aqagent.Agent
	routes routes
	// ignored limits the log lines about entries that are ignored, in part or as a whole.
	ignored aqthrottle.Throttle
	// accepted holds payloads for the agents of other processes.
	accepted acceptedPayloads
	// pendingJobs are the leader's counts for submitters.
	pendingJobs pendingCounts
	// backlog is the leader's last estimate of how long submissions would wait.
	backlog backlogEstimate
	// untold holds the cancellations that no leader has confirmed.
	untold aqcancel.Outbox
	// wakeUntold wakes the loop that tells the leader of them again.
	wakeUntold chan struct{}
	// rejections gives the lease of the marks of rejected jobs.
	rejections rejectionLease
	// configRevision and leadRevision are the last known revisions of the configuration
	// and of the lead key; a lead key that does not exist has revision zero.
	configRevision maxRevision
	leadRevision   leadRevision
	// leadKeyChanged wakes the election when a check has found the lead key changed.
	leadKeyChanged chan struct{}
	// checkedAt is when the store last confirmed that the known configuration and leader
	// are current. checkNow triggers the next check at once.
	checkedAt latestTime
	checkNow  chan struct{}

	mu sync.Mutex
	// current is this node's term of leadership, nil while it does not lead.
	current *leader
	// seenLeader is the leader that the lead key or a leader's poll last named, nil while
	// the lead key names none.
	seenLeader *aqagent.LeadRecord
	// seenFence is the highest fencing token of a leader that the lead key or a poll named.
	seenFence aqworker.Fence
	stopping  bool
	// terms holds the terms that this process has learned of within settledTime, in order.
	terms []seenTerm
	// yieldedAt is the elapsed time at which this process last yielded the leadership, valid
	// only with yielded.
	yieldedAt time.Duration
	yielded   bool

	storeDown     atomic.Bool
	storeFailedAt atomic.Int64
	work          sync.WaitGroup
}

// Timeouts of calls between processes.
const (
	peerDialTimeout = 400 * time.Millisecond
	// peerCallTimeout is longer than aqagent.PollWait.
	peerCallTimeout = 1200 * time.Millisecond
)

// NewNode returns a node. Run starts it.
func NewNode(o Options) *Node {
	n := &Node{
		settings:    o.Settings,
		store:       o.Store,
		workers:     o.Workers,
		advisor:     o.Advisor,
		catalog:     o.Catalog,
		clock:       o.Clock,
		log:         o.Log,
		metrics:     o.Metrics,
		guard:       aqguard.New(o.Log, o.Metrics),
		incarnation: o.Incarnation,
		ignored: aqthrottle.Throttle{
			Interval: ignoredLogInterval,
			MaxKeys:  maxIgnoredEntries,
		},
		untold: aqcancel.Outbox{
			Most: maxUntold,
			Keep: untoldKept,
		},
		wakeUntold:     make(chan struct{}, 1),
		leadKeyChanged: make(chan struct{}, 1),
		checkNow:       make(chan struct{}, 1),
		server:         aqpeer.NewServer(o.PeerLimits, o.Clock, o.Log, o.Metrics),
		peers:          aqpeer.NewPool(aqpeer.ClientTimeouts{Dial: peerDialTimeout, Call: peerCallTimeout}),
	}
	n.agent = aqagent.New(n.agentOptions())
	n.agent.OnPoll = func(call aqagent.PollCall) {
		n.learnLeader(call.Leader, call.Fence)
		if n.agent.Permitted(call.Fence) {
			n.applyCheckReport(call.Checked)
			n.pendingJobs.set(call.Pending, n.clock.Elapsed())
			n.backlog.set(call.Backlog, n.clock.Elapsed())
		}
	}
	n.agent.RegisterHandlers(n.server)
	n.registerHandlers()
	return n
}

func (n *Node) agentOptions() aqagent.Options {
	return aqagent.Options{
		Workers:  n.workers,
		Payloads: n,
		Clock:    n.clock,
		Log:      n.log,
		Metrics:  n.metrics,
		Name:     n.settings.Name,
		Instance: n.incarnation,
	}
}

// wallTime returns the wall clock's time, without a monotonic reading.
func (n *Node) wallTime() time.Time { return n.clock.Now().Round(0) }

// Run runs the node until ctx ends, and returns when its loops have stopped. The node
// makes no decisions afterwards.
func (n *Node) Run(ctx context.Context) error {
	if err := n.server.Start(n.settings.PeerAddress); err != nil {
		return err
	}
	for _, loop := range []namedLoop{
		{name: "check loop", run: n.checkLoop},
		{name: "registration", run: n.register},
		{name: "configuration watch", run: n.watchConfig},
		{name: "election", run: n.elect},
		{name: "cancellations", run: n.untoldLoop},
	} {
		n.work.Add(1)
		go func() {
			defer n.work.Done()
			n.runLoop(ctx, loop)
		}()
	}
	n.work.Wait()
	return nil
}

// namedLoop is a loop that runs until its context ends.
type namedLoop struct {
	name string
	run  func(context.Context)
}

// runLoop runs a loop until ctx ends, and begins it again after a panic.
func (n *Node) runLoop(ctx context.Context, loop namedLoop) {
	for ctx.Err() == nil {
		if err := n.guard.Run(loop.name, func() { loop.run(ctx) }); err == nil {
			return
		}
		aqclock.Sleep(ctx, n.clock, retryPause)
	}
}

// Close ends the agent's sessions and the calls between processes.
func (n *Node) Close() {
	n.agent.Stop()
	n.server.Stop()
	n.peers.Close()
}

// Ready reports whether the node can accept submissions.
func (n *Node) Ready() bool {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	return !stopping && n.routes.config() != nil && !n.storeDown.Load()
}

// StopAccepting makes the node report that it is not ready, and not claim the
// leadership.
func (n *Node) StopAccepting() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = true
}

func (n *Node) leading() *leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

func (n *Node) leaderAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seenLeader == nil {
		return ""
	}
	return n.seenLeader.Address
}

// recordStoreResult tracks by the result of a call whether the store serves this
// process.
func (n *Node) recordStoreResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := n.clock.Now()
	if errors.Is(err, aqstore.ErrUnknown) || errors.Is(err, aqstore.ErrRefused) {
		n.storeFailedAt.Store(now.UnixNano())
		if !n.storeDown.Swap(true) {
			n.log.Write(aqlog.StoreLost, aqlog.Err(err))
		}
		return
	}
	if n.storeDown.Load() && now.UnixNano()-n.storeFailedAt.Load() > int64(storeStableTime) && n.storeDown.Swap(false) {
		n.log.Write(aqlog.StoreRecovered)
	}
}

// storeStableTime is how long the store must serve a process without a failure before it
// counts as available again: an unstable store may refuse only some of many calls.
const storeStableTime = 1200 * time.Millisecond

// Limits on the log lines about entries that are ignored: one that stays is read again and
// again.
const (
	// ignoredLogInterval is the minimum interval between two lines about one entry.
	ignoredLogInterval = time.Minute
	// maxIgnoredEntries limits the entries that are logged in one interval.
	maxIgnoredEntries = 100
	// maxIgnoredText is the length of a logged key or error, in bytes.
	maxIgnoredText = 200
)

// ignoreEntry counts an entry of the store that cannot be used, and logs it unless it was
// logged lately.
func (n *Node) ignoreEntry(key string, err error) {
	n.metrics.Refused(aqmetric.RefusedEntry)
	if n.ignored.Allow(key, n.clock.Now()) {
		n.log.Write(aqlog.EntryIgnored, slog.String("Key", shorten(key)), slog.String("Error", shorten(err.Error())))
	}
}

// shorten limits a text to maxIgnoredText bytes.
func shorten(text string) string {
	if len(text) <= maxIgnoredText {
		return text
	}
	return strings.ToValidUTF8(text[:maxIgnoredText], "") + "..."
}

// watchConfig watches the operators' configuration and applies its changes.
func (n *Node) watchConfig(ctx context.Context) {
	n.watchPrefix(ctx, prefixWatch{
		prefix: n.catalog.ConfigKey,
		wait:   watchWait,
		onSnapshot: func(items []aqstore.Item, _ aqstore.Revision) {
			for _, item := range items {
				n.applyConfig(item)
			}
		},
		onEvents: func(events []aqstore.Event) {
			for _, e := range events {
				if !e.Deleted {
					n.applyConfig(e.Item)
				}
			}
		},
	}, 0)
}

func (n *Node) applyConfig(item aqstore.Item) {
	if item.Key != n.catalog.ConfigKey {
		return
	}
	n.configRevision.set(item.ModRevision)
	config, err := n.catalog.DecodeConfig(item.Value)
	if err != nil {
		n.ignoreEntry(item.Key, err)
		return
	}
	if !n.routes.apply(config) {
		return
	}
	n.log.Write(aqlog.SiteConfigApplied, slog.Int64("Version", config.Version), slog.Int64("Revision", int64(item.ModRevision)),
		slog.Int("Routes", len(config.Routes)))
	if l := n.leading(); l != nil {
		l.setQueues()
	}
}

func decode(data []byte, out any) error {
	return errors.Wrap(msgpack.Unmarshal(data, out), "site: decode")
}
