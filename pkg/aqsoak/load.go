package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"acaciaquay/platform/aqfake"
)

// Parameters of a soak's jobs.
const (
	// submitPeriod is the time between two submissions.
	submitPeriod = 150 * time.Millisecond
	// callTimeout is the timeout of one call of a submitter, retryDelay the delay
	// before the next one.
	callTimeout = 3 * time.Second
	retryDelay  = 300 * time.Millisecond
	// maxSubmitTries is the maximum number of tries of one submission.
	maxSubmitTries = 5
	// cancelShare is the fraction of the jobs that are cancelled, failingShare of
	// those with tasks that always fail, perpetualShare of those that run until they
	// are cancelled.
	cancelShare    = 0.1
	failingShare   = 0.05
	perpetualShare = 0.05
	// cancelDelay is the maximum time from acceptance to cancellation.
	cancelDelay = 3 * time.Second
)

// drawJob returns a random job.
func drawJob(random *rand.Rand, number int) *job {
	j := &job{
		ID:        fmt.Sprintf("%016x", number+1),
		cancelled: random.Float64() < cancelShare,
	}
	if random.Float64() < perpetualShare {
		j.cancelled = true
		j.Groups = []group{{
			Count:    2,
			MilliCPU: 1000,
			Work:     aqfake.Work{Perpetual: true},
		}}
		return j
	}
	groups := 1 + random.Intn(3)
	for n := range groups {
		g := group{
			Count:    1 + random.Intn(4),
			MilliCPU: int64(1000 * (1 + random.Intn(3))),
			Work: aqfake.Work{
				Duration:      time.Duration(100+random.Intn(900)) * time.Millisecond,
				Checkpointing: random.Intn(2) == 0,
			},
		}
		if n > 0 && random.Intn(3) > 0 {
			g.After = []int{n - 1}
		}
		j.Groups = append(j.Groups, g)
	}
	if random.Float64() < failingShare {
		j.Groups[groups-1].Work.Fails = true
	}
	return j
}

func (j *job) steps() []aqfake.Step {
	steps := make([]aqfake.Step, 0, len(j.Groups))
	for _, g := range j.Groups {
		steps = append(steps, aqfake.Step{
			Count:         g.Count,
			MilliCPU:      g.MilliCPU,
			Estimate:      g.Work.Duration,
			After:         g.After,
			Checkpointing: g.Work.Checkpointing,
			Perpetual:     g.Work.Perpetual,
		})
	}
	return steps
}

// front returns the front address of the process that gets the given try of a job's
// submitter. Consecutive tries go to different processes.
func (s *soak) front(j *job, try int) string {
	first := int(j.ID[len(j.ID)-1])
	return s.processes[(first+try)%len(s.processes)].front
}

// runSubmitter submits one job, at another process after each failure, and may cancel
// it later.
func (s *soak) runSubmitter(ctx context.Context, j *job, cancelAfter time.Duration) {
	if !s.submit(ctx, j) || !j.cancelled {
		return
	}
	sleep(ctx, cancelAfter)
	for try := 0; ctx.Err() == nil; try++ {
		switch s.submitter.Cancel(ctx, s.front(j, try), j.ID) {
		case aqfake.OutcomeAccepted, aqfake.OutcomeGone:
			return
		case aqfake.OutcomeRefused, aqfake.OutcomeUnknown:
			sleep(ctx, retryDelay)
		}
	}
}

func (s *soak) submit(ctx context.Context, j *job) bool {
	for try := range maxSubmitTries {
		result, err := s.submitter.Submit(ctx, s.front(j, try), j.ID, j.payload(), j.steps())
		if err != nil {
			s.checker.AddViolation("job %s: %v", j.ID, err)
			return false
		}
		s.checker.recordSubmission(j, result)
		if result == aqfake.OutcomeAccepted {
			return true
		}
		sleep(ctx, retryDelay)
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
