package aqintake

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqclock"
)

// scene is a ledger with connections of one port.
type scene struct {
	t      *testing.T
	clock  *aqclock.Fake
	ledger *ledger
	port   *portEntry
	closed []string
}

func newScene(t *testing.T, connections, perAddress int) *scene {
	clock := aqclock.NewFake()
	return &scene{
		t:      t,
		clock:  clock,
		ledger: newLedger(4*MiB, clock),
		port: &portEntry{
			limit:      connections,
			perAddress: perAddress,
			from:       map[netip.Addr]int{},
		},
	}
}

// connect adds a connection. Evicted ones close at once.
func (s *scene) connect(name, address string) (*entry, refusal) {
	e := &entry{port: s.port, address: netip.MustParseAddr(address)}
	e.interrupt = func() {
		s.closed = append(s.closed, name)
		s.ledger.remove(e)
	}
	why, victims := s.ledger.admit(e)
	interrupt(victims)
	return e, why
}

// reader adds a connection that has received a head that needs that much memory.
func (s *scene) reader(name string, hold Bytes) (*entry, bool) {
	e, _ := s.connect(name, "127.0.0.1")
	return e, s.ledger.reserveHead(e, hold, true)
}

func (s *scene) wantClosed(names ...string) {
	s.t.Helper()
	if fmt.Sprint(s.closed) != fmt.Sprint(names) {
		s.t.Fatalf("closed %v, want %v", s.closed, names)
	}
	if s.ledger.used > s.ledger.budget || s.ledger.leaving != 0 {
		s.t.Fatalf("%d bytes reserved, %d leaving, budget %d", s.ledger.used, s.ledger.leaving, s.ledger.budget)
	}
}

// Under a flood of requests that are equally fast, the newest is refused.
func TestNewestIsRefusedWhenAllAreFast(t *testing.T) {
	s := newScene(t, 100, 100)
	for n := range 3 {
		if _, ok := s.reader(fmt.Sprint(n), MiB); !ok {
			t.Fatalf("request %d refused", n)
		}
	}
	if _, ok := s.reader("newest", MiB); ok {
		t.Fatal("a request beyond the large ones' share was admitted")
	}
	s.wantClosed()
}

// Bodies that stop short of their end make room for one that arrives.
func TestSlowestMakesRoom(t *testing.T) {
	s := newScene(t, 100, 100)
	s.reader("stalled", MiB)
	s.clock.Advance(2 * time.Second)
	progressing, _ := s.reader("progressing", MiB)
	s.clock.Advance(2 * time.Second)
	s.ledger.advance(progressing)
	s.reader("new", MiB)
	if _, ok := s.reader("large", MiB); !ok {
		t.Fatal("no room was made")
	}
	s.wantClosed("stalled")
}

// Requests at work are not broken off, however large and old they are.
func TestWorkIsNotBrokenOff(t *testing.T) {
	s := newScene(t, 100, 100)
	for n := range 3 {
		e, _ := s.reader(fmt.Sprint(n), MiB)
		if !s.ledger.work(e) {
			t.Fatal("not evicted, but refused")
		}
	}
	s.clock.Advance(time.Hour)
	if _, ok := s.reader("late", MiB); ok {
		t.Fatal("admitted over the budget")
	}
	s.wantClosed()
}

// Small requests get in while large ones fill their share.
func TestSmallRequestsHaveAShareOfTheirOwn(t *testing.T) {
	s := newScene(t, 100, 100)
	for n := range 3 {
		e, _ := s.reader(fmt.Sprint(n), MiB)
		s.ledger.work(e)
	}
	for n := range 16 {
		if _, ok := s.reader(fmt.Sprintf("small %d", n), smallHold); !ok {
			t.Fatalf("small request %d refused", n)
		}
	}
	s.wantClosed()
}

// An evicted request must not run, even if its last byte has arrived meanwhile.
func TestEvictedRequestDoesNotWork(t *testing.T) {
	s := newScene(t, 100, 100)
	e, _ := s.reader("stalled", 3*MiB)
	e.interrupt = func() {}
	s.clock.Advance(time.Second)
	done := make(chan bool)
	go func() {
		_, ok := s.reader("next", MiB)
		done <- ok
	}()
	for s.ledger.whyEvicted(e) == refusalNone {
		time.Sleep(time.Millisecond)
	}
	if s.ledger.work(e) {
		t.Fatal("the evicted request may run")
	}
	s.ledger.remove(e)
	if !<-done {
		t.Fatal("the next request did not get the memory")
	}
}

// A connection that is closed while it is read leaves no reservation behind.
func TestClosedConnectionHoldsNothing(t *testing.T) {
	s := newScene(t, 100, 100)
	e, _ := s.reader("closed", MiB)
	s.ledger.remove(e)
	if s.ledger.reserveBody(e, KiB) {
		t.Fatal("memory is reserved for a closed connection")
	}
	if s.ledger.used != 0 {
		t.Fatalf("%d bytes reserved", s.ledger.used)
	}
}

// New connections replace those that do nothing; connections at work stay.
func TestConnectionsThatDoNothingMakeRoom(t *testing.T) {
	s := newScene(t, 32, 32)
	for n := range 28 {
		e, _ := s.connect(fmt.Sprint(n), "127.0.0.1")
		s.ledger.reserveHead(e, KiB, true)
		s.ledger.work(e)
	}
	idle, _ := s.connect("idle", "127.0.0.2")
	s.ledger.work(idle)
	s.ledger.idle(idle)
	s.clock.Advance(minSlowness / 4)
	s.connect("silent", "127.0.0.2")
	s.clock.Advance(minSlowness / 4)
	if _, why := s.connect("third", "127.0.0.2"); why != refusalNone {
		t.Fatalf("refused for %d with room left", why)
	}
	s.clock.Advance(time.Minute)
	for range 3 {
		if _, why := s.connect("new", "127.0.0.3"); why != refusalNone {
			t.Fatalf("refused for %d", why)
		}
	}
	s.wantClosed("silent", "third", "idle")
	s.connect("last", "127.0.0.3")
	if _, why := s.connect("over", "127.0.0.3"); why != refusalConnections {
		t.Fatalf("got %d", why)
	}
}

func TestConnectionsOfOneAddress(t *testing.T) {
	s := newScene(t, 100, 4)
	for n := range 4 {
		s.connect(fmt.Sprint(n), "127.0.0.1")
	}
	if _, why := s.connect("fifth", "127.0.0.1"); why != refusalAddress {
		t.Fatalf("got %d", why)
	}
	if _, why := s.connect("other", "127.0.0.2"); why != refusalNone {
		t.Fatalf("another address is refused for %d", why)
	}
	s.wantClosed()
}

// The machines are those of deployments, and that of the tests with crowds.
func TestDefaults(t *testing.T) {
	var out strings.Builder
	for _, machine := range []struct {
		memory      Bytes
		descriptors int
	}{
		{memory: 64 * MiB, descriptors: 300},
		{memory: 160 * MiB, descriptors: 4100},
		{memory: 184 * MiB, descriptors: 4100},
		{memory: 284 * MiB, descriptors: 4100},
		{memory: 536 * MiB, descriptors: 8192},
	} {
		connections := DefaultConnections(machine.memory, machine.descriptors)
		perAddress := DefaultConnectionsPerAddress(connections)
		fmt.Fprintf(&out, "%d MiB, %d descriptors: budget %d KiB, connections %d, per address %d, working %d\n",
			machine.memory/MiB, machine.descriptors, DefaultBudget(machine.memory)/KiB, connections, perAddress,
			DefaultWorking(connections, machine.descriptors))
		if machine.descriptors >= 4096 && nearLimit(perAddress) <= 2000 {
			t.Errorf("%d MiB: %d well-behaved connections meet a limit", machine.memory/MiB, 2000)
		}
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "defaults", []byte(out.String()))
}
