package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"acaciaquay/platform/aqfake"
)

// Parameters of a soak with many cancellations. They have a random source of their own, so that a seed plays the other faults as
// without them.
const (
	// cancelWithin is the time after an acknowledged cancellation from which no task of the job may be started.
	cancelWithin = 3 * time.Second
	// manyCancelledShare is the fraction of the jobs that are cancelled.
	manyCancelledShare = 0.6
	// manyCancelledPeriod is the time between two submissions.
	manyCancelledPeriod = 80 * time.Millisecond
	// silencePause is the mean pause between two silences.
	silencePause = 5 * time.Second
	// cancelSource keeps the random source apart from the others.
	cancelSource = 1 << 35
)

// cancelChecks records the acknowledged cancellations.
type cancelChecks struct {
	ackedAt map[string]time.Time
	// startsInTime counts the starts within cancelWithin after the acknowledgement, latest is the latest start.
	startsInTime int
	latest       time.Duration
}

// String returns the part of the summary.
func (c cancelChecks) String() string {
	return fmt.Sprintf("%d jobs cancelled, %d starts after that in time, the latest start %s after",
		len(c.ackedAt), c.startsInTime, c.latest.Round(time.Millisecond))
}

// cancelAcked records that the cancellation of a job has been acknowledged.
func (c *Checker) cancelAcked(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, acked := c.cancelChecks.ackedAt[j.ID]; !acked {
		c.cancelChecks.ackedAt[j.ID] = time.Now()
	}
}

// checkCancelled checks a start. The caller holds the lock.
func (c *Checker) checkCancelled(j *job, worker string, run aqfake.TaskRun) {
	at, acked := c.cancelChecks.ackedAt[j.ID]
	now := time.Now()
	if !acked || now.Before(c.zoneChecks.heldUpUntil[worker]) {
		return
	}
	since := now.Sub(at)
	c.cancelChecks.latest = max(c.cancelChecks.latest, since)
	if since > cancelWithin {
		c.addViolation("UNASKED: %s starts on %s, %s after the cancellation of its job was acknowledged", run.Task, worker, since)
		return
	}
	c.cancelChecks.startsInTime++
}

// silenceStore makes the open connections to the store fall silent for good until ctx ends: calls still reach the store, and no answer
// comes back. Later connections work.
func (s *soak) silenceStore(ctx context.Context, random *rand.Rand) {
	for {
		sleep(ctx, silencePause/2+randomDuration(random, silencePause))
		if ctx.Err() != nil {
			return
		}
		s.logf("fault: the open connections to the store fall silent")
		for _, p := range s.processes {
			p.storeLink.Silence()
		}
	}
}
