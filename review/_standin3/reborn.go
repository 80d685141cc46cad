package main

import (
	"fmt"
	"math/rand"
	"time"

	"acaciaquay/pkg/aqsoak"
)

// Times of reborn, after the order to start the task was sent.
const (
	cutAt      = 300 * time.Millisecond
	killAt     = 50 * time.Millisecond
	rebornAt   = 1300 * time.Millisecond
	cutEndsAt  = 5800 * time.Millisecond
	deliverAt  = 5810 * time.Millisecond
	settleTime = 14 * time.Second
)

// reborn delays one order to start a task on its way. The worker that it is for is cut off and starts again
// behind the cut, and the leader is killed. The order arrives after the cut.
func reborn(w *world) error {
	if err := w.build(3, 4, 64000, proof, impose); err != nil {
		return err
	}
	time.Sleep(settleTime)
	random := rand.New(rand.NewSource(16))
	j := &job{
		id:    newID(random),
		queue: impose,
		Spec:  "impose",
		Steps: []*step{{Count: 1, CPU: 7000, MemMB: 13000, EstimateMS: 5000, work: 5 * time.Second}},
	}
	delayed := make(chan *worker, 1)
	if w.trouble {
		w.mu.Lock()
		w.onStart = func(k *worker) time.Duration {
			w.onStart = nil
			delayed <- k
			return deliverAt
		}
		w.mu.Unlock()
	}
	if !w.submit(j, 0) {
		return fmt.Errorf("the job was not accepted")
	}
	if w.trouble {
		var k *worker
		select {
		case k = <-delayed:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("no order to start the task")
		}
		leader := w.leader(0)
		begin := time.Now()
		at := func(t time.Duration) { time.Sleep(time.Until(begin.Add(t))) }
		at(killAt)
		if leader != nil {
			leader.kill()
			if err := leader.start(); err != nil {
				return err
			}
		}
		at(cutAt)
		w.mu.Lock()
		k.cut = true
		w.mu.Unlock()
		k.link.Set(aqsoak.LinkStalled)
		w.note("%s: cut off", k.id)
		at(rebornAt)
		k.crash()
		k.restart()
		at(cutEndsAt)
		// What was held up is lost, since its senders have given up.
		k.link.Reset()
		k.link.Set(aqsoak.LinkHealthy)
		w.mu.Lock()
		k.cut = false
		w.mu.Unlock()
		k.register()
		w.note("%s: the cut is over", k.id)
	}
	time.Sleep(8 * time.Second)
	w.settle(25*time.Second, nil)
	return nil
}
