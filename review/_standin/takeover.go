package main

import (
	"os"
	"time"

	"acaciaquay/platform/aqfake"
)

const takeoverJob = "00000000000000c3"

// takeover removes the leader's process for good together with a minion.
func takeover(rec *record, trouble bool) int {
	s, err := newSite(rec, 6, 4, func(int) []string { return []string{"a", "r1-1"} })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun
	}
	s.work = func(string, aqfake.TaskRun) aqfake.Work { return aqfake.Work{Perpetual: true} }
	if !s.awaitReady() {
		return notRun
	}
	body := map[string]any{"spec": "watch", "steps": []map[string]any{{
		"count": 4, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 400, "perpetual": true, "anti_affinity": 1,
	}}}
	if !s.submit(takeoverJob, body) {
		return notRun
	}
	task := takeoverJob + ".0.0.0"
	if !await(10*time.Second, func() bool { return s.runs(task) == 1 }) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	if os.Getenv("TERM") == "1" {
		l := s.leader()
		for _, n := range s.nodes {
			if n != l {
				rec.add("planned removal of %s", n.name)
				n.signal(15)
				<-n.exited
				break
			}
		}
		time.Sleep(8 * time.Second)
	}
	on := s.startsOf(task)[0].worker
	l := s.leader()
	if l == nil {
		rec.add("no leader")
		return notRun
	}
	if os.Getenv("KILL") != "0" {
		l.kill()
	}
	for _, m := range s.minions {
		if m.worker.ID == on {
			s.crash(m)
		}
	}
	began := time.Now()
	if !await(30*time.Second, func() bool { return s.runs(task) == 1 }) {
		rec.add("not restarted in 30 s")
		return broken
	}
	rec.add("restarted after %s", time.Since(began))
	return held
}
