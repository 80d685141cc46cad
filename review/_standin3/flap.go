package main

import (
	"math/rand"
	"time"
)

// flap plays one worker of ten that goes down and up by turns (the disruption). It alone has the
// label that two sound jobs of one task each ask for: one that lasts, and one that ends.
func flap(w *world) error {
	if err := w.build(3, 5, 64000, proof, impose); err != nil {
		return err
	}
	k := w.workers[len(w.workers)-1]
	w.mu.Lock()
	k.labels = append(k.labels, "press")
	w.mu.Unlock()
	k.register()
	time.Sleep(2 * time.Second)
	random := rand.New(rand.NewSource(12))
	j := &job{
		id:    newID(random),
		queue: impose,
		Spec:  "impose",
		Steps: []*step{{
			Count: 1, CPU: 7000, MemMB: 13000, EstimateMS: 3000, Constraints: "press", work: 3 * time.Second,
		}},
	}
	lasting := &job{
		id:    newID(random),
		queue: proof,
		Spec:  "stockwatch",
		Steps: []*step{{Count: 1, CPU: 13000, MemMB: 26000, EstimateMS: 400, Constraints: "press", Perpetual: true}},
	}
	w.submit(lasting, 1)
	w.submit(j, 0)
	for until := time.Now().Add(flapTime); w.trouble && time.Now().Before(until); {
		time.Sleep(flapPeriod / 2)
		k.crash()
		time.Sleep(flapPeriod / 2)
		k.restart()
	}
	w.settle(30*time.Second, func(j *job) bool { return j == lasting })
	// The worker has been up since; a lasting task has to be at work again by now.
	time.Sleep(8 * time.Second)
	state, status, err := w.state(w.nodes[1], lasting)
	w.note("client: GET %s: %d %q %v", lasting.id, status, state, err)
	w.mu.Lock()
	lasting.final = state
	w.checkFinal(lasting)
	w.mu.Unlock()
	w.checkLasting()
	return nil
}

// The worker is down and up in this period for this time.
const (
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
)
