package aqpeer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Client calls one peer over one connection, which it reopens after a failure. Calls
// share the connection and may be answered out of order.
type Client struct {
	address  string
	timeouts ClientTimeouts

	mu   sync.Mutex
	conn *clientConn
}

// ClientTimeouts are the timeouts of a client.
type ClientTimeouts struct {
	Dial time.Duration
	// Call applies to a call whose context has no earlier deadline. A call that
	// times out closes the connection, because the connection may never respond again.
	Call time.Duration
}

// clientConn is one connection with the calls in flight on it.
type clientConn struct {
	conn net.Conn

	writeMu sync.Mutex

	mu         sync.Mutex
	lastCallID uint64
	pending    map[uint64]chan frame
	// closed is set by close; no call is added to pending afterwards.
	closed bool
}

// NewClient returns a client. It connects at the first call.
func NewClient(address string, timeouts ClientTimeouts) *Client {
	return &Client{address: address, timeouts: timeouts}
}

// Call makes one call. Pack encodes in, Unpack decodes the answer into out. The error
// is an *Error from the peer, ErrNotSent or ErrNoAnswer. When parent ends first, the
// connection stays open for other calls.
func (c *Client) Call(parent context.Context, method Method, in, out any) error {
	body, err := Pack(in)
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	ctx, cancel := context.WithTimeout(parent, c.timeouts.Call)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	answer, err := conn.call(ctx, frame{Method: method, Body: body})
	if err != nil {
		if parent.Err() == nil {
			c.retire(conn)
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

// Close closes the connection; calls in flight get ErrNoAnswer.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		conn.close()
	}
}

func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.conn.isClosed() {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: c.timeouts.Dial}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	c.conn = &clientConn{conn: conn, pending: map[uint64]chan frame{}}
	go c.conn.read()
	return c.conn, nil
}

// retire closes a connection on which a call failed; the next call opens a new one.
func (c *Client) retire(conn *clientConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.close()
}

func (c *clientConn) call(ctx context.Context, f frame) (frame, error) {
	answer := make(chan frame, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return frame{}, ErrNotSent
	}
	c.lastCallID++
	f.CallID = c.lastCallID
	c.pending[f.CallID] = answer
	c.mu.Unlock()
	if err := c.write(ctx, f); err != nil {
		return frame{}, err
	}
	select {
	case got, ok := <-answer:
		if !ok {
			return frame{}, ErrNoAnswer
		}
		return got, nil
	case <-ctx.Done():
		c.abandon(f.CallID)
		return frame{}, errors.WithMessage(ErrNoAnswer, ctx.Err().Error())
	}
}

func (c *clientConn) write(ctx context.Context, f frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.conn.SetWriteDeadline(deadline)
	}
	n, err := c.conn.Write(data)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	return errors.WithMessage(ErrNoAnswer, err.Error())
}

func (c *clientConn) read() {
	defer c.close()
	prefix := make([]byte, lengthBytes)
	for {
		if _, err := io.ReadFull(c.conn, prefix); err != nil {
			return
		}
		length, err := frameLength(prefix)
		if err != nil {
			return
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(c.conn, body); err != nil {
			return
		}
		f, err := decodeFrame(body)
		if err != nil {
			return
		}
		c.deliver(f)
	}
}

func (c *clientConn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.pending[f.CallID]; ok {
		delete(c.pending, f.CallID)
		answer <- f
	}
}

// abandon removes a pending call; its answer will be discarded.
func (c *clientConn) abandon(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
}

func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *clientConn) close() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, answer := range c.pending {
		close(answer)
	}
	c.pending = nil
}

// Pool holds a client for each peer address.
type Pool struct {
	timeouts ClientTimeouts

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(timeouts ClientTimeouts) *Pool {
	return &Pool{timeouts: timeouts, clients: map[string]*Client{}}
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
		c = NewClient(address, p.timeouts)
		p.clients[address] = c
	}
	return c
}

// Retain closes and removes the clients of all other addresses.
func (p *Pool) Retain(addresses map[string]bool) {
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
func (p *Pool) Close() { p.Retain(nil) }
