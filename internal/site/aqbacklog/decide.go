package aqbacklog

import (
	"hash/fnv"
	"slices"
	"time"

	"acaciaquay/internal/site/aqurgency"
	"acaciaquay/pkg/aqjob"
)

const (
	// maxAge is the age from which an estimate is not used. It exceeds the time between two polls of any process.
	maxAge = 2500 * time.Millisecond
	// minReturn and maxReturn limit the time after which a rejected submitter may return.
	minReturn = time.Second
	maxReturn = time.Minute
	// fullWait is the time in which some of the jobs that the leader holds end as a rule.
	fullWait = 2 * time.Second
)

// Verdict is what becomes of a submission. It is sealed: Accept and Reject.
type Verdict interface{ isVerdict() }

// Accept stores the job.
type Accept struct{}

// Reject tells the submitter that the job never runs.
type Reject struct {
	// Wait is what the job would have had to wait at least.
	Wait time.Duration
	// ReturnAfter is when the submitter may try again.
	ReturnAfter time.Duration
	// Full is set if the leader has no memory for the job, whatever it waits for.
	Full bool
}

func (Accept) isVerdict() {}
func (Reject) isVerdict() {}

// Decide answers a flood of work, or the loss of most workers, in which jobs would wait until they are of no use.
// It rejects a job whose first group could not begin before that even if all workers did nothing but what is
// ahead. Jobs that last or repeat are accepted, and all while the estimate is missing or old.
func Decide(j *aqjob.Job, e Estimate) Verdict {
	if !e.Known || e.Age > maxAge {
		return Accept{}
	}
	if !e.Room.holds(j) {
		return Reject{
			ReturnAfter: returnAfter(j.ID, fullWait, fullWait),
			Full:        true,
		}
	}
	if j.Repeats > 0 {
		return Accept{}
	}
	var longest time.Duration
	for _, g := range j.Groups {
		if g.Perpetual {
			return Accept{}
		}
		if len(g.After) == 0 {
			longest = max(longest, e.wait(j.Queue, g.Filler))
		}
	}
	allowed := time.Duration(j.Queue.Stretch*float64(e.path(j))) + j.Queue.Target
	if allowed <= 0 || longest <= aqurgency.UsefulFactor*allowed {
		return Accept{}
	}
	return Reject{
		Wait:        longest,
		ReturnAfter: returnAfter(j.ID, longest, allowed),
	}
}

// path returns the longest path of a job. Of its submitter's estimate and what its queue's tasks take, the longer
// counts for each group: both may be far off.
func (e Estimate) path(j *aqjob.Job) time.Duration {
	groups := slices.Clone(j.Groups)
	for _, typical := range e.Typical {
		for i := range groups {
			if typical.Queue == j.Queue.ID {
				groups[i].Estimate = max(groups[i].Estimate, typical.Time)
			}
		}
	}
	return (&aqjob.Job{Groups: groups}).CriticalPath()
}

func (e Estimate) wait(q aqjob.Queue, filler bool) time.Duration {
	var longest time.Duration
	for _, w := range e.Waits {
		// A lane without work of its own waits like the next more urgent one.
		if w.Lane.Service == q.Service && w.Lane.Filler == filler && w.Lane.Priority <= q.Priority {
			longest = max(longest, w.Time)
		}
	}
	return longest
}

// returnAfter is when what is ahead has been done, which is sooner for urgent queues, and later by up to the time
// that the job may take: impatient submitters return within a short span, patient ones over a long one.
func returnAfter(id aqjob.ID, wait, allowed time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := time.Duration(float64(allowed) * float64(h.Sum32()) / float64(1<<32))
	return min(maxReturn, max(minReturn, wait+spread))
}
