// Package aqexpansion decides when the leader creates the tasks of occurrences that are due.
// It answers submissions that are small themselves and have very many tasks, or very many
// occurrences that are due at once: their tasks are created as earlier ones end.
package aqexpansion

import (
	"container/heap"

	"acaciaquay/pkg/aqjob"
)

// Tasks is a number of tasks, and of what takes as much memory.
type Tasks int

// Shares of the limit.
const (
	// largeShare and largeOf are the part of the limit that large occurrences may use; the
	// rest is for small ones, so that they needn't wait for large ones.
	largeShare = 3
	largeOf    = 4
	// smallPart divides the limit to the largest small occurrence.
	smallPart = 256
	// jobPart divides the limit to what one job may have created, unless it has nothing else.
	jobPart = 4
)

// Item is an occurrence whose tasks are not created.
type Item struct {
	Job aqjob.ID
	// Priority is that of the job's queue; zero comes first.
	Priority int
	Tasks    Tasks
}

// Queue holds the occurrences that are due, at most one of each job, and counts the tasks
// that are created. It is not safe for concurrent use.
type Queue struct {
	// limit is the number of created tasks that are not done with, zero for no limit.
	limit   Tasks
	created Tasks
	added   uint64
	small   items
	large   items
}

// New returns an empty queue. A limit of zero or less means no limit.
func New(limit Tasks) *Queue { return &Queue{limit: max(0, limit)} }

// Add adds an occurrence behind those of the same priority.
func (q *Queue) Add(i Item) {
	q.added++
	heap.Push(q.itemsFor(i.Tasks), position{
		Item:  i,
		added: q.added,
	})
}

// Next removes and returns the next occurrence whose tasks may be created, false if there is
// none. It drops those of jobs that don't wait any more. The caller reports what it creates.
func (q *Queue) Next(waits func(aqjob.ID) bool) (Item, bool) {
	for _, waiting := range []*items{&q.small, &q.large} {
		for waiting.Len() > 0 && !waits((*waiting)[0].Job) {
			heap.Pop(waiting)
		}
		if waiting.Len() > 0 && q.fits((*waiting)[0].Tasks) {
			return heap.Pop(waiting).(position).Item, true
		}
	}
	return Item{}, false
}

// JobMayGrow reports whether a job may have another occurrence besides what it has created.
func (q *Queue) JobMayGrow(created, more Tasks) bool {
	return q.limit == 0 || created == 0 || created+more <= q.limit/jobPart
}

// Created records that tasks have been created, Removed that they are no longer held.
func (q *Queue) Created(n Tasks) { q.created += n }

// Removed is the reverse of Created.
func (q *Queue) Removed(n Tasks) { q.created -= n }

// Held returns the number of created tasks.
func (q *Queue) Held() Tasks { return q.created }

// Waiting returns the number of occurrences that wait.
func (q *Queue) Waiting() int { return q.small.Len() + q.large.Len() }

func (q *Queue) isSmall(n Tasks) bool { return n <= q.limit/smallPart }

func (q *Queue) itemsFor(n Tasks) *items {
	if q.isSmall(n) {
		return &q.small
	}
	return &q.large
}

// fits reports whether tasks of an occurrence may be created now. One that is larger than the
// limit is created when there is nothing else.
func (q *Queue) fits(n Tasks) bool {
	switch {
	case q.limit == 0 || q.created == 0:
		return true
	case q.isSmall(n):
		return q.created+n <= q.limit
	}
	return q.created+n <= q.limit/largeOf*largeShare
}

// position is an item with its place among those of its priority.
type position struct {
	Item
	added uint64
}

// items is a heap.
type items []position

// Len implements sort.Interface.
func (s items) Len() int { return len(s) }

// Less implements sort.Interface.
func (s items) Less(i, j int) bool {
	if s[i].Priority != s[j].Priority {
		return s[i].Priority < s[j].Priority
	}
	return s[i].added < s[j].added
}

// Swap implements sort.Interface.
func (s items) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *items) Push(x any) { *s = append(*s, x.(position)) }

// Pop implements heap.Interface.
func (s *items) Pop() any {
	last := len(*s) - 1
	p := (*s)[last]
	(*s)[last] = position{}
	*s = (*s)[:last]
	return p
}
