package aqsite

import (
	"time"

	"github.com/pkg/errors"
)

// Limits of a slow leader's yielding to another process.
const (
	// restTime is how long a process that has yielded the leadership claims it restDelay
	// later than others.
	restTime  = 15 * time.Second
	restDelay = time.Second
	// settledTime is the time in which at most maxLeadChanges changes of the leader let one
	// more leader yield.
	settledTime    = 15 * time.Second
	maxLeadChanges = 2
)

// errSlow ends the term of a process that is too slow to lead.
var errSlow = errors.New("site: rounds of decisions are slow")

// minTermToYield is how long a leader leads at least before it yields: the first rounds of a
// term place what has waited for it.
const minTermToYield = 3 * time.Second

// mayYield reports whether another process is to lead in place of this slow one: another
// strong one is up, and the leadership has not changed often of late, so that the load and
// not the process may be to blame.
func (l *leader) mayYield() bool {
	return l.node.clock.Elapsed()-l.beganAt >= minTermToYield && l.agents.hasStrongMember() && l.node.leadIsSettled()
}

// seenTerm is a term and the elapsed time at which this process learned of it.
type seenTerm struct {
	term int64
	at   time.Duration
}

// noteTerm records a term, whether this process or another leads in it.
func (n *Node) noteTerm(term int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last := len(n.terms) - 1; last >= 0 && n.terms[last].term >= term {
		return
	}
	now := n.clock.Elapsed()
	// The latest one from before the time is kept, so that the changes since can be counted.
	for len(n.terms) > 1 && now-n.terms[1].at > settledTime {
		n.terms = n.terms[1:]
	}
	n.terms = append(n.terms, seenTerm{
		term: term,
		at:   now,
	})
}

// leadIsSettled reports whether the leader has not changed often within settledTime.
func (n *Node) leadIsSettled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.terms) == 0 {
		return true
	}
	now := n.clock.Elapsed()
	before := n.terms[0].term
	for _, t := range n.terms {
		if now-t.at > settledTime {
			before = t.term
		}
	}
	return n.terms[len(n.terms)-1].term-before <= maxLeadChanges
}
