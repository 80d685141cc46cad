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

func (p *inFlightCalls) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
}

func (p *inFlightCalls) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	p.closeIfIdle()
}

// whenIdle returns a channel that is closed as soon as no call is in flight.
func (p *inFlightCalls) whenIdle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	p.closeIfIdle()
	return p.idle
}

func (p *inFlightCalls) closeIfIdle() {
	if p.idle != nil && p.count == 0 && !p.closed {
		p.closed = true
		close(p.idle)
	}
}
