// Package aqbench measures real gateways over loopback. Callers, gateways and endpoints
// are HTTP clients and servers in one process.
package aqbench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqgateway"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqstandin"
)

// Site is a set of gateways in front of a set of endpoints.
type Site struct {
	gateways  []string
	truth     *aqstandin.Truth
	servers   []*http.Server
	metrics   []*aqmetric.Set
	client    *http.Client
	Endpoints int
}

// SiteOptions are the sizes of a site.
type SiteOptions struct {
	Gateways  int
	Endpoints int
	// SlotsPerGateway is how many of an endpoint's slots one gateway may use.
	SlotsPerGateway int
}

const (
	readHeaderTimeout = 5 * time.Second
	maxIdleConns      = 4096
	queueLimit        = 2000
)

// NewSite starts the servers of a site on loopback.
func NewSite(o SiteOptions) (*Site, error) {
	s := &Site{
		truth:     aqstandin.NewTruth(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		Endpoints: o.Endpoints,
	}
	var hosts []aqplatform.EndpointHost
	for i := range o.Endpoints {
		id := fmt.Sprintf("e%d", i)
		address, err := s.serve(aqstandin.NewEndpoint(id, aqstandin.DefaultSlots, s.truth))
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, aqplatform.EndpointHost{
			ID:      id,
			Service: "folio",
			Address: address,
			State:   aqplatform.HostLive,
			Slots:   o.SlotsPerGateway,
		})
	}
	for i := range o.Gateways {
		metrics := aqmetric.New()
		gateway := aqgateway.New(aqgateway.Options{
			Clock:            aqclock.System{},
			Config:           aqconfig.NewHolder(aqlog.Discard()),
			Random:           rand.New(rand.NewPCG(uint64(i), 1)),
			Log:              aqlog.Discard(),
			Metrics:          metrics,
			Timeout:          30 * time.Second,
			DialTimeout:      time.Second,
			ProgressTimeout:  10 * time.Second,
			MaxQueue:         queueLimit,
			MaxBodyBytes:     1 << 20,
			RetryBudgetRatio: 0.1,
			RetryBurst:       10,
		})
		gateway.SetEndpoints(hosts)
		address, err := s.serve(gateway)
		if err != nil {
			return nil, err
		}
		s.gateways = append(s.gateways, address)
		s.metrics = append(s.metrics, metrics)
	}
	return s, nil
}

func (s *Site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	go func() { _ = server.Serve(listener) }()
	s.servers = append(s.servers, server)
	return listener.Addr().String(), nil
}

// Close closes every server.
func (s *Site) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.client.CloseIdleConnections()
}

// send makes one request and reports whether it was answered.
func (s *Site) send(ctx context.Context, r requestPlan) bool {
	url := fmt.Sprintf("http://%s/folio/x?work=%s", s.gateways[r.gateway], r.work)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	request.Header.Set(aqgateway.HeaderUrgency, r.urgency)
	request.Header.Set(aqgateway.HeaderCaller, r.caller)
	request.Header.Set(aqgateway.HeaderTimeout, fmt.Sprint(r.timeout.Milliseconds()))
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// Retries returns the number of retries that the gateways made and of those that the
// retry budget denied.
func (s *Site) Retries() (made, denied uint64) {
	for _, m := range s.metrics {
		made += m.RetriedCount(aqmetric.RetryConnect) + m.RetriedCount(aqmetric.RetryConnectionLost)
		denied += m.RetriedCount(aqmetric.RetryBudgetSpent)
	}
	return made, denied
}
