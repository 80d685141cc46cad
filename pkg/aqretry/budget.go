// Package aqretry bounds retries by what successes have earned, so that retries
// cannot turn an overload into a larger one.
package aqretry

import "sync"

// Budget is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is never below zero and never above burst.
	tokens float64
	earn   float64
	burst  float64
}

// NewBudget returns a budget in which each success earns the given part of a
// retry, and at most burst retries are saved up. It starts with one retry, so
// that the first failure of a quiet process can be mended.
func NewBudget(earn float64, burst int) *Budget {
	return &Budget{
		tokens: 1,
		earn:   earn,
		burst:  float64(burst),
	}
}

// Earn notes a success of a first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.earn)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
