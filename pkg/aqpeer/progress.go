package aqpeer

import "sync"

// progress counts the calls in progress. Unlike with a wait group, calls may begin
// while somebody waits for the last one.
type progress struct {
	mu    sync.Mutex
	count int
	// idle is closed when no call is in progress, once somebody waits for that.
	idle   chan struct{}
	closed bool
}

func (p *progress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
}

func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	p.settle()
}

// wait returns what is closed as soon as no call is in progress.
func (p *progress) wait() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	p.settle()
	return p.idle
}

func (p *progress) settle() {
	if p.idle != nil && p.count == 0 && !p.closed {
		p.closed = true
		close(p.idle)
	}
}
