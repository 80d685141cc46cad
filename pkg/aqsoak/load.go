package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"time"

	"acaciaquay/platform/aqfake"
)

// Parameters of a soak's jobs.
const (
	// submitPeriod is the time between two submissions.
	submitPeriod = 150 * time.Millisecond
	// callTimeout is the timeout of one call of a submitter.
	callTimeout = 3 * time.Second
	// retryDelay is the delay between two tries of a call.
	retryDelay = 300 * time.Millisecond
	// maxSubmitTries is the maximum number of tries of one submission.
	maxSubmitTries = 5
	// cancelShare is the fraction of the non-perpetual jobs that are cancelled.
	cancelShare = 0.1
	// failingShare is the fraction of the non-perpetual jobs whose last task group
	// always fails.
	failingShare = 0.05
	// perpetualShare is the fraction of the jobs that run until they are cancelled.
	perpetualShare = 0.05
	// largeSource keeps the random source of large jobs apart.
	largeSource = 1 << 36
	// maxCancelDelay is the maximum time from acceptance to cancellation.
	maxCancelDelay = 3 * time.Second
)

// drawJob returns a random job.
func drawJob(random *rand.Rand, number int) *job {
	j := &job{
		ID:       fmt.Sprintf("%016x", number+1),
		toCancel: random.Float64() < cancelShare,
	}
	if random.Float64() < perpetualShare {
		j.toCancel = true
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

// The tasks of a group of a large job.
const (
	minLargeGroup = 10
	maxLargeGroup = 40
)

// enlarge draws larger groups for a job that ends.
func (j *job) enlarge(random *rand.Rand) {
	for n := range j.Groups {
		if g := &j.Groups[n]; !g.Work.Perpetual {
			g.Count = minLargeGroup + random.Intn(maxLargeGroup-minLargeGroup+1)
		}
	}
}

// siblings is the least number of tasks in a speculative group, so that one that lags can be told.
const siblings = 4

// speculate permits copies of the tasks of a job that ends.
func (j *job) speculate() {
	for n := range j.Groups {
		g := &j.Groups[n]
		if !g.Work.Perpetual {
			g.Speculative = true
			g.Count = max(g.Count, siblings)
			g.MilliCPU = 1000
		}
	}
}

// lagFactor is how many times as long the first task of a speculative group takes in its first run.
const lagFactor = 8

// work returns the work of a run. first is set for the first run of a task.
func (g *group) work(index int, first bool) aqfake.Work {
	work := g.Work
	if g.Speculative && first && index == 0 {
		work.Duration *= lagFactor
	}
	return work
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
			Speculative:   g.Speculative,
		})
	}
	return steps
}

// submitAddress returns the address to which the given try of a call for job j goes.
// Each try goes to the next process.
func (s *soak) submitAddress(j *job, try int) string {
	return s.processes[(firstProcess(j.ID)+try)%len(s.processes)].submitAddress
}

// firstProcess returns a number that spreads jobs over any number of processes.
func firstProcess(id string) int {
	last := len(id) - 1
	// An id that is no number spreads by its last character only.
	before, _ := strconv.ParseInt(id[:last], 16, 64)
	return int(before)<<4 + int(id[last])
}

// runSubmitter submits one job. It retries at another process after a failure, and
// cancels the job later if toCancel is set.
func (s *soak) runSubmitter(ctx context.Context, j *job, cancelAfter time.Duration) {
	if !s.submit(ctx, j) || !j.toCancel {
		return
	}
	sleep(ctx, cancelAfter)
	for try := 0; ctx.Err() == nil; try++ {
		switch s.submitter.Cancel(ctx, s.submitAddress(j, try), j.ID) {
		case aqfake.OutcomeAccepted, aqfake.OutcomeGone:
			s.checker.cancelAcked(j)
			return
		case aqfake.OutcomeRefused, aqfake.OutcomeUnknown:
			sleep(ctx, retryDelay)
		}
	}
}

func (s *soak) submit(ctx context.Context, j *job) bool {
	for try := range maxSubmitTries {
		result, err := s.submitter.Submit(ctx, s.submitAddress(j, try), j.ID, j.payload(), j.steps())
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
