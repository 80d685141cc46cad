package aqprocess

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqsettings"
	"acaciaquay/pkg/aqsite"
	"acaciaquay/platform"
)

// Timing of a site's process.
const (
	// workerLease is long enough for tasks to survive a change of the leader, and short
	// enough that the tasks of a lost worker end soon.
	workerLease = 5 * time.Second
	// leaseMargin keeps leases below the longest one that workers grant. The shutdown
	// also ends at least this long before the process is killed.
	leaseMargin = 100 * time.Millisecond
	// drainMargin is the time for a draining worker to stop its tasks and for the leader
	// to receive their ends.
	drainMargin = 700 * time.Millisecond
	// balancerDelay is how long the load balancer continues to send connections to a
	// process that is not ready. It does so until two checks in a row, one second
	// apart, have failed.
	balancerDelay = 2500 * time.Millisecond
	// retentionMargin is how much longer than the retention setting ended jobs are kept.
	retentionMargin = 10 * time.Second
	// settingsPollInterval is the time between two checks whether the settings file has
	// changed without a reload signal.
	settingsPollInterval = 2 * time.Second
	// flushTimeout is the timeout of writing the queued log lines at the end.
	flushTimeout = 200 * time.Millisecond
)

// RunSite runs one process of a site until ctx ends, and then shuts it down gracefully. cancelWithin replaces the setting
// Bounds.CancelWithin unless it is zero.
func RunSite(ctx context.Context, file string, cancelWithin time.Duration, logs io.Writer) error {
	// SIGHUP must not terminate the process, not even while it starts.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	s, err := aqsettings.LoadSite(file)
	if err != nil {
		return err
	}
	if cancelWithin > 0 {
		s.CancelWithin = cancelWithin
	}
	metrics := aqmetric.New()
	asyncLog := aqlog.NewAsync(logs, metrics)
	defer flush(asyncLog)
	log, err := aqlog.New(asyncLog, s.Name, s.LogLayers)
	if err != nil {
		return err
	}
	store := platform.NewStore(s.Store, func(_ string, took time.Duration, _ error) {
		metrics.Observe(aqmetric.TimeStoreCall, took)
	})
	clock := aqclock.System{}
	var advisor aqsite.Advisor
	if s.Advice != "" {
		advisor = platform.NewAdvisor(s.Advice)
	}
	node := aqsite.NewNode(aqsite.Options{
		Settings:    siteSettings(s),
		Store:       store,
		Workers:     platform.NewWorkers(),
		Advisor:     advisor,
		Catalog:     platform.Catalog(),
		Clock:       clock,
		Log:         log,
		Metrics:     metrics,
		PeerLimits:  s.Intake.Peers,
		Incarnation: clock.Now().UnixNano(),
	})
	intake := newIntake(s.Intake, clock, log, metrics)
	frontServer := intake.Server(s.FrontAddress, platform.NewJobHandler(node, log, metrics), clientPort)
	readyServer := intake.Server(s.ReadyAddress, platform.NewReadyHandler(node.Ready), operatorPort)
	operatorMux := metricsMux(metrics)
	addViews(operatorMux, node)
	operatorServer := intake.Server(s.MetricsAddress, operatorMux, operatorPort)
	if err := serve(frontServer, readyServer, operatorServer); err != nil {
		return err
	}
	log.Write(aqlog.ProcessStarted, slog.String("Zone", string(s.Zone)), slog.String("Front", s.FrontAddress))
	reloading, stopReloading := context.WithCancel(ctx)
	go watchSettings(reloading, reloads, file, log)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	nodeDone := make(chan error, 1)
	go func() { nodeDone <- node.Run(runCtx) }()
	select {
	case <-ctx.Done():
	case err = <-nodeDone:
		stop()
		stopReloading()
		return err
	}
	stopReloading()
	log.Write(aqlog.ProcessStopping)
	stopStart := clock.Now()
	node.StopAccepting()
	stop()
	err = <-nodeDone
	aqclock.Sleep(context.Background(), clock, balancerDelay-clock.Now().Sub(stopStart))
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopLimit-clock.Now().Sub(stopStart)-leaseMargin)
	defer cancel()
	_ = frontServer.Shutdown(stopCtx)
	node.Close()
	_ = readyServer.Close()
	_ = operatorServer.Close()
	log.Write(aqlog.ProcessStopped, slog.Duration("Took", clock.Now().Sub(stopStart)))
	return err
}

func flush(asyncLog *aqlog.Async) {
	asyncLog.Close()
	select {
	case <-asyncLog.Done():
	case <-time.After(flushTimeout):
	}
}

func siteSettings(s aqsettings.Site) aqsite.Settings {
	return aqsite.Settings{
		Name:        s.Name,
		Zone:        s.Zone,
		PeerAddress: s.PeerAddress,
		Processors:  s.Processors,
		WorkerLease: min(workerLease, s.LeaseMax-leaseMargin),

		StoreValueMax:  s.StoreValueMax,
		EvacuateWithin: s.EvacuateWithin,
		CancelWithin:   s.CancelWithin,
		Decider: aqdecider.Limits{
			DrainMargin: drainMargin,
			Retention:   s.Retention + retentionMargin,
			StopGrace:   s.StopGrace,
			PaceDelay:   s.PaceDelay,

			OffRackFactor: s.OffRackFactor,
			LeaseMax:      aqagent.MaxLeaseSpan(s.LeaseMax),
			Tasks:         s.Tasks,
			JobBytes:      s.JobBytes,
		},
	}
}

func metricsMux(metrics *aqmetric.Set) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.Write(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return mux
}

// watchSettings checks the settings file after a reload signal and after a change, and
// logs whether it is valid. It applies nothing: the settings read at the start stay in
// force.
func watchSettings(ctx context.Context, signals <-chan os.Signal, file string, log *aqlog.Logger) {
	before := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-time.After(settingsPollInterval):
			if modTime(file).Equal(before) {
				continue
			}
		}
		before = modTime(file)
		if _, err := aqsettings.LoadSite(file); err != nil {
			log.Write(aqlog.SettingsReloadRefused, aqlog.Err(err))
			continue
		}
		log.Write(aqlog.SettingsReloaded)
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
