// Package aqround finds out from the duration of a leader's rounds of decisions whether its
// process is too slow to lead.
package aqround

import "time"

const (
	// SlowRound is the duration from which a round is slow. Nothing else is decided
	// meanwhile, and urgent tasks have a few hundred milliseconds to start.
	SlowRound = 200 * time.Millisecond
	// slowRounds is the number of slow rounds in a row that show that the process is slow. A
	// single one may be a pause, or the first round of a term.
	slowRounds = 3
)

// Meter follows the rounds of one term. The zero value is ready for use.
type Meter struct {
	// slow counts the slow rounds since the last one that was not.
	slow int
}

// Add records the duration of a round and reports whether the process is too slow.
func (m *Meter) Add(took time.Duration) bool {
	if took < SlowRound {
		m.slow = 0
		return false
	}
	m.slow++
	return m.slow >= slowRounds
}
