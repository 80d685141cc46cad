package main

import (
	"time"

	"acaciaquay/platform/aqfake"
)

const kindJob = "00000000000000d4"

// otherKind lets the one minion with the label that a job needs start again as one of another
// kind while the store is down, and checks that no task of the job is started there.
func otherKind(rec *record, trouble bool) int {
	s, err := newSite(rec, 7, 3, func(i int) []string {
		if i == 0 {
			return []string{"b", "r1-1"}
		}
		return []string{"a", "r1-1"}
	})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		rec.add("%v", err)
		return notRun
	}
	s.work = func(string, aqfake.TaskRun) aqfake.Work { return aqfake.Work{Duration: 8 * time.Second} }
	if !s.awaitReady() {
		return notRun
	}
	body := map[string]any{"spec": "render", "steps": []map[string]any{{
		"count": 1, "cpu": 4000, "mem_mb": 2000, "estimate_ms": 8000, "constraints": "b",
	}}}
	if !s.submit(kindJob, body) {
		return notRun
	}
	task := kindJob + ".0.0.0"
	if !await(10*time.Second, func() bool { return s.runs(task) == 1 }) {
		return notRun
	}
	time.Sleep(2 * time.Second)
	m := s.minions[0]
	if trouble {
		rec.add("the store answers 503")
		s.store.SetFaults(aqfake.StoreFaults{Down: true})
	}
	time.Sleep(300 * time.Millisecond)
	s.crash(m)
	time.Sleep(700 * time.Millisecond)
	m.mu.Lock()
	m.labels = []string{"a", "r1-1"}
	m.mu.Unlock()
	rec.add("minion m0 is now of kind a")
	s.storeDown.Store(trouble)
	s.restart(m)
	time.Sleep(3500 * time.Millisecond)
	s.store.SetFaults(aqfake.StoreFaults{})
	if trouble {
		rec.add("the store answers again")
	}
	// With the heartbeat's phase, the minions' next entries come 0.9 to 2 s after that.
	time.Sleep(900 * time.Millisecond)
	s.storeDown.Store(false)
	time.Sleep(4 * time.Second)
	starts := s.startsOf(task)
	if len(starts) > 1 && starts[1].worker == "m0" {
		rec.add("attempt %d was started on m0, which is of kind a since its restart; the job needs kind b", starts[1].attempt)
		return broken
	}
	return held
}
