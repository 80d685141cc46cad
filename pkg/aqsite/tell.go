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

// methodTell tells the leader of what its watch may not hear for a while.
const methodTell aqpeer.Method = "Site.Tell"

const (
	// tellPatience is how long the leader's watch may take to tell of a job
	// before the leader looks after it by itself.
	tellPatience = 200 * time.Millisecond
	tellPeriod   = 100 * time.Millisecond
)

// tellCall says that a job or a cancellation is stored.
type tellCall struct {
	Job       aqjob.ID
	Value     []byte           `msgpack:",omitempty"`
	Created   aqstore.Revision `msgpack:",omitempty"`
	Cancelled bool             `msgpack:",omitempty"`
}

type toldJob struct {
	item aqstore.Item
	at   time.Time
}

// tell tells the leader in the background; the watch brings the same.
func (n *Node) tell(call tellCall) {
	if l := n.leading(); l != nil {
		l.told(call)
		return
	}
	address := n.leaderAddress()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var none struct{}
		if err := n.peers.Call(ctx, address, methodTell, call, &none); err != nil {
			n.countLeaderLost()
		}
	}()
}

// told takes what another process has stored. A cancellation holds at once. A
// job waits: it may be younger than a leadership that this process has not heard
// of.
func (l *leader) told(call tellCall) {
	if call.Cancelled {
		l.decide(func(d *aqdecider.Decider) { d.Cancel(call.Job) })
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toldJobs[call.Job] = toldJob{
		item: aqstore.Item{
			Key:     jobKey(call.Job),
			Value:   call.Value,
			Changed: call.Created,
			Created: call.Created,
		},
		at: l.node.clock.Now(),
	}
}

// tellLoop takes jobs that the watch has not told of, after a proof that the
// leadership is younger than none of them.
func (l *leader) tellLoop(ctx context.Context) {
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, l.node.clock, tellPeriod)
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
				l.takeJob(d, id, told.item, nil)
			}
		})
	}
}

// overdueJobs returns the jobs that the watch should have told of, and forgets
// those that it has.
func (l *leader) overdueJobs() map[aqjob.ID]toldJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.clock.Now()
	overdue := map[aqjob.ID]toldJob{}
	for id, told := range l.toldJobs {
		if _, known := l.decider.State(id); known {
			delete(l.toldJobs, id)
			continue
		}
		if now.Sub(told.at) > tellPatience {
			overdue[id] = told
		}
	}
	return overdue
}

// prove asks the store whether the leadership is still this one's.
func (l *leader) prove(ctx context.Context) error {
	sent := l.node.clock.Elapsed()
	_, err := l.node.store.Commit(ctx, aqstore.Txn{
		If: []aqstore.Condition{{Key: leadKey, Changed: l.leadChanged}},
	})
	var conflict *aqstore.ConflictError
	if errors.As(err, &conflict) {
		l.lose(errors.WithMessage(err, "lead key"))
		return err
	}
	l.node.storeAnswered(err)
	if err == nil {
		l.proved(sent)
	}
	return err
}

// proved notes that a call has found the leadership in force, sent after
// some time had elapsed.
func (l *leader) proved(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proofAt = max(l.proofAt, sent)
}
