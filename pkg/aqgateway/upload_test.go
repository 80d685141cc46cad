package aqgateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newUploadHarness returns a gateway before an endpoint with two slots.
func newUploadHarness(t *testing.T) *harness {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	t.Cleanup(endpoint.Close)
	host := endpointAt("e1", endpoint.Listener.Addr().String())
	host.Slots = 2
	h := newHarness(t, host)
	h.gateway.options.MaxBodyBytes = 1 << 20
	h.gateway.options.MaxQueue = 100
	return h
}

// startBody sends a request whose body stops short of its end.
func (h *harness) startBody(size, sent int) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "POST /folio/run HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", sent))
	return conn
}

// uploads returns how many uploads are in progress and wait.
func (h *harness) uploads() (inProgress, waiting int) {
	s := h.gateway.service("folio")
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uploads), s.uploadQueue.Len()
}

// Callers that stop within their bodies, short or long ones, leave slots to others.
func TestUnfinishedBodiesLeaveSlots(t *testing.T) {
	h := newUploadHarness(t)
	for range 5 {
		h.startBody(200, 100)
		h.startBody(2*readAheadBytes, 2*readAheadBytes-1)
	}
	for inProgress, waiting := h.uploads(); inProgress != 1 || waiting != 4; inProgress, waiting = h.uploads() {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		if got := h.send(http.MethodGet, "/folio/x", nil); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		response, err := http.Post(h.server.URL+"/folio/x", "", strings.NewReader("abc"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Fatal(response.Status)
		}
	}
}

// A trailer that can't be passed on is no failure of the endpoint.
func TestTrailersAreDropped(t *testing.T) {
	h := newUploadHarness(t)
	for range 3 {
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "POST /folio/run HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"3;name=value\r\nabc\r\n0\r\nTrailer: value\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", response, err)
		}
	}
}

// An upload that waits gets the place of one that stalls.
func TestStalledUploadGivesWay(t *testing.T) {
	h := newUploadHarness(t)
	stalled := h.startBody(2*readAheadBytes, 2*readAheadBytes-1)
	for inProgress, _ := h.uploads(); inProgress != 1; inProgress, _ = h.uploads() {
		time.Sleep(time.Millisecond)
	}
	answered := make(chan string)
	go func() {
		response, err := http.Post(h.server.URL+"/folio/x", "", strings.NewReader(strings.Repeat("x", 3*readAheadBytes)))
		if err != nil {
			answered <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		answered <- response.Status
	}()
	for {
		select {
		case got := <-answered:
			if got != "200 OK" {
				t.Fatalf("the upload that waited: %s", got)
			}
			text, _ := io.ReadAll(stalled)
			if !strings.Contains(string(text), OutcomeUnknown) {
				t.Fatalf("the stalled upload got %q", text)
			}
			return
		default:
			h.clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}
}
