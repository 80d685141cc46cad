package aqgateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqretry"
	"acaciaquay/pkg/aqroute"
)

// Options configure a gateway.
type Options struct {
	// Name is unique among all processes that ever ran, because the names of this
	// gateway's key holders begin with it.
	Name string
	// Keys reserves idempotency keys; with nil, the gateway ignores them.
	Keys     KeyReserver
	Clock    aqclock.Clock
	Config   *aqconfig.Holder
	HostList aqplatform.HostList
	Random   *rand.Rand
	Log      *aqlog.Logger
	Metrics  *aqmetric.Set
	// Timeout is the maximum timeout of a request; callers can ask for a shorter one.
	Timeout time.Duration
	// DialTimeout is the timeout of opening a connection to an endpoint.
	DialTimeout time.Duration
	// ProgressTimeout is how long a request may go without a byte from the endpoint.
	ProgressTimeout time.Duration
	// MaxQueue is the maximum number of requests queued for one service.
	MaxQueue int
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64
	// HostPoll is the interval between polls of the host list.
	HostPoll time.Duration
	// RetryBudgetRatio is the fraction of a retry that each success adds to the retry
	// budget.
	RetryBudgetRatio float64
	// RetryBurst is the maximum number of retries that the budget can hold.
	RetryBurst int
}

// Gateway serves callers. It implements http.Handler.
type Gateway struct {
	options   Options
	forwarder *forwarder
	budget    *aqretry.Budget
	done      chan struct{}
	nonce     atomic.Uint64

	mu       sync.Mutex
	services map[string]*serviceState
	ready    bool
}

// New returns a gateway without endpoints.
func New(o Options) *Gateway {
	g := &Gateway{
		options:   o,
		forwarder: newForwarder(o.Clock, o.DialTimeout, o.ProgressTimeout),
		budget:    aqretry.NewBudget(o.RetryBudgetRatio, o.RetryBurst),
		done:      make(chan struct{}),
		services:  map[string]*serviceState{},
	}
	o.Config.OnChange(g.setShares)
	return g
}

// Run polls the host list until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	defer close(g.done)
	for ctx.Err() == nil {
		if hosts, err := g.options.HostList.Hosts(ctx); err == nil {
			g.SetEndpoints(hosts.Endpoints)
		}
		aqclock.Sleep(ctx, g.options.Clock, g.options.HostPoll)
	}
}

// Ready reports whether the host list has been read.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}

// SetEndpoints applies a snapshot of the platform's host list.
func (g *Gateway) SetEndpoints(hosts []aqplatform.EndpointHost) {
	byService := map[string][]aqplatform.EndpointHost{}
	for _, h := range hosts {
		byService[h.Service] = append(byService[h.Service], h)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = true
	for name := range byService {
		if g.services[name] == nil {
			random := rand.New(rand.NewPCG(g.options.Random.Uint64(), g.options.Random.Uint64()))
			g.services[name] = newServiceState(g, random)
		}
	}
	for name, s := range g.services {
		s.update(byService[name])
	}
}

func (g *Gateway) setShares(c aqconfig.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		s.setShares(c)
	}
}

func (g *Gateway) service(name string) *serviceState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// retryAfter is the Retry-After value of refusals.
const retryAfter = time.Second

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	identified, err := identify(r, g.options.Timeout)
	if err != nil {
		g.refuse(w, http.StatusBadRequest, aqmetric.RefusedBadRequest, 0, err)
		return
	}
	if r.ContentLength > g.options.MaxBodyBytes {
		g.refuse(w, http.StatusRequestEntityTooLarge, aqmetric.RefusedTooLarge, 0, errTooLarge)
		return
	}
	service := g.service(identified.service)
	if service == nil {
		g.refuse(w, http.StatusNotFound, aqmetric.RefusedNoService, 0, errNoService)
		return
	}
	body, err := readAhead(g.options.Clock, http.MaxBytesReader(w, r.Body, g.options.MaxBodyBytes))
	if err != nil {
		g.refuseBody(w, err)
		return
	}
	identified.deadline = g.options.Clock.Now().Add(identified.timeout)
	reservation, ok := g.reserve(w, r, identified)
	if !ok {
		return
	}
	g.forward(w, r, identified, body, service, reservation)
}

var (
	errTooLarge  = errors.New("gateway: the body is too large")
	errNoService = errors.New("gateway: no such service")
)

// maxBrokenAttempts is the number of endpoints that may break off the same request. It may
// be what crashes them.
const maxBrokenAttempts = 2

// forward sends the request to one endpoint after another until one answers, the
// request is refused, or its outcome is unknown.
func (g *Gateway) forward(
	w http.ResponseWriter, r *http.Request, identified request, body *callerBody, service *serviceState,
	reservation *keyReservation,
) {
	ctx, cancel := context.WithTimeout(r.Context(), identified.deadline.Sub(g.options.Clock.Now()))
	defer cancel()
	if !body.whole {
		controller := http.NewResponseController(w)
		started, err := service.beginUpload(ctx, identified, func() { _ = controller.SetReadDeadline(pastDeadline) })
		if err != nil {
			reservation.release()
			g.refuseAdmission(w, err)
			return
		}
		body.upload = started
		defer started.end()
	}
	broken := 0
	// lost is the error of the last attempt that an endpoint may have received, nil if there
	// is none. The request then never counts as not run.
	var lost error
	for {
		endpoint, err := service.acquire(ctx, identified)
		if err != nil && lost != nil {
			g.answerFailure(w, identified, reservation, lost)
			return
		}
		if err != nil {
			reservation.release()
			g.refuseAdmission(w, err)
			return
		}
		start := g.options.Clock.Now()
		got, err := g.forwarder.try(ctx, r, body, identified, endpoint)
		if err == nil {
			g.finish(ctx, w, got, service, endpoint, start)
			return
		}
		g.recordFailure(ctx, service, endpoint, err)
		if !errors.Is(err, errNotSent) {
			broken++
			lost = err
		}
		if broken >= maxBrokenAttempts || !g.mayRetry(ctx, r, identified, err) {
			if lost != nil {
				err = lost
			}
			g.answerFailure(w, identified, reservation, err)
			return
		}
	}
}

// finish copies the endpoint's answer to the caller and releases the slot. If copying
// fails, it aborts the caller's connection, so that the caller notices that the answer
// is truncated.
func (g *Gateway) finish(
	ctx context.Context, w http.ResponseWriter, got *reply, service *serviceState, endpoint *aqroute.Endpoint, start time.Time,
) {
	service.recordAnswer(endpoint, got.response.Close)
	err := answer(w, got)
	switch {
	case err == nil:
		service.recordSuccess(endpoint, g.options.Clock.Now().Sub(start))
		g.budget.Earn()
		g.options.Metrics.Inc(aqmetric.RequestsAnswered)
		return
	case errors.Is(err, errCallerGone), ctx.Err() != nil:
		service.release(endpoint)
	default:
		service.recordFailure(endpoint)
	}
	g.options.Metrics.Inc(aqmetric.RequestsUnknown)
	panic(http.ErrAbortHandler)
}

// recordFailure counts a failed attempt against its endpoint, unless the caller
// disconnected, its body ended early or its deadline has passed.
func (g *Gateway) recordFailure(
	ctx context.Context, service *serviceState, endpoint *aqroute.Endpoint, err error,
) {
	if ctx.Err() != nil || errors.Is(err, errCallerBody) {
		service.release(endpoint)
		return
	}
	if service.recordFailure(endpoint) {
		g.options.Log.Write(aqlog.EndpointSuspect, slog.String("Endpoint", endpoint.ID), aqlog.Err(err))
	}
}

// mayRetry reports whether a failed attempt may be retried: nothing was sent, or the
// request is idempotent and has no body; its deadline has not passed; and the retry
// budget allows it.
func (g *Gateway) mayRetry(ctx context.Context, r *http.Request, identified request, err error) bool {
	notSent := errors.Is(err, errNotSent)
	bodyless := r.ContentLength == 0
	if errors.Is(err, errCallerBody) {
		return false
	}
	repeatable := notSent || (identified.idempotent && bodyless)
	if ctx.Err() != nil || !repeatable {
		return false
	}
	if !g.budget.Spend() {
		g.options.Metrics.Retried(aqmetric.RetryBudgetSpent)
		return false
	}
	if notSent {
		g.options.Metrics.Retried(aqmetric.RetryConnect)
	} else {
		g.options.Metrics.Retried(aqmetric.RetryConnectionLost)
	}
	return true
}

// answerFailure answers a request whose last attempt failed: as refused if this attempt
// sent nothing, else with an unknown outcome.
func (g *Gateway) answerFailure(w http.ResponseWriter, identified request, reservation *keyReservation, err error) {
	if errors.Is(err, errNotSent) {
		reservation.release()
		g.refuse(w, http.StatusServiceUnavailable, aqmetric.RefusedConnect, retryAfter, err)
		return
	}
	g.options.Metrics.Inc(aqmetric.RequestsUnknown)
	g.options.Log.Write(aqlog.RequestUnknown, slog.String("Service", identified.service), aqlog.Err(err))
	unknown(w, err.Error())
}

func (g *Gateway) refuseAdmission(w http.ResponseWriter, err error) {
	reason := aqmetric.RefusedDeadline
	switch {
	case errors.Is(err, errNoEndpoint):
		reason = aqmetric.RefusedNoEndpoint
	case errors.Is(err, errQueueFull):
		reason = aqmetric.RefusedQueueFull
	}
	g.refuse(w, http.StatusServiceUnavailable, reason, retryAfter, err)
}

func (g *Gateway) refuse(
	w http.ResponseWriter, status int, reason aqmetric.RefusalReason, retry time.Duration, err error,
) {
	g.options.Metrics.Refused(reason)
	refuse(w, status, string(reason), retry, err.Error())
}
