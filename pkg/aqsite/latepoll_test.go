package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/internal/site/aqagent"
)

// pollRig polls the agent of a node for another leader.
type pollRig struct {
	t    *testing.T
	node *Node
}

// poll delivers a poll with a count of one queue and returns the number of the answer.
func (r pollRig) poll(acked uint64, count int) uint64 {
	r.t.Helper()
	answer, err := r.node.agent.Poll(context.Background(), aqagent.PollCall{
		Agent:       "n1",
		Fence:       5,
		AckedAnswer: acked,
		Checked:     aqagent.CheckReport{Config: 3},
		Pending: aqagent.PendingCounts{
			Known:  true,
			Queues: []aqagent.QueueCount{{Queue: "q", Count: count}},
		},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	return answer.Number
}

// Guards against CONFIG and MIXED: what a poll tells counted from its arrival, however long it had been under way.
func TestReportsOfALatePollCountFromItsSending(t *testing.T) {
	n, clock := testNode(t, newFakeStore())
	n.configRevision.set(3)
	r := pollRig{t: t, node: n}
	first := r.poll(0, 1)
	begun := clock.Now()
	// The leader has sent the next poll at once.
	clock.Advance(aqagent.PermitTime - time.Millisecond)
	second := r.poll(first, 2)
	if checked := n.checkedAt.get(); checked.After(begun) {
		t.Errorf("a check counts that is younger than the answer that the leader had by %s", checked.Sub(begun))
	}
	if _, fresh := n.pendingJobs.get("q", n.clock.Elapsed()+maxPendingAge); fresh {
		t.Errorf("counts are used %s after they were sent", aqagent.PermitTime+maxPendingAge)
	}
	third := r.poll(second, 3)
	checked := n.checkedAt.get()
	clock.Advance(100 * time.Millisecond)
	// An earlier poll arrives at last.
	r.poll(first, 1)
	if count, _ := n.pendingJobs.get("q", n.clock.Elapsed()); count != 3 || n.checkedAt.get() != checked {
		t.Errorf("the count is %d after an outdated poll, want 3; its check counts: %v", count, n.checkedAt.get() != checked)
	}
	if fresh := n.agent.Permitted(5); !fresh || third == 0 {
		t.Fatal("the agent has no permit")
	}
}
