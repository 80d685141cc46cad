// Package aqcancel decides how long a leader may start tasks on what it knows of stored cancellations, and keeps the
// cancellations that no leader has confirmed. It has no input or output.
package aqcancel

import (
	"slices"
	"time"

	"acaciaquay/pkg/aqstore"
)

// Times are the times on which the knowledge of cancellations depends.
type Times struct {
	// Bound is the time after an acknowledged cancellation from which no task of its job may be started, zero if that
	// is not limited.
	Bound time.Duration
	// Call is how long a call to a worker may take.
	Call time.Duration
}

// Knowledge is what a leader knows of the stored cancellations: all that were stored up to a time. All times are elapsed times
// of one process. The zero value is that of a site without a bound.
type Knowledge struct {
	// limit is the age from which no start may be sent any more, zero if there is no bound.
	limit time.Duration
	// completeAt is the time up to which all stored cancellations are known.
	completeAt time.Duration
	// delivered is the highest revision that the watch of the cancellations has delivered.
	delivered aqstore.Revision
	// probes are the writes that the watch has not delivered, in the order of their revisions.
	probes []probe
}

// probe is a write of the leader below the prefix that it watches for cancellations.
type probe struct {
	revision aqstore.Revision
	// sentAt is when the write was sent. What was acknowledged before has a lower revision.
	sentAt time.Duration
}

// maxProbes limits the probes that wait for the watch. The oldest ones go first: later ones say more.
const maxProbes = 32

// New returns the knowledge of a leader that has read nothing.
func New(t Times) Knowledge {
	if t.Bound <= 0 {
		return Knowledge{}
	}
	// With a very short bound half of it is left to the calls.
	return Knowledge{limit: max(t.Bound-t.Call, t.Bound/2)}
}

// Limited reports whether there is a bound.
func (k *Knowledge) Limited() bool { return k.limit > 0 }

// Read records a full read of the cancellations that was sent at a time.
func (k *Knowledge) Read(sentAt time.Duration) { k.completeAt = max(k.completeAt, sentAt) }

// ProbeStored records that the store has acknowledged a probe.
func (k *Knowledge) ProbeStored(revision aqstore.Revision, sentAt time.Duration) {
	if !k.Limited() {
		return
	}
	k.probes = append(k.probes, probe{
		revision: revision,
		sentAt:   sentAt,
	})
	if len(k.probes) > maxProbes {
		k.probes = slices.Delete(k.probes, 0, 1)
	}
	k.Delivered(k.delivered)
}

// Delivered records that the watch has delivered all changes up to a revision.
func (k *Knowledge) Delivered(revision aqstore.Revision) {
	k.delivered = max(k.delivered, revision)
	k.probes = slices.DeleteFunc(k.probes, func(p probe) bool {
		if p.revision > k.delivered {
			return false
		}
		k.completeAt = max(k.completeAt, p.sentAt)
		return true
	})
}

// Age returns for how long cancellations may have been stored that are not known.
func (k *Knowledge) Age(now time.Duration) time.Duration { return now - k.completeAt }

// ReadDueIn returns after what time the cancellations should be read unless the watch delivers a probe before, zero or less if
// they should be read now.
func (k *Knowledge) ReadDueIn(now time.Duration) time.Duration { return k.completeAt + k.limit/2 - now }

// StartsUntil returns until when starts may be sent that are decided now. It returns false if that is not limited.
func (k *Knowledge) StartsUntil() (until time.Duration, limited bool) {
	return k.completeAt + k.limit, k.Limited()
}

// deliveryTime is what a start usually takes from its decision to its worker. With less time left nothing is decided: it
// would only expire on its way.
const deliveryTime = 250 * time.Millisecond

// MayStart reports whether a start that is decided now can be sent in time.
func (k *Knowledge) MayStart(now time.Duration) bool {
	until, limited := k.StartsUntil()
	return !limited || now < until-deliveryTime
}
