// Package aqclock passes time in, so that every test decides what time it is.
package aqclock

import (
	"context"
	"sync"
	"time"
)

// Clock is the only source of time in the product. Now carries a monotonic
// reading on the system clock, so intervals do not jump with the wall clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, clock Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}

// System is the machine's clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Fake is a clock that moves only when it is told to.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock at a fixed instant.
func NewFake() *Fake {
	return &Fake{now: time.Unix(1_700_000_000, 0)}
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After implements Clock.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- f.now
		return ch
	}
	f.timers = append(f.timers, timer{at: f.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.timers[:0]
	for _, t := range f.timers {
		if t.at.After(f.now) {
			kept = append(kept, t)
			continue
		}
		t.ch <- f.now
	}
	f.timers = kept
}
