package main

import (
	"math/rand"
	"syscall"
	"time"
)

// Times of the case "addresses in use again".
const (
	// freeFor is how long the addresses of the machines that are gone stay free. addr_reuse_s is 2.
	freeFor = 10 * time.Second
	// reuseLoad is how long jobs are handed in after that.
	reuseLoad = 75 * time.Second
	reuseRest = 10 * time.Second
)

// reuseAddresses submits short jobs, shuts two of five machines down for good, and later adds two, each at
// an address that one of these had.
func reuseAddresses(s *site, trouble bool) int {
	time.Sleep(3 * time.Second)
	random := rand.New(rand.NewSource(7))
	until := time.Now().Add(reuseLoad + 5*time.Second)
	ended := make(chan struct{})
	var jobs []*job
	entry := append([]*node(nil), s.nodes...)
	gone := s.followers(2)
	go func() {
		defer close(ended)
		for time.Now().Before(until) && !s.anyBroken() {
			j := &job{id: newID(random), steps: []step{{count: 6, milliCPU: 9000, work: time.Duration(400+random.Intn(1200)) * time.Millisecond}}}
			j.spec = "spec of " + j.id
			jobs = append(jobs, j)
			s.submitAt(j, entry, gone)
			time.Sleep(250 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		for _, n := range gone {
			s.log("%s at %s gets SIGTERM", n.name, n.peer)
			n.signal(syscall.SIGTERM)
		}
		for _, n := range gone {
			if exited := n.signal(0); exited != nil {
				<-exited
			}
			s.log("%s has exited", n.name)
		}
		time.Sleep(freeFor)
		for i := range gone {
			fresh, err := s.addNodeAt("front-"+string(rune('7'+i)), gone[1-i])
			if err != nil {
				s.log("%v", err)
				return 2
			}
			s.log("%s is added at %s", fresh.name, fresh.peer)
		}
	}
	<-ended
	if !s.anyBroken() {
		time.Sleep(reuseRest)
		s.checkJobs(jobs, entry, gone)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) > 0 {
		return 1
	}
	return 0
}
