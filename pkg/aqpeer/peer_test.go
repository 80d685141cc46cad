package aqpeer

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstandin"
)

type echo struct {
	Text string
}

var testTimeouts = ClientTimeouts{
	Dial: 5 * time.Second,
	Call: 30 * time.Second,
}

var testLimits = aqinbound.Limits{
	Connections: 100,
	Budget:      aqinbound.DefaultBudget(0, MaxFrameBytes),
}

func startServer(t *testing.T, address string) (*Server, *aqmetric.Set) {
	t.Helper()
	metrics := aqmetric.New()
	s := NewServer(testLimits, aqclock.System{}, aqlog.Discard(), metrics)
	Handle(s, "Echo", func(_ context.Context, in echo) (echo, error) {
		if in.Text == "refuse" {
			return echo{}, Errorf(CodeConflict, "refused")
		}
		return in, nil
	})
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	return s, metrics
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := aqstandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func TestCallsShareAConnection(t *testing.T) {
	address := freeAddress(t)
	s, _ := startServer(t, address)
	defer s.Stop()
	c := NewClient(address, testTimeouts)
	defer c.Close()
	var calls sync.WaitGroup
	for i := range 50 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			want := strings.Repeat("x", i*1000)
			var got echo
			if err := c.Call(t.Context(), "Echo", echo{Text: want}, &got); err != nil || got.Text != want {
				t.Errorf("call %d: %v", i, err)
			}
		}()
	}
	calls.Wait()
	var got echo
	err := c.Call(t.Context(), "Echo", echo{Text: "refuse"}, &got)
	if CodeOf(err) != CodeConflict {
		t.Fatalf("got %v", err)
	}
	if err := c.Call(t.Context(), "None", echo{}, &got); CodeOf(err) != CodeInvalid {
		t.Fatalf("got %v", err)
	}
}

// The server counts a frame that it cannot decode, and closes the connection. Other
// connections stay open.
func TestBadFrameHarmsNobodyElse(t *testing.T) {
	address := freeAddress(t)
	s, metrics := startServer(t, address)
	defer s.Stop()
	good := NewClient(address, testTimeouts)
	defer good.Close()
	var got echo
	if err := good.Call(t.Context(), "Echo", echo{Text: "before"}, &got); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"\x00\x00\x00\x03abc", "\xff\xff\xff\xff", "\x00\x00\x00\x00"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(bad)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatalf("frame %q was answered", bad)
		}
	}
	if err := good.Call(t.Context(), "Echo", echo{Text: "after"}, &got); err != nil {
		t.Fatal(err)
	}
	counted := metrics.RefusedCount(aqmetric.RefusedFrameMalformed) + metrics.RefusedCount(aqmetric.RefusedFrameTooLarge)
	if counted != 3 {
		t.Fatalf("%d bad frames counted", counted)
	}
}

// After a restart, a server must be able to listen on its address while connections of
// its predecessor are in TIME_WAIT.
func TestServerRestartsOnItsAddress(t *testing.T) {
	address := freeAddress(t)
	for range 2 {
		s, _ := startServer(t, address)
		c := NewClient(address, testTimeouts)
		var got echo
		if err := c.Call(t.Context(), "Echo", echo{Text: "x"}, &got); err != nil {
			t.Fatal(err)
		}
		s.Stop()
		c.Close()
	}
}

// A call that is cancelled leaves the shared connection open for the others.
func TestImpatientCallerHarmsNobodyElse(t *testing.T) {
	address := freeAddress(t)
	s := NewServer(testLimits, aqclock.System{}, aqlog.Discard(), aqmetric.New())
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	Handle(s, "Wait", func(context.Context, echo) (echo, error) {
		entered <- struct{}{}
		<-release
		return echo{Text: "done"}, nil
	})
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	c := NewClient(address, testTimeouts)
	defer c.Close()
	waiting := make(chan error, 1)
	go func() {
		var got echo
		waiting <- c.Call(context.Background(), "Wait", echo{}, &got)
	}()
	<-entered
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error, 1)
	go func() {
		var got echo
		cancelled <- c.Call(ctx, "Wait", echo{}, &got)
	}()
	<-entered
	cancel()
	if err := <-cancelled; !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("cancelled call: %v", err)
	}
	close(release)
	if err := <-waiting; err != nil {
		t.Fatalf("waiting call: %v", err)
	}
}

func TestCallToNobodyIsNotSent(t *testing.T) {
	var got echo
	err := NewClient(freeAddress(t), testTimeouts).Call(t.Context(), "Echo", echo{}, &got)
	if !errors.Is(err, ErrNotSent) {
		t.Fatalf("got %v", err)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	good, err := encodeFrame(frame{CallID: 7, Method: "Echo", Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good[lengthBytes:])
	f.Add([]byte{})
	f.Add([]byte("\xdf\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		decoded, err := decodeFrame(body)
		if err == nil && decoded.Version != WireVersion {
			t.Fatal("a frame of another version was accepted")
		}
	})
}
