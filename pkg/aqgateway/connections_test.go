package aqgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciaquay/pkg/aqplatform"
)

// inFlight returns the number of slots that the gateway holds at its endpoints.
func (h *harness) inFlight() int {
	s := h.gateway.service("folio")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.InFlight()
}

// An endpoint that sends headers without end: the gateway closes the connection at
// the header size limit.
func TestEndlessHeaders(t *testing.T) {
	e := newRawEndpoint(t, func(conn net.Conn, _ int) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprintf(conn, "X-Header-%d: again and again and again\r\n", i)
		}
		return false
	})
	h := newHarness(t, endpointAt("a", e.address()))
	if got := h.send(http.MethodPost, "/folio/x", nil); got.outcome != OutcomeUnknown {
		t.Fatalf("got %+v", got)
	}
	if n := h.inFlight(); n != 0 {
		t.Fatalf("%d slots are held", n)
	}
}

// The endpoint resets the connection in the middle of a request: the outcome of a
// POST is unknown, and it is not sent again.
func TestResetConnection(t *testing.T) {
	e := newRawEndpoint(t, func(conn net.Conn, _ int) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	h := newHarness(t, endpointAt("a", e.address()))
	if got := h.send(http.MethodPost, "/folio/x", nil); got.outcome != OutcomeUnknown {
		t.Fatalf("got %+v", got)
	}
	if posts := e.posts.Load(); posts != 1 {
		t.Fatalf("sent %d times", posts)
	}
}

// A caller stops reading its answer: the gateway aborts the request after the progress
// timeout and releases its slot.
func TestSlowReaderFreesItsSlot(t *testing.T) {
	const body = 64 << 20
	e := newRawEndpoint(t, func(conn net.Conn, _ int) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", body)
		chunk := make([]byte, 1<<16)
		for sent := 0; sent < body && err == nil; sent += len(chunk) {
			_, err = conn.Write(chunk)
		}
		return false
	})
	h := newHarness(t, endpointAt("a", e.address()))
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /folio/x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	for h.inFlight() > 0 {
		time.Sleep(time.Millisecond)
		h.clock.Advance(100 * time.Millisecond)
	}
}

// The host list is stale and flapping: every other snapshot still lists an endpoint
// that is gone. The live endpoint must answer the requests, and each POST must run
// once.
func TestFlappingAndLaggingList(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	alive := newRawEndpoint(t, func(conn net.Conn, _ int) bool {
		writeAnswer(conn)
		return true
	})
	both := []aqplatform.EndpointHost{endpointAt("gone", gone.Addr().String()), endpointAt("alive", alive.address())}
	h := newHarness(t, both...)
	unanswered := 0
	for i := range 60 {
		h.gateway.SetEndpoints(both[i%2:])
		if got := h.send(http.MethodPost, "/folio/x", nil); got.status != http.StatusOK {
			unanswered++
		}
	}
	if unanswered > 1 {
		t.Fatalf("%d of 60 requests were not answered", unanswered)
	}
	if posts := alive.posts.Load(); posts != int64(60-unanswered) {
		t.Fatalf("%d POSTs ran, %d were answered", posts, 60-unanswered)
	}
}

// A request that reaches its caller's deadline must not count as a failure of the
// endpoint, which would be probed before it gets the next request.
func TestCallerDeadlineIsNoFailureOfTheEndpoint(t *testing.T) {
	slow := make(chan struct{})
	e := newRawEndpoint(t, func(conn net.Conn, _ int) bool {
		<-slow
		writeAnswer(conn)
		return true
	})
	h := newHarness(t, endpointAt("a", e.address()))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/folio/x", map[string]string{HeaderTimeout: "20"}) }()
	if got := <-done; got.outcome != OutcomeUnknown {
		t.Fatalf("POST with a short deadline: %+v", got)
	}
	close(slow)
	go func() { done <- h.send(http.MethodPost, "/folio/x", nil) }()
	if got := <-done; got.status != http.StatusOK {
		t.Fatalf("next POST: %+v", got)
	}
	if seen := e.received.Load(); seen != 2 {
		t.Fatalf("the endpoint received %d requests, want 2 and no probe", seen)
	}
}

// Guards against one request that crashes endpoint after endpoint: a repeatable request is
// not sent to a third endpoint after two have broken off.
func TestRequestThatBreaksEndpointsIsSentTwice(t *testing.T) {
	var all []*rawEndpoint
	var hosts []aqplatform.EndpointHost
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		e := newRawEndpoint(t, func(net.Conn, int) bool { return false })
		all = append(all, e)
		hosts = append(hosts, endpointAt(id, e.address()))
	}
	h := newHarness(t, hosts...)
	for range 100 {
		h.gateway.budget.Earn()
	}
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodGet, "/folio/x", nil) }()
	if got := h.await(done); got.outcome != OutcomeUnknown {
		t.Fatalf("got %+v", got)
	}
	sent := int64(0)
	for _, e := range all {
		sent += e.requests.Load()
	}
	if sent != 2 {
		t.Fatalf("sent to %d endpoints, want 2", sent)
	}
}

// Guards against a caller that hears that its request has not run, though an endpoint has
// received it: the endpoint breaks it off, and then no other is available.
func TestBrokenRequestIsNotRefusedAsNotRun(t *testing.T) {
	e := newRawEndpoint(t, func(net.Conn, int) bool { return false })
	h := newHarness(t, endpointAt("a", e.address()))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodGet, "/folio/x", nil) }()
	if got := h.await(done); got.outcome != OutcomeUnknown || e.received.Load() == 0 {
		t.Fatalf("got %+v after %d requests at the endpoint", got, e.received.Load())
	}
}
