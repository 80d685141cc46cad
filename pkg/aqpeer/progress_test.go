package aqpeer

import (
	"sync"
	"testing"
)

// Calls may begin while a stop waits for those in progress.
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
		t.Fatal("a call is in progress")
	default:
	}
	p.end()
	<-idle
	<-p.whenIdle()
}
