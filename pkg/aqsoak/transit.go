package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"acaciaquay/platform/aqfake"
)

// Rate and times of the fault "orders delayed on their way across a restart". It has a
// random source of its own, so that a seed plays the other faults as without it.
const (
	// transitFaultPeriod is the mean time between the starts of two of these faults.
	transitFaultPeriod = 4 * time.Second
	// transitRate is the fraction of the calls to a worker that are delayed.
	transitRate = 0.4
	// minTransitFault is the shortest time from the first delayed order to the crash.
	minTransitFault = 500 * time.Millisecond
	// transitSource keeps the random source apart from the others.
	transitSource = 1 << 33
)

// delayAcrossRestarts delays orders to random workers on their way, and restarts these workers meanwhile, until
// ctx ends.
func (s *soak) delayAcrossRestarts(ctx context.Context, random *rand.Rand) {
	for {
		sleep(ctx, randomDuration(random, 2*transitFaultPeriod))
		if ctx.Err() != nil {
			return
		}
		faultRandom := rand.New(rand.NewSource(random.Int63()))
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.delayAcrossRestart(ctx, faultRandom)
		}()
	}
}

// delayAcrossRestart returns once no delayed order of it is on its way, also if ctx ends before.
func (s *soak) delayAcrossRestart(ctx context.Context, random *rand.Rand) {
	h := s.randomWorker(random)
	s.logf("fault: orders delayed on their way across a restart: %s", h.worker.ID)
	h.worker.SetTransitRate(transitRate)
	sleep(ctx, minTransitFault+randomDuration(random, 3*time.Second))
	h.worker.SetTransitRate(0)
	lastSent := time.Now()
	h.crash()
	s.logf("crash of %s", h.worker.ID)
	sleep(ctx, randomDuration(random, 2*time.Second))
	h.worker.Restart()
	s.register(h)
	s.logf("restart of %s", h.worker.ID)
	time.Sleep(time.Until(lastSent.Add(aqfake.MaxTransit)))
}

// transitCounts counts the orders that were delayed on their way and executed.
type transitCounts struct {
	sameIncarnation int
	// nextIncarnation counts those that a later incarnation of their worker has executed or refused, and
	// nextIncarnationAccepted those of them that were not refused.
	nextIncarnation         int
	nextIncarnationAccepted int
}

func (t transitCounts) String() string {
	return fmt.Sprintf("delayed orders: %d to the same incarnation, %d to a later one, %d of these accepted", t.sameIncarnation, t.nextIncarnation, t.nextIncarnationAccepted)
}

func (s *soak) recordDelivery(d aqfake.Delivery) {
	s.checker.recordDelivery(d)
	s.logf("delayed order: %+v", d)
}

func (c *Checker) recordDelivery(d aqfake.Delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !d.AcrossRestart {
		c.transit.sameIncarnation++
		return
	}
	c.transit.nextIncarnation++
	if d.Refusal == "" {
		c.transit.nextIncarnationAccepted++
	}
}
