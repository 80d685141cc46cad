package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"

	"acaciaquay/pkg/aqsoak"
	"acaciaquay/platform/aqfake"
)

// hunt plays jobs of all kinds with random disruptions.
func hunt(w *world) error {
	if err := w.build(4, 4, 16000, proof, impose); err != nil {
		return err
	}
	random := rand.New(rand.NewSource(seed))
	stop := time.Now().Add(35 * time.Second)
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		r := rand.New(rand.NewSource(seed + 1000))
		for n := 0; time.Now().Before(stop); n++ {
			j := w.drawJob(r)
			all.Add(1)
			first := r.Intn(4)
			cancelAfter := time.Duration(0)
			if r.Intn(10) == 0 {
				cancelAfter = time.Duration(r.Intn(4000)) * time.Millisecond
			}
			go func() {
				defer all.Done()
				if w.submit(j, first) && cancelAfter > 0 {
					time.Sleep(cancelAfter)
					w.cancel(j, first+1)
				}
			}()
			time.Sleep(time.Duration(100+r.Intn(200)) * time.Millisecond)
		}
	}()
	for w.trouble && time.Now().Before(stop) {
		w.disrupt(random)
		time.Sleep(time.Duration(500+random.Intn(2500)) * time.Millisecond)
	}
	all.Wait()
	w.store.SetFaults(aqfake.StoreFaults{})
	w.settle(60*time.Second, func(j *job) bool { return j.Steps[0].Perpetual })
	time.Sleep(12 * time.Second)
	w.checkLasting()
	w.askAll()
	return nil
}

func (w *world) drawJob(r *rand.Rand) *job {
	j := &job{id: newID(r), queue: proof, Spec: fmt.Sprintf("spec-%d", r.Intn(1e6))}
	if r.Intn(2) == 0 {
		j.queue = impose
	}
	if r.Intn(8) == 0 {
		s := &step{Count: 1 + r.Intn(3), CPU: int64(300 + r.Intn(500)), MemMB: 50, EstimateMS: 1000, Perpetual: true, Gang: r.Intn(4) == 0}
		if r.Intn(3) == 0 {
			s.Constraints = "r1-1"
		}
		if r.Intn(3) == 0 {
			s.AntiAffinity = 1
		}
		j.Steps = []*step{s}
		return j
	}
	for i := range 1 + r.Intn(3) {
		ms := 100 + r.Intn(1500)
		s := &step{
			Count: 1 + r.Intn(4), CPU: int64(500 + r.Intn(1500)), MemMB: 100, EstimateMS: int64(ms),
			work: time.Duration(ms) * time.Millisecond,
		}
		if i > 0 && r.Intn(3) > 0 {
			s.After = []int{r.Intn(i)}
		}
		s.Checkpointing = r.Intn(3) == 0
		s.Gang = r.Intn(2) == 0
		if r.Intn(8) == 0 {
			s.failAttempts = 1 + r.Intn(2)
		}
		if r.Intn(4) == 0 {
			s.Affinity = fmt.Sprintf("r1-%d", 1+r.Intn(2))
		}
		if r.Intn(5) == 0 {
			s.AntiAffinity = 1
		}
		j.Steps = append(j.Steps, s)
	}
	if r.Intn(3) == 0 {
		j.Repeats = 1 + r.Intn(6)
		j.StartAt = time.Now().UnixMilli() + int64(r.Intn(1500)) - 300
		j.Period = int64(200 + r.Intn(1500))
	}
	return j
}

func (w *world) disrupt(r *rand.Rand) {
	pick := w.nodes[r.Intn(len(w.nodes))]
	if l := w.leader(0); l != nil && r.Intn(3) > 0 {
		pick = l
	}
	k := w.workers[r.Intn(len(w.workers))]
	later := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	switch r.Intn(12) {
	case 0, 1:
		pick.kill()
		later(time.Duration(200+r.Intn(2500))*time.Millisecond, func() { _ = pick.start() })
	case 2:
		pick.signal(syscall.SIGSTOP, false)
		later(time.Duration(500+r.Intn(4000))*time.Millisecond, func() { pick.signal(syscall.SIGCONT, false) })
	case 3:
		pick.signal(syscall.SIGTERM, true)
		time.Sleep(6 * time.Second)
		pick.kill()
		_ = pick.start()
	case 4:
		w.note("%s: cut off from the store", pick.name)
		pick.storeLink.Set(aqsoak.LinkStalled)
		later(time.Duration(1000+r.Intn(4500))*time.Millisecond, func() {
			w.note("%s: reaches the store again", pick.name)
			pick.storeLink.Set(aqsoak.LinkHealthy)
			pick.storeLink.Reset()
		})
	case 5, 6:
		k.crash()
		later(time.Duration(300+r.Intn(4000))*time.Millisecond, k.restart)
	case 8:
		w.note("store: loses answers")
		w.store.SetFaults(aqfake.StoreFaults{LostAnswerRate: 0.3, LateRate: 0.2})
		later(4500*time.Millisecond, func() { w.store.SetFaults(aqfake.StoreFaults{}) })
	case 9:
		w.note("store: is down")
		w.store.SetFaults(aqfake.StoreFaults{Down: true})
		later(4500*time.Millisecond, func() { w.store.SetFaults(aqfake.StoreFaults{}) })
	case 10:
		w.note("store: forgets its history")
		w.store.Compact()
	case 11:
		w.note("workers: carry orders out late")
		w.mu.Lock()
		w.lateRate = 0.2
		w.mu.Unlock()
		later(5*time.Second, func() {
			w.mu.Lock()
			w.lateRate = 0
			w.mu.Unlock()
		})
	case 7:
		w.note("%s: cut off", k.id)
		k.link.Set(aqsoak.LinkStalled)
		later(time.Duration(1000+r.Intn(6000))*time.Millisecond, func() {
			w.note("%s: reached again", k.id)
			k.link.Set(aqsoak.LinkHealthy)
		})
	}
}

// checkLasting checks that the tasks of each lasting job run, or none if it has been cancelled.
func (w *world) checkLasting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if !j.accepted {
			continue
		}
		for number, s := range j.Steps {
			for index := range s.Count {
				task := fmt.Sprintf("%s.0.%d.%d", j.id, number, index)
				running := len(w.history(task).active)
				switch {
				case running > 0 && !j.cancelAcked.IsZero():
					w.breach("UNASKED", "%s runs %.1f s after the cancel of its job", task, time.Since(j.cancelAcked).Seconds())
				case running == 0 && s.Perpetual && !j.cancelled:
					w.breach("LOST", "%s does not run, and its job has not been cancelled", task)
				}
			}
		}
	}
}
