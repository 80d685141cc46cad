package aqthrottle

import (
	"fmt"
	"testing"
	"time"
)

func TestKeysAreAllowedOnceAnInterval(t *testing.T) {
	throttle := Throttle{
		Interval: time.Minute,
		MaxKeys:  3,
	}
	now := time.Unix(1_800_000_000, 0)
	for n := range 5 {
		if got, want := throttle.Allow(fmt.Sprint(n), now), n < 3; got != want {
			t.Errorf("key %d allowed: %v", n, got)
		}
	}
	if throttle.Allow("0", now.Add(time.Minute-1)) {
		t.Error("allowed again within the interval")
	}
	if !throttle.Allow("0", now.Add(time.Minute)) || !throttle.Allow("4", now.Add(time.Minute)) {
		t.Error("not allowed after the interval")
	}
	if len(throttle.allowedAt) > throttle.MaxKeys {
		t.Errorf("%d keys are kept", len(throttle.allowedAt))
	}
}
