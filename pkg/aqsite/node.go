package aqsite

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Settings are what a node is told about itself.
type Settings struct {
	// Name is different from every other node's.
	Name        string
	Zone        aqtype.Zone
	PeerAddress string
	// Processors is the node's share of a core; strong nodes lead first.
	Processors float64
	// WorkerLease is how long a worker keeps its tasks without a word.
	WorkerLease time.Duration
	Decider     aqdecider.Limits
}

// Options configure a node.
type Options struct {
	Settings Settings
	Store    aqstore.Store
	Workers  Workers
	// Advisor is nil where there is no advice service.
	Advisor Advisor
	Catalog Catalog
	Clock   aqclock.Clock
	Log     *aqlog.Logger
	Metrics *aqmetric.Set
	// Incarnation is different at every start of the process.
	Incarnation int64
}

// Node is one process of the site.
type Node struct {
	settings    Settings
	store       aqstore.Store
	workers     Workers
	advisor     Advisor
	catalog     Catalog
	clock       aqclock.Clock
	log         *aqlog.Logger
	metrics     *aqmetric.Set
	incarnation int64

	server *aqpeer.Server
	peers  *aqpeer.Pool
	agent  *agent
	routes routes
	// configRevision and leadSeen are the revisions of the configuration and of the
	// lead key; a lead key that does not exist has revision zero.
	configRevision maxRevision
	leadRevision   leadRevision
	// leadKeyChanged wakes the election when the lead key was found changed.
	leadKeyChanged chan struct{}
	// checkedAt is when the store last said that the known configuration and leader
	// are current, checkNow asks it again at once.
	checkedAt latestTime
	checkNow  chan struct{}

	mu      sync.Mutex
	current *leader
	// seenLeader is the leader that the store names, nil while it names none.
	seenLeader *leadRecord
	// seenFence is the highest fence of a leader that was seen or heard of.
	seenFence Fence
	stopping  bool

	storeDown     atomic.Bool
	storeFailedAt atomic.Int64
	work          sync.WaitGroup
}

// Bounds of calls between processes.
const (
	peerDial = 400 * time.Millisecond
	// peerCall is longer than pollWait.
	peerCall = 1200 * time.Millisecond
)

// NewNode returns a node that does nothing yet.
func NewNode(o Options) *Node {
	n := &Node{
		settings:       o.Settings,
		store:          o.Store,
		workers:        o.Workers,
		advisor:        o.Advisor,
		catalog:        o.Catalog,
		clock:          o.Clock,
		log:            o.Log,
		metrics:        o.Metrics,
		incarnation:    o.Incarnation,
		leadKeyChanged: make(chan struct{}, 1),
		checkNow:       make(chan struct{}, 1),
		server:         aqpeer.NewServer(o.Log, o.Metrics),
		peers:          aqpeer.NewPool(aqpeer.ClientLimits{Dial: peerDial, Call: peerCall}),
	}
	n.agent = newAgent(n.workers, n.clock, n.log, n.metrics)
	n.agent.onPoll = func(call pollCall) {
		n.learnLeader(call.Leader, call.Fence)
		if n.agent.permitted(call.Fence) {
			n.applyCheckReport(call.Checked)
		}
	}
	n.agent.registerHandlers(n.server)
	n.registerHandlers()
	return n
}

// wallTime is the time of day.
func (n *Node) wallTime() time.Time { return n.clock.Now().Round(0) }

// Run takes part in the site until ctx ends. Afterwards nothing is decided here.
func (n *Node) Run(ctx context.Context) error {
	if err := n.server.Start(n.settings.PeerAddress); err != nil {
		return err
	}
	n.work.Add(4)
	go func() {
		defer n.work.Done()
		n.checkLoop(ctx)
	}()
	go func() {
		defer n.work.Done()
		n.register(ctx)
	}()
	go func() {
		defer n.work.Done()
		n.watchConfig(ctx)
	}()
	go func() {
		defer n.work.Done()
		n.elect(ctx)
	}()
	n.work.Wait()
	return nil
}

// Close ends the calls between processes.
func (n *Node) Close() {
	n.agent.stop()
	n.server.Stop()
	n.peers.Close()
}

// Ready reports whether submissions can be taken.
func (n *Node) Ready() bool {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	return !stopping && n.routes.config() != nil && !n.storeDown.Load()
}

// StopAccepting makes the node report that it takes nothing new.
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

// recordStoreResult follows whether the store serves this process.
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

// storeStableTime is how long the store must serve a process without a failure
// before it counts as back: it may turn away some calls of many.
const storeStableTime = 1200 * time.Millisecond

func (n *Node) ignoreEntry(key string, err error) {
	n.metrics.Refused(aqmetric.RefusedEntry)
	n.log.Write(aqlog.EntryIgnored, slog.String("Key", key), aqlog.Err(err))
}

// watchConfig follows the operators' configuration.
func (n *Node) watchConfig(ctx context.Context) {
	n.watchPrefix(ctx, prefixWatch{
		prefix: n.catalog.ConfigKey,
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
		l.setQueues(config)
	}
}

func decode(data []byte, out any) error {
	return errors.Wrap(msgpack.Unmarshal(data, out), "site: decode")
}
