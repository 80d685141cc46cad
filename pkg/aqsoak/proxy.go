package aqsoak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkState is what a proxy does with the bytes that pass.
type LinkState int

// The states of a link.
const (
	// LinkHealthy passes everything on.
	LinkHealthy LinkState = iota
	// LinkSlow passes everything on after a delay.
	LinkSlow
	// LinkStalled passes nothing on and closes nothing.
	LinkStalled
	// LinkAnswersStalled passes calls on and no answers.
	LinkAnswersStalled
	// LinkRefused closes connections as they come.
	LinkRefused
)

// slowDelay is the delay of each piece of a slow link.
const slowDelay = 150 * time.Millisecond

// chunkBytes is the most that passes at a time.
const chunkBytes = 16 << 10

// Proxy is a link between two processes that can be harmed.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	// changed is closed when the state changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewProxy listens on a port of the loopback and passes connections on to
// target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	p := &Proxy{
		listener: listener,
		target:   target,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the state of open and of new connections.
func (p *Proxy) Set(state LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if state == LinkRefused {
		p.reset()
	}
}

// Reset closes every open connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

func (p *Proxy) reset() {
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *Proxy) forward(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if state, _ := p.currentState(); state == LinkRefused {
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	p.track(caller, target)
	defer p.untrack(caller, target)
	ended := make(chan struct{}, 2)
	go func() {
		p.copy(target, caller, false)
		ended <- struct{}{}
	}()
	go func() {
		p.copy(caller, target, true)
		ended <- struct{}{}
	}()
	<-ended
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

func (p *Proxy) currentState() (LinkState, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

// copy passes pieces on while the link lets them through. Pieces that it holds
// up arrive when it is whole again, unless the connection has been closed.
func (p *Proxy) copy(to io.Writer, from io.Reader, isAnswer bool) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		for {
			state, changed := p.currentState()
			if state == LinkStalled || state == LinkAnswersStalled && isAnswer {
				<-changed
				continue
			}
			if state == LinkSlow {
				time.Sleep(slowDelay)
			}
			break
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}
