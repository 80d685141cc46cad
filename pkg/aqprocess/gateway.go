package aqprocess

import (
	"context"
	"fmt"
	"io"
	"time"

	"acaciaquay/pkg/aqapi"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqgateway"
	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqrouter"
	"acaciaquay/pkg/aqsettings"
)

const (
	hundredPercent = 100
	// routerPause is the delay before a call to a shard's owner is retried.
	routerPause = 200 * time.Millisecond
)

// RunGateway runs a gateway until ctx ends. It then waits for the requests in flight,
// at most for the drain timeout.
func RunGateway(ctx context.Context, s aqsettings.Settings, logs io.Writer) error {
	b, err := newBase(s, aqmember.RoleGateway, s.Gateway.PeerAddress, logs)
	if err != nil {
		return err
	}
	api := b.apiServer()
	gateway := aqgateway.New(b.gatewayOptions(api.Router))
	mux := b.operatorMux(gateway.Ready)
	api.Register(mux)
	callerServer := b.intake.Server(s.Gateway.CallerAddress, gateway, callerPort)
	operatorServer := b.intake.Server(s.Gateway.OperatorAddress, mux, operatorPort)
	if err := b.server.Start(s.Gateway.PeerAddress); err != nil {
		return err
	}
	if err := serve(callerServer, operatorServer); err != nil {
		return err
	}
	runCtx, stop := b.start(ctx, gateway.Run)
	<-ctx.Done()
	logStopped := b.logShutdown()
	drainCtx, cancelDrain := context.WithTimeout(runCtx, s.Gateway.DrainTimeout)
	b.leave(drainCtx)
	_ = callerServer.Shutdown(drainCtx)
	_ = operatorServer.Shutdown(drainCtx)
	cancelDrain()
	stop()
	b.close()
	logStopped()
	return nil
}

func (b *base) gatewayOptions(reserver aqgateway.KeyReserver) aqgateway.Options {
	s := b.settings
	return aqgateway.Options{
		Name:             fmt.Sprintf("%s-%d", s.Process.ID, b.clock.Now().UnixNano()),
		Keys:             reserver,
		Clock:            b.clock,
		Config:           b.config,
		HostList:         b.hostList,
		Random:           newRandom(string(s.Process.ID)),
		Log:              b.log,
		Metrics:          b.metrics,
		Timeout:          s.Gateway.RequestTimeout,
		DialTimeout:      s.Gateway.DialTimeout,
		ProgressTimeout:  s.Gateway.ProgressTimeout,
		MaxQueue:         s.Gateway.MaxQueue,
		MaxBodyBytes:     int64(s.Gateway.MaxBodyBytes),
		HostPoll:         s.Platform.HostPoll,
		RetryBudgetRatio: float64(s.Gateway.RetryEarnPercent) / hundredPercent,
		RetryBurst:       s.Gateway.RetryBurst,
	}
}

func (b *base) apiServer() *aqapi.Server {
	return &aqapi.Server{
		Router: &aqrouter.Router{
			Directory: b.directory,
			Peers:     b.peers,
			Clock:     b.clock,
			Metrics:   b.metrics,
			Shards:    b.settings.Shards.Count,
			Pause:     routerPause,
		},
		Changer: aqconfig.Changer{
			Store:  b.store,
			Holder: b.config,
		},
		Directory: b.directory,
		Metrics:   b.metrics,
		Timeout:   b.settings.Gateway.OperatorTimeout,
	}
}
