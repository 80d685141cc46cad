package aqpeer

import "sync"

// inFlightCalls counts the calls in progress. Unlike with a wait group, calls may begin
// while somebody waits for the last one.
type inFlightCalls struct {
	mu    sync.Mutex
	count int
	// idle is closed when no call is in progress, once somebody waits for that.
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

// whenIdle returns what is closed as soon as no call is in progress.
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
