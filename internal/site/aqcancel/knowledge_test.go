package aqcancel

import (
	"testing"
	"time"

	"acaciaquay/pkg/aqstore"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// A start may be sent for the bound less a call, counted from when the last probe was sent that the watch has delivered, or the
// last read.
func TestStartsAreLimitedByTheAgeOfTheKnowledge(t *testing.T) {
	times := Times{
		Bound: seconds(5),
		Call:  seconds(0.7),
	}
	for _, test := range []struct {
		name  string
		times Times
		learn func(*Knowledge)
		until time.Duration
	}{
		{name: "a read", times: times, learn: func(k *Knowledge) { k.Read(seconds(10)) }, until: seconds(14.3)},
		{name: "a read that ends late", times: times, learn: func(k *Knowledge) {
			k.Read(seconds(10))
			k.Read(seconds(8))
		}, until: seconds(14.3)},
		{name: "a probe on its way", times: times, learn: func(k *Knowledge) {
			k.Read(seconds(10))
			k.ProbeStored(7, seconds(11))
			k.Delivered(6)
		}, until: seconds(14.3)},
		{name: "a delivered probe", times: times, learn: func(k *Knowledge) {
			k.Read(seconds(10))
			k.ProbeStored(7, seconds(11))
			k.Delivered(7)
		}, until: seconds(15.3)},
		{name: "a probe that the watch delivers before it is answered", times: times, learn: func(k *Knowledge) {
			k.Read(seconds(10))
			k.Delivered(7)
			k.ProbeStored(7, seconds(11))
		}, until: seconds(15.3)},
		{name: "the first of two probes", times: times, learn: func(k *Knowledge) {
			k.Read(seconds(10))
			k.ProbeStored(7, seconds(11))
			k.ProbeStored(9, seconds(12))
			k.Delivered(8)
		}, until: seconds(15.3)},
		{name: "more probes than are kept", times: times, learn: func(k *Knowledge) {
			for n := range 2 * maxProbes {
				k.ProbeStored(aqstore.Revision(n+1), seconds(float64(n)))
			}
			k.Delivered(2 * maxProbes)
		}, until: seconds(2*maxProbes - 1 + 4.3)},
		{name: "a bound of one call", times: Times{
			Bound: seconds(1),
			Call:  seconds(0.7),
		}, learn: func(k *Knowledge) { k.Read(seconds(10)) }, until: seconds(10.5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := New(test.times)
			test.learn(&k)
			until, limited := k.StartsUntil()
			if !limited || until != test.until {
				t.Errorf("starts until %s (limited: %v), want %s", until, limited, test.until)
			}
			if last := until - deliveryTime; !k.MayStart(last-1) || k.MayStart(last) {
				t.Errorf("may start while there is time to send it: %v, afterwards: %v", k.MayStart(last-1), k.MayStart(last))
			}
			if len(k.probes) > maxProbes {
				t.Errorf("%d probes are kept", len(k.probes))
			}
		})
	}
}

// Without a bound nothing is limited, read or kept.
func TestKnowledgeWithoutABoundIsInert(t *testing.T) {
	k := New(Times{Call: time.Second})
	k.ProbeStored(7, 0)
	if _, limited := k.StartsUntil(); limited || !k.MayStart(time.Hour) || len(k.probes) > 0 {
		t.Errorf("limited: %v, may start: %v, %d probes", limited, k.MayStart(time.Hour), len(k.probes))
	}
}

// The cancellations are read long before starts are held.
func TestReadIsDueAtHalfTheLimit(t *testing.T) {
	k := New(Times{
		Bound: seconds(3),
		Call:  seconds(1),
	})
	k.Read(seconds(10))
	if due := k.ReadDueIn(seconds(10.25)); due != seconds(0.75) {
		t.Errorf("the read is due in %s, want 750ms", due)
	}
}
