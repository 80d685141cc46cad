// Package aqadmit orders requests that wait for a slot: by weighted shares with
// floors between urgencies, and fairly by caller within an urgency. It has no
// goroutines and no clock of its own.
package aqadmit

import (
	"container/list"
	"time"

	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqtype"
)

// Ticket is one waiting request.
type Ticket struct {
	Urgency aqtype.Urgency
	Caller  string
	// Deadline is when the request is no longer of use.
	Deadline time.Time
	// Value is the owner's own.
	Value any

	element *list.Element
	queue   *callerQueue
}

type callerQueue struct {
	caller  string
	tickets *list.List
	element *list.Element
}

type urgencyQueue struct {
	// share is the part of all grants that the urgency gets while it waits; it
	// is above zero.
	share float64
	// pass is the virtual time of the urgency's next grant.
	pass    float64
	callers map[string]*callerQueue
	// round holds the callers with waiting tickets, the next one first.
	round *list.List
	count int
}

// Queue orders tickets. It is not safe for concurrent use.
type Queue struct {
	urgencies map[aqtype.Urgency]*urgencyQueue
	// virtualTime is the virtual time of the last grant.
	virtualTime float64
	count       int
}

// NewQueue returns an empty line with the shares of a configuration.
func NewQueue(c aqconfig.Configuration) *Queue {
	l := &Queue{urgencies: map[aqtype.Urgency]*urgencyQueue{}}
	for _, u := range aqtype.Urgencies {
		l.urgencies[u] = &urgencyQueue{callers: map[string]*callerQueue{}, round: list.New()}
	}
	l.SetShares(c)
	return l
}

const (
	wholePercent = 100.0
	// minShare keeps an urgency moving whose floor is zero while the others'
	// floors take everything.
	minShare = 0.001
)

// SetShares takes the shares of a configuration: each urgency gets its floor,
// and what the floors leave is divided by weight.
func (l *Queue) SetShares(c aqconfig.Configuration) {
	weights, floors := 0.0, 0.0
	for _, u := range aqtype.Urgencies {
		weights += float64(c.Share(u).Weight)
		floors += float64(c.Share(u).FloorPercent)
	}
	rest := max(0, wholePercent-floors)
	for _, u := range aqtype.Urgencies {
		share := c.Share(u)
		part := (float64(share.FloorPercent) + rest*float64(share.Weight)/weights) / wholePercent
		l.urgencies[u].share = max(part, minShare)
	}
}

// Len returns the number of waiting tickets.
func (l *Queue) Len() int { return l.count }

// Waiting returns the number of waiting tickets of an urgency.
func (l *Queue) Waiting(u aqtype.Urgency) int { return l.urgencies[u].count }

// Share returns the part of the grants that an urgency gets now: its own share
// of those that wait, itself included.
func (l *Queue) Share(u aqtype.Urgency) float64 {
	total := l.urgencies[u].share
	for other, queue := range l.urgencies {
		if other != u && queue.count > 0 {
			total += queue.share
		}
	}
	return l.urgencies[u].share / total
}

// Push adds a ticket.
func (l *Queue) Push(t *Ticket) {
	u := l.urgencies[t.Urgency]
	if u.count == 0 {
		u.pass = max(u.pass, l.virtualTime)
	}
	c := u.callers[t.Caller]
	if c == nil {
		c = &callerQueue{caller: t.Caller, tickets: list.New()}
		c.element = u.round.PushBack(c)
		u.callers[t.Caller] = c
	}
	t.queue = c
	t.element = c.tickets.PushBack(t)
	u.count++
	l.count++
}

// Remove takes a ticket out and reports whether it still waited.
func (l *Queue) Remove(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	u := l.urgencies[t.Urgency]
	t.queue.tickets.Remove(t.element)
	if t.queue.tickets.Len() == 0 {
		u.round.Remove(t.queue.element)
		delete(u.callers, t.queue.caller)
	}
	t.element = nil
	u.count--
	l.count--
	return true
}

// Pop returns the ticket whose turn it is, nil when none waits. Tickets past
// their deadline are handed to expired and passed over.
func (l *Queue) Pop(now time.Time, expired func(*Ticket)) *Ticket {
	for {
		u := l.nextUrgency()
		if u == nil {
			return nil
		}
		c := u.round.Front().Value.(*callerQueue)
		t := c.tickets.Front().Value.(*Ticket)
		if !now.Before(t.Deadline) {
			l.Remove(t)
			expired(t)
			continue
		}
		u.round.MoveToBack(c.element)
		l.Remove(t)
		l.virtualTime = u.pass
		u.pass += 1 / u.share
		return t
	}
}

// nextUrgency is the waiting urgency with the least pass, the more urgent of
// equals.
func (l *Queue) nextUrgency() *urgencyQueue {
	var best *urgencyQueue
	for _, u := range aqtype.Urgencies {
		queue := l.urgencies[u]
		if queue.count == 0 {
			continue
		}
		if best == nil || queue.pass < best.pass {
			best = queue
		}
	}
	return best
}
