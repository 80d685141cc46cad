package aqstandin

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports that FreeAddress returns. They lie below the system's range of ephemeral
// ports, so that no outgoing connection takes one before its server listens on it.
// Each process starts at offset portsPerProcess times its process id, so that
// concurrent processes try different ports.
const (
	firstPort       = 20_000
	portCount       = 12_000
	portsPerProcess = 40
)

var portsTried atomic.Int64

// FreeAddress returns a loopback address for a server that is started later. No
// address is returned twice in one process.
func FreeAddress() (string, error) {
	start := int64(os.Getpid()) * portsPerProcess
	for range portCount {
		port := firstPort + int((start+portsTried.Add(1))%portCount)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("stand-in: no free port")
}
