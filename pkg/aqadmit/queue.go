// Package aqadmit orders requests that wait for a slot. Urgencies share the slots by
// weight, each with a guaranteed floor (stride scheduling); callers of one urgency
// take turns (round robin). The package starts no goroutines and reads no clock.
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
	// Deadline is the time after which Pop drops the request.
	Deadline time.Time
	// Value is for the code that pushes and pops the ticket; the queue does not use it.
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
	// share is the urgency's part of all grants while every urgency has tickets
	// waiting; it is above zero.
	share float64
	// pass is the virtual time of the urgency's next grant, as in stride scheduling.
	pass    float64
	callers map[string]*callerQueue
	// round lists the callers with waiting tickets in round-robin order, the next
	// one first.
	round *list.List
	count int
}

// Queue is a weighted fair queue of tickets. It is not safe for concurrent use.
type Queue struct {
	urgencies map[aqtype.Urgency]*urgencyQueue
	// virtualTime is the pass of the last grant.
	virtualTime float64
	count       int
}

// NewQueue returns an empty queue with the shares of a configuration.
func NewQueue(c aqconfig.Configuration) *Queue {
	q := &Queue{urgencies: map[aqtype.Urgency]*urgencyQueue{}}
	for _, u := range aqtype.Urgencies {
		q.urgencies[u] = &urgencyQueue{callers: map[string]*callerQueue{}, round: list.New()}
	}
	q.SetShares(c)
	return q
}

const (
	hundredPercent = 100.0
	// minShare prevents starvation of an urgency without a floor when the floors of
	// the others sum to 100 percent.
	minShare = 0.001
)

// SetShares applies the shares of a configuration: each urgency gets its floor, and
// the rest is divided by weight.
func (q *Queue) SetShares(c aqconfig.Configuration) {
	weights, floors := 0.0, 0.0
	for _, u := range aqtype.Urgencies {
		weights += float64(c.Share(u).Weight)
		floors += float64(c.Share(u).FloorPercent)
	}
	rest := max(0, hundredPercent-floors)
	for _, u := range aqtype.Urgencies {
		share := c.Share(u)
		part := (float64(share.FloorPercent) + rest*float64(share.Weight)/weights) / hundredPercent
		q.urgencies[u].share = max(part, minShare)
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.count }

// Waiting returns the number of waiting tickets of an urgency.
func (q *Queue) Waiting(u aqtype.Urgency) int { return q.urgencies[u].count }

// Share returns the part of the grants that an urgency gets now: its share divided by
// the sum of its share and those of the other urgencies with waiting tickets.
func (q *Queue) Share(u aqtype.Urgency) float64 {
	total := q.urgencies[u].share
	for other, queue := range q.urgencies {
		if other != u && queue.count > 0 {
			total += queue.share
		}
	}
	return q.urgencies[u].share / total
}

// Push adds a ticket.
func (q *Queue) Push(t *Ticket) {
	u := q.urgencies[t.Urgency]
	if u.count == 0 {
		u.pass = max(u.pass, q.virtualTime)
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
	q.count++
}

// Remove removes a ticket and reports whether it was still waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	u := q.urgencies[t.Urgency]
	t.queue.tickets.Remove(t.element)
	if t.queue.tickets.Len() == 0 {
		u.round.Remove(t.queue.element)
		delete(u.callers, t.queue.caller)
	}
	t.element = nil
	u.count--
	q.count--
	return true
}

// Pop removes and returns the next ticket, or nil when none waits. It removes tickets
// whose deadline has passed and calls expired with each of them.
func (q *Queue) Pop(now time.Time, expired func(*Ticket)) *Ticket {
	for {
		u := q.nextUrgency()
		if u == nil {
			return nil
		}
		c := u.round.Front().Value.(*callerQueue)
		t := c.tickets.Front().Value.(*Ticket)
		if !now.Before(t.Deadline) {
			q.Remove(t)
			expired(t)
			continue
		}
		u.round.MoveToBack(c.element)
		q.Remove(t)
		q.virtualTime = u.pass
		u.pass += 1 / u.share
		return t
	}
}

// nextUrgency returns the urgency with the lowest pass among those with waiting
// tickets, nil when there is none. Of equal ones it returns the more urgent.
func (q *Queue) nextUrgency() *urgencyQueue {
	var best *urgencyQueue
	for _, u := range aqtype.Urgencies {
		queue := q.urgencies[u]
		if queue.count == 0 {
			continue
		}
		if best == nil || queue.pass < best.pass {
			best = queue
		}
	}
	return best
}
