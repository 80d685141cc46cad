package aqdecider

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/internal/site/aqspeed"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// unevenLoad plays jobs of eight tasks of about half a second on workers of which some are slow, and some let tasks
// stand still, for seconds.
type unevenLoad struct {
	*harness
	random *rand.Rand
	// speculative and measured switch copies, and the measuring of speeds, on.
	speculative, measured bool
	// trouble is set while an eighth of the workers are slow and one lets its tasks stand still.
	trouble bool
	// left is the work that the runs have before them, size what all of it was.
	left, size map[RunID]time.Duration
	// work holds what a task takes on a sound worker.
	work map[aqjob.TaskID]time.Duration
	// lastEnd numbers the ends of each worker.
	lastEnd map[aqtype.WorkerID]int
	// thrown is the work of runs that were stopped.
	thrown time.Duration
}

const (
	unevenWorkers   = 24
	unevenStep      = 20 * time.Millisecond
	unevenReports   = 900 * time.Millisecond
	unevenWatched   = 300 * time.Millisecond
	unevenObjective = 1600 * time.Millisecond
)

// factor returns how many times as long tasks take on a worker, zero where they stand still.
func (u *unevenLoad) factor(worker int) time.Duration {
	switch {
	case !u.trouble:
		return 1
	case worker%8 == 3:
		return 5
	case worker%24 == 7:
		return 0
	}
	return 1
}

func (u *unevenLoad) step(number int) {
	u.advance(unevenStep)
	for i, id := range u.d.WorkerIDs() {
		var ends []EndReport
		for run, report := range u.running[id] {
			if factor := u.factor(i); factor > 0 {
				u.left[run] -= unevenStep / factor
			}
			report.Percent = int(100 * (u.size[run] - u.left[run]) / u.size[run])
			u.running[id][run] = report
			if u.left[run] <= 0 {
				ends = append(ends, EndReport{Run: run, Reason: EndDone})
			}
		}
		slices.SortFunc(ends, func(a, b EndReport) int { return strings.Compare(a.Run.Task.String(), b.Run.Task.String()) })
		u.end(i, id, ends, number)
	}
	u.stopped = nil
	u.started = nil
	u.tick()
	for _, s := range u.started {
		if u.work[s.Run.Task] == 0 {
			u.work[s.Run.Task] = time.Duration((0.8 + 0.4*u.random.Float64()) * float64(500*time.Millisecond))
		}
		u.size[s.Run] = u.work[s.Run.Task]
		u.left[s.Run] = u.size[s.Run]
	}
	for _, s := range u.stopped {
		if _, runs := u.running[s.Worker][s.Run]; runs {
			u.thrown += u.size[s.Run] - u.left[s.Run]
			u.end(-1, s.Worker, []EndReport{{Run: s.Run, Reason: EndStopped}}, number)
		}
	}
}

// end reports the ends of runs on a worker, at once, and what goes on there from time to time.
func (u *unevenLoad) end(worker int, id aqtype.WorkerID, ends []EndReport, number int) {
	for i := range ends {
		u.lastEnd[id]++
		ends[i].Number = u.lastEnd[id]
		delete(u.running[id], ends[i].Run)
	}
	interval := unevenReports
	if u.d.NeedsFrequentHeartbeats(id) {
		interval = unevenWatched
	}
	if len(ends) > 0 || (number+worker)%int(interval/unevenStep) == 0 {
		u.reportInOrder(id, ends)
	}
	if !u.measured {
		u.d.speeds = aqspeed.New()
	}
}

// reportInOrder makes a worker report its runs in the order of their tasks.
func (u *unevenLoad) reportInOrder(id aqtype.WorkerID, ends []EndReport) {
	report := WorkerReport{
		Incarnation: 1,
		Complete:    true,
		Sent:        u.nextTime(),
		Ended:       ends,
		Clock:       time.Duration(u.now.UnixNano()),
	}
	for _, running := range u.running[id] {
		report.Running = append(report.Running, running)
	}
	slices.SortFunc(report.Running, func(a, b RunReport) int {
		return strings.Compare(a.Run.Task.String(), b.Run.Task.String())
	})
	u.d.WorkerReported(id, report)
}

// play returns what the callers of half a minute get.
func (u *unevenLoad) play(t *testing.T) (inTime int, took []time.Duration) {
	var workers []Worker
	for i := range unevenWorkers {
		workers = append(workers, poolWorker(fmt.Sprintf("w%02d", i), "r1-1", 2000))
	}
	u.harness = newHarness(t, workers...)
	open := map[aqjob.ID]time.Time{}
	for number := range 2000 {
		u.trouble = number >= 300 && number < 1200
		if number < 1500 && number%10 == 0 {
			group := tasks(8, 1000)
			group.Speculative = u.speculative
			group.Estimate = time.Duration((0.3 + 0.6*u.random.Float64()) * float64(time.Second))
			job := testJob(number+1, group)
			job.AcceptedAt = u.now.UnixMilli()
			job.Queue.Target = 600 * time.Millisecond
			job.Queue.MaxAttempts = 4
			u.d.AddJob(job, nil, 0, false)
			open[job.ID] = u.now
		}
		u.step(number)
		for id, since := range open {
			if u.d.jobs[id].state.Final() {
				took = append(took, u.now.Sub(since))
				delete(open, id)
			}
		}
	}
	if len(open) > 0 {
		t.Fatalf("%d jobs have not ended", len(open))
	}
	slices.Sort(took)
	for _, each := range took {
		if each <= unevenObjective {
			inTime++
		}
	}
	return inTime, took
}

// What callers get while some workers are slow and tasks stand still on others: without measured speeds and copies, with
// speeds, and with both.
func TestCallersOfUnevenWorkers(t *testing.T) {
	var out strings.Builder
	before := 0
	for _, variant := range []struct {
		name                  string
		speculative, measured bool
	}{
		{name: "neither"},
		{name: "speeds", measured: true},
		{name: "copies", speculative: true},
		{name: "speeds and copies", measured: true, speculative: true},
	} {
		u := &unevenLoad{
			random:      rand.New(rand.NewSource(1)),
			speculative: variant.speculative,
			measured:    variant.measured,
			left:        map[RunID]time.Duration{},
			size:        map[RunID]time.Duration{},
			work:        map[aqjob.TaskID]time.Duration{},
			lastEnd:     map[aqtype.WorkerID]int{},
		}
		inTime, took := u.play(t)
		metrics := u.d.options.Metrics
		fmt.Fprintf(&out, "%s: %d of %d jobs in time, 95 of 100 within %s, all within %s; copies %d, won %d, lost %d; work thrown away %s\n",
			variant.name, inTime, len(took), took[len(took)*95/100], took[len(took)-1], metrics.Value(aqmetric.CopiesStarted),
			metrics.Value(aqmetric.CopiesWon), metrics.Value(aqmetric.CopiesLost), u.thrown.Round(time.Second))
		if before == 0 {
			before = inTime
		} else if inTime <= before {
			t.Errorf("%s: %d jobs in time, %d without", variant.name, inTime, before)
		}
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "uneven_workers", []byte(out.String()))
}
