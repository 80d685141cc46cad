package aqcancel

import (
	"slices"
	"sync"
	"time"

	"acaciaquay/pkg/aqjob"
)

// Outbox holds acknowledged cancellations that no leader has confirmed, the oldest first. It may be used concurrently. An
// entry that is dropped reaches the leader through the store.
type Outbox struct {
	// Most limits the entries, and Keep how long each stays.
	Most int
	Keep time.Duration

	mu      sync.Mutex
	entries []unconfirmed
}

type unconfirmed struct {
	job aqjob.ID
	at  time.Duration
}

// Add adds a cancellation at an elapsed time.
func (o *Outbox) Add(job aqjob.ID, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	if slices.ContainsFunc(o.entries, func(e unconfirmed) bool { return e.job == job }) {
		return
	}
	if len(o.entries) >= o.Most {
		o.entries = slices.Delete(o.entries, 0, 1)
	}
	o.entries = append(o.entries, unconfirmed{
		job: job,
		at:  now,
	})
}

// Jobs returns the cancelled jobs.
func (o *Outbox) Jobs(now time.Duration) []aqjob.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	jobs := make([]aqjob.ID, 0, len(o.entries))
	for _, e := range o.entries {
		jobs = append(jobs, e.job)
	}
	return jobs
}

// Confirm removes the cancellations that a leader has confirmed.
func (o *Outbox) Confirm(jobs []aqjob.ID) {
	confirmed := make(map[aqjob.ID]bool, len(jobs))
	for _, job := range jobs {
		confirmed[job] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = slices.DeleteFunc(o.entries, func(e unconfirmed) bool { return confirmed[e.job] })
}

// expire drops the entries that have been kept for long enough. The caller holds the lock.
func (o *Outbox) expire(now time.Duration) {
	o.entries = slices.DeleteFunc(o.entries, func(e unconfirmed) bool { return now-e.at > o.Keep })
}
