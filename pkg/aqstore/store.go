// Package aqstore is the seam to the key-value service that keeps what must
// last: revisions, transactions under conditions, leases and watches.
package aqstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the service's change counter. It starts above zero, so zero as a
// condition means that the key does not exist.
type Revision int64

// LeaseID names a lease; zero means no lease.
type LeaseID int64

// Item is one key as it stands.
type Item struct {
	Key            string
	Value          []byte
	ModRevision    Revision
	CreateRevision Revision
}

// Event is one change. Deleted events carry no value.
type Event struct {
	Item
	Deleted bool
}

// Condition holds when the key's last change is Changed.
type Condition struct {
	Key         string
	ModRevision Revision
}

// Put sets a key, which goes with the lease if there is one.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is all-or-nothing.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// MaxTxnEntries bounds the conditions, writes and removals of one transaction.
const MaxTxnEntries = 32

// The outcomes besides success.
var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrRefused means that the call was not executed.
	ErrRefused = errors.New("store: refused")
	// ErrUnknown means that no answer came: a write may take effect later.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrCompacted means that the history asked for is gone.
	ErrCompacted = errors.New("store: history compacted")
)

// ConflictError means that a condition did not hold. Nothing was written.
type ConflictError struct {
	// Current holds the keys of the conditions as they stand; a key that does
	// not exist is missing or has revision zero.
	Current []Item
}

// Error implements error.
func (*ConflictError) Error() string { return "store: condition does not hold" }

// Store is the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// Range returns every item under prefix, page by page, and a revision from
	// which a watch misses nothing. It is not a snapshot.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes under prefix after a revision, at most for wait.
	// It returns the revision to go on from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	Commit(ctx context.Context, txn Txn) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
}
