package aqjournal

import "github.com/pkg/errors"

// The journal's outcomes besides success.
var (
	// ErrDeposed means that another writer has the number: the segment was not
	// committed and never will be.
	ErrDeposed = errors.New("journal: deposed, the segment was not committed")
	// ErrDeposedInDoubt means that another writer has gone on and overwritten
	// the slot: whether the segment was committed can no longer be read.
	ErrDeposedInDoubt = errors.New("journal: deposed, the segment's outcome is unknown")
	// ErrInterrupted means that the caller gave up while the outcome of a write
	// was unknown. The log must not be used again.
	ErrInterrupted = errors.New("journal: interrupted with a segment in doubt")
	// ErrStoreDown means that the store did not answer a read.
	ErrStoreDown = errors.New("journal: store does not answer")
	// ErrTooLarge means that a value would not fit the store.
	ErrTooLarge = errors.New("journal: value too large for the store")
	// ErrCorrupt means that the store holds something that is not a journal.
	ErrCorrupt = errors.New("journal: not readable")
)
