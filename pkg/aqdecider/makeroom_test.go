package aqdecider

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

const (
	playStep = 100 * time.Millisecond
	// playStop is how long a worker takes to stop a run.
	playStop = 100 * time.Millisecond
	// playWork is how long an urgent task works.
	playWork = 800 * time.Millisecond
	// firstUrgent is the number of the first urgent job.
	firstUrgent = 1000
)

// playedLoad runs a decider with workers that carry out its orders, in steps of playStep.
type playedLoad struct {
	*harness
	ends map[aqtype.WorkerID]int
	// finish is when each run ends, zero for those that last.
	finish map[RunID]time.Time
	// stopping is when runs that are being stopped have ended.
	stopping map[RunID]time.Time
	seenStop int
	seen     int
	// submitted and ended are when the urgent jobs were.
	submitted, ended map[aqjob.ID]time.Time
	// stops counts the stops of lasting tasks.
	stops map[aqjob.TaskID]int
}

func newPlayedLoad(t *testing.T, workers ...Worker) *playedLoad {
	return &playedLoad{
		harness:   newHarness(t, workers...),
		ends:      map[aqtype.WorkerID]int{},
		finish:    map[RunID]time.Time{},
		stopping:  map[RunID]time.Time{},
		submitted: map[aqjob.ID]time.Time{},
		ended:     map[aqjob.ID]time.Time{},
		stops:     map[aqjob.TaskID]int{},
	}
}

// lasting submits a job of tasks that last and fill the workers.
func (l *playedLoad) lasting(number, count int, cpu aqtype.MilliCPU) {
	g := tasks(count, cpu)
	g.Perpetual, g.AntiAffinity = true, 1
	l.d.AddJob(testJob(number, g), nil, 0, false)
}

// urgentJob returns a job that may take one and a half times its work and a quarter of a second.
func (l *playedLoad) urgentJob(number, count int, cpu aqtype.MilliCPU) *aqjob.Job {
	g := tasks(count, cpu)
	g.Estimate = playWork
	j := testJob(number, g)
	j.Queue.ID, j.Queue.Stretch, j.Queue.Target = "urgent", 1.5, 250*time.Millisecond
	j.AcceptedAt = l.now.UnixMilli()
	return j
}

func (l *playedLoad) submit(j *aqjob.Job) {
	l.submitted[j.ID] = l.now
	l.d.AddJob(j, nil, 0, false)
}

func (l *playedLoad) urgent(number, count int, cpu aqtype.MilliCPU) {
	l.submit(l.urgentJob(number, count, cpu))
}

func (l *playedLoad) step() {
	l.advance(playStep)
	var due []EndReport
	reports := map[aqtype.WorkerID][]EndReport{}
	for id, runs := range l.running {
		due = due[:0]
		for run, report := range runs {
			report.Percent = readyPercent
			runs[run] = report
			end := EndReport{Run: run, Reason: EndDone}
			at := l.finish[run]
			if stopped := l.stopping[run]; !stopped.IsZero() {
				end.Reason, at = EndStopped, stopped
			}
			if !at.IsZero() && !l.now.Before(at) {
				due = append(due, end)
			}
		}
		for _, end := range due {
			delete(runs, end.Run)
			l.ends[id]++
			end.Number = l.ends[id]
			reports[id] = append(reports[id], end)
		}
		l.report(id, reports[id]...)
	}
	l.tick()
	for ; l.seen < len(l.started); l.seen++ {
		run := l.started[l.seen].Run
		if _, urgent := l.submitted[run.Task.Job]; urgent {
			l.finish[run] = l.now.Add(playWork)
		}
	}
	for ; l.seenStop < len(l.stopped); l.seenStop++ {
		run := l.stopped[l.seenStop].Run
		l.stopping[run] = l.now.Add(playStop)
		l.stops[run.Task]++
		l.d.StopAnswered(l.stopped[l.seenStop].Worker, 1, run, l.nextTime())
	}
	for id := range l.submitted {
		if j := l.d.jobs[id]; l.ended[id].IsZero() && j.state == aqjob.StateCompleted {
			l.ended[id] = l.now
		}
	}
}

// away returns how many tasks of a job are not at work.
func (l *playedLoad) away(job int) int {
	n := 0
	for _, t := range l.d.jobs[testJob(job).ID].occurrences[0].groups[0].tasks {
		if t.run == nil || t.run.state != runRunning {
			n++
		}
	}
	return n
}

// A site is full of lasting tasks, and what each worker has left is less than most urgent tasks. Callers of the
// urgent queue are served in time, and no lasting job misses more than one task at a time.
func TestUrgentJobsAreServedOnASiteFullOfLastingTasks(t *testing.T) {
	const (
		sites   = 40
		lasting = 16
		jobs    = 60
	)
	var workers []Worker
	for n := range sites {
		workers = append(workers, poolWorker(fmt.Sprintf("w%02d", n), fmt.Sprintf("r1-%d", n/8), 16000))
	}
	l := newPlayedLoad(t, workers...)
	for n := range lasting {
		l.lasting(n, 10, 3600)
	}
	for range 40 {
		l.step()
	}
	for n := range lasting {
		if l.away(n) > 0 {
			t.Fatalf("setup: %d tasks of a lasting job are away", l.away(n))
		}
	}
	random := rand.New(rand.NewSource(1))
	awaySteps := 0
	for step := range 160 {
		if number := firstUrgent + step/2; step%2 == 0 && number < firstUrgent+jobs {
			l.urgent(number, 1+random.Intn(8), aqtype.MilliCPU(1000+random.Intn(4000)))
		}
		l.step()
		for n := range lasting {
			away := l.away(n)
			awaySteps += away
			if away > 1 {
				t.Fatalf("%d tasks of a lasting job are away", away)
			}
		}
	}
	inTime := 0
	for id, at := range l.submitted {
		if end := l.ended[id]; !end.IsZero() && end.Sub(at) <= 3*playWork/2+250*time.Millisecond+playStep {
			inTime++
		}
	}
	if inTime < jobs*9/10 {
		t.Errorf("%d of %d urgent jobs were served in time", inTime, jobs)
	}
	if most := lasting * 10 * 160 / 10; awaySteps > most {
		t.Errorf("lasting tasks were away for %d steps, want at most %d", awaySteps, most)
	}
	for id, n := range l.stops {
		if n > 2 {
			t.Errorf("%v was stopped %d times in 16 s", id, n)
		}
	}
	for n := range lasting {
		if l.away(n) > 0 {
			t.Errorf("%d tasks of a lasting job have not returned", l.away(n))
		}
	}
}

// Work of another queue gives way only if it is less urgent and can be resumed or fills.
func TestWhatGivesWay(t *testing.T) {
	for _, test := range []struct {
		name     string
		priority int
		change   func(*aqjob.Group)
		want     bool
	}{
		{name: "filler", priority: 2, change: func(g *aqjob.Group) { g.Filler = true }, want: true},
		{name: "resumes", priority: 2, change: func(g *aqjob.Group) { g.Checkpointing = true }, want: true},
		{name: "begins anew", priority: 2, change: func(*aqjob.Group) {}},
		{name: "as urgent", change: func(g *aqjob.Group) { g.Checkpointing = true }},
		{name: "gang", priority: 2, change: func(g *aqjob.Group) { g.Checkpointing, g.Gang = true, true }},
		{name: "lasting", change: func(g *aqjob.Group) { g.Perpetual = true }, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newPlayedLoad(t, poolWorker("w1", "r1-1", 4000))
			g := tasks(1, 3000)
			g.Size.Memory = 80000
			test.change(&g)
			j := testJob(1, g)
			j.Queue.Priority = test.priority
			l.d.AddJob(j, nil, 0, false)
			for range 5 {
				l.step()
			}
			urgent := tasks(1, 2000)
			urgent.Size.Memory = 30000
			j = testJob(2, urgent)
			j.AcceptedAt = l.now.UnixMilli()
			l.d.AddJob(j, nil, 0, false)
			for range 8 {
				l.step()
			}
			if got := len(l.stopped) == 1 && l.hasStarted(2); got != test.want {
				t.Errorf("it gave way: %v, %d stops", got, len(l.stopped))
			}
		})
	}
}

// The leader changes between the order to stop a lasting task and its end: the next one starts each task once.
func TestLeaderEndsWhileATaskGivesWay(t *testing.T) {
	for _, stopped := range []bool{true, false} {
		l := newPlayedLoad(t, poolWorker("w1", "r1-1", 4000))
		l.lasting(1, 1, 3000)
		for range 5 {
			l.step()
		}
		l.urgent(firstUrgent, 1, 2000)
		for range 6 {
			l.advance(playStep)
			l.report("w1")
			l.tick()
		}
		if len(l.stopped) != 1 {
			t.Fatalf("setup: %d stops", len(l.stopped))
		}
		run := l.stopped[0].Run
		n := l.next([]aqtype.WorkerID{"w1"}, poolWorker("w1", "r1-1", 4000))
		for _, j := range []*job{l.d.jobs[testJob(1).ID], l.d.jobs[testJob(firstUrgent).ID]} {
			n.d.AddJob(j.spec, nil, 0, true)
		}
		if stopped {
			n.report("w1", EndReport{Number: 1, Run: run, Reason: EndStopped})
		} else {
			n.running["w1"][run] = RunReport{Run: run, Percent: readyPercent}
			n.report("w1")
		}
		for range 5 {
			n.tick()
			n.advance(playStep)
			n.report("w1")
		}
		lasting := 0
		for _, s := range n.started {
			if s.Run.Task.Job == testJob(1).ID {
				lasting++
			}
		}
		if stopped && lasting != 1 || !stopped && lasting != 0 {
			t.Errorf("stopped %v: the lasting task was started %d times", stopped, lasting)
		}
	}
}

// Of two lasting tasks, the one that is alone of its image on its worker gives way.
func TestLastingTaskAloneOfItsImageGivesWay(t *testing.T) {
	l := newPlayedLoad(t, poolWorker("w1", "r1-1", 10000))
	for number, image := range []string{"same", "same", "other"} {
		g := tasks(1, 3000)
		g.Perpetual, g.Image, g.TailTarget = true, image, time.Second
		l.d.AddJob(testJob(number, g), nil, 0, false)
		l.step()
	}
	l.urgent(firstUrgent, 1, 3000)
	for range 8 {
		l.step()
	}
	if len(l.stopped) != 1 || l.stopped[0].Run.Task.Job != testJob(2).ID {
		t.Errorf("stopped %v", l.stopped)
	}
}
