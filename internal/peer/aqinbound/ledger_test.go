package aqinbound

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqclock"
)

const largestFrame = 4 << 20

// port is a ledger whose connections close at once.
type port struct {
	out    strings.Builder
	clock  *aqclock.Fake
	ledger *Ledger
	conns  map[string]*Conn
}

func newPort(connections int) *port {
	clock := aqclock.NewFake()
	return &port{
		clock: clock,
		ledger: NewLedger(Limits{
			Connections: connections,
			Budget:      MinBudget(largestFrame),
		}, clock),
		conns: map[string]*Conn{},
	}
}

func (p *port) open(name string) {
	p.clock.Advance(time.Millisecond)
	conn, ok := p.ledger.Open(func(why Cause) {
		fmt.Fprintf(&p.out, "%s is closed, cause %d\n", name, why)
		p.conns[name].Closed()
	})
	p.note("%s opens: %v", name, ok)
	if ok {
		p.conns[name] = conn
	}
}

func (p *port) received(name string, size int) {
	ok := p.conns[name].Received(size)
	p.note("%s has received %d bytes: %v", name, size, ok)
	if !ok {
		p.conns[name].Closed()
	}
}

func (p *port) call(name string, size int) {
	p.note("%s calls with %d bytes: %v", name, size, p.conns[name].Begin(size))
}

func (p *port) note(format string, args ...any) {
	fmt.Fprintf(&p.out, format+", %d KiB held\n", append(args, p.ledger.Held()/aqintake.KiB)...)
}

// Who is closed and refused when a port has no room.
func TestDecisions(t *testing.T) {
	p := newPort(5)
	p.open("peer")
	p.call("peer", 1000)
	p.received("peer", 4000)
	for n := range 4 {
		name := fmt.Sprintf("stuck%d", n)
		p.open(name)
		p.received(name, largestFrame-n)
	}
	p.received("peer", 40_000)
	p.open("next")
	p.call("next", largestFrame)
	p.call("peer", 1000)
	p.call("peer", largestFrame)
	p.conns["next"].Answered(largestFrame, 100)
	p.conns["next"].End(100)
	p.note("the call of next ends")
	p.call("peer", largestFrame)
	p.note("peer does not read its answer: %v", p.conns["peer"].Answered(largestFrame, 4*largestFrame))
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "decisions", []byte(p.out.String()))
}

// Connections with calls in progress are not closed in favour of new ones.
func TestCallsKeepTheirConnections(t *testing.T) {
	p := newPort(2)
	p.open("a")
	p.open("b")
	p.call("a", 10)
	p.call("b", 10)
	p.open("c")
	if p.conns["c"] != nil {
		t.Error("a connection in use was closed")
	}
	p.conns["a"].Answered(10, 0)
	p.conns["a"].End(0)
	p.open("d")
	if p.conns["d"] == nil || !strings.Contains(p.out.String(), "a is closed") {
		t.Errorf("no room was made:\n%s", p.out.String())
	}
}

// Whatever happens, a port that is not used any more holds nothing.
func TestNothingStaysHeld(t *testing.T) {
	p := newPort(3)
	var calls []func()
	for n := range 60 {
		name := fmt.Sprint(n)
		p.open(name)
		conn := p.conns[name]
		if !conn.Received(n * 100_000) {
			conn.Closed()
		}
		if conn.Begin(n * 10_000) {
			calls = append(calls, func() {
				if !conn.Answered(n*10_000, n*50_000) {
					conn.Closed()
				}
				conn.End(n * 50_000)
			})
		}
		if held := p.ledger.Held(); held > p.ledger.limits.Budget {
			t.Fatalf("%d bytes are held", held)
		}
		if len(calls) > 2 {
			calls[0]()
			calls = slices.Delete(calls, 0, 1)
		}
	}
	for _, end := range calls {
		end()
	}
	for _, conn := range p.conns {
		conn.Closed()
	}
	if p.ledger.Held() != 0 || p.ledger.leaving != 0 || p.ledger.closing != 0 {
		t.Errorf("%d bytes held, %d leaving, %d connections closing", p.ledger.Held(), p.ledger.leaving, p.ledger.closing)
	}
}
