// Package aqrouter routes calls to the scheduler that owns a shard, and retries them
// when the owner has changed or does not answer. That is safe because every call is
// idempotent by its key.
package aqrouter

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// Router calls the owners of shards.
type Router struct {
	Directory *aqmember.Directory
	Peers     aqmember.Caller
	Clock     aqclock.Clock
	Metrics   *aqmetric.Set
	Shards    int
	// Pause is the wait before a retry.
	Pause time.Duration
}

// ErrNoOwner means that no owner of the shard is known; the call did not run.
var ErrNoOwner = aqpeer.Errorf(aqpeer.CodeExhausted, "no scheduler owns the shard now; not run")

// call retries a call until it is answered, fails permanently or ctx ends. In the last
// case the error has CodeUnknown if an attempt may have taken effect.
func (r *Router) call(ctx context.Context, shard aqtype.ShardID, method aqpeer.Method, in, out any) error {
	inDoubt := false
	for {
		err := r.try(ctx, shard, method, in, out)
		if err == nil {
			return nil
		}
		if !r.retryable(err) {
			return err
		}
		inDoubt = inDoubt || errors.Is(err, aqpeer.ErrNoAnswer) || aqpeer.CodeOf(err) == aqpeer.CodeUnknown
		select {
		case <-ctx.Done():
			if inDoubt {
				return aqpeer.Errorf(aqpeer.CodeUnknown, "shard %d: %v", shard, err)
			}
			return err
		case <-r.Clock.After(r.Pause):
		}
	}
}

func (r *Router) try(ctx context.Context, shard aqtype.ShardID, method aqpeer.Method, in, out any) error {
	owner, epoch := r.Directory.Owner(shard)
	ok := epoch > 0
	if !ok {
		owner, ok = r.Directory.Preferred(shard)
	}
	if !ok || owner.Role != aqmember.RoleScheduler {
		return ErrNoOwner
	}
	return r.Peers.Call(ctx, owner.PeerAddress, method, in, out)
}

func (r *Router) retryable(err error) bool {
	switch {
	case errors.Is(err, aqpeer.ErrNotSent), errors.Is(err, aqpeer.ErrNoAnswer):
		r.Metrics.Retried(aqmetric.RetryPeerLost)
		return true
	case errors.Is(err, ErrNoOwner):
		r.Metrics.Retried(aqmetric.RetryNotOwner)
		return true
	}
	code := aqpeer.CodeOf(err)
	if code != aqpeer.CodeNotOwner && code != aqpeer.CodeUnknown {
		return false
	}
	r.Metrics.Retried(aqmetric.RetryNotOwner)
	return true
}

// Submit submits a workload to its home shard.
func (r *Router) Submit(ctx context.Context, spec aqtype.Spec) (aqscheduler.Status, error) {
	shard := aqtype.HomeShard(spec.Base().Key, r.Shards)
	var status aqscheduler.Status
	err := r.call(ctx, shard, aqscheduler.MethodSubmit, aqscheduler.SubmitRequest{
		Shard: shard,
		Spec:  aqshard.WrapSpec(spec),
	}, &status)
	return status, err
}

// Get returns the status of a workload.
func (r *Router) Get(ctx context.Context, key aqtype.WorkloadKey) (aqscheduler.Status, error) {
	return r.byKey(ctx, aqscheduler.MethodGet, key)
}

// Cancel cancels a workload.
func (r *Router) Cancel(ctx context.Context, key aqtype.WorkloadKey) (aqscheduler.Status, error) {
	return r.byKey(ctx, aqscheduler.MethodCancel, key)
}

func (r *Router) byKey(
	ctx context.Context, method aqpeer.Method, key aqtype.WorkloadKey,
) (aqscheduler.Status, error) {
	shard := aqtype.HomeShard(key, r.Shards)
	var status aqscheduler.Status
	err := r.call(ctx, shard, method, aqscheduler.WorkloadRequest{Shard: shard, Key: key}, &status)
	return status, err
}

// List returns the workloads of a team in all shards, and the shards that did not
// answer.
func (r *Router) List(ctx context.Context, team aqtype.TeamID) ([]aqscheduler.Status, []aqtype.ShardID) {
	answers, missing := gather(r.Shards, func(shard aqtype.ShardID) (aqscheduler.ListAnswer, error) {
		var answer aqscheduler.ListAnswer
		err := r.call(ctx, shard, aqscheduler.MethodList, aqscheduler.ListRequest{Shard: shard, Team: team}, &answer)
		return answer, err
	})
	var all []aqscheduler.Status
	for _, answer := range answers {
		all = append(all, answer.Statuses...)
	}
	sort.Slice(all, func(i, j int) bool { return specKey(all[i]) < specKey(all[j]) })
	return all, missing
}

// Reserve reserves the idempotency key of a request and reports whether this holder
// has it.
func (r *Router) Reserve(ctx context.Context, service, key, holder string) (bool, error) {
	answer, err := r.useKey(ctx, aqscheduler.MethodReserveKey, service, key, holder)
	return answer.Held, err
}

// Release frees the key of a request that was not sent.
func (r *Router) Release(ctx context.Context, service, key, holder string) error {
	_, err := r.useKey(ctx, aqscheduler.MethodReleaseKey, service, key, holder)
	return err
}

func (r *Router) useKey(
	ctx context.Context, method aqpeer.Method, service, key, holder string,
) (aqscheduler.KeyAnswer, error) {
	requestKey := aqshard.RequestKey(service + "/" + key)
	shard := aqtype.HomeShard(aqtype.WorkloadKey(requestKey), r.Shards)
	var answer aqscheduler.KeyAnswer
	err := r.call(ctx, shard, method, aqscheduler.KeyHolderRequest{
		Shard:  shard,
		Key:    requestKey,
		Holder: holder,
	}, &answer)
	return answer, err
}

// Top returns a summary of each shard, and the shards that did not answer.
func (r *Router) Top(ctx context.Context) ([]aqscheduler.ShardTop, []aqtype.ShardID) {
	tops, missing := gather(r.Shards, func(shard aqtype.ShardID) (aqscheduler.ShardTop, error) {
		var top aqscheduler.ShardTop
		err := r.call(ctx, shard, aqscheduler.MethodTop, aqscheduler.TopRequest{Shard: shard}, &top)
		return top, err
	})
	sort.Slice(tops, func(i, j int) bool { return tops[i].Shard < tops[j].Shard })
	return tops, missing
}

func specKey(s aqscheduler.Status) aqtype.WorkloadKey {
	spec, err := s.Spec.Unwrap()
	if err != nil {
		return ""
	}
	return spec.Base().Key
}

// gather calls ask for all shards in parallel. It returns the answers and the shards
// that failed.
func gather[T any](shards int, ask func(aqtype.ShardID) (T, error)) ([]T, []aqtype.ShardID) {
	var mu sync.Mutex
	var answers []T
	var missing []aqtype.ShardID
	var calls sync.WaitGroup
	for shard := range aqtype.ShardID(shards) {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answer, err := ask(shard)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, shard)
				return
			}
			answers = append(answers, answer)
		}()
	}
	calls.Wait()
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	return answers, missing
}
