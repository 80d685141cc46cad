package aqsoak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqstandin"
)

// LinkState is what a proxy does with connections and their data.
type LinkState int

// The states of a link.
const (
	// LinkHealthy forwards everything.
	LinkHealthy LinkState = iota
	// LinkSlow forwards everything after a delay.
	LinkSlow
	// LinkStalled forwards nothing and leaves the connections open.
	LinkStalled
	// LinkAnswersStalled forwards calls but no answers.
	LinkAnswersStalled
	// LinkRefused closes every connection, new ones at once.
	LinkRefused
)

// slowDelay is the delay before each chunk on a slow link.
const slowDelay = 150 * time.Millisecond

// chunkBytes is the maximum size of a chunk, the unit that is read and forwarded.
const chunkBytes = 16 << 10

// Proxy is a TCP proxy between two processes that can be made to fail.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	// changed is closed when the state changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// silences counts the calls of Silence.
	silences int
}

// NewProxy listens on a free port of 127.0.0.1 and forwards connections to target.
func NewProxy(target string) (*Proxy, error) {
	return startProxy(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }, target)
}

// newProxyOn listens on a port of a loopback address and forwards connections to target.
func newProxyOn(loopback *aqstandin.Loopback, target string) (*Proxy, error) {
	return startProxy(loopback.Listen, target)
}

func startProxy(listen func() (net.Listener, error), target string) (*Proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, errors.Wrap(err, "soak: listen for proxy")
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

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the state of the link, for open and for new connections.
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

// Silence drops all answers on the open connections from now on, and leaves them open.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silences++
}

func (p *Proxy) silenceCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silences
}

// Close stops listening and closes every connection.
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

// copy forwards chunks as the state of the link allows. It forwards a chunk that was
// read during a stall once the stall ends, unless the connection has been closed.
func (p *Proxy) copy(to io.Writer, from io.Reader, isAnswer bool) {
	chunk := make([]byte, chunkBytes)
	silences := p.silenceCount()
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		if isAnswer && p.silenceCount() > silences {
			continue
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
