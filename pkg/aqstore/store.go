// Package aqstore defines the interface to the key-value service that holds the
// durable state: revisions, conditional transactions, leases and watches.
package aqstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the store's change counter. It starts above zero; a condition with
// revision zero means that the key must not exist.
type Revision int64

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Item is the current value of a key.
type Item struct {
	Key            string
	Value          []byte
	ModRevision    Revision
	CreateRevision Revision
}

// Event is one change of a key. A deletion has no value.
type Event struct {
	Item
	Deleted bool
}

// Condition holds if the revision of the key's last change is ModRevision.
type Condition struct {
	Key         string
	ModRevision Revision
}

// Put sets a key. With a lease, the store removes the key when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: if every condition holds, all puts and deletes take effect
// together, otherwise none does.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// MaxTxnEntries is the maximum total of conditions, puts and deletes in one
// transaction.
const MaxTxnEntries = 32

// Errors of the store's calls.
var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrRefused means that the store did not execute the call.
	ErrRefused = errors.New("store: refused")
	// ErrUnknown means that no usable answer arrived: a write may have taken effect,
	// or may still do so.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrCompacted means that the store no longer has the changes after the
	// requested revision.
	ErrCompacted = errors.New("store: history compacted")
)

// ConflictError means that a condition did not hold. Nothing was written.
type ConflictError struct {
	// Current holds the current items of the conditions' keys. A key that does not
	// exist is missing or has revision zero.
	Current []Item
}

// Error implements error.
func (*ConflictError) Error() string { return "store: condition does not hold" }

// Store is the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// Range returns every item under prefix and the revision from which a watch
	// reports all later changes. It reads page by page, so the items are not a
	// snapshot: a change during the read may be included or not.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under prefix after a revision, and the revision from
	// which the next watch continues. The store holds the call for up to wait while
	// there are none.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	Commit(ctx context.Context, txn Txn) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
}
