package aqjournal

import "github.com/pkg/errors"

// Errors of the journal.
var (
	// ErrDeposed means that another writer has written to the journal since this log
	// last read or wrote it. If the write of a segment returns it, the segment was
	// not committed and never will be.
	ErrDeposed = errors.New("journal: deposed, the segment was not committed")
	// ErrDeposedInDoubt means that another writer has since overwritten the slot
	// with a later segment, so that the store no longer shows whether the segment
	// of this write was committed.
	ErrDeposedInDoubt = errors.New("journal: deposed, the segment's outcome is unknown")
	// ErrInterrupted means that the context ended, or that Claim's single try
	// failed, before the outcome of a write was known. The log must not be used
	// again.
	ErrInterrupted = errors.New("journal: interrupted with a segment in doubt")
	// ErrStoreDown means that the store did not answer a read or the write of a
	// snapshot.
	ErrStoreDown = errors.New("journal: store does not answer")
	// ErrTooLarge means that a value exceeds the store's limit or that the ring
	// has no free slot.
	ErrTooLarge = errors.New("journal: value too large for the store")
	// ErrCorrupt means that a stored value does not decode.
	ErrCorrupt = errors.New("journal: not readable")
)
