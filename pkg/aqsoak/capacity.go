package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"acaciaquay/platform/aqfake"
)

// Bounds of the users' rules.
const (
	// maxCrashes and maxStartsAfterCrashes: a task is not started maxStartsAfterCrashes
	// times more after maxCrashes workers have crashed under it.
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
	// shrinkGrace is how long a capacity that has shrunk still counts: the time of contact
	// and one heartbeat of the workers.
	shrinkGrace = 4500 * time.Millisecond
)

// Rates of the faults of this file. They have a random source of their own, so that a seed
// plays the other faults as before.
const (
	capacityPeriod    = 1500 * time.Millisecond
	crashingJobPeriod = 6 * time.Second
	// crashedTime is how long a worker is away after a task has crashed it.
	crashedTime = 2 * time.Second
	// firstCrashingJob keeps the numbers of crashing jobs apart from those of the others.
	firstCrashingJob = 1 << 20
)

// capacity holds the last changes of a worker's capacity.
type capacity struct {
	now int64
	// before holds the larger earlier capacities and until when each counts.
	before []outdatedCapacity
}

type outdatedCapacity struct {
	milliCPU int64
	until    time.Time
}

// recordCapacity records that a worker's entry shows another capacity.
func (c *Checker) recordCapacity(worker string, milliCPU int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.capacities[worker]
	if current == nil {
		current = &capacity{now: c.workerMilliCPU}
		c.capacities[worker] = current
	}
	current.before = append(current.before, outdatedCapacity{
		milliCPU: current.now,
		until:    time.Now().Add(shrinkGrace),
	})
	current.now = milliCPU
}

// allowedMilliCPU returns what may be reserved on a worker. The caller holds the lock.
func (c *Checker) allowedMilliCPU(worker string) int64 {
	current := c.capacities[worker]
	if current == nil {
		return c.workerMilliCPU
	}
	allowed := current.now
	for _, earlier := range current.before {
		if time.Now().Before(earlier.until) {
			allowed = max(allowed, earlier.milliCPU)
		}
	}
	return allowed
}

// setCapacity changes the capacity of a worker and its entry.
func (s *soak) setCapacity(h *host, milliCPU int64) {
	h.worker.SetMilliCPU(milliCPU)
	s.checker.recordCapacity(h.worker.ID, milliCPU)
	s.register(h)
}

// changeCapacities shrinks and grows the capacities of workers until ctx ends.
func (s *soak) changeCapacities(ctx context.Context, random *rand.Rand) {
	for {
		sleep(ctx, randomDuration(random, 2*capacityPeriod))
		if ctx.Err() != nil {
			return
		}
		h := s.hosts[random.Intn(len(s.hosts))]
		s.setCapacity(h, int64(hostMilliCPU/2+hostMilliCPU/8*random.Intn(5)))
	}
}

// submitCrashingJobs submits jobs with one task that crashes its workers until faultCtx
// ends.
func (s *soak) submitCrashingJobs(faultCtx, settleCtx context.Context, random *rand.Rand) {
	for number := firstCrashingJob; ; number++ {
		sleep(faultCtx, randomDuration(random, 2*crashingJobPeriod))
		if faultCtx.Err() != nil {
			return
		}
		j := &job{
			ID: fmt.Sprintf("%016x", number),
			Groups: []group{{
				Count:    1,
				MilliCPU: 1000,
				Work: aqfake.Work{
					Duration:      time.Duration(random.Intn(3)) * 400 * time.Millisecond,
					CrashesWorker: true,
					Perpetual:     random.Intn(3) == 0,
				},
			}},
		}
		s.checker.add(j)
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.runSubmitter(settleCtx, j, 0)
		}()
	}
}

// recoverCrashed restarts a worker that a task has crashed.
func (s *soak) recoverCrashed(ctx context.Context, h *host) {
	h.link.Reset()
	sleep(ctx, crashedTime)
	h.worker.Restart()
	s.register(h)
}
