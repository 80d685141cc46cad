// Package aqprocess assembles the daemons from their settings, runs them, and shuts
// them down gracefully.
package aqprocess

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqgateway"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsettings"
	"acaciaquay/pkg/aqtype"
)

// base holds the components that gateways and schedulers share.
type base struct {
	settings    aqsettings.Settings
	clock       aqclock.Clock
	log         *aqlog.Logger
	metrics     *aqmetric.Set
	store       aqplatform.Store
	hostList    aqplatform.HostList
	config      *aqconfig.Holder
	directory   *aqmember.Directory
	registrar   *aqmember.Registrar
	peers       *aqpeer.Pool
	server      *aqpeer.Server
	heartbeater *aqmember.Heartbeater
	intake      *aqintake.Intake
}

// watchMargin is how much longer a watch call may take than the watch waits.
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
			ID:          aqtype.ProcessID(id),
			Role:        role,
			Zone:        s.Process.Zone,
			PeerAddress: peerAddress,
		},
		aqmember.Limits{
			TTL:               s.Peers.LeaseTTL,
			HeartbeatInterval: s.Peers.Heartbeat,
			HeartbeatTimeout:  s.Peers.Silence,
			StoreTimeout:      s.Peers.StoreSilence,
			FanOut:            s.Peers.FanOut,
			WatchWait:         s.Peers.WatchWait,
		},
		b.clock,
	)
	b.registrar = &aqmember.Registrar{
		Directory: b.directory,
		Store:     b.store,
		Config:    b.config,
		Log:       log,
	}
	b.intake = newIntake(s.Intake, b.clock, log, b.metrics)
	b.server = aqpeer.NewServer(s.Intake.Peers, b.clock, log, b.metrics)
	b.heartbeater = &aqmember.Heartbeater{
		Directory: b.directory,
		Config:    b.config,
		Peers:     b.peers,
		Claims:    func() []aqmember.Claim { return nil },
		Seeds:     s.Peers.Seeds,
		Random:    newRandom(id),
	}
	aqpeer.Handle(b.server, aqmember.MethodHeartbeat, b.heartbeater.HandleHeartbeat)
	log.Write(aqlog.TLSOff)
	return b, nil
}

// newStore returns a store client. Its calls have the call timeout; watches have their
// wait plus watchMargin.
func newStore(s aqsettings.Settings) aqplatform.Store {
	return aqplatform.NewHTTPStore(s.Platform.Store, s.Platform.CallTimeout, s.Peers.WatchWait+watchMargin)
}

// newRandom returns a random number generator whose seed differs between processes and
// between their starts.
func newRandom(id string) *rand.Rand {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return rand.New(rand.NewPCG(digest.Sum64(), uint64(time.Now().UnixNano())))
}

// start runs membership and work in the background. They continue when ctx ends,
// because the shutdown that begins then still needs them: stop ends them and waits.
func (b *base) start(ctx context.Context, work func(context.Context)) (runCtx context.Context, stop func()) {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var all sync.WaitGroup
	for _, run := range []func(context.Context){b.registrar.Run, b.heartbeater.Run, work} {
		all.Add(1)
		go func() {
			defer all.Done()
			run(runCtx)
		}()
	}
	b.log.Write(aqlog.ProcessStarted)
	return runCtx, func() {
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

// newIntake returns the intake of a process and sets the garbage collector's limit.
func newIntake(s aqsettings.Intake, clock aqclock.Clock, log *aqlog.Logger, metrics *aqmetric.Set) *aqintake.Intake {
	debug.SetMemoryLimit(int64(aqintake.CollectorLimit(aqintake.Bytes(s.Memory) * aqintake.MiB)))
	return aqintake.New(s.Limits, clock, log, metrics)
}

// The ports of a process.
var (
	clientPort = aqintake.Port{LimitWork: true}
	callerPort = aqintake.Port{
		Streams: true,
		Refusal: map[string]string{
			aqgateway.HeaderOutcome: aqgateway.OutcomeRefused,
		},
		ReasonHeader: aqgateway.HeaderReason,
	}
	operatorPort = aqintake.Port{Auxiliary: true}
)

// serve listens on the address of each server and serves it in the background. An
// address that is in use fails the start of the process.
func serve(servers ...*aqintake.Server) error {
	for _, s := range servers {
		listener, err := aqintake.Listen(s.Address())
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.Address())
		}
		go func() { _ = s.Serve(listener) }()
	}
	return nil
}

// leave revokes the lease of this process and notifies its peers that it stops.
func (b *base) leave(ctx context.Context) {
	_ = b.registrar.Deregister(ctx)
	b.heartbeater.Leave(ctx)
}

func (b *base) close() {
	b.server.Stop()
	b.peers.Close()
}

// logShutdown logs the beginning of a shutdown and returns a function that logs its
// end.
func (b *base) logShutdown() func() {
	start := b.clock.Now()
	b.log.Write(aqlog.ProcessStopping)
	return func() {
		b.log.Write(aqlog.ProcessStopped, slog.Duration("Took", b.clock.Now().Sub(start)))
	}
}
