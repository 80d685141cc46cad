package aqagent

import (
	"time"

	"acaciaquay/pkg/aqdecider"
)

// runLog follows which runs a worker may have, so that a later leader learns under which
// tasks the worker has crashed, and which it certainly has started. The zero value is ready for use.
type runLog struct {
	// since holds when each run was started by this session or first reported.
	since map[aqdecider.RunID]time.Time
	// sentAt is when the last heartbeat was sent, answeredAt when the last one was answered.
	sentAt     time.Time
	answeredAt time.Time
	// listedAt holds when a report last listed each run as running or ended. Old entries were last removed at
	// listedSweptAt.
	listedAt      map[aqdecider.RunID]time.Time
	listedSweptAt time.Time
}

func (l *runLog) started(run aqdecider.RunID, now time.Time) {
	if l.since == nil {
		l.since = map[aqdecider.RunID]time.Time{}
	}
	if _, known := l.since[run]; !known {
		l.since[run] = now
	}
}

func (l *runLog) heartbeatSent(now time.Time) { l.sentAt = now }

// reported applies the answer to the last heartbeat. Runs that were started after it was
// sent may be missing from the answer.
func (l *runLog) reported(report aqdecider.WorkerReport, now time.Time) {
	l.answeredAt = now
	l.noteListed(report, now)
	running := make(map[aqdecider.RunID]bool, len(report.Running))
	for _, r := range report.Running {
		running[r.Run] = true
		l.started(r.Run, now)
	}
	for run, since := range l.since {
		if !running[run] && since.Before(l.sentAt) {
			delete(l.since, run)
		}
	}
	for _, e := range report.Ended {
		delete(l.since, e.Run)
	}
}

// unanswered reports whether a run was started since the worker last answered.
func (l *runLog) unanswered() bool {
	for _, since := range l.since {
		if since.After(l.answeredAt) {
			return true
		}
	}
	return false
}

// unsettledRuns returns the worker's runs if the worker does not answer, or has not
// answered since a run was started. That there are none is known only if the worker has
// answered this session before.
func (s *session) unsettledRuns() (aqdecider.EarlierRuns, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedHeartbeats == 0 && !s.runs.unanswered() {
		return aqdecider.EarlierRuns{}, false
	}
	if len(s.runs.since) == 0 && s.runs.answeredAt.IsZero() {
		return aqdecider.EarlierRuns{}, false
	}
	earlier := aqdecider.EarlierRuns{
		Worker:      s.id,
		Incarnation: s.worker.Incarnation,
	}
	for run, since := range s.runs.since {
		earlier.Runs = append(earlier.Runs, aqdecider.EarlierRun{
			Run:  run,
			Seen: s.runs.answeredAt.Sub(since),
		})
	}
	return earlier, true
}
