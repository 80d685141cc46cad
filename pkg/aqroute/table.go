// Package aqroute holds a gateway's table of a service's endpoints and picks an
// endpoint for a request.
package aqroute

import (
	"math/rand/v2"
	"time"

	"acaciaquay/pkg/aqplatform"
)

// Endpoint holds this gateway's state of one endpoint. The lock of the service guards
// it.
type Endpoint struct {
	ID      string
	Address string
	Slots   int
	// InFlight is the number of this gateway's requests in flight at the endpoint; it
	// is from zero to Slots.
	InFlight int
	// Draining is set once the platform lists the endpoint as draining; it gets no new
	// requests.
	Draining bool
	// closingFor is the number of host list snapshots for which the endpoint counts as
	// shutting down, since it began to close its connections.
	closingFor int
	// failures is the number of failures since the last success. While it is above
	// zero, the endpoint gets probes only.
	failures int
	listed   bool
	// missedSnapshots is the number of host list snapshots without the endpoint since
	// it was last listed.
	missedSnapshots int
	// removed is set when Update deletes the endpoint from the table.
	removed bool
	// keptAlive is set once an answer kept its connection open.
	keptAlive bool
}

// The exponential backoff between the probes of a failed endpoint.
const (
	probeBase = 250 * time.Millisecond
	probeMax  = 30 * time.Second
	// maxProbeShift limits the doublings so that the shift cannot overflow; after
	// seven of them probeMax applies anyway.
	maxProbeShift = 7
)

// Table holds a service's endpoints. It is not safe for concurrent use.
type Table struct {
	endpoints []*Endpoint
	byID      map[string]*Endpoint
	random    *rand.Rand
}

// NewTable returns an empty table.
func NewTable(random *rand.Rand) *Table {
	return &Table{
		byID:   map[string]*Endpoint{},
		random: random,
	}
}

// Update applies a snapshot of the platform's host list. An endpoint that drains
// stays draining, even if a stale list still shows it as live.
func (t *Table) Update(hosts []aqplatform.EndpointHost) {
	for _, e := range t.endpoints {
		e.listed = false
	}
	for _, h := range hosts {
		e := t.byID[h.ID]
		if e == nil || e.Address != h.Address {
			e = &Endpoint{
				ID:      h.ID,
				Address: h.Address,
				Slots:   h.Slots,
			}
			t.byID[h.ID] = e
		}
		e.listed = true
		e.missedSnapshots = 0
		e.closingFor = max(0, e.closingFor-1)
		e.Draining = e.Draining || h.State == aqplatform.HostDraining
	}
	t.endpoints = t.endpoints[:0]
	for id, e := range t.byID {
		if e.removable() {
			e.removed = true
			delete(t.byID, id)
			continue
		}
		t.endpoints = append(t.endpoints, e)
	}
}

// closingSnapshots is the number of snapshots after which an endpoint that closed a connection
// and is still listed as live gets requests again. Servers also close single connections, for
// example after an error.
const closingSnapshots = 30

// leaving reports whether the endpoint gets no new requests since it shuts down.
func (e *Endpoint) leaving() bool { return e.Draining || e.closingFor > 0 }

// Slots returns the sum of the slots of all listed endpoints that do not shut down.
func (t *Table) Slots() int {
	slots := 0
	for _, e := range t.endpoints {
		if e.listed && !e.leaving() {
			slots += e.Slots
		}
	}
	return slots
}

// Len returns the number of listed endpoints that do not shut down.
func (t *Table) Len() int {
	count := 0
	for _, e := range t.endpoints {
		if e.listed && !e.leaving() {
			count++
		}
	}
	return count
}

// maxMissedSnapshots is the number of snapshots for which the table keeps a failed
// endpoint that is no longer listed. Otherwise a flapping host list would clear the
// endpoint's failures.
const maxMissedSnapshots = 120

// removable counts a snapshot without the endpoint and reports whether the table can
// delete the endpoint. It is called once for each snapshot.
func (e *Endpoint) removable() bool {
	if e.listed {
		return false
	}
	e.missedSnapshots++
	return e.InFlight == 0 && (e.failures == 0 || e.missedSnapshots > maxMissedSnapshots)
}

// Removed reports whether Update has deleted the endpoint from the table.
func (e *Endpoint) Removed() bool { return e.removed }

// InFlight returns the number of this gateway's requests in flight at all endpoints.
func (t *Table) InFlight() int {
	total := 0
	for _, e := range t.endpoints {
		total += e.InFlight
	}
	return total
}

func (e *Endpoint) available() bool {
	return e.listed && !e.leaving() && e.failures == 0 && e.InFlight < e.Slots
}

// Pick takes a slot at the less loaded of two random endpoints (power of two choices).
// It returns nil when no endpoint has a free slot for this gateway.
func (t *Table) Pick() *Endpoint {
	var first, second *Endpoint
	seen := 0
	for _, e := range t.endpoints {
		if !e.available() {
			continue
		}
		seen++
		switch {
		case first == nil:
			first = e
		case second == nil:
			second = e
		default:
			t.replace(&first, &second, e, seen)
		}
	}
	chosen := lessLoaded(first, second)
	if chosen != nil {
		chosen.InFlight++
	}
	return chosen
}

// replace keeps first and second a uniform sample of the endpoints seen so far
// (reservoir sampling).
func (t *Table) replace(first, second **Endpoint, e *Endpoint, seen int) {
	switch t.random.IntN(seen) {
	case 0:
		*first = e
	case 1:
		*second = e
	}
}

func lessLoaded(a, b *Endpoint) *Endpoint {
	if b == nil || (a != nil && a.load() <= b.load()) {
		return a
	}
	return b
}

func (e *Endpoint) load() float64 {
	if e.Slots == 0 {
		return 1
	}
	return float64(e.InFlight) / float64(e.Slots)
}

// RecordSuccess releases a slot after an answer and clears the count of failures.
func (e *Endpoint) RecordSuccess() {
	e.InFlight--
	e.failures = 0
}

// RecordAnswer records whether an answer announced the close of its connection, for
// example by the header Connection: close. If the endpoint kept connections open
// before, it may be shutting down: it gets no new requests until the host list has had time
// to show it as draining.
func (e *Endpoint) RecordAnswer(closing bool) {
	if closing && e.keptAlive {
		e.closingFor = closingSnapshots
	}
	e.keptAlive = e.keptAlive || !closing
}

// RecordFailure releases a slot after a failure and reports whether this is the first
// failure since the last success.
func (e *Endpoint) RecordFailure() bool {
	e.InFlight--
	e.failures++
	return e.failures == 1
}

// Backoff returns the wait before the next probe of a failed endpoint.
func (e *Endpoint) Backoff() time.Duration {
	return min(probeBase<<min(max(e.failures-1, 0), maxProbeShift), probeMax)
}

// RecordProbe records the outcome of a probe.
func (e *Endpoint) RecordProbe(answered bool) {
	if answered {
		e.failures = 0
		return
	}
	e.failures++
}

// Release releases a slot without recording a success or a failure.
func (e *Endpoint) Release() { e.InFlight-- }
