package aqintake

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer limits what the kernel holds of a connection that the process does not
// read, because its request is at work.
const receiveBuffer = 16 * KiB

// Listen listens on a TCP address. Accepted connections have small receive buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(receiveBuffer))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return config.Listen(context.Background(), "tcp", address)
}
