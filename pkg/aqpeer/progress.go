package aqpeer

import "sync"

// inFlightCalls counts the calls in flight. Unlike with sync.WaitGroup, calls may begin
// while a goroutine waits for the count to reach zero.
type inFlightCalls struct {
	mu    sync.Mutex
	count int
	// idle is created by whenIdle, and closed as soon as no call is in flight.
	idle   chan struct{}
	closed bool
}

func (c *inFlightCalls) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

func (c *inFlightCalls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	c.closeIfIdle()
}

// whenIdle returns a channel that is closed as soon as no call is in flight.
func (c *inFlightCalls) whenIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	c.closeIfIdle()
	return c.idle
}

func (c *inFlightCalls) closeIfIdle() {
	if c.idle != nil && c.count == 0 && !c.closed {
		c.closed = true
		close(c.idle)
	}
}
