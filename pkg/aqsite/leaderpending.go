package aqsite

import (
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// maxPendingQueues limits the queues in one message. With more queues, other processes
// ask for the counts that they need.
const maxPendingQueues = 64

// pendingCounts returns the counts for the agents.
func (l *leader) pendingCounts() aqagent.PendingCounts {
	if !l.mayAnswer() {
		return aqagent.PendingCounts{}
	}
	var counts aqagent.PendingCounts
	l.decide(func(d *aqdecider.Decider) {
		all := d.PendingByQueue()
		if len(all) > maxPendingQueues {
			return
		}
		counts.Known = true
		for queue, count := range all {
			counts.Queues = append(counts.Queues, aqagent.QueueCount{
				Queue: queue,
				Count: count,
			})
		}
	})
	return counts
}

// pending counts a queue's jobs that have not started.
func (l *leader) pending(queue aqjob.QueueID) (count int, current bool) {
	if !l.mayAnswer() {
		return 0, false
	}
	l.decide(func(d *aqdecider.Decider) {
		count = d.Pending(queue)
		current = true
	})
	return count, current
}

// state answers a status call. known is false when there is no such job, current is
// false when this leader cannot answer.
func (l *leader) state(id aqjob.ID) (state aqjob.State, known, current bool) {
	if !l.mayAnswer() {
		return "", false, false
	}
	l.decide(func(d *aqdecider.Decider) {
		state, known = d.State(id)
		current = true
	})
	return state, known, current
}
