package aqintake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// machine has the limits of the smallest machines in use.
func machine() Limits {
	const memory, descriptors = 160 * MiB, 4100
	connections := DefaultConnections(memory, descriptors)
	return Limits{
		Budget:                DefaultBudget(memory),
		Connections:           connections,
		ConnectionsPerAddress: DefaultConnectionsPerAddress(connections),
		Working:               DefaultWorking(connections, descriptors),
		HeadBytes:             64 << 10,
		HeadLines:             8192,
		HeadTime:              5 * time.Second,
		IdleTime:              time.Minute,
		BodyTime:              time.Minute,
		BodyPace:              1024,
		PaceWindow:            5 * time.Second,
		WriteTime:             10 * time.Second,
	}
}

// running is a server on a loopback port.
type running struct {
	intake  *Intake
	server  *Server
	metrics *aqmetric.Set
	address string
}

func serve(t *testing.T, limits Limits, handler http.HandlerFunc) *running {
	t.Helper()
	metrics := aqmetric.New()
	intake := New(limits, aqclock.System{}, aqlog.Discard(), metrics)
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := intake.Server(inner.Addr().String(), handler, Port{LimitWork: true})
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(func() { _ = server.Close() })
	return &running{
		intake:  intake,
		server:  server,
		metrics: metrics,
		address: inner.Addr().String(),
	}
}

// echo answers with the body, or with a refusal.
func echo(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	switch {
	case IsRefusal(err):
		WriteRefusal(w)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = w.Write(data)
	}
}

func (r *running) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// nothingHeld waits until no memory is reserved.
func (r *running) nothingHeld() {
	for {
		if used, _ := r.intake.ledger.totals(); used == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"

// Requests of all forms follow each other on one connection, also when they arrive
// together.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	r := serve(t, machine(), echo)
	conn := r.dial(t)
	large := strings.Repeat("large", 20000)
	requests := post("one") + "GET / HTTP/1.1\r\nHost: a\r\n\r\n" + chunked + post(large) + chunked + post("last")
	go func() { _, _ = io.WriteString(conn, requests) }()
	reader := bufio.NewReader(conn)
	for _, want := range []string{"one", "", "abc", large, "abc", "last"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || string(got) != want || response.StatusCode != http.StatusOK {
			t.Fatalf("%s: %d bytes, %v; want %d", response.Status, len(got), err, len(want))
		}
	}
	r.nothingHeld()
}

// Empty lines before a request are ignored, wherever the network divides them.
func TestEmptyLinesBeforeARequest(t *testing.T) {
	r := serve(t, machine(), echo)
	for _, text := range []string{"\r\n", "\n\n", "\r\n\r\n\r\n"} {
		for cut := range len(text) + 1 {
			conn := r.dial(t)
			reader := bufio.NewReader(conn)
			for _, request := range []string{post("abc"), "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
				_, _ = io.WriteString(conn, text[:cut])
				_, _ = io.WriteString(conn, text[cut:]+request)
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("%q before %q: %v, %v", text, request, response, err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		}
	}
	r.nothingHeld()
}

func TestContinueIsSentBeforeABody(t *testing.T) {
	r := serve(t, machine(), echo)
	conn := r.dial(t)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil || !strings.Contains(line, "100 Continue") {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = reader.ReadString('\n')
	_, _ = io.WriteString(conn, "abc")
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
}

// A request whose body stops is refused as not run, and its connection is closed.
func TestStalledBodyIsRefused(t *testing.T) {
	limits := machine()
	limits.PaceWindow = 50 * time.Millisecond
	r := serve(t, limits, echo)
	conn := r.dial(t)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("%v, %v", response, err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection stays open: %v", err)
	}
	if r.metrics.RefusedCount(aqmetric.RefusedBodySlow) != 1 {
		t.Fatal("not counted")
	}
	r.nothingHeld()
}

// The pace applies to bodies, not to requests at work.
func TestWorkMayTakeLongerThanABody(t *testing.T) {
	limits := machine()
	limits.PaceWindow, limits.BodyTime, limits.HeadTime = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	r := serve(t, limits, func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(3 * limits.PaceWindow)
		if request.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	for _, request := range []string{post("abc"), chunked, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		conn := r.dial(t)
		_, _ = io.WriteString(conn, request)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", response, err)
		}
	}
}

// The lines of a trailer are reserved like those of a head.
func TestTrailerIsReserved(t *testing.T) {
	var r *running
	r = serve(t, machine(), func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		used, _ := r.intake.ledger.totals()
		_, _ = fmt.Fprint(w, used)
	})
	const lines = 900
	conn := r.dial(t)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"0\r\n"+strings.Repeat("a:\r\n", lines)+"\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	var used Bytes
	if _, err := fmt.Fscan(response.Body, &used); err != nil || used < lines*headLineCost {
		t.Fatalf("%d bytes are reserved, %v", used, err)
	}
	r.nothingHeld()
}

// The time for which the handler does not read counts neither against the pace nor against
// the time of a body.
func TestHandlerMayReadABodyLate(t *testing.T) {
	limits := machine()
	limits.PaceWindow, limits.BodyTime = 500*time.Millisecond, 500*time.Millisecond
	r := serve(t, limits, func(w http.ResponseWriter, request *http.Request) {
		time.Sleep(2 * limits.BodyTime)
		_, _ = io.ReadFull(request.Body, make([]byte, 1))
		time.Sleep(2 * limits.BodyTime)
		echo(w, request)
	})
	conn := r.dial(t)
	go func() { _, _ = io.WriteString(conn, post(strings.Repeat("x", 12000))) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
}

// A request whose body a gateway passes on is at work before its body has ended.
func TestStreamedRequestIsAtWork(t *testing.T) {
	limits := machine()
	limits.PaceWindow = 50 * time.Millisecond
	intake := New(limits, aqclock.System{}, aqlog.Discard(), aqmetric.New())
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := intake.Server("", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		intake.ledger.mu.Lock()
		defer intake.ledger.mu.Unlock()
		for e := range intake.ledger.entries {
			_, _ = fmt.Fprint(w, e.phase == phaseWorking)
		}
	}), Port{Streams: true})
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, post("abc")[:48])
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != "true" {
		t.Fatalf("%q, %v", got, err)
	}
}

// Of requests for which there is no place among those at work a limited number waits. Further
// ones are refused at once, and those that wait are served.
func TestRequestsBeyondThoseThatWaitAreRefused(t *testing.T) {
	limits := machine()
	limits.Working = 1
	finish := make(chan struct{})
	r := serve(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		<-finish
		w.WriteHeader(http.StatusOK)
	})
	answers := make(chan int)
	send := func() {
		conn := r.dial(t)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				answers <- 0
				return
			}
			answers <- response.StatusCode
		}()
	}
	for range 1 + minWaiting {
		send()
	}
	for r.intake.waiting.Load() < minWaiting {
		time.Sleep(time.Millisecond)
	}
	send()
	if status := <-answers; status != http.StatusServiceUnavailable {
		t.Fatalf("the request beyond: status %d", status)
	}
	close(finish)
	for range 1 + minWaiting {
		if status := <-answers; status != http.StatusOK {
			t.Fatalf("a request that waited: status %d", status)
		}
	}
}

// A head over the limit is refused with the headers of its port.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	limits := machine()
	limits.HeadLines = 20
	metrics := aqmetric.New()
	intake := New(limits, aqclock.System{}, aqlog.Discard(), metrics)
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := intake.Server("", http.HandlerFunc(echo), Port{Refusal: map[string]string{"Aq-Test": "yes"}, ReasonHeader: "Aq-Why"})
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 20))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || response.Header.Get("Aq-Test") != "yes" ||
		response.Header.Get("Aq-Why") != string(aqmetric.RefusedHeadTooLarge) {
		t.Fatalf("%v, %v", response, err)
	}
	if metrics.RefusedCount(aqmetric.RefusedHeadTooLarge) != 1 {
		t.Fatal("not counted")
	}
}

// A planned stop waits for the request at work and closes idle connections.
func TestShutdownWaitsForWork(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	r := serve(t, machine(), func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "done")
	})
	conn := r.dial(t)
	_, _ = io.WriteString(conn, post("abc"))
	<-started
	stopped := make(chan error)
	go func() { stopped <- r.server.Shutdown(context.Background()) }()
	for {
		if probe, err := net.Dial("tcp", r.address); err != nil {
			break
		} else {
			_ = probe.Close()
		}
	}
	close(finish)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// In calm, with a hundred requests at a time, 2,000 connections of one address are served,
// and a request of the largest head and body that the site's pages allow.
func TestWellBehavedClientsMeetNoLimit(t *testing.T) {
	r := serve(t, machine(), echo)
	var all sync.WaitGroup
	atOnce := make(chan struct{}, 100)
	for range 2000 {
		all.Add(1)
		conn := r.dial(t)
		go func() {
			defer all.Done()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			reader := bufio.NewReader(conn)
			for range 3 {
				_, _ = io.WriteString(conn, post(strings.Repeat("x", 4000)))
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("%v, %v", response, err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		}()
	}
	all.Wait()
	const headBytes, bodyBytes = 16384, 262144
	conn := r.dial(t)
	start := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n", bodyBytes)
	lines := strings.Repeat("a:\n", (headBytes-len(start))/len("a:\n"))
	_, _ = io.WriteString(conn, start+lines+"\r\n"+strings.Repeat("x", bodyBytes))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	for _, reason := range aqmetric.RefusalReasons {
		if n := r.metrics.RefusedCount(reason); n != 0 {
			t.Errorf("%s: %d", reason, n)
		}
	}
}

func FuzzConnection(f *testing.F) {
	f.Add([]byte(post("abc")+chunked+post("def")), 10)
	f.Add([]byte("\r\n\r\n"+post("abc")), 3)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n x\r\n\r\n"+strings.Repeat("a:\n", 100)), 40)
	metrics := aqmetric.New()
	limits := machine()
	limits.HeadBytes, limits.HeadLines, limits.Budget = 4096, 64, 256*KiB
	intake := New(limits, aqclock.System{}, aqlog.Discard(), metrics)
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	server := intake.Server("", http.HandlerFunc(echo), Port{})
	go func() { _ = server.Serve(inner) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		cut = max(0, min(cut, len(data)))
		_, _ = conn.Write(data[:cut])
		_, _ = conn.Write(data[cut:])
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		for {
			used, connections := intake.ledger.totals()
			if used > limits.Budget {
				t.Fatalf("%d bytes reserved", used)
			}
			if used == 0 && connections == 0 {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
}
