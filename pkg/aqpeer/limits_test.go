package aqpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// brokenListener fails before it accepts.
type brokenListener struct {
	net.Listener
	failures int
}

func (l *brokenListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// A process that had no descriptor for a connection serves its peers again.
func TestFailureToAcceptIsNotFinal(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(testLimits, aqclock.NewInstant(), aqlog.Discard(), aqmetric.New())
	Handle(s, "Echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
	go s.accept(&brokenListener{
		Listener: inner,
		failures: 3,
	})
	defer s.Stop()
	defer func() { _ = inner.Close() }()
	c := NewClient(inner.Addr().String(), testTimeouts)
	defer c.Close()
	var got echo
	if err := c.Call(t.Context(), "Echo", echo{Text: "x"}, &got); err != nil {
		t.Fatal(err)
	}
}

// Peers that read no answers, and frames that stop short of their end, hold no more than the
// budget, and leave room for others.
func TestStuckPeersLeaveRoom(t *testing.T) {
	address := freeAddress(t)
	s, metrics := startServer(t, address)
	defer s.Stop()
	data, err := Pack(echo{Text: strings.Repeat("x", 1<<20)})
	if err != nil {
		t.Fatal(err)
	}
	call, err := encodeFrame(frame{CallID: 1, Method: "Echo", Body: data})
	if err != nil {
		t.Fatal(err)
	}
	var stuck sync.WaitGroup
	for n := range 20 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		stuck.Add(1)
		go func() {
			defer stuck.Done()
			if n%2 == 0 {
				_, _ = conn.Write(call[:len(call)-1])
				return
			}
			for range 30 {
				if _, err := conn.Write(call); err != nil {
					return
				}
			}
		}()
	}
	c := NewClient(address, testTimeouts)
	defer c.Close()
	for range 50 {
		if held := s.inbound.Held(); held > testLimits.Budget {
			t.Fatalf("%d bytes are held, the budget is %d", held, testLimits.Budget)
		}
		var got echo
		if err := c.Call(t.Context(), "Echo", echo{Text: "x"}, &got); err != nil {
			t.Fatal(err)
		}
	}
	stuck.Wait()
	if metrics.RefusedCount(aqmetric.RefusedPeerBudget) == 0 {
		t.Error("nothing was refused")
	}
}

// Connections beyond the limit replace those that do nothing.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	address := freeAddress(t)
	s := NewServer(aqinbound.Limits{
		Connections: 2,
		Budget:      testLimits.Budget,
	}, aqclock.System{}, aqlog.Discard(), aqmetric.New())
	Handle(s, "Echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	var silent []net.Conn
	for range 5 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	if _, err := silent[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the first silent connection: %v", err)
	}
	c := NewClient(address, testTimeouts)
	defer c.Close()
	var got echo
	if err := c.Call(t.Context(), "Echo", echo{Text: "x"}, &got); err != nil {
		t.Fatal(err)
	}
}
