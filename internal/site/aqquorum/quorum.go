// Package aqquorum limits how long a leader continues without the store, so that the next
// leader soon knows that it has stopped.
//
// A store that is down serves nobody, and the leader is to continue. A leader that alone does
// not reach the store may have been replaced. The two differ in whom the processes of the site
// follow: the next leader takes a majority of them, after which the earlier one no longer has
// one. Any two majorities of the same voters have a process in common, which follows one leader
// at a time.
package aqquorum

import (
	"slices"
	"time"
)

const (
	// UnaidedLimit is how long a leader continues after its last proof from the store without a
	// majority of the voters. It allows for one lost renewal of the leadership.
	UnaidedLimit = time.Second
	// MajorityLimit is how long a leader continues after a majority of the voters last
	// followed it. It is several times the interval at which a leader without proof asks them.
	MajorityLimit = time.Second
)

// Voter is a process of the site. One that restarts at the same address keeps its vote, since its
// earlier incarnation has ended.
type Voter struct {
	Name    string
	Address string
}

// Support tells when a majority of the voters last followed a leader. All times are elapsed
// times of the leader's process. The zero value has no voters, and so no majority.
type Support struct {
	// stored are the voters in the store as far as the leader knows.
	stored []Voter
	// proposed are the voters of a write whose outcome is not known, valid only with unsettled.
	proposed  []Voter
	unsettled bool
	// followed holds when each process is last known to have followed the leader.
	followed map[Voter]time.Duration
}

// Inherit sets the voters that an earlier leader has stored.
func (s *Support) Inherit(stored []Voter) { s.stored = slices.Clone(stored) }

// Propose precedes a write of the voters to the store. Until Settle either list may be the
// stored one, and both must have a majority.
func (s *Support) Propose(voters []Voter) {
	if s.Holds(voters) {
		return
	}
	if s.unsettled && !slices.Equal(voters, s.proposed) {
		// Three lists may be stored: none of them counts until one is known to be.
		s.stored = nil
	}
	s.proposed = slices.Clone(voters)
	s.unsettled = true
}

// Settle records that the store holds these voters.
func (s *Support) Settle(voters []Voter) {
	s.stored = slices.Clone(voters)
	s.proposed = nil
	s.unsettled = false
}

// Stored returns the voters that the leader knows to be in the store.
func (s *Support) Stored() []Voter { return s.stored }

// Holds reports whether the store certainly holds these voters.
func (s *Support) Holds(voters []Voter) bool { return !s.unsettled && slices.Equal(voters, s.stored) }

// Followed records that a process followed the leader at a time.
func (s *Support) Followed(v Voter, at time.Duration) {
	if s.followed == nil {
		s.followed = map[Voter]time.Duration{}
	}
	s.followed[v] = max(s.followed[v], at)
}

// MajorityAt returns the latest time at which a majority of the voters is known to have followed
// the leader. known is false if none ever has.
func (s *Support) MajorityAt() (at time.Duration, known bool) {
	at, known = s.majorityOf(s.stored)
	if !s.unsettled || !known {
		return at, known
	}
	of, known := s.majorityOf(s.proposed)
	return min(at, of), known
}

func (s *Support) majorityOf(voters []Voter) (at time.Duration, known bool) {
	var times []time.Duration
	for _, v := range voters {
		if at, follows := s.followed[v]; follows {
			times = append(times, at)
		}
	}
	needed := len(voters)/2 + 1
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}

// Succession tells a new leader when no earlier leader has a majority any more. The zero value has
// no voters and never does.
type Succession struct {
	// voters are those that the earlier leader has stored.
	voters []Voter
	// taken holds the voters that follow the new leader.
	taken map[Voter]bool
}

// NewSuccession returns the succession to a leader that has stored these voters.
func NewSuccession(voters []Voter) Succession {
	return Succession{
		voters: slices.Clone(voters),
		taken:  map[Voter]bool{},
	}
}

// Take records that a process follows the new leader. It reports whether this leaves the earlier
// leaders without a majority, once.
func (s *Succession) Take(v Voter) bool {
	if s.taken[v] || !slices.Contains(s.voters, v) {
		return false
	}
	s.taken[v] = true
	left := len(s.voters) - len(s.taken)
	return left == len(s.voters)/2
}

// EarlierEnd returns the elapsed time from which no earlier leader acts. beganAt is when the new
// leader's term had begun, majorityAt when Take has returned true.
func EarlierEnd(beganAt, majorityAt time.Duration) time.Duration {
	return max(beganAt+UnaidedLimit, majorityAt+MajorityLimit)
}
