package aqstandin

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// ReserveLoopback tries addresses in 127.64.0.0 to 127.191.255.255, beginning at the process id.
const (
	firstLoopback = 127<<24 | 64<<16
	loopbackCount = 1 << 23
	// loopbackTries is the maximum number of addresses that ReserveLoopback tries.
	loopbackTries = 1000
	// holdPort is the port on which the holder of an address listens.
	holdPort = firstPort - 1
)

// Loopback is a loopback address of its own for servers, held until Close. Outgoing connections
// come from 127.0.0.1 and take none of its ports.
type Loopback struct {
	ip net.IP
	// hold listens on holdPort, so that nobody else reserves the address.
	hold net.Listener

	mu sync.Mutex
	// portsTried is the number of ports that FreeAddress has tried.
	portsTried int
}

// ReserveLoopback returns a loopback address that no other process holds.
func ReserveLoopback() (*Loopback, error) {
	for try := range loopbackTries {
		number := firstLoopback + (os.Getpid()+try)%loopbackCount
		ip := net.IPv4(byte(number>>24), byte(number>>16), byte(number>>8), byte(number))
		hold, err := net.Listen("tcp", net.JoinHostPort(ip.String(), strconv.Itoa(holdPort)))
		if err != nil {
			continue
		}
		return &Loopback{
			ip:   ip,
			hold: hold,
		}, nil
	}
	return nil, errors.New("stand-in: no free loopback address")
}

// FreeAddress returns an address for a server that is started later. It returns no address twice.
func (l *Loopback) FreeAddress() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.portsTried < portCount {
		port := firstPort + l.portsTried
		l.portsTried++
		address := net.JoinHostPort(l.ip.String(), strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("stand-in: no free port")
}

// Listen listens on a port that the system chooses. Such ports are none of FreeAddress.
func (l *Loopback) Listen() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(l.ip.String(), "0"))
}

// Close releases the address.
func (l *Loopback) Close() error { return l.hold.Close() }
