package aqcancel

import (
	"slices"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
)

// A cancellation is told again until it is confirmed, it is too old, or there are too many.
func TestOutboxKeepsWhatIsNotConfirmed(t *testing.T) {
	o := Outbox{
		Most: 2,
		Keep: time.Second,
	}
	check := func(now time.Duration, want ...aqjob.ID) {
		t.Helper()
		if got := o.Jobs(now); !slices.Equal(got, want) {
			t.Errorf("at %s: %v, want %v", now, got, want)
		}
	}
	o.Add("a", 0)
	o.Add("a", 0)
	o.Add("b", 100*time.Millisecond)
	check(time.Second, "a", "b")
	o.Add("c", 200*time.Millisecond)
	check(time.Second, "b", "c")
	o.Confirm([]aqjob.ID{"c", "d"})
	check(time.Second, "b")
	check(1101 * time.Millisecond)
}
