package aqstandin

import (
	"net"
	"strconv"
	"testing"
)

// Guards against soaks side by side whose processes see each other's jobs: they took ports of one address.
func TestLoopbacksHeldAtOnceDiffer(t *testing.T) {
	const holders = 3
	seen := map[string]bool{}
	for range holders {
		l, err := ReserveLoopback()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		if !l.ip.IsLoopback() || l.ip.Equal(net.IPv4(127, 0, 0, 1)) || seen[l.ip.String()] {
			t.Errorf("reserved %s beside %v", l.ip, seen)
		}
		seen[l.ip.String()] = true
	}
}

// Guards against addresses that are lost after their holder has released them.
func TestReleasedLoopbackIsReservedAgain(t *testing.T) {
	first, err := ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	second, err := ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = second.Close() })
	if !second.ip.Equal(first.ip) {
		t.Errorf("reserved %s, then %s", first.ip, second.ip)
	}
}

// A soak of 300 processes needs 1200 addresses. Guards against an outgoing connection that takes the port of a
// server that is down (soak seed 9).
func TestLoopbackAddressesAreDistinctAndLeftToServers(t *testing.T) {
	l, err := ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	listener, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	seen := map[string]bool{listener.Addr().String(): true}
	for range 1200 {
		address, err := l.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		host, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		number, err := strconv.Atoi(port)
		if err != nil {
			t.Fatal(err)
		}
		if host != l.ip.String() || number < firstPort || number >= firstPort+portCount || seen[address] {
			t.Fatalf("address %s", address)
		}
		seen[address] = true
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if from := conn.LocalAddr().(*net.TCPAddr); from.IP.Equal(l.ip) {
		t.Errorf("an outgoing connection comes from %s", from)
	}
}
