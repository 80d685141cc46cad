package aqsite

import (
	"time"

	"acaciaquay/internal/site/aqquorum"
)

// followed records that a member's agent followed this leader when a poll was sent to it that it
// has answered.
//
// A process that the leader has learned of after its last proof does not count: it may have
// followed the next leader before it restarted.
func (l *leader) followed(m *member, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proofAt >= m.joinedAt {
		l.support.Followed(m.record.voter(), sent)
	}
}

// votersMayChange reports whether no earlier leader counts on the stored voters any more.
func (l *leader) votersMayChange() bool {
	return l.firstLeader || l.node.clock.Elapsed()-l.beganAt > proofLimit
}

// nextVoters returns the voters to be stored along with a list of agents.
func (l *leader) nextVoters(agents []nodeRecord) []aqquorum.Voter {
	if !l.votersMayChange() {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.support.Stored()
	}
	voters := make([]aqquorum.Voter, 0, len(agents))
	for _, record := range agents {
		voters = append(voters, record.voter())
	}
	return voters
}

// votersDue reports whether the stored voters are still those of an earlier leader and may change.
func (l *leader) votersDue() bool {
	if !l.votersMayChange() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.votersRenewed
}
