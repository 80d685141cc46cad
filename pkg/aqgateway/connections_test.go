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

// inFlight counts the slots that a gateway holds at its endpoints.
func (h *harness) inFlight() int {
	s := h.gateway.service("folio")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.InFlight()
}

// An endpoint whose headers never end is cut off at the limit of their size.
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

// A connection that is reset in the middle of a request is an unknown outcome for
// an order.
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

// A caller that stops reading is given up after the progress limit, and the slot
// it held is free again.
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

// The list lags: it goes on listing an endpoint that is gone, and flaps between
// two readings. Requests are answered by the one that lives.
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
	refused := 0
	for i := range 60 {
		h.gateway.SetEndpoints(both[i%2:])
		if got := h.send(http.MethodPost, "/folio/x", nil); got.status != http.StatusOK {
			refused++
		}
	}
	if refused > 1 {
		t.Fatalf("%d of 60 requests were not answered", refused)
	}
	if posts := alive.posts.Load(); posts != int64(60-refused) {
		t.Fatalf("%d orders ran of %d answered", posts, 60-refused)
	}
}

// A request that runs into its own caller's deadline says nothing of its
// endpoint, which gets the next one.
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
		t.Fatalf("order with a short deadline: %+v", got)
	}
	close(slow)
	go func() { done <- h.send(http.MethodPost, "/folio/x", nil) }()
	if got := <-done; got.status != http.StatusOK {
		t.Fatalf("the next order: %+v", got)
	}
	if seen := e.seen.Load(); seen != 2 {
		t.Fatalf("the endpoint saw %d requests, want 2 and no probe", seen)
	}
}
