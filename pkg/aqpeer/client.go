package aqpeer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Client calls one peer over one connection, which it opens anew after a
// failure. Calls share the connection and may be answered out of order.
type Client struct {
	address string
	limits  ClientTimeouts

	mu   sync.Mutex
	link *link
}

// ClientTimeouts bound a client's waits.
type ClientTimeouts struct {
	Dial time.Duration
	// Call bounds one call whose context has no earlier deadline. A call that
	// runs into it retires the connection, which may have gone silent for good.
	Call time.Duration
}

// link is one connection with the calls that wait on it.
type link struct {
	conn net.Conn

	writeMu sync.Mutex

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan frame
	// closed is set once; no call is added afterwards.
	closed bool
}

// NewClient returns a client that has not connected yet.
func NewClient(address string, limits ClientTimeouts) *Client {
	return &Client{address: address, limits: limits}
}

// Call makes one call. in and out are packed with msgpack. The error is an
// *Error from the peer, ErrNotSent or ErrNoAnswer. A caller that gives up early
// leaves the connection to the others.
func (c *Client) Call(parent context.Context, method Method, in, out any) error {
	body, err := Pack(in)
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	ctx, cancel := context.WithTimeout(parent, c.limits.Call)
	defer cancel()
	l, err := c.connect(ctx)
	if err != nil {
		return err
	}
	answer, err := l.call(ctx, frame{Method: method, Body: body})
	if err != nil {
		if parent.Err() == nil {
			c.retire(l)
		}
		return err
	}
	if answer.Code != "" {
		return &Error{Code: answer.Code, Detail: answer.Detail}
	}
	if err := Unpack(answer.Body, out); err != nil {
		return errors.WithMessage(ErrNoAnswer, err.Error())
	}
	return nil
}

// Close closes the connection; calls that wait get ErrNoAnswer.
func (c *Client) Close() {
	c.mu.Lock()
	l := c.link
	c.link = nil
	c.mu.Unlock()
	if l != nil {
		l.close()
	}
}

func (c *Client) connect(ctx context.Context) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil && !c.link.isClosed() {
		return c.link, nil
	}
	dialer := net.Dialer{Timeout: c.limits.Dial}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	c.link = &link{conn: conn, waiting: map[uint64]chan frame{}}
	go c.link.read()
	return c.link, nil
}

// retire stops using a connection after a call on it failed.
func (c *Client) retire(l *link) {
	c.mu.Lock()
	if c.link == l {
		c.link = nil
	}
	c.mu.Unlock()
	l.close()
}

func (l *link) call(ctx context.Context, f frame) (frame, error) {
	answer := make(chan frame, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return frame{}, ErrNotSent
	}
	l.next++
	f.Call = l.next
	l.waiting[f.Call] = answer
	l.mu.Unlock()
	if err := l.write(ctx, f); err != nil {
		return frame{}, err
	}
	select {
	case got, ok := <-answer:
		if !ok {
			return frame{}, ErrNoAnswer
		}
		return got, nil
	case <-ctx.Done():
		l.abandon(f.Call)
		return frame{}, errors.WithMessage(ErrNoAnswer, ctx.Err().Error())
	}
}

func (l *link) write(ctx context.Context, f frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		_ = l.conn.SetWriteDeadline(deadline)
	}
	n, err := l.conn.Write(data)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	return errors.WithMessage(ErrNoAnswer, err.Error())
}

func (l *link) read() {
	defer l.close()
	prefix := make([]byte, lengthBytes)
	for {
		if _, err := io.ReadFull(l.conn, prefix); err != nil {
			return
		}
		length, err := frameLength(prefix)
		if err != nil {
			return
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(l.conn, body); err != nil {
			return
		}
		f, err := decodeFrame(body)
		if err != nil {
			return
		}
		l.deliver(f)
	}
}

func (l *link) deliver(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, ok := l.waiting[f.Call]; ok {
		delete(l.waiting, f.Call)
		answer <- f
	}
}

// abandon forgets a call whose answer nobody waits for any more.
func (l *link) abandon(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, call)
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *link) close() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for _, answer := range l.waiting {
		close(answer)
	}
	l.waiting = nil
}

// Pool keeps a client for each peer address.
type Pool struct {
	limits ClientTimeouts

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(limits ClientTimeouts) *Pool {
	return &Pool{limits: limits, clients: map[string]*Client{}}
}

// Call makes one call to the peer at address.
func (p *Pool) Call(ctx context.Context, address string, method Method, in, out any) error {
	return p.client(address).Call(ctx, method, in, out)
}

func (p *Pool) client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = NewClient(address, p.limits)
		p.clients[address] = c
	}
	return c
}

// Keep closes the clients of every address that is not listed.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			c.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes every client.
func (p *Pool) Close() { p.Keep(nil) }
