package aqpayload

import (
	"context"
	"fmt"
	"testing"

	"acaciaquay/internal/base/aqguard"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// heldSource answers fetches once hold is closed. begun gets an entry when a fetch begins.
type heldSource struct {
	hold  chan struct{}
	begun chan struct{}
}

func (s heldSource) Payload(context.Context, aqjob.ID, string) (string, error) {
	s.begun <- struct{}{}
	<-s.hold
	return "payload", nil
}

func testCache(clock aqclock.Clock) (*Cache, heldSource) {
	source := heldSource{hold: make(chan struct{}), begun: make(chan struct{}, 64)}
	return New(source, clock, aqlog.Discard(), aqguard.New(aqlog.Discard(), aqmetric.New())), source
}

// Payloads that start nothing for idleTime are dropped.
func TestIdlePayloadIsDropped(t *testing.T) {
	clock := aqclock.NewFake()
	cache, source := testCache(clock)
	close(source.hold)
	ready := make(chan struct{}, 2)
	for _, job := range []aqjob.ID{"j1", "j2"} {
		cache.Prepare("w1", job, "", func() { ready <- struct{}{} })
		<-ready
		clock.Advance(idleTime + sweepPeriod)
	}
	if len(cache.entries) != 1 {
		t.Errorf("%d payloads are kept, want the new one", len(cache.entries))
	}
}

// Many payloads are fetched a few at a time.
func TestPayloadsAreFetchedAFewAtATime(t *testing.T) {
	cache, source := testCache(aqclock.NewInstant())
	const jobs = 5 * maxFetches
	ready := make(chan struct{}, jobs)
	for n := range jobs {
		cache.Prepare("w1", aqjob.ID(fmt.Sprint(n)), "", func() { ready <- struct{}{} })
	}
	for range maxFetches {
		<-source.begun
	}
	if waiting := len(source.begun); waiting != 0 {
		t.Errorf("%d fetches beyond the limit", waiting)
	}
	close(source.hold)
	for range jobs {
		<-ready
	}
}
