package aqsite

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
)

// methodNotify tells the leader of what its watch may not hear for a while.
const methodNotify aqpeer.Method = "Site.Tell"

const (
	// notifiedJobTimeout is how long the leader's watch may take to tell of a job
	// before the leader looks after it by itself.
	notifiedJobTimeout = 200 * time.Millisecond
	notifiedJobPeriod  = 100 * time.Millisecond
)

// notifyCall says that a job or a cancellation is stored.
type notifyCall struct {
	Job       aqjob.ID
	Value     []byte           `msgpack:",omitempty"`
	Created   aqstore.Revision `msgpack:",omitempty"`
	Cancelled bool             `msgpack:",omitempty"`
}

type notifiedJob struct {
	item aqstore.Item
	at   time.Time
}

// notifyLeader tells the leader in the background; the watch brings the same.
func (n *Node) notifyLeader(call notifyCall) {
	if l := n.leading(); l != nil {
		l.handleNotify(call)
		return
	}
	address := n.leaderAddress()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
		defer cancel()
		var none struct{}
		if err := n.peers.Call(ctx, address, methodNotify, call, &none); err != nil {
			n.countLeaderLost()
		}
	}()
}

// handleNotify takes what another process has stored. A cancellation holds at once. A
// job waits: it may be younger than a leadership that this process has not heard
// of.
func (l *leader) handleNotify(call notifyCall) {
	if call.Cancelled {
		l.decide(func(d *aqdecider.Decider) { d.Cancel(call.Job) })
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifiedJobs[call.Job] = notifiedJob{
		item: aqstore.Item{
			Key:            jobKey(call.Job),
			Value:          call.Value,
			ModRevision:    call.Created,
			CreateRevision: call.Created,
		},
		at: l.node.clock.Now(),
	}
}

// notifiedJobsLoop takes jobs that the watch has not told of, after a proof that the
// leadership is younger than none of them.
func (l *leader) notifiedJobsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, notifiedJobPeriod)
		overdue := l.overdueJobs()
		if len(overdue) == 0 {
			continue
		}
		err := l.prove(ctx)
		if err != nil {
			continue
		}
		l.decide(func(d *aqdecider.Decider) {
			for id, told := range overdue {
				l.addJob(d, id, told.item, nil)
			}
		})
	}
}

// overdueJobs returns the jobs that the watch should have told of, and forgets
// those that it has.
func (l *leader) overdueJobs() map[aqjob.ID]notifiedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.clock.Now()
	overdue := map[aqjob.ID]notifiedJob{}
	for id, told := range l.notifiedJobs {
		if _, known := l.decider.State(id); known {
			delete(l.notifiedJobs, id)
			continue
		}
		if now.Sub(told.at) > notifiedJobTimeout {
			overdue[id] = told
		}
	}
	return overdue
}

// prove asks the store whether the leadership is still this one's.
func (l *leader) prove(ctx context.Context) error {
	sent := l.node.clock.Elapsed()
	_, err := l.node.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}},
	})
	var conflict *aqstore.ConflictError
	if errors.As(err, &conflict) {
		l.lose(errors.WithMessage(err, "lead key"))
		return err
	}
	l.node.recordStoreResult(err)
	if err == nil {
		l.recordProof(sent)
	}
	return err
}

// recordProof notes that a call has found the leadership in force, sent after
// some time had elapsed.
func (l *leader) recordProof(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proofAt = max(l.proofAt, sent)
}
