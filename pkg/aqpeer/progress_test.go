package aqpeer

import (
	"sync"
	"testing"
)

// Calls may begin while Stop waits for those in flight; it must wait for the first
// one until it ends.
func TestCallsBeginDuringAStop(t *testing.T) {
	var p inFlightCalls
	p.begin()
	idle := p.whenIdle()
	var group sync.WaitGroup
	for range 50 {
		group.Add(1)
		go func() {
			defer group.Done()
			p.begin()
			p.end()
		}()
	}
	group.Wait()
	select {
	case <-idle:
		t.Fatal("idle while a call is in flight")
	default:
	}
	p.end()
	<-idle
	<-p.whenIdle()
}
