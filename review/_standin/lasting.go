package main

import (
	"sync"
	"syscall"
	"time"

	"acaciaquay/platform/aqfake"
)

const lastingJob = "00000000000000a1"

// lastingDone lets the tasks of a job that lasts end as done while all processes of the site
// are killed, and checks that they are started again.
func lastingDone(rec *record, trouble bool) int {
	s, err := newSite(rec, 4, 3, func(int) []string { return []string{"a", "r1-1"} })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		rec.add("%v", err)
		return notRun
	}
	const firstRun = 8 * time.Second
	var mu sync.Mutex
	seen := map[string]bool{}
	s.work = func(_ string, run aqfake.TaskRun) aqfake.Work {
		mu.Lock()
		defer mu.Unlock()
		if seen[run.Task] {
			return aqfake.Work{Perpetual: true}
		}
		seen[run.Task] = true
		return aqfake.Work{Duration: firstRun}
	}
	if !s.awaitReady() {
		return notRun
	}
	body := map[string]any{"spec": "watch", "steps": []map[string]any{{
		"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 400, "perpetual": true,
	}}}
	if !s.submit(lastingJob, body) {
		return notRun
	}
	tasks := []string{lastingJob + ".0.0.0", lastingJob + ".0.0.1"}
	if !await(10*time.Second, func() bool { return s.runs(tasks[0]) == 1 && s.runs(tasks[1]) == 1 }) {
		return notRun
	}
	last := s.startsOf(tasks[0])[0].at
	if at := s.startsOf(tasks[1])[0].at; at.After(last) {
		last = at
	}
	time.Sleep(time.Until(last.Add(firstRun - time.Second)))
	if trouble {
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range s.nodes {
			<-n.exited
		}
		time.Sleep(2 * time.Second)
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return notRun
			}
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	if !s.awaitReady() {
		return notRun
	}
	back := time.Now()
	for _, task := range tasks {
		if ends := s.endsOf(task); len(ends) != 1 || ends[0].how != "done" {
			rec.add("the first run of %s has not ended as done: %v", task, ends)
			return notRun
		}
	}
	// The rule allows 6 s from the last run and asks for 4 s of calm, then 3 s. This waits for 25 s.
	restarted := func() bool { return s.runs(tasks[0]) == 1 && s.runs(tasks[1]) == 1 }
	for time.Since(back) < 25*time.Second {
		if restarted() {
			rec.add("both tasks run again, %.1f s after the processes were ready", time.Since(back).Seconds())
			return held
		}
		rec.add("runs: %d and %d; the job is shown as %q", s.runs(tasks[0]), s.runs(tasks[1]), s.state(lastingJob))
		time.Sleep(time.Second)
	}
	rec.add("no run of a task of the job that lasts for 25 s; nobody has cancelled it; all minions are idle")
	return broken
}
