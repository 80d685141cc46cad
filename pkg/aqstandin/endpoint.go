package aqstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Headers that callers and endpoints of the tests use.
const (
	// HeaderIdempotencyKey holds the key of a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderBodyHash holds the SHA-256 of the answer's body.
	HeaderBodyHash = "X-Body-Hash"
	// HeaderRequestID is echoed, so that a caller recognizes the answer to its own
	// request.
	HeaderRequestID = "X-Request-Id"
)

// DefaultSlots is how many requests an endpoint processes concurrently.
const DefaultSlots = 8

// Endpoint is one instance of a service. It processes as many requests at a time as it
// has slots; the others wait.
type Endpoint struct {
	id       string
	slots    chan struct{}
	recorder Recorder
}

// NewEndpoint returns an endpoint handler.
func NewEndpoint(id string, slots int, recorder Recorder) *Endpoint {
	return &Endpoint{
		id:       id,
		slots:    make(chan struct{}, slots),
		recorder: recorder,
	}
}

// ServeHTTP sleeps for the query's "work" and answers with "size" bytes that depend on
// the request's id.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Aq-Probe") != "" {
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	_, _ = io.Copy(io.Discard, r.Body)
	key := ""
	if r.Method != http.MethodGet {
		key = r.Header.Get(HeaderIdempotencyKey)
	}
	e.recorder.RecordRequest(key)
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		time.Sleep(work)
	}
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		size = 64
	}
	id := r.Header.Get(HeaderRequestID)
	body := answerBody(id, size)
	sum := sha256.Sum256(body)
	w.Header().Set(HeaderBodyHash, hex.EncodeToString(sum[:]))
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set("X-Endpoint", e.id)
	_, _ = w.Write(body)
}

func answerBody(id string, size int) []byte {
	line := fmt.Sprintf("answer to %s\n", id)
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// CheckAnswer describes what is wrong with an answer: it belongs to another request, or
// its body is truncated or altered. It returns an empty string for a correct answer.
func CheckAnswer(id string, header http.Header, body []byte) string {
	sum := sha256.Sum256(body)
	switch {
	case header.Get(HeaderRequestID) != id:
		return "answer of another request"
	case header.Get(HeaderBodyHash) != hex.EncodeToString(sum[:]):
		return "body truncated or altered"
	}
	return ""
}

type openEndpoint struct {
	server *http.Server
	host   aqplatform.EndpointHost
}

// EndpointOpener opens an HTTP endpoint for each service task and registers it in
// service discovery. It implements Endpoints.
type EndpointOpener struct {
	mu       sync.Mutex
	host     string
	zone     aqtype.Zone
	recorder Recorder
	registry EndpointRegistry
	open     map[aqplatform.RunID]openEndpoint
}

// EndpointRegistry is the part of service discovery that holds endpoints.
type EndpointRegistry interface {
	PutEndpoint(h aqplatform.EndpointHost)
	RemoveEndpoint(id string)
}

// NewEndpointOpener returns an opener of endpoints on host.
func NewEndpointOpener(host string, zone aqtype.Zone, recorder Recorder, registry EndpointRegistry) *EndpointOpener {
	return &EndpointOpener{
		host:     host,
		zone:     zone,
		recorder: recorder,
		registry: registry,
		open:     map[aqplatform.RunID]openEndpoint{},
	}
}

// Open implements Endpoints.
func (o *EndpointOpener) Open(_ aqtype.WorkerID, run aqplatform.RunID, service string) {
	listener, err := net.Listen("tcp", net.JoinHostPort(o.host, "0"))
	if err != nil {
		return
	}
	host := aqplatform.EndpointHost{
		ID:      fmt.Sprintf("%s#%d", run.Task, run.Attempt),
		Service: service,
		Address: listener.Addr().String(),
		Zone:    o.zone,
		State:   aqplatform.HostLive,
		Slots:   DefaultSlots,
	}
	server := &http.Server{
		Handler:           NewEndpoint(host.ID, host.Slots, o.recorder),
		ReadHeaderTimeout: controlTimeout,
	}
	go func() { _ = server.Serve(listener) }()
	o.mu.Lock()
	o.open[run] = openEndpoint{server: server, host: host}
	o.mu.Unlock()
	go o.registry.PutEndpoint(host)
}

// Times of a closing endpoint.
const (
	// drainNotice is how long an endpoint accepts requests after it was listed as
	// draining.
	drainNotice = 3 * time.Second
	// shutdownTimeout is how long the endpoint then waits for its requests in flight.
	shutdownTimeout = 30 * time.Second
)

// Close implements Endpoints.
func (o *EndpointOpener) Close(run aqplatform.RunID, done func()) {
	o.mu.Lock()
	e, ok := o.open[run]
	delete(o.open, run)
	o.mu.Unlock()
	if !ok {
		go done()
		return
	}
	e.host.State = aqplatform.HostDraining
	go func() {
		o.registry.PutEndpoint(e.host)
		time.Sleep(drainNotice)
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = e.server.Shutdown(ctx)
		o.registry.RemoveEndpoint(e.host.ID)
		done()
	}()
}

// PutEndpoint implements EndpointRegistry.
func (r *ControlClient) PutEndpoint(h aqplatform.EndpointHost) { _ = r.Post(PathPutEndpoint, h, nil) }

// RemoveEndpoint implements EndpointRegistry.
func (r *ControlClient) RemoveEndpoint(id string) {
	_ = r.Post(PathRemoveEndpoint, aqplatform.EndpointHost{ID: id}, nil)
}

// PutWorker lists a worker in service discovery. Each call counts as its heartbeat.
func (r *ControlClient) PutWorker(h aqplatform.WorkerHost) error {
	return r.Post(PathPutWorker, h, nil)
}
