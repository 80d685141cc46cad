package aqsite

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstore"
)

// methodCommit makes the leader, which the store serves, write for a process that
// the store refuses.
const methodCommit aqpeer.Method = "Site.Commit"

// commitResult is the outcome of a forwarded write.
type commitResult int

const (
	commitDone commitResult = iota + 1
	// commitConflict means that the key exists.
	commitConflict
	commitRefused
	commitUnknown
)

type commitCall struct {
	Key   string
	Value []byte
}

type commitAnswer struct {
	Result   commitResult
	Revision aqstore.Revision
	// Marks holds the key's item after a conflict if it is the mark of a rejected job.
	Marks []aqstore.Item `msgpack:",omitempty"`
}

// create writes a key that must not exist. It first commits directly and then
// through the leader if the store does not accept the write from this process; while
// the store refuses this process, the leader comes first. A repeated write takes
// effect once.
func (n *Node) create(ctx context.Context, key string, value []byte) (aqstore.Revision, error) {
	writes := []func(context.Context, string, []byte) (aqstore.Revision, error){n.createDirect}
	if n.leading() == nil && n.leaderAddress() != "" {
		writes = append(writes, n.createViaLeader)
		if n.storeDown.Load() {
			slices.Reverse(writes)
		}
	}
	var conflict *aqstore.ConflictError
	var failed error
	for _, write := range writes {
		revision, err := write(ctx, key, value)
		if err == nil || errors.As(err, &conflict) {
			return revision, err
		}
		if failed == nil || !errors.Is(failed, aqstore.ErrUnknown) {
			failed = err
		}
	}
	return 0, failed
}

func (n *Node) createDirect(ctx context.Context, key string, value []byte) (aqstore.Revision, error) {
	revision, err := n.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{{Key: key}},
		Puts:       []aqstore.Put{{Key: key, Value: value}},
	})
	n.recordStoreResult(err)
	return revision, err
}

func (n *Node) createViaLeader(ctx context.Context, key string, value []byte) (aqstore.Revision, error) {
	var answer commitAnswer
	err := n.callLeader(ctx, methodCommit, commitCall{Key: key, Value: value}, &answer)
	var refusal *aqpeer.Error
	switch {
	case errors.Is(err, aqpeer.ErrNotSent), errors.As(err, &refusal):
		return 0, errors.WithMessage(aqstore.ErrRefused, err.Error())
	case err != nil:
		return 0, errors.WithMessage(aqstore.ErrUnknown, err.Error())
	}
	switch answer.Result {
	case commitDone:
		return answer.Revision, nil
	case commitConflict:
		return 0, &aqstore.ConflictError{Current: answer.Marks}
	case commitRefused:
		return 0, errors.WithMessage(aqstore.ErrRefused, "by the leader")
	case commitUnknown:
	}
	return 0, errors.WithMessage(aqstore.ErrUnknown, "at the leader")
}

// handleCommit writes for another process.
func (n *Node) handleCommit(ctx context.Context, in commitCall) (commitAnswer, error) {
	if n.leading() == nil {
		return commitAnswer{}, errNotLeading
	}
	revision, err := n.createDirect(ctx, in.Key, in.Value)
	var conflict *aqstore.ConflictError
	switch {
	case err == nil:
		return commitAnswer{Result: commitDone, Revision: revision}, nil
	case errors.As(err, &conflict):
		answer := commitAnswer{Result: commitConflict}
		if item, found := currentItem(conflict, in.Key); found && isRejected(item) {
			answer.Marks = []aqstore.Item{item}
		}
		return answer, nil
	case errors.Is(err, aqstore.ErrRefused):
		return commitAnswer{Result: commitRefused}, nil
	}
	return commitAnswer{Result: commitUnknown}, nil
}
