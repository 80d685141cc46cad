package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"syscall"
	"time"

	"acaciaquay/pkg/aqsoak"
	"acaciaquay/platform/aqfake"
)

// explore plays random jobs and faults.
func explore(s *site, seed int64, faults time.Duration, kinds string, gapMS int) {
	random := rand.New(rand.NewSource(seed))
	until := time.Now().Add(faults)
	time.Sleep(2 * time.Second)
	var jobs []*job
	go func() {
		r := rand.New(rand.NewSource(seed + 1))
		for time.Now().Before(until) {
			j := &job{id: newID(r)}
			j.spec = "spec of " + j.id
			for n := range 1 + r.Intn(3) {
				st := step{count: 1 + r.Intn(6), milliCPU: int64(200 + r.Intn(1500)), work: time.Duration(200+r.Intn(3500)) * time.Millisecond}
				if n > 0 && r.Intn(2) == 0 {
					st.after = []int{r.Intn(n)}
				}
				st.gang = r.Intn(3) == 0
				st.checkpointing = r.Intn(2) == 0
				st.perpetual = r.Intn(40) == 0 && n == 0
				if st.perpetual {
					st.gang = false
				}
				if r.Intn(5) == 0 {
					st.failRate = 0.3
				}
				j.steps = append(j.steps, st)
			}
			if r.Intn(4) == 0 && !j.steps[0].perpetual {
				j.repeats, j.startAt, j.period = 2+r.Intn(5), time.Now().Add(time.Duration(r.Intn(3000))*time.Millisecond), time.Duration(500+r.Intn(2500))*time.Millisecond
			}
			cancel := r.Intn(6) == 0
			first := r.Intn(8)
			s.mu.Lock()
			jobs = append(jobs, j)
			s.mu.Unlock()
			go func() {
				if s.submit(j, first) && cancel {
					time.Sleep(time.Duration(500+first*300) * time.Millisecond)
					s.cancel(j)
				}
			}()
			time.Sleep(time.Duration(150+r.Intn(300)) * time.Millisecond)
		}
	}()
	span := func(lo, hi int) time.Duration { return time.Duration(lo+random.Intn(hi-lo)) * time.Millisecond }
	for time.Now().Before(until) {
		n := s.nodes[random.Intn(len(s.nodes))]
		k := s.workers[random.Intn(len(s.workers))]
		all := strings.Split(kinds, ",")
		kind := all[random.Intn(len(all))]
		d := span(500, 5500)
		s.log("FAULT %s %s %s for %s", kind, n.name, k.id, d)
		switch kind {
		case "kill":
			n.signal(syscall.SIGKILL)
			time.AfterFunc(span(50, 3000), func() { _ = n.start(s.program) })
		case "killall":
			for _, n := range s.nodes {
				n.signal(syscall.SIGKILL)
				time.AfterFunc(span(50, 1500), func() { _ = n.start(s.program) })
			}
		case "term":
			if exited := n.signal(syscall.SIGTERM); exited != nil {
				go func() { <-exited; _ = n.start(s.program) }()
			}
		case "freeze":
			n.signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { n.signal(syscall.SIGCONT) })
		case "storelink":
			states := []aqsoak.LinkState{aqsoak.LinkStalled, aqsoak.LinkAnswersStalled, aqsoak.LinkRefused, aqsoak.LinkSlow}
			n.link.Set(states[random.Intn(4)])
			time.AfterFunc(d, func() { n.link.Set(aqsoak.LinkHealthy) })
		case "down":
			s.store.SetFaults(aqfake.StoreFaults{Down: true})
			time.AfterFunc(d, func() { s.store.SetFaults(aqfake.StoreFaults{}) })
		case "storelost":
			s.store.SetFaults(aqfake.StoreFaults{LostAnswerRate: 0.15, LateRate: 0.15})
			time.AfterFunc(d, func() { s.store.SetFaults(aqfake.StoreFaults{}) })
		case "stall":
			s.store.SetFaults(aqfake.StoreFaults{StallWatches: true})
			time.AfterFunc(d, func() { s.store.SetFaults(aqfake.StoreFaults{}); s.store.Compact() })
		case "crash":
			s.mu.Lock()
			down := k.down
			s.mu.Unlock()
			if !down {
				s.crash(k, span(300, 5000))
			}
		case "cut":
			states := []aqsoak.LinkState{aqsoak.LinkStalled, aqsoak.LinkAnswersStalled, aqsoak.LinkRefused}
			s.links[k].Set(states[random.Intn(3)])
			time.AfterFunc(d+time.Second, func() { s.links[k].Set(aqsoak.LinkHealthy) })
		case "late":
			s.setOrders(0.06, 0)
			time.AfterFunc(d, func() { s.setOrders(0, 0) })
		case "lost":
			s.setOrders(0, 0.1)
			time.AfterFunc(d, func() { s.setOrders(0, 0) })
		case "config":
			s.configure()
		case "replace":
			n.signal(syscall.SIGKILL)
			s.replaceNode(n)
		case "drain":
			s.drain(k)
		case "none":
		}
		time.Sleep(span(gapMS/10, gapMS))
	}
	time.Sleep(7 * time.Second)
	settle := time.Now().Add(25 * time.Second)
	for _, j := range jobs {
		s.mu.Lock()
		accepted, cancelled := j.accepted, j.cancelled
		lasts := false
		for _, st := range j.steps {
			lasts = lasts || st.perpetual
		}
		s.mu.Unlock()
		if !accepted {
			continue
		}
		for try := 0; ; try++ {
			state, status := s.state(s.nodes[try%len(s.nodes)], j.id)
			s.mu.Lock()
			if status == http.StatusGone {
				s.broken("LOST %s is gone", j.id)
			}
			fair := false
			for n, st := range j.steps {
				for o := range max(1, j.repeats) {
					failures := 0
					for i := range st.count {
						failures = max(failures, s.task(taskName(j.id, o, n, i)).failed)
						if st.gang {
							failures = 99
						}
					}
					fair = fair || st.failRate > 0 && failures >= maxAttempts
				}
			}
			if state == "failed" && !fair || state == "cancelled" && !cancelled {
				s.broken("LOST %s is %s", j.id, state)
			}
			if state == "completed" {
				for o := range max(1, j.repeats) {
					for n, st := range j.steps {
						good := false
						for i := range st.count {
							has := len(s.task(taskName(j.id, o, n, i)).successes) > 0
							good = good || has
							if !has && !st.gang {
								s.broken("MIXED %s is completed, task %d.%d.%d is not", j.id, o, n, i)
							}
						}
						if st.gang && !good {
							s.broken("MIXED %s is completed, gang %d.%d is not", j.id, o, n)
						}
					}
				}
			}
			s.mu.Unlock()
			if state == "completed" || state == "failed" || state == "cancelled" || status == http.StatusGone {
				break
			}
			if lasts && !cancelled {
				if time.Now().After(settle) {
					s.mu.Lock()
					for n, st := range j.steps {
						for i := range st.count {
							if st.perpetual && len(s.task(taskName(j.id, 0, n, i)).runsOn) == 0 {
								s.broken("LOST %s lasting task %d.%d does not run", j.id, n, i)
							}
						}
					}
					s.mu.Unlock()
				}
				if s.lastsFine(j) || time.Now().After(settle) {
					break
				}
			} else if time.Now().After(settle) {
				s.mu.Lock()
				s.broken("LOST %s is %q %d at the end", j.id, state, status)
				s.mu.Unlock()
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.tasks {
		j, st, ok := s.stepOf(name)
		if !ok {
			continue
		}
		if t.starts > 0 && !j.accepted && !j.uncertain {
			s.broken("REFUSED %s started", name)
		}
		if len(t.runsOn) > 0 && (!st.perpetual || j.cancelled) && j.accepted {
			s.broken("UNASKED %s still runs on %v", name, t.runsOn)
		}
	}
}

func (s *site) lastsFine(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, st := range j.steps {
		for i := range st.count {
			if st.perpetual && len(s.task(taskName(j.id, 0, n, i)).runsOn) == 0 {
				return false
			}
		}
	}
	return true
}

func (s *site) setOrders(late, lost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.workers {
		k.late, k.lost = late, lost
	}
}

// cancel cancels a job until it is acknowledged.
func (s *site) cancel(j *job) {
	s.mu.Lock()
	j.cancelled = true
	s.mu.Unlock()
	for try := range 8 {
		if status, _ := s.call(s.nodes[try%len(s.nodes)], http.MethodDelete, j.id, nil); status == 200 || status == http.StatusGone {
			s.mu.Lock()
			j.cancelledAt = time.Now()
			s.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.log("cancel of %s not acknowledged", j.id)
}

var _ = fmt.Sprint

// drain makes a worker leave and another come in its place.
func (s *site) drain(k *worker) {
	s.mu.Lock()
	if k.down || k.draining {
		s.mu.Unlock()
		return
	}
	k.draining = true
	born := k.born
	s.mu.Unlock()
	s.list(k)
	time.AfterFunc(2500*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if k.down || k.born != born {
			return
		}
		k.crash()
		s.links[k].Reset()
		s.store.Remove(aqfake.WorkerKey(k.id))
		time.AfterFunc(2500*time.Millisecond, func() {
			s.mu.Lock()
			k.reset()
			s.mu.Unlock()
			s.list(k)
		})
	})
}
