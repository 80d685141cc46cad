package aqsite

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
)

// watchLeader keeps a connection to the leader open and calls found when the
// leader's process is dead. The returned function tells whether it is.
func (n *Node) watchLeader(ctx context.Context, found context.CancelFunc) func() bool {
	address := n.leaderAddress()
	died := make(chan struct{})
	if address != "" && address != n.settings.PeerAddress {
		go func() {
			if n.awaitLeaderDeath(ctx, address) {
				close(died)
				found()
			}
		}()
	}
	return func() bool {
		select {
		case <-died:
			return true
		default:
			return false
		}
	}
}

// watchLeadKey calls found when the lead key is known to have changed. The returned
// function tells whether it has.
func (n *Node) watchLeadKey(ctx context.Context, found context.CancelFunc) func() bool {
	moved := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-n.leadKeyChanged:
			close(moved)
			found()
		}
	}()
	return func() bool {
		select {
		case <-moved:
			return true
		default:
			return false
		}
	}
}

// awaitLeaderDeath returns true once the leader's host refuses connections, and false
// when ctx ends.
func (n *Node) awaitLeaderDeath(ctx context.Context, address string) bool {
	refused := 0
	dialer := net.Dialer{Timeout: peerDial}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			refused = 0
			waitClosed(ctx, conn)
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
			if refused >= refusedDials {
				return true
			}
		default:
			refused = 0
		}
		aqclock.Sleep(ctx, n.clock, dialPause)
	}
	return false
}

// waitClosed returns when the peer closes a connection or ctx ends.
func waitClosed(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	one := make([]byte, 1)
	_, _ = conn.Read(one)
	_ = conn.Close()
}
