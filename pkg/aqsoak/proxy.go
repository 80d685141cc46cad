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
	// LinkWhole passes everything on.
	LinkWhole LinkState = iota
	// LinkSlow passes everything on after a delay.
	LinkSlow
	// LinkSilent passes nothing on and closes nothing.
	LinkSilent
	// LinkDeafened passes calls on and no answers.
	LinkDeafened
	// LinkRefused closes connections as they come.
	LinkRefused
)

// slowDelay is the delay of each piece of a slow link.
const slowDelay = 150 * time.Millisecond

// pieceBytes is the most that passes at a time.
const pieceBytes = 16 << 10

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
		go p.pass(conn)
	}
}

func (p *Proxy) pass(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if state, _ := p.now(); state == LinkRefused {
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	p.keep(caller, target)
	defer p.drop(caller, target)
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

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

func (p *Proxy) now() (LinkState, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

// copy passes pieces on while the link lets them through. Pieces that it holds
// up arrive when it is whole again, unless the connection has been closed.
func (p *Proxy) copy(to io.Writer, from io.Reader, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		for {
			state, changed := p.now()
			if state == LinkSilent || state == LinkDeafened && answers {
				<-changed
				continue
			}
			if state == LinkSlow {
				time.Sleep(slowDelay)
			}
			break
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}
