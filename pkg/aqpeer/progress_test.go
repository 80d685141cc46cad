package aqpeer

import (
	"sync"
	"testing"
)

// Calls may begin while Stop waits for those in flight; it must wait for the first
// one until it ends.
func TestCallsBeginDuringAStop(t *testing.T) {
	var calls inFlightCalls
	calls.begin()
	idle := calls.whenIdle()
	var group sync.WaitGroup
	for range 50 {
		group.Add(1)
		go func() {
			defer group.Done()
			calls.begin()
			calls.end()
		}()
	}
	group.Wait()
	select {
	case <-idle:
		t.Fatal("idle while a call is in flight")
	default:
	}
	calls.end()
	<-idle
	<-calls.whenIdle()
}
