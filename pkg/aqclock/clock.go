// Package aqclock provides the clock as a dependency, so that tests control the time.
package aqclock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the source of time for all decisions of the product. Call timeouts, waits
// during a stop, random seeds and the durations of store calls use the system's time
// directly. Now carries a monotonic reading on the system clock, so intervals do not jump
// with the wall clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	// Elapsed is the time since a fixed, unspecified instant. It includes the time while
	// the machine is suspended, which intervals of Now do not.
	Elapsed() time.Duration
}

// Sleep waits for d, or until ctx ends.
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

// Elapsed implements Clock.
func (System) Elapsed() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(reading.Nano())
}

// Fake is a clock that moves only by Advance and Suspend.
type Fake struct {
	mu        sync.Mutex
	now       time.Time
	suspended time.Duration
	timers    []timer
}

type timer struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock at a fixed instant.
func NewFake() *Fake {
	return &Fake{now: time.Unix(1_700_000_000, 0)}
}

// Elapsed implements Clock.
func (f *Fake) Elapsed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Sub(time.Unix(0, 0)) + f.suspended
}

// Suspend simulates a suspension of the machine: only Elapsed includes d.
func (f *Fake) Suspend(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended += d
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

// Instant is a fake clock whose waits end at once and advance it.
type Instant struct{ *Fake }

// NewInstant returns a clock that starts at an arbitrary fixed time.
func NewInstant() Instant { return Instant{Fake: NewFake()} }

// After implements Clock.
func (c Instant) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	done := make(chan time.Time, 1)
	done <- c.Now()
	return done
}
