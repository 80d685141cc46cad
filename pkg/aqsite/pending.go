package aqsite

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqmetric"
)

// maxPendingAge is how old a count may be that a process gives to a submitter.
const maxPendingAge = 2 * time.Second

// pendingCounts holds the counts of unstarted jobs that the leader sent last.
type pendingCounts struct {
	mu     sync.Mutex
	counts map[aqjob.QueueID]int
	at     time.Duration
}

// set records counts that the leader sent, at an elapsed time.
func (p *pendingCounts) set(counts aqagent.PendingCounts, at time.Duration) {
	if !counts.Known {
		return
	}
	byQueue := make(map[aqjob.QueueID]int, len(counts.Queues))
	for _, q := range counts.Queues {
		byQueue[q.Queue] = q.Count
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts, p.at = byQueue, at
}

// get returns a queue's count, or false if the counts are older than maxPendingAge.
func (p *pendingCounts) get(queue aqjob.QueueID, now time.Duration) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil || now-p.at > maxPendingAge {
		return 0, false
	}
	return p.counts[queue], true
}

// Pending counts a queue's jobs of which no task has started. It answers from the counts
// that the leader sends with its polls, and asks the leader when these are old.
func (n *Node) Pending(ctx context.Context, queue aqjob.QueueID) (int, error) {
	if l := n.leading(); l != nil {
		if count, current := l.pending(queue); current {
			return count, nil
		}
	}
	if count, fresh := n.pendingJobs.get(queue, n.clock.Elapsed()); fresh {
		return count, nil
	}
	var answer pendingAnswer
	if err := n.callLeader(ctx, methodPending, pendingCall{Queue: queue}, &answer); err != nil {
		n.metrics.Refused(aqmetric.RefusedNoLeader)
		return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	return answer.Count, nil
}
