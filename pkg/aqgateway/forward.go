package aqgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqroute"
)

// The errors of one attempt.
var (
	// errNotSent means that no byte was sent to the endpoint.
	errNotSent = errors.New("gateway: no connection to the endpoint")
	// errConnectionLost means that the request may have reached the endpoint.
	errConnectionLost = errors.New("gateway: connection lost after the request was sent")
	// errCallerBody means that the caller's body ended early. The request may have reached the
	// endpoint, which is not to blame.
	errCallerBody = errors.New("gateway: the caller's body ended early")
)

// hopHeaders are the hop-by-hop headers, which a proxy must not forward.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarder sends requests to endpoints. One call of try sends at most once.
type forwarder struct {
	transport *http.Transport
	// probeTransport opens a new connection for each probe.
	probeTransport *http.Transport
	clock          aqclock.Clock
	// progressTimeout is the longest time without a byte from the endpoint.
	progressTimeout time.Duration
}

// Limits of the connections to endpoints.
const (
	idlePerEndpoint = 8
	idleConnTimeout = 4 * time.Second
	maxHeaderBytes  = 64 << 10
)

func newForwarder(clock aqclock.Clock, dialTimeout, progressTimeout time.Duration) *forwarder {
	return &forwarder{
		transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:    idlePerEndpoint,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		probeTransport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
		clock:           clock,
		progressTimeout: progressTimeout,
	}
}

// singleReadBody hides from http.Transport that a body could be read again, so that
// the transport retries nothing by itself, not even a request without a body.
type singleReadBody struct {
	io.Reader
	// failed is set when the caller's body can't be read to its end.
	failed *atomic.Bool
}

// Read implements io.Reader.
func (b singleReadBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It does nothing: the server closes the caller's body.
func (singleReadBody) Close() error { return nil }

// reply is an endpoint's answer whose body has not been read yet.
type reply struct {
	response *http.Response
	guard    *watchdog
}

// close ends the attempt, whether or not the body was read to its end.
func (r *reply) close() {
	r.guard.stop()
	_ = r.response.Body.Close()
}

// try sends a request once. The error is errNotSent, errConnectionLost or errCallerBody.
func (f *forwarder) try(
	ctx context.Context, r *http.Request, body io.Reader, identified request, e *aqroute.Endpoint,
) (*reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	guard := newWatchdog(f.clock, f.progressTimeout, cancel)
	var bodyFailed atomic.Bool
	response, err := f.transport.RoundTrip(outgoing(ctx, r, body, identified, e, &bodyFailed))
	if err == nil {
		guard.feed()
		return &reply{response: response, guard: guard}, nil
	}
	guard.stop()
	if !connected.Load() {
		return nil, errors.WithMessage(errNotSent, err.Error())
	}
	if bodyFailed.Load() {
		return nil, errors.WithMessage(errCallerBody, err.Error())
	}
	return nil, errors.WithMessage(errConnectionLost, err.Error())
}

// probe reports whether an endpoint answers on a new connection; any status will do.
// A pooled connection may be unresponsive while the endpoint accepts new ones.
func (f *forwarder) probe(address string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	guard := newWatchdog(f.clock, f.progressTimeout, cancel)
	defer guard.stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+address+"/", http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	request.Header.Set(HeaderProbe, "true")
	response, err := f.probeTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

func outgoing(
	ctx context.Context, r *http.Request, body io.Reader, identified request, e *aqroute.Endpoint, bodyFailed *atomic.Bool,
) *http.Request {
	out := r.Clone(ctx)
	out.URL = &url.URL{
		Scheme:   "http",
		Host:     e.Address,
		RawQuery: r.URL.RawQuery,
	}
	out.URL.Path, out.URL.RawPath = identified.path, ""
	if path, err := url.PathUnescape(identified.path); err == nil {
		out.URL.Path, out.URL.RawPath = path, identified.path
	}
	out.Host = r.Host
	out.RequestURI = ""
	out.Close = false
	out.GetBody = nil
	out.Body = singleReadBody{
		Reader: body,
		failed: bodyFailed,
	}
	dropHopHeaders(out.Header)
	// A caller's trailer is not passed on. http.Transport fails on some names, as if the
	// endpoint had.
	out.Trailer = nil
	return out
}

func dropHopHeaders(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// watchdog cancels an attempt that makes no progress for the timeout, which closes its
// connection.
type watchdog struct {
	clock   aqclock.Clock
	timeout time.Duration
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	last    time.Time
	stalled func()
}

func newWatchdog(clock aqclock.Clock, timeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{
		clock:   clock,
		timeout: timeout,
		last:    clock.Now(),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *watchdog) run() {
	for {
		w.mu.Lock()
		left := w.timeout - w.clock.Now().Sub(w.last)
		w.mu.Unlock()
		if left <= 0 {
			w.fire()
			return
		}
		select {
		case <-w.done:
			return
		case <-w.clock.After(left):
		}
	}
}

func (w *watchdog) fire() {
	w.cancel()
	w.mu.Lock()
	stalled := w.stalled
	w.mu.Unlock()
	if stalled != nil {
		stalled()
	}
}

// feed restarts the timeout after progress.
func (w *watchdog) feed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = w.clock.Now()
}

// onStall sets a function that is called after the cancellation on a timeout.
func (w *watchdog) onStall(stalled func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = stalled
}

// stop ends the watchdog and cancels the attempt's context.
func (w *watchdog) stop() {
	close(w.done)
	w.cancel()
}
