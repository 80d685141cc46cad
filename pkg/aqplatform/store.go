// Package aqplatform holds the clients of the platform's key-value store, workers and
// list of hosts, and the request and answer bodies of its HTTP protocol.
package aqplatform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the store's version of a key. Zero means that the key does not exist,
// so a write that expects zero creates the key.
type Revision uint64

// AnyRevision makes a write unconditional.
const AnyRevision = Revision(^uint64(0))

// LeaseID identifies a lease of the store; zero means no lease.
type LeaseID uint64

// Entry is one key of the store with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Errors of the store's calls.
var (
	// ErrConflict means that the key's revision is not the expected one. The
	// write did not take effect.
	ErrConflict = errors.New("platform store: revision conflict")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("platform store: not found")
	// ErrOutcomeUnknown means that no usable answer arrived: a write may have taken effect.
	ErrOutcomeUnknown = errors.New("platform store: outcome unknown")
	// ErrRefused means that the store answered that it did not execute the call.
	ErrRefused = errors.New("platform store: refused")
)

// Store is the platform's key-value service. Each call counts against its rate limit;
// a watch counts as one call however long it waits.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes the key if its revision is expect, and returns the new revision.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	Delete(ctx context.Context, key string, expect Revision) error
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key under prefix has a revision above after, or until wait
	// has passed, and returns the store's revision at that time.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Revision, error)
}
