package aqsite

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
)

// watchLeader keeps a connection to the leader open and calls onDeath when the
// leader's process is dead. The returned function reports whether it is.
func (n *Node) watchLeader(ctx context.Context, onDeath context.CancelFunc) func() bool {
	address := n.leaderAddress()
	dead := make(chan struct{})
	if address != "" && address != n.settings.PeerAddress {
		go func() {
			if n.awaitLeaderDeath(ctx, address) {
				close(dead)
				onDeath()
			}
		}()
	}
	return func() bool {
		select {
		case <-dead:
			return true
		default:
			return false
		}
	}
}

// watchLeadKey waits until a check of the store finds that the lead key, which names the
// current leader, has changed, and then calls onChange. The returned function reports
// whether this has happened.
func (n *Node) watchLeadKey(ctx context.Context, onChange context.CancelFunc) func() bool {
	changed := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-n.leadKeyChanged:
			close(changed)
			onChange()
		}
	}()
	return func() bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
}

// awaitLeaderDeath returns true once the leader's host has refused maxRefusedDials
// connection attempts in a row, and false when ctx ends.
func (n *Node) awaitLeaderDeath(ctx context.Context, address string) bool {
	refused := 0
	dialer := net.Dialer{Timeout: peerDialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			refused = 0
			waitClosed(ctx, conn)
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
			if refused >= maxRefusedDials {
				return true
			}
		default:
			refused = 0
		}
		aqclock.Sleep(ctx, n.clock, dialPause)
	}
	return false
}

// waitClosed returns when the peer closes the connection or ctx ends.
func waitClosed(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	one := make([]byte, 1)
	_, _ = conn.Read(one)
	_ = conn.Close()
}
