package aqsite

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
)

// methodCancelled tells the leader of stored cancellations.
const methodCancelled aqpeer.Method = "Site.Cancelled"

// cancelledCall lists jobs whose cancellations are stored.
type cancelledCall struct {
	Jobs []aqjob.ID
}

// cancelledAnswer confirms that the leader knows of the cancellations.
type cancelledAnswer struct {
	// Known lists the jobs that the leader knows.
	Known []aqjob.ID `msgpack:",omitempty"`
}

const (
	// untoldPeriod is the pause before a process tells the leader again of the cancellations that it has not confirmed.
	untoldPeriod = 250 * time.Millisecond
	// untoldKept and maxUntold limit these.
	untoldKept = 30 * time.Second
	maxUntold  = 4096
)

// errNotLeading means that a process does not lead, or may not act as the leader.
var errNotLeading = aqpeer.Errorf(aqpeer.CodeNotOwner, "not the leader")

// handleCancelled applies cancellations that another process has stored, and confirms them if this leader's answers are
// current.
func (l *leader) handleCancelled(call cancelledCall) (cancelledAnswer, error) {
	current := l.mayAnswer()
	var answer cancelledAnswer
	applied := false
	l.decide(func(d *aqdecider.Decider) {
		applied = true
		for _, id := range call.Jobs {
			l.cancel(d, id, byNotification)
			if _, known := d.State(id); known {
				answer.Known = append(answer.Known, id)
			}
		}
	})
	// Otherwise there may be a later leader, which has to be told as well.
	if !applied || !current {
		return cancelledAnswer{}, errNotLeading
	}
	return answer, nil
}

// tellCancelled tells the leader of stored cancellations, and returns once it has confirmed them.
func (n *Node) tellCancelled(ctx context.Context, jobs []aqjob.ID) (cancelledAnswer, error) {
	call := cancelledCall{Jobs: jobs}
	if l := n.leading(); l != nil {
		return l.handleCancelled(call)
	}
	var answer cancelledAnswer
	err := n.callLeader(ctx, methodCancelled, call, &answer)
	return answer, err
}

// announceCancel tells the leader of a stored cancellation, again later if it does not confirm it now. It reports
// whether the leader knows the job.
func (n *Node) announceCancel(ctx context.Context, id aqjob.ID) (known bool) {
	answer, err := n.tellCancelled(ctx, []aqjob.ID{id})
	if err != nil {
		n.log.Write(aqlog.CancelUntold, slog.String("Job", string(id)), slog.String("Leader", n.leaderAddress()), aqlog.Err(err))
		n.untold.Add(id, n.clock.Elapsed())
		aqsignal.Send(n.wakeUntold)
	}
	return slices.Contains(answer.Known, id)
}

// untoldLoop tells the leader again of cancellations that it has not confirmed.
func (n *Node) untoldLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wakeUntold:
		}
		aqclock.Sleep(ctx, n.clock, untoldPeriod)
		jobs := n.untold.Jobs(n.clock.Elapsed())
		if len(jobs) == 0 {
			continue
		}
		if _, err := n.tellCancelled(ctx, jobs); err != nil {
			aqsignal.Send(n.wakeUntold)
			continue
		}
		n.untold.Confirm(jobs)
	}
}

// Cancel stores the cancellation of a job. It returns ErrNoJob when there is no such job; a submission of it
// that reaches the store later is cancelled then.
func (n *Node) Cancel(ctx context.Context, id aqjob.ID) error {
	for {
		err := n.storeCancel(ctx, id)
		if err == nil {
			break
		}
		aqclock.Sleep(ctx, n.clock, submitPause)
		if ctx.Err() != nil {
			return errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
	}
	if n.announceCancel(ctx, id) {
		return nil
	}
	item, err := n.store.Get(ctx, jobKey(id))
	n.recordStoreResult(err)
	if errors.Is(err, aqstore.ErrNotFound) || (err == nil && isRejected(item)) {
		return ErrNoJob
	}
	// The cancellation is stored, whether there is such a job or not.
	return nil
}

func (n *Node) storeCancel(ctx context.Context, id aqjob.ID) error {
	_, err := n.create(ctx, cancelKey(id), []byte{})
	var conflict *aqstore.ConflictError
	repeated := errors.As(err, &conflict)
	if err != nil && !repeated {
		return err
	}
	n.log.Write(aqlog.CancelStored, slog.String("Job", string(id)), slog.Bool("Repeated", repeated))
	return nil
}
