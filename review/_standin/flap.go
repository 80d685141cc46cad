package main

import (
	"time"

	"acaciaquay/platform/aqfake"
)

const flapJob = "00000000000000b2"

// flap lets the one minion with the label that a job needs go down and up by turns, and checks
// that the job is not shown as failed: none of its runs has ended as failed.
func flap(rec *record, trouble bool) int {
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
	s.work = func(string, aqfake.TaskRun) aqfake.Work { return aqfake.Work{Duration: 5 * time.Second} }
	if !s.awaitReady() {
		return notRun
	}
	body := map[string]any{"spec": "render", "steps": []map[string]any{{
		"count": 1, "cpu": 4000, "mem_mb": 2000, "estimate_ms": 5000, "constraints": "b",
	}}}
	if !s.submit(flapJob, body) {
		return notRun
	}
	task := flapJob + ".0.0.0"
	if !await(10*time.Second, func() bool { return s.runs(task) == 1 }) {
		return notRun
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		const period, length = 1400 * time.Millisecond, 6500 * time.Millisecond
		for began := time.Now(); time.Since(began) < length; {
			s.crash(s.minions[0])
			time.Sleep(period / 2)
			s.restart(s.minions[0])
			time.Sleep(period / 2)
		}
	}
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		switch s.state(flapJob) {
		case "completed":
			return held
		case "failed", "cancelled", "gone":
			for _, e := range s.endsOf(task) {
				if e.how == "failed" {
					rec.add("a run has ended as failed")
					return notRun
				}
			}
			rec.add("the job is shown as ended without cause: no run of it has ended as failed, max_attempts is 3, nobody has cancelled it")
			return broken
		}
	}
	rec.add("the job has not ended within 40 s")
	return notRun
}
