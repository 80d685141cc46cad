package aqagent

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// maxAnswerTimes is how many answers are remembered. Starts that refer to earlier ones have expired.
const maxAnswerTimes = 256

// answerTimes remembers when the last answers to polls were sent, in elapsed time.
type answerTimes [maxAnswerTimes]answerTime

type answerTime struct {
	number uint64
	at     time.Duration
}

func (t *answerTimes) add(number uint64, at time.Duration) {
	t[number%maxAnswerTimes] = answerTime{
		number: number,
		at:     at,
	}
}

// find returns when an answer was sent, and false if that is not remembered.
func (t *answerTimes) find(number uint64) (time.Duration, bool) {
	found := t[number%maxAnswerTimes]
	return found.at, number > 0 && found.number == number
}

// startDeadline is the elapsed time until which a start may be sent. The zero value does not limit it.
type startDeadline struct {
	limited bool
	at      time.Duration
}

// passed reports whether a start may not be sent any more.
func (d startDeadline) passed(now time.Duration) bool { return d.limited && now >= d.at }

// startDeadline returns until when the starts of a call may be sent. The caller holds the lock.
func (a *Agent) startDeadline(limit *StartLimit) startDeadline {
	if limit == nil {
		return startDeadline{}
	}
	deadline := startDeadline{limited: true}
	if sentAt, known := a.answerTimes.find(limit.Answer); known {
		deadline.at = sentAt + limit.Within
	}
	return deadline
}

// receivedStart is a start that the agent has received and not delivered.
type receivedStart struct {
	at    time.Time
	until startDeadline
}

// errStartExpired means that a start is too old to be sent, and that no call was made.
var errStartExpired = errors.New("agent: start has expired")

// logExpiredStart logs a start that was not sent because of its age.
func (s *session) logExpiredStart(run aqdecider.RunID) {
	s.mu.Lock()
	waited := s.agent.clock.Now().Sub(s.received[run].at)
	s.mu.Unlock()
	s.agent.metrics.Retried(aqmetric.RetryStartExpired)
	s.agent.log.Write(aqlog.StartExpired, slog.String("Task", run.Task.String()), slog.Int("Attempt", int(run.Attempt)),
		slog.String("Worker", string(s.id)), slog.Uint64("Serial", uint64(s.serial)), slog.Duration("Waited", waited))
}
