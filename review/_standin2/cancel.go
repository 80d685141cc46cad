package main

import (
	"bytes"
	"net/http"
	"time"
)

// Times of the case "cancelled while in doubt".
const (
	// lateAfter is how much later the store carries out a write that it does not answer.
	lateAfter = 6 * time.Second
	// lostFor is how long the store loses answers.
	lostFor = 4500 * time.Millisecond
	// cancelMS and stopMS are cancel_ms and stop_grace_ms.
	cancelMS = 3 * time.Second
	stopMS   = 200 * time.Millisecond
)

// cancelInDoubt submits a job whose writes the store carries out late, and cancels it when the submission
// got no answer in time.
func cancelInDoubt(s *site, trouble bool) int {
	j := &job{id: "5c0e7a21d94b36f8", spec: "edition 7", steps: []step{{count: 2, milliCPU: 1000, work: 12 * time.Second}}}
	time.Sleep(4 * time.Second)
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	before, _ := s.writeCounts()
	first := s.nodes[s.follower()]
	if trouble {
		key := []byte(j.id)
		for _, n := range s.nodes {
			n.store.setLate(func(body []byte) time.Duration {
				if bytes.Contains(body, key) {
					return lateAfter
				}
				return 0
			})
			time.AfterFunc(lostFor, func() { n.store.setLate(nil) })
		}
	}
	status, _ := s.call(first, http.MethodPost, j.id, j.body())
	if trouble == (status == http.StatusOK) {
		s.log("the submission was answered %d: the case can't run", status)
		return 2
	}
	var acked time.Time
	for try := range 8 {
		status, _ := s.call(s.nodes[(s.follower()+1+try)%len(s.nodes)], http.MethodDelete, j.id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			acked = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acked.IsZero() {
		return 2
	}
	time.Sleep(lostFor - time.Since(acked))
	after, lates := s.writeCounts()
	s.log("%d of %d writes were late", lates, after-before)
	if lates*100 > 35*(after-before) {
		return 2
	}
	broken := 0
	for time.Since(acked) < 20*time.Second {
		s.mu.Lock()
		for i := range 2 {
			name := taskName(j.id, 0, 0, i)
			if t := s.task(name); len(t.runsOn) > 0 && time.Since(acked) > cancelMS+stopMS && broken == 0 {
				broken = 1
				s.broken("UNASKED %s runs on %v, %s after the cancellation was acknowledged", name, t.runsOn, time.Since(acked))
			}
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	if state, _ := s.state(s.nodes[0], j.id); state != "" {
		s.log("the job is %s at the end", state)
	}
	return broken
}
