// Package aqroute keeps what a gateway knows of a service's endpoints and picks
// one for a request.
package aqroute

import (
	"math/rand/v2"
	"time"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// Endpoint is one endpoint as this gateway sees it. Its service's lock guards
// it.
type Endpoint struct {
	ID      string
	Address string
	Zone    aqtype.Zone
	Slots   int
	// InFlight is the number of this gateway's own requests there; it is never
	// below zero nor above Slots.
	InFlight int
	// Leaving is set once the platform lists it as leaving or it was seen
	// closing; nothing new is sent there.
	Leaving bool
	// failures counts failures since the last success.
	failures int
	// avoidUntil keeps requests off after failures.
	avoidUntil time.Time
	listed     bool
	// keptAlive is set once an answer left its connection open.
	keptAlive bool
}

// Back-off of a failing endpoint.
const (
	avoidBase = 250 * time.Millisecond
	avoidMax  = 30 * time.Second
	avoidCap  = 7
)

// Table holds a service's endpoints. It is not safe for concurrent use.
type Table struct {
	endpoints []*Endpoint
	byID      map[string]*Endpoint
	random    *rand.Rand
	zone      aqtype.Zone
}

// NewTable returns an empty table for a gateway in a zone.
func NewTable(random *rand.Rand, zone aqtype.Zone) *Table {
	return &Table{
		byID:   map[string]*Endpoint{},
		random: random,
		zone:   zone,
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
				Zone:    h.Zone,
				Slots:   h.Slots,
			}
			t.byID[h.ID] = e
		}
		e.listed = true
		e.Leaving = e.Leaving || h.State == aqplatform.HostLeaving
	}
	t.endpoints = t.endpoints[:0]
	for id, e := range t.byID {
		if !e.listed && e.InFlight == 0 {
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
		if e.listed && !e.Leaving {
			slots += e.Slots
		}
	}
	return slots
}

// Len returns the number of endpoints that take requests.
func (t *Table) Len() int {
	count := 0
	for _, e := range t.endpoints {
		if e.listed && !e.Leaving {
			count++
		}
	}
	return count
}

func (e *Endpoint) takes(now time.Time, except *Endpoint) bool {
	return e != except && e.listed && !e.Leaving && e.InFlight < e.Slots && !now.Before(e.avoidUntil)
}

// Pick takes a slot at the less loaded of two endpoints chosen at random, or
// returns nil when none has a slot free for this gateway. An endpoint that has
// failed gets one request at a time until it succeeds.
func (t *Table) Pick(now time.Time, except *Endpoint) *Endpoint {
	var first, second *Endpoint
	seen := 0
	for _, e := range t.endpoints {
		if !e.takes(now, except) || (e.failures > 0 && e.InFlight > 0) {
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
	e.avoidUntil = time.Time{}
}

// SawAnswer notes whether an answer announced the end of its connection. From an
// endpoint that used to keep connections open that means that it is stopping,
// and it is seen here before the platform's list says so.
func (e *Endpoint) SawAnswer(closing bool) {
	if closing && e.keptAlive {
		e.Leaving = true
	}
	e.keptAlive = e.keptAlive || !closing
}

// Failed gives a slot back after a failure and reports whether this was the
// first one in a row.
func (e *Endpoint) Failed(now time.Time) bool {
	e.InFlight--
	e.failures++
	e.avoidUntil = now.Add(min(avoidBase<<min(e.failures-1, avoidCap), avoidMax))
	return e.failures == 1
}

// Abandoned gives a slot back without a judgement of the endpoint.
func (e *Endpoint) Abandoned() { e.InFlight-- }
