package main

import (
	"io"
	"net"
	"sync"
)

// link is a TCP proxy whose open connections can go silent for good while new ones work.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, silent: make(chan struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// silence makes every open connection forward nothing from now on, without closing it.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silent)
	l.silent = make(chan struct{})
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		go func() {
			other, err := net.Dial("tcp", l.target)
			if err != nil {
				_ = conn.Close()
				return
			}
			go forward(conn, other, silent)
			go forward(other, conn, silent)
		}()
	}
}

// forward copies until one side ends the connection. Once silent it reads and drops.
func forward(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				break
			}
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}
