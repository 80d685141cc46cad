package aqsite

import (
	"testing"
	"time"
)

// The list of workers is read in full often enough on small sites, and at a bounded number
// of workers a second on larger ones.
func TestResyncPeriodGrowsWithTheSite(t *testing.T) {
	for _, test := range []struct {
		workers int
		want    time.Duration
	}{
		{workers: 1, want: minResyncPeriod},
		{workers: 60, want: minResyncPeriod},
		{workers: 120, want: 2280 * time.Millisecond},
		{workers: 350, want: maxResyncPeriod},
		{workers: 800, want: maxResyncPeriod},
		{workers: 2800, want: 8750 * time.Millisecond},
	} {
		if got := resyncPeriod(test.workers); got != test.want {
			t.Errorf("%d workers: every %s, want %s", test.workers, got, test.want)
		}
	}
}
