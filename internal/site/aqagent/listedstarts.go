package aqagent

import (
	"time"

	"acaciaquay/pkg/aqdecider"
)

// listedKept is how long a session remembers a run at least after the last report that lists it. It is much longer than
// a call with a start of the run can be under way before the leader makes a new assignment.
const listedKept = time.Minute

// noteListed notes the runs that a report lists.
func (l *runLog) noteListed(report aqdecider.WorkerReport, now time.Time) {
	if l.listedAt == nil {
		l.listedAt = map[aqdecider.RunID]time.Time{}
	}
	for _, r := range report.Running {
		l.listedAt[r.Run] = now
	}
	for _, e := range report.Ended {
		l.listedAt[e.Run] = now
	}
	if now.Sub(l.listedSweptAt) <= listedKept {
		return
	}
	l.listedSweptAt = now
	for run, at := range l.listedAt {
		if now.Sub(at) > listedKept {
			delete(l.listedAt, run)
		}
	}
}

// hasListed reports whether a report of the worker's present incarnation has listed a run, which has then been started
// whatever became of the attempts to deliver the start.
func (l *runLog) hasListed(run aqdecider.RunID) bool {
	_, listed := l.listedAt[run]
	return listed
}

// startNeedless reports whether the worker certainly has or had the run of a start, unless a stop has withdrawn the
// start. The caller holds the lock.
func (s *session) startNeedless(run aqdecider.RunID) bool {
	return s.starting[run] != startWithdrawn && s.runs.hasListed(run)
}

// isStartNeedless is startNeedless for a caller that does not hold the lock.
func (s *session) isStartNeedless(run aqdecider.RunID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startNeedless(run)
}

// answerListedStarts delivers queued starts whose runs a report has listed: these are answered without being sent. The
// caller holds the lock.
func (s *session) answerListedStarts() {
	for _, o := range s.queue {
		if start, isStart := o.(aqdecider.Start); isStart && s.startNeedless(start.Run) {
			s.deliver()
			return
		}
	}
}
