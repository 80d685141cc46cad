// Package aqprocess builds the daemons from their settings and stops them
// gracefully.
package aqprocess

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsettings"
	"acaciaquay/pkg/aqtype"
)

// base is what every daemon is built on.
type base struct {
	settings  aqsettings.Settings
	clock     aqclock.Clock
	log       *aqlog.Logger
	metrics   *aqmetric.Set
	store     aqplatform.Store
	hostList  aqplatform.HostList
	config    *aqconfig.Holder
	directory *aqmember.Directory
	registrar *aqmember.Registrar
	peers     *aqpeer.Pool
	server    *aqpeer.Server
	heart     *aqmember.Heartbeater
}

// watchMargin is how much longer than its wait a watch's call may take.
const watchMargin = 5 * time.Second

func newBase(s aqsettings.Settings, role aqmember.Role, peerAddress string, logs io.Writer) (*base, error) {
	id := string(s.Process.ID) + "-" + string(role)
	log, err := aqlog.New(logs, id, s.Log.Layers)
	if err != nil {
		return nil, err
	}
	b := &base{
		settings: s,
		clock:    aqclock.System{},
		log:      log,
		metrics:  aqmetric.New(),
		store:    newStore(s),
		hostList: aqplatform.NewHTTPHostList(s.Platform.HostList, s.Platform.CallTimeout),
		config:   aqconfig.NewHolder(log),
		peers: aqpeer.NewPool(aqpeer.ClientTimeouts{
			Dial: s.Peers.DialTimeout,
			Call: s.Peers.CallTimeout,
		}),
	}
	b.directory = aqmember.NewDirectory(
		aqmember.Member{
			ID:          aqtype.HostID(id),
			Role:        role,
			Zone:        s.Process.Zone,
			PeerAddress: peerAddress,
		},
		aqmember.Limits{
			TTL:              s.Peers.LeaseTTL,
			Heartbeat:        s.Peers.Heartbeat,
			HeartbeatTimeout: s.Peers.Silence,
			MaxStoreAge:      s.Peers.StoreSilence,
			FanOut:           s.Peers.FanOut,
			WatchWait:        s.Peers.WatchWait,
		},
		b.clock,
	)
	b.registrar = &aqmember.Registrar{
		Directory: b.directory,
		Store:     b.store,
		Config:    b.config,
		Log:       log,
	}
	b.server = aqpeer.NewServer(log, b.metrics)
	b.heart = &aqmember.Heartbeater{
		Directory: b.directory,
		Config:    b.config,
		Peers:     b.peers,
		Claims:    func() []aqmember.Claim { return nil },
		Seeds:     s.Peers.Seeds,
		Random:    seeded(id),
	}
	aqpeer.Handle(b.server, aqmember.MethodHeartbeat, b.heart.HandleHeartbeat)
	log.Write(aqlog.TLSOff)
	return b, nil
}

// newStore bounds every call by the call timeout, and a watch by its wait.
func newStore(s aqsettings.Settings) aqplatform.Store {
	return aqplatform.NewHTTPStore(s.Platform.Store, s.Platform.CallTimeout, s.Peers.WatchWait+watchMargin)
}

// seeded returns a generator that differs between processes.
func seeded(id string) *rand.Rand {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return rand.New(rand.NewPCG(digest.Sum64(), uint64(time.Now().UnixNano())))
}

// start runs membership and the daemon's own work. They outlive ctx, whose end
// only begins the shutdown: stop ends them and waits.
func (b *base) start(ctx context.Context, work func(context.Context)) (running context.Context, stop func()) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var all sync.WaitGroup
	for _, run := range []func(context.Context){b.registrar.Run, b.heart.Run, work} {
		all.Add(1)
		go func() {
			defer all.Done()
			run(running)
		}()
	}
	b.log.Write(aqlog.ProcessStarted)
	return running, func() {
		cancel()
		all.Wait()
	}
}

// operatorMux serves health, readiness and metrics.
func (b *base) operatorMux(ready func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.metrics.Write(w)
	})
	return mux
}

// Bounds of an HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	keepAliveTimeout  = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

func newHTTPServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// serve listens on every server's address before any of them serves, so that a
// taken address fails the start.
func serve(servers ...*http.Server) error {
	for _, s := range servers {
		listener, err := listen(s.Addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.Addr)
		}
		go func() { _ = s.Serve(listener) }()
	}
	return nil
}

// leave ends the lease and tells the peers.
func (b *base) leave(ctx context.Context) {
	_ = b.registrar.Deregister(ctx)
	b.heart.Leave(ctx)
}

func (b *base) close() {
	b.server.Stop()
	b.peers.Close()
}

// stopping logs a shutdown and returns the function that logs its end.
func (b *base) stopping() func() {
	began := b.clock.Now()
	b.log.Write(aqlog.ProcessStopping)
	return func() {
		b.log.Write(aqlog.ProcessStopped, slog.Duration("Took", b.clock.Now().Sub(began)))
	}
}
