// Package aqroute keeps what a gateway knows of a service's endpoints and picks
// one for a request.
package aqroute

import (
	"math/rand/v2"
	"time"

	"acaciaquay/pkg/aqplatform"
)

// Endpoint is one endpoint as this gateway sees it. Its service's lock guards
// it.
type Endpoint struct {
	ID      string
	Address string
	Slots   int
	// InFlight is the number of this gateway's own requests there; it is never
	// below zero nor above Slots.
	InFlight int
	// Draining is set once the platform lists it as leaving or it was seen
	// closing; nothing new is sent there.
	Draining bool
	// failures counts failures since the last success. While it is above zero,
	// the endpoint gets probes only.
	failures int
	listed   bool
	// missedSnapshots counts the readings of the list without the endpoint, in a row.
	missedSnapshots int
	// removed is set when the table has forgotten the endpoint.
	removed bool
	// keptAlive is set once an answer left its connection open.
	keptAlive bool
}

// Pauses between the probes of a failed endpoint.
const (
	probeBase     = 250 * time.Millisecond
	probeMax      = 30 * time.Second
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

// Update takes a reading of the platform's list. An endpoint that was seen
// leaving stays so, however long the list lags.
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

// Slots returns the slots of the endpoints that take requests.
func (t *Table) Slots() int {
	slots := 0
	for _, e := range t.endpoints {
		if e.listed && !e.Draining {
			slots += e.Slots
		}
	}
	return slots
}

// Len returns the number of endpoints that take requests.
func (t *Table) Len() int {
	count := 0
	for _, e := range t.endpoints {
		if e.listed && !e.Draining {
			count++
		}
	}
	return count
}

// maxMissedSnapshots is how long a failed endpoint that is no longer listed is
// remembered. A list that flaps would otherwise bring it back as good as new.
const maxMissedSnapshots = 120

// removable counts one reading and reports whether nothing needs to be known
// of the endpoint any more.
func (e *Endpoint) removable() bool {
	if e.listed {
		return false
	}
	e.missedSnapshots++
	return e.InFlight == 0 && (e.failures == 0 || e.missedSnapshots > maxMissedSnapshots)
}

// Removed reports whether the table has forgotten the endpoint.
func (e *Endpoint) Removed() bool { return e.removed }

// InFlight returns the requests of this gateway at all endpoints.
func (t *Table) InFlight() int {
	total := 0
	for _, e := range t.endpoints {
		total += e.InFlight
	}
	return total
}

func (e *Endpoint) available() bool {
	return e.listed && !e.Draining && e.failures == 0 && e.InFlight < e.Slots
}

// Pick takes a slot at the less loaded of two endpoints chosen at random, or
// returns nil when none has a slot free for this gateway.
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

// replace keeps a uniform sample of two among the endpoints seen so far.
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

// Succeeded gives a slot back after an answer.
func (e *Endpoint) Succeeded() {
	e.InFlight--
	e.failures = 0
}

// RecordAnswer notes whether an answer announced the end of its connection. From an
// endpoint that used to keep connections open that means that it is stopping,
// and it is seen here before the platform's list says so.
func (e *Endpoint) RecordAnswer(closing bool) {
	if closing && e.keptAlive {
		e.Draining = true
	}
	e.keptAlive = e.keptAlive || !closing
}

// Failed gives a slot back after a failure and reports whether this was the
// first one in a row.
func (e *Endpoint) Failed() bool {
	e.InFlight--
	e.failures++
	return e.failures == 1
}

// Backoff is the pause before the next probe of a failed endpoint.
func (e *Endpoint) Backoff() time.Duration {
	return min(probeBase<<min(max(e.failures-1, 0), maxProbeShift), probeMax)
}

// Probed takes the outcome of a probe.
func (e *Endpoint) Probed(answered bool) {
	if answered {
		e.failures = 0
		return
	}
	e.failures++
}

// Abandoned gives a slot back without a judgement of the endpoint.
func (e *Endpoint) Abandoned() { e.InFlight-- }
