// Package aqretry limits retries to a fraction of the successes, so that retries
// cannot amplify an overload.
package aqretry

import "sync"

// Budget is a retry budget: a token bucket that successes fill. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is the number of retries left; it is from zero to burst.
	tokens     float64
	perSuccess float64
	burst      float64
}

// NewBudget returns a budget to which each success adds perSuccess retries (a
// fraction), up to burst retries. It starts with one retry, so that a process can retry
// a failure before its first success.
func NewBudget(perSuccess float64, burst int) *Budget {
	return &Budget{
		tokens:     1,
		perSuccess: perSuccess,
		burst:      float64(burst),
	}
}

// Earn records a success.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.perSuccess)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
