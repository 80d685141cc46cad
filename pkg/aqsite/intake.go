package aqsite

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
)

// The outcomes of submitters' calls besides success.
var (
	// ErrNoQueue means that no queue is configured for the host and path.
	ErrNoQueue = errors.New("site: no such queue")
	// ErrNoConfig means that this process has no configuration yet.
	ErrNoConfig = errors.New("site: no configuration yet")
	// ErrNoJob means that no such job exists.
	ErrNoJob = errors.New("site: no such job")
	// ErrNotAccepted means that the call had no effect and never will.
	ErrNotAccepted = errors.New("site: not accepted")
	// ErrOutcomeUnknown means that the call may take effect later.
	ErrOutcomeUnknown = errors.New("site: outcome unknown")
)

// Timing of submitters' calls.
const (
	// leaderCallTimeout limits one call to the leader.
	leaderCallTimeout = 500 * time.Millisecond
	// submitPause is the pause between two attempts to store a submission or a
	// cancellation.
	submitPause = 60 * time.Millisecond
)

// Methods between processes.
const (
	methodState   aqpeer.Method = "Site.State"
	methodPending aqpeer.Method = "Site.Pending"
)

type stateCall struct {
	Job aqjob.ID
}

type stateAnswer struct {
	State aqjob.State
	Known bool
}

type pendingCall struct {
	Queue aqjob.QueueID
}

type pendingAnswer struct {
	Count int
}

// Route returns the route for the host and path of a submission.
func (n *Node) Route(host, path string) (Route, error) {
	route, found, configured := n.routes.lookup(host, path)
	switch {
	case !configured:
		n.metrics.Refused(aqmetric.RefusedNoConfig)
		return Route{}, ErrNoConfig
	case !found:
		n.metrics.Refused(aqmetric.RefusedNoQueue)
		return Route{}, ErrNoQueue
	}
	return route, nil
}

// MaxBodyBytes returns the maximum size of a submission's body, zero without a
// configuration.
func (n *Node) MaxBodyBytes() int {
	if config := n.routes.config(); config != nil {
		return config.MaxBodyBytes
	}
	return 0
}

// Submit stores a job. Submitting the same id again succeeds without storing it twice.
// ErrNotAccepted means that the job never runs.
func (n *Node) Submit(ctx context.Context, job *aqjob.Job) error {
	if err := ctx.Err(); err != nil {
		n.metrics.Refused(aqmetric.RefusedDeadline)
		n.log.Write(aqlog.JobRefused, slog.String("Job", string(job.ID)), slog.String("Reason", "Deadline"), aqlog.Err(err))
		return errors.WithMessage(ErrNotAccepted, err.Error())
	}
	started := n.clock.Now()
	job.Compact()
	job.AcceptedAt = n.wallTime().UnixMilli()
	job.AcceptedBy = n.settings.PeerAddress
	value, err := aqjob.Encode(job)
	if err != nil {
		return errors.WithMessage(ErrNotAccepted, err.Error())
	}
	if answered, err := n.rejectHopeless(ctx, job); answered {
		return err
	}
	uncertain := false
	for {
		var created aqstore.Revision
		created, err = n.createJob(ctx, job.ID, value)
		if err == nil {
			n.accepted.add(job, n.clock.Now())
			n.notifyLeader(notifyCall{Job: job.ID, Value: value, Created: created})
		}
		var conflict *aqstore.ConflictError
		if err == nil || errors.As(err, &conflict) {
			if conflict != nil {
				n.notifyStored(job.ID, conflict)
			}
			n.metrics.Inc(aqmetric.JobsAccepted)
			n.metrics.Observe(aqmetric.TimeAccept, n.clock.Now().Sub(started))
			n.log.Write(aqlog.JobStored, slog.String("Job", string(job.ID)), slog.String("Queue", string(job.Queue.ID)),
				slog.Bool("Repeated", conflict != nil), slog.Duration("Took", n.clock.Now().Sub(started)))
			return nil
		}
		if errors.Is(err, aqstore.ErrUnknown) {
			uncertain = true
		}
		if !uncertain {
			n.metrics.Refused(aqmetric.RefusedStoreDown)
			n.log.Write(aqlog.JobRefused, slog.String("Job", string(job.ID)), slog.String("Reason", "StoreDown"),
				aqlog.Err(err))
			return errors.WithMessage(ErrNotAccepted, err.Error())
		}
		aqclock.Sleep(ctx, n.clock, submitPause)
		if ctx.Err() != nil {
			n.log.Write(aqlog.JobInDoubt, slog.String("Job", string(job.ID)), aqlog.Err(err))
			return errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
	}
}

// State returns a job's state from the leader, and from the store when the
// leader does not answer.
func (n *Node) State(ctx context.Context, id aqjob.ID) (aqjob.State, error) {
	answer, err := n.queryState(ctx, id)
	if err == nil && answer.Known {
		return answer.State, nil
	}
	state, err := n.storedState(ctx, id)
	n.recordStoreResult(err)
	return state, err
}

func (n *Node) queryState(ctx context.Context, id aqjob.ID) (stateAnswer, error) {
	if l := n.leading(); l != nil {
		state, known, current := l.state(id)
		if !current {
			return stateAnswer{}, ErrOutcomeUnknown
		}
		return stateAnswer{State: state, Known: known}, nil
	}
	var answer stateAnswer
	err := n.callLeader(ctx, methodState, stateCall{Job: id}, &answer)
	return answer, err
}

func (n *Node) callLeader(ctx context.Context, method aqpeer.Method, in, out any) error {
	address := n.leaderAddress()
	if address == "" {
		return ErrOutcomeUnknown
	}
	bounded, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	err := n.peers.Call(bounded, address, method, in, out)
	if err != nil {
		n.countLeaderLost()
	}
	return err
}

func (n *Node) countLeaderLost() { n.metrics.Retried(aqmetric.RetryLeaderLost) }

func (n *Node) storedState(ctx context.Context, id aqjob.ID) (aqjob.State, error) {
	item, err := n.store.Get(ctx, progressKey(id))
	if err == nil {
		progress, err := aqjob.DecodeProgress(item.Value)
		if err != nil {
			return "", err
		}
		return progress.State, nil
	}
	if !errors.Is(err, aqstore.ErrNotFound) {
		return "", errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	item, err = n.store.Get(ctx, jobKey(id))
	if errors.Is(err, aqstore.ErrNotFound) || (err == nil && isRejected(item)) {
		return "", ErrNoJob
	}
	if err != nil {
		return "", errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	n.log.Write(aqlog.StateFromStore, slog.String("Job", string(id)))
	return aqjob.StateQueued, nil
}

// registerHandlers registers the handlers of calls by other processes.
func (n *Node) registerHandlers() {
	aqpeer.Handle(n.server, methodCommit, n.handleCommit)
	aqpeer.Handle(n.server, methodPayload, n.handlePayload)
	aqpeer.Handle(n.server, methodNotify, func(_ context.Context, in notifyCall) (notifyAnswer, error) {
		l := n.leading()
		if l == nil {
			return notifyAnswer{}, errNotLeading
		}
		l.handleNotify(in)
		return notifyAnswer{Backlog: l.tellBacklog()}, nil
	})
	aqpeer.Handle(n.server, methodCancelled, func(_ context.Context, in cancelledCall) (cancelledAnswer, error) {
		l := n.leading()
		if l == nil {
			return cancelledAnswer{}, errNotLeading
		}
		return l.handleCancelled(in)
	})
	aqpeer.Handle(n.server, methodState, func(_ context.Context, in stateCall) (stateAnswer, error) {
		if l := n.leading(); l != nil {
			if state, known, current := l.state(in.Job); current {
				return stateAnswer{State: state, Known: known}, nil
			}
		}
		return stateAnswer{}, errNotLeading
	})
	aqpeer.Handle(n.server, methodPending, func(_ context.Context, in pendingCall) (pendingAnswer, error) {
		if l := n.leading(); l != nil {
			if count, current := l.pending(in.Queue); current {
				return pendingAnswer{Count: count}, nil
			}
		}
		return pendingAnswer{}, errNotLeading
	})
}
