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

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqsettings"
	"acaciaquay/pkg/aqsite"
	"acaciaquay/platform"
)

// Bounds of a site's process.
const (
	// workerLease keeps tasks through a change of the leader, and ends them soon
	// after their worker is lost.
	workerLease = 5 * time.Second
	// leaseMargin stays below the longest lease that workers grant.
	leaseMargin = 100 * time.Millisecond
	// drainMargin is room for a stop, its end and the reading of it.
	drainMargin = 700 * time.Millisecond
	// rotationTime is how long the balancer goes on sending connections to a
	// process that is not ready: two missed checks, a second apart.
	rotationTime = 2500 * time.Millisecond
	// retentionMargin keeps ended jobs a little longer than promised.
	retentionMargin = 10 * time.Second
	// settingsPoll is how often the settings file is looked at without a signal.
	settingsPoll = 2 * time.Second
	// flushLimit bounds the last write of the log.
	flushLimit = 200 * time.Millisecond
)

// RunSite runs one process of a site until ctx ends, and then stops gracefully.
func RunSite(ctx context.Context, file string, logs io.Writer) error {
	// A reload signal that comes during the start must not end the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	s, err := aqsettings.LoadSite(file)
	if err != nil {
		return err
	}
	metrics := aqmetric.New()
	lines := aqlog.NewAsync(logs, metrics)
	defer flush(lines)
	log, err := aqlog.New(lines, s.Name, s.LogLayers)
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
		Incarnation: clock.Now().UnixNano(),
	})
	front := newHTTPServer(s.FrontAddress, platform.NewJobHandler(node, log, metrics))
	ready := newHTTPServer(s.ReadyAddress, platform.NewReadyHandler(node.Ready))
	operatorsMux := metricsMux(metrics)
	addViews(operatorsMux, node)
	operators := newHTTPServer(s.MetricsAddress, operatorsMux)
	if err := serve(front, ready, operators); err != nil {
		return err
	}
	log.Write(aqlog.ProcessStarted, slog.String("Zone", string(s.Zone)), slog.String("Front", s.FrontAddress))
	reloading, stopReloading := context.WithCancel(ctx)
	go watchSettings(reloading, reloads, file, log)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- node.Run(running) }()
	select {
	case <-ctx.Done():
	case err = <-ended:
		stop()
		stopReloading()
		return err
	}
	stopReloading()
	log.Write(aqlog.ProcessStopping)
	begun := clock.Now()
	node.StopAccepting()
	stop()
	err = <-ended
	aqclock.Sleep(context.Background(), clock, rotationTime-clock.Now().Sub(begun))
	limited, cancel := context.WithTimeout(context.Background(), s.StopLimit-clock.Now().Sub(begun)-leaseMargin)
	defer cancel()
	_ = front.Shutdown(limited)
	node.Close()
	_ = ready.Close()
	_ = operators.Close()
	log.Write(aqlog.ProcessStopped, slog.Duration("Took", clock.Now().Sub(begun)))
	return err
}

func flush(lines *aqlog.Async) {
	lines.Close()
	select {
	case <-lines.Done():
	case <-time.After(flushLimit):
	}
}

func siteSettings(s aqsettings.Site) aqsite.Settings {
	return aqsite.Settings{
		Name:        s.Name,
		Zone:        s.Zone,
		PeerAddress: s.PeerAddress,
		Processors:  s.Processors,
		WorkerLease: min(workerLease, s.LeaseMax-leaseMargin),
		Decider: aqdecider.Limits{
			DrainMargin: drainMargin,
			Retention:   s.Retention + retentionMargin,
			StopGrace:   s.StopGrace,
			PaceDelay:   s.PaceDelay,
		},
	}
}

func metricsMux(metrics *aqmetric.Set) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.Write(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return mux
}

// watchSettings checks the settings file after a signal and after a change. A
// file that is not valid is reported; the settings in force stay.
func watchSettings(ctx context.Context, signals <-chan os.Signal, file string, log *aqlog.Logger) {
	before := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-time.After(settingsPoll):
			if modified(file).Equal(before) {
				continue
			}
		}
		before = modified(file)
		if _, err := aqsettings.LoadSite(file); err != nil {
			log.Write(aqlog.SettingsReloadRefused, aqlog.Err(err))
			continue
		}
		log.Write(aqlog.SettingsReloaded)
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
