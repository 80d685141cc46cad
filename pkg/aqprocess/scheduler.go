package aqprocess

import (
	"context"
	"io"
	"time"

	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqowner"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqsettings"
)

// handoverTimeout is the timeout of the hand-over of all shards at a planned stop.
const handoverTimeout = 15 * time.Second

// RunScheduler runs a scheduler until ctx ends. It then hands its shards over.
func RunScheduler(ctx context.Context, s aqsettings.Settings, logs io.Writer) error {
	b, err := newBase(s, aqmember.RoleScheduler, s.Scheduler.PeerAddress, logs)
	if err != nil {
		return err
	}
	daemon := aqowner.NewDaemon(b.schedulerOptions())
	daemon.Register(b.server)
	b.heartbeater.Claims = daemon.Claims
	if err := b.server.Start(s.Scheduler.PeerAddress); err != nil {
		return err
	}
	operatorServer := b.intake.Server(s.Scheduler.OperatorAddress, b.operatorMux(func() bool { return true }), operatorPort)
	if err := serve(operatorServer); err != nil {
		return err
	}
	runCtx, stop := b.start(ctx, daemon.Run)
	<-ctx.Done()
	logStopped := b.logShutdown()
	stopCtx, cancelLimit := context.WithTimeout(runCtx, handoverTimeout)
	daemon.Leave(stopCtx)
	b.leave(stopCtx)
	cancelLimit()
	stop()
	b.close()
	_ = operatorServer.Close()
	logStopped()
	return nil
}

func (b *base) schedulerOptions() aqowner.DaemonOptions {
	s := b.settings
	return aqowner.DaemonOptions{
		Self:      b.directory.Self().ID,
		Shards:    s.Shards.Count,
		Zones:     s.Shards.Zones,
		Store:     b.store,
		Workers:   aqplatform.NewHTTPWorkers(s.Session.Wait + s.Platform.CallTimeout),
		HostList:  b.hostList,
		Clock:     b.clock,
		Config:    b.config,
		Directory: b.directory,
		Peers:     b.peers,
		Limits: aqscheduler.Limits{
			Session: aqsession.Limits{
				TTL:          s.Session.TTL,
				ProofLimit:   s.Session.ProofLimit,
				RenewWait:    s.Session.Wait,
				RenewPause:   s.Session.Pause,
				RetryDelay:   s.Session.Reopen,
				DriftPercent: s.Session.DriftPercent,
			},
			CommitInterval: s.Scheduler.CommitInterval,
			PlanInterval:   s.Scheduler.PlanInterval,
			StallLimit:     s.Scheduler.Stall,
			Retention:      s.Scheduler.Retention,
			KeyRetention:   s.Scheduler.KeyRetention,
			MaxWorkloads:   s.Scheduler.MaxWorkloads,
		},
		HostPollInterval: s.Platform.HostPoll,
		HandoverDelay:    s.Scheduler.Settle,
		StartDelay:       s.Peers.Silence,
		RetryDelay:       s.Scheduler.StoreRetry,
		Log:              b.log,
		Metrics:          b.metrics,
	}
}
