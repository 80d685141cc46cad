package aqstandin

import (
	"context"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Delivery is what the network does with one call.
type Delivery int

// The kinds of delivery.
const (
	// Delivered delivers the call and its answer.
	Delivered Delivery = iota
	// AnswerLost delivers the call and drops the answer.
	AnswerLost
	// CallDropped drops the call.
	CallDropped
	// CallDelayed delivers the call at the next DeliverDelayed. The sender gets no
	// answer, as if its call had timed out before the delivery.
	CallDelayed
)

// Network simulates the network between one sender and the platform. Next decides how
// each call is delivered. It is not safe for concurrent use.
type Network struct {
	// Next returns the delivery of the next call.
	Next    func() Delivery
	delayed []func()
}

// WorkerNetwork is a Network between a sender and workers. It implements aqplatform.Workers.
type WorkerNetwork struct {
	*Network
	Workers aqplatform.Workers
}

// StoreNetwork is a Network between a sender and the store. It implements
// aqplatform.Store. Watches and lease calls are always delivered.
type StoreNetwork struct {
	*Network
	aqplatform.Store
}

// DeliverDelayed delivers the delayed calls and drops their answers. pick returns the
// index of the next call among those left.
func (n *Network) DeliverDelayed(pick func(left int) int) {
	for len(n.delayed) > 0 {
		i := pick(len(n.delayed))
		deliver := n.delayed[i]
		n.delayed = append(n.delayed[:i], n.delayed[i+1:]...)
		deliver()
	}
}

// Delayed returns the number of delayed calls.
func (n *Network) Delayed() int { return len(n.delayed) }

// transmit delivers a call as Next decides. It returns lostErr when the sender gets no
// answer.
func transmit[T any](n *Network, lostErr error, call func() (T, error)) (T, error) {
	var none T
	switch n.Next() {
	case AnswerLost:
		_, _ = call()
		return none, lostErr
	case CallDropped:
		return none, lostErr
	case CallDelayed:
		n.delayed = append(n.delayed, func() { _, _ = call() })
		return none, lostErr
	case Delivered:
	}
	return call()
}

// Open implements aqplatform.Workers.
func (n WorkerNetwork) Open(
	ctx context.Context, address string, r aqplatform.OpenRequest,
) (aqplatform.SessionAnswer, error) {
	return transmit(n.Network, aqplatform.ErrWorkerOutcomeUnknown, func() (aqplatform.SessionAnswer, error) {
		return n.Workers.Open(ctx, address, r)
	})
}

// Renew implements aqplatform.Workers.
func (n WorkerNetwork) Renew(
	ctx context.Context, address string, r aqplatform.RenewRequest,
) (aqplatform.SessionAnswer, error) {
	return transmit(n.Network, aqplatform.ErrWorkerOutcomeUnknown, func() (aqplatform.SessionAnswer, error) {
		return n.Workers.Renew(ctx, address, r)
	})
}

// Command implements aqplatform.Workers.
func (n WorkerNetwork) Command(
	ctx context.Context, address string, r aqplatform.CommandRequest,
) (aqplatform.CommandAnswer, error) {
	return transmit(n.Network, aqplatform.ErrWorkerOutcomeUnknown, func() (aqplatform.CommandAnswer, error) {
		return n.Workers.Command(ctx, address, r)
	})
}

// Get implements aqplatform.Store.
func (n StoreNetwork) Get(ctx context.Context, key string) (aqplatform.Entry, error) {
	return transmit(n.Network, aqplatform.ErrOutcomeUnknown, func() (aqplatform.Entry, error) { return n.Store.Get(ctx, key) })
}

// List implements aqplatform.Store.
func (n StoreNetwork) List(ctx context.Context, prefix string) ([]aqplatform.Entry, error) {
	return transmit(n.Network, aqplatform.ErrOutcomeUnknown, func() ([]aqplatform.Entry, error) { return n.Store.List(ctx, prefix) })
}

// Put implements aqplatform.Store.
func (n StoreNetwork) Put(
	ctx context.Context, key string, value []byte, expect aqplatform.Revision, lease aqplatform.LeaseID,
) (aqplatform.Revision, error) {
	return transmit(n.Network, aqplatform.ErrOutcomeUnknown, func() (aqplatform.Revision, error) {
		return n.Store.Put(ctx, key, value, expect, lease)
	})
}

// Delete implements aqplatform.Store.
func (n StoreNetwork) Delete(ctx context.Context, key string, expect aqplatform.Revision) error {
	_, err := transmit(n.Network, aqplatform.ErrOutcomeUnknown, func() (struct{}, error) {
		return struct{}{}, n.Store.Delete(ctx, key, expect)
	})
	return err
}

// NewWorkerHost returns the entry of a live worker with the given capacity.
func NewWorkerHost(id string, capacity aqtype.Resources) aqplatform.WorkerHost {
	return aqplatform.WorkerHost{
		ID:       aqtype.WorkerID(id),
		Address:  id,
		Zone:     "perth",
		Rack:     "rack0",
		State:    aqplatform.HostLive,
		Capacity: capacity,
	}
}
