package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"acaciaquay/platform/aqfake"
)

const (
	bigJob   = "00000000000000e5"
	smallJob = "00000000000000e6"
	// bigTasks and checkpointBytes make the progress of the big job longer than value_bytes.
	bigTasks        = 5000
	checkpointBytes = 230
	bigWork         = 15 * time.Second
	smallWork       = 500 * time.Millisecond
	// downTime is below the 9.5 s of the site file's herd_kill.
	downTime = 9 * time.Second
	// calmTime is how long the case waits for the small job once nothing is disturbed any more. The
	// rule asks for finish_s, 14 s, and 3 s of standstill.
	calmTime = 25 * time.Second
)

// valueLimit lets the runs of a job of many tasks lapse with checkpoints while all processes are down, and
// checks that the second step of another job is run.
func valueLimit(rec *record, trouble bool) int {
	s, err := newSite(rec, 0, 0, nil)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		rec.add("%v", err)
		return notRun
	}
	limited := &limitedStore{store: s.store, record: rec}
	if s.address, err = s.serve(limited); err != nil {
		return notRun
	}
	lasts := func(task string) time.Duration {
		if strings.HasPrefix(task, smallJob) {
			return smallWork
		}
		return bigWork
	}
	saved := func(task string) string {
		text := "checkpoints/" + task + "/"
		return text + strings.Repeat("0", max(0, checkpointBytes-len(text)))
	}
	var minions []*plainMinion
	for i := range 7 {
		m := newPlainMinion(fmt.Sprintf("m%d", i), lasts, saved)
		if m.address, err = s.serve(m); err != nil {
			return notRun
		}
		minions = append(minions, m)
		go m.advance(s.done)
		go func() {
			for {
				s.store.Put(aqfake.WorkerKey(m.id), m.entry())
				select {
				case <-s.done:
					return
				case <-time.After(heartbeat):
				}
			}
		}()
	}
	for i := range 3 {
		n, err := s.newNode(i)
		if err != nil {
			return notRun
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return notRun
		}
	}
	if !s.awaitReady() {
		return notRun
	}
	running := func() int {
		n := 0
		for _, m := range minions {
			m.mu.Lock()
			n += len(m.runs)
			m.mu.Unlock()
		}
		return n
	}
	tell := func() {
		for _, m := range minions {
			rec.add("minion %s", m.summary())
		}
		rec.add("store: largest value %d bytes, %d writes refused for their length", limited.largest, limited.refused)
	}
	body := map[string]any{"spec": "batch", "steps": []map[string]any{{
		"count": bigTasks, "cpu": 80, "mem_mb": 20, "estimate_ms": 15000, "checkpointing": true,
	}}}
	if !s.submit(bigJob, body) {
		return notRun
	}
	if !await(20*time.Second, func() bool { return running() == bigTasks }) {
		tell()
		rec.add("not all tasks have started")
		return notRun
	}
	tell()
	if trouble {
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range s.nodes {
			<-n.exited
		}
		time.Sleep(downTime)
		tell()
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return notRun
			}
		}
	}
	if !s.awaitReady() {
		return notRun
	}
	finished := func() int {
		n := 0
		for _, m := range minions {
			m.mu.Lock()
			n += m.ended["done"]
			m.mu.Unlock()
		}
		return n
	}
	if !await(40*time.Second, func() bool { return running() == 0 && finished() >= bigTasks }) {
		tell()
		rec.add("the tasks of the big job have not ended")
		return notRun
	}
	rec.add("all runs of the big job have ended, all minions are idle")
	if !s.submit(smallJob, map[string]any{"spec": "proof", "steps": []map[string]any{
		{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 500},
		{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 500, "after": []int{0}},
	}}) {
		return notRun
	}
	for began := time.Now(); time.Since(began) < calmTime; time.Sleep(2 * time.Second) {
		if s.state(smallJob) == "completed" {
			tell()
			return held
		}
	}
	tell()
	listed, seen := 0, 0
	for _, m := range minions {
		m.mu.Lock()
		listed += m.endCount
		seen += m.seen
		m.mu.Unlock()
	}
	rec.add("ends that minions list: %d, taken note of: %d; the big job is shown as %q, the small one as %q",
		listed, seen, s.state(bigJob), s.state(smallJob))
	first, second := highest(minions, smallJob+".0.0.0"), highest(minions, smallJob+".0.1.0")
	rec.add("small job: highest attempt of step 0: %d, of step 1: %d; step 0 has ended done, and its end is listed", first, second)
	if first == 0 || second > 0 {
		return notRun
	}
	return broken
}

// highest returns the highest attempt of a task that has ended on a minion, zero if none has.
func highest(minions []*plainMinion, task string) int {
	found := 0
	for _, m := range minions {
		m.mu.Lock()
		found = max(found, m.highest[task])
		m.mu.Unlock()
	}
	return found
}
