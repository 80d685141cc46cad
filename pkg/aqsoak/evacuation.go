package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"acaciaquay/platform/aqfake"
)

// Times of the evacuations of zones. They have a random source of their own, so that a seed plays the other
// faults as without them.
const (
	// evacuateWithin is the time after an evacuation from which nothing may be started in its zone.
	evacuateWithin = 5 * time.Second
	// evacuationPause is the mean pause between two evacuations.
	evacuationPause = 2 * time.Second
	// minEvacuation is the shortest evacuation.
	minEvacuation = evacuateWithin + 2*time.Second
	// heldUpFor is how long after a fault on its way an order may still reach a worker, which then starts it late.
	heldUpFor = 5 * time.Second
	// evacuationSource keeps the random source apart from the others.
	evacuationSource = 1 << 34
	// zoneCount is the number of zones of a soak with evacuations.
	zoneCount = 2
)

// zoneName returns the zone of a host or process.
func zoneName(number int) string { return fmt.Sprintf("zone%d", number%zoneCount) }

// zoneChecks records the evacuations and the workers that may start orders late.
type zoneChecks struct {
	zones       map[string]string
	evacuatedAt map[string]time.Time
	heldUpUntil map[string]time.Time
	// starts counts the starts in evacuated zones within evacuateWithin, evacuations the evacuations.
	starts      int
	evacuations int
}

func newZoneChecks() zoneChecks {
	return zoneChecks{
		zones:       map[string]string{},
		evacuatedAt: map[string]time.Time{},
		heldUpUntil: map[string]time.Time{},
	}
}

// String returns the part of the summary.
func (z zoneChecks) String() string {
	return fmt.Sprintf("%d evacuations, %d starts in time there", z.evacuations, z.starts)
}

// evacuated records that the store has acknowledged an evacuation, or its end.
func (c *Checker) evacuated(zone string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.zoneChecks.evacuatedAt, zone)
	if evacuated {
		c.zoneChecks.evacuations++
		c.zoneChecks.evacuatedAt[zone] = time.Now()
	}
}

// heldUp records that orders to a worker may be held up on their way for a time from now on.
func (c *Checker) heldUp(worker string, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := time.Now().Add(duration); until.After(c.zoneChecks.heldUpUntil[worker]) {
		c.zoneChecks.heldUpUntil[worker] = until
	}
}

// checkZone checks a start. The caller holds the lock.
func (c *Checker) checkZone(worker string, run aqfake.TaskRun) {
	z := &c.zoneChecks
	at, evacuated := z.evacuatedAt[z.zones[worker]]
	switch now := time.Now(); {
	case !evacuated || now.Before(z.heldUpUntil[worker]):
	case now.Sub(at) > evacuateWithin:
		c.addViolation("EVAC: %s starts on %s, %s after the evacuation of its zone", run.Task, worker, now.Sub(at))
	default:
		z.starts++
	}
}

// evacuateZones evacuates zones until ctx ends, at times all of them, and kills all processes during some of the evacuations, the
// leader among them.
func (s *soak) evacuateZones(ctx context.Context, random *rand.Rand) {
	for {
		sleep(ctx, randomDuration(random, 2*evacuationPause))
		first, count := random.Intn(zoneCount), 1+random.Intn(zoneCount)
		kills := random.Intn(2) == 0
		killAfter := randomDuration(random, minEvacuation)
		duration := minEvacuation + randomDuration(random, minEvacuation)
		if ctx.Err() != nil {
			return
		}
		s.logf("fault: evacuation of %d zones from zone%d, processes killed: %v", count, first, kills)
		for n := range count {
			s.setEvacuated(zoneName(first+n), true)
		}
		sleep(ctx, killAfter)
		if kills {
			s.killAll(ctx)
		}
		sleep(ctx, duration-killAfter)
		for n := range count {
			s.setEvacuated(zoneName(first+n), false)
		}
	}
}

func (s *soak) setEvacuated(zone string, evacuated bool) {
	key := aqfake.EvacuationKey(zone)
	if !evacuated {
		s.checker.evacuated(zone, false)
		s.store.Remove(key)
		return
	}
	s.store.Put(key, []byte("{}"))
	s.checker.evacuated(zone, true)
}
