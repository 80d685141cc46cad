package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqtype"
)

// bench is a decider with workers that take every order.
type bench struct {
	t       *testing.T
	d       *Decider
	now     time.Time
	moment  LogicalTime
	running map[aqtype.WorkerID]map[RunID]RunReport
	started []Start
	stopped []Stop
	paced   []Pace
}

func newBench(t *testing.T, workers ...Worker) *bench {
	b := &bench{
		t: t,
		d: New(Options{
			Limits:  Limits{Retention: time.Hour, StopGrace: 100 * time.Millisecond},
			Log:     aqlog.Discard(),
			Metrics: aqmetric.New(),
		}),
		now:     time.Unix(1_800_000_000, 0),
		running: map[aqtype.WorkerID]map[RunID]RunReport{},
	}
	b.d.SetTime(b.now, b.now)
	for _, w := range workers {
		b.running[w.ID] = map[RunID]RunReport{}
		b.d.UpdateWorker(w)
		b.d.MarkPersisted([]aqtype.WorkerID{w.ID})
		b.d.WorkerReported(w.ID, WorkerReport{Incarnation: w.Incarnation, Complete: true, Sent: b.next()})
	}
	return b
}

func (b *bench) next() LogicalTime {
	b.moment++
	return b.moment
}

func poolWorker(id, rack string, cpu aqtype.MilliCPU) Worker {
	return Worker{
		ID:          aqtype.WorkerID(id),
		Service:     testPool,
		Labels:      []string{"a", rack},
		Capacity:    aqtype.Resources{MilliCPU: cpu, Memory: 100000},
		Incarnation: 1,
	}
}

func benchJob(n int, groups ...aqjob.Group) *aqjob.Job {
	return &aqjob.Job{
		ID:     aqjob.ID(fmt.Sprintf("%016x", n)),
		Queue:  aqjob.Queue{ID: testQueue, Service: testPool, MaxAttempts: 2, Stretch: 2, Target: time.Second},
		Groups: groups,
	}
}

func tasks(count int, cpu aqtype.MilliCPU) aqjob.Group {
	return aqjob.Group{
		Count:    count,
		Size:     aqtype.Resources{MilliCPU: cpu, Memory: 10},
		Estimate: time.Second,
	}
}

// tick runs one round and lets the workers take its orders.
func (b *bench) tick() {
	for _, o := range b.d.Tick() {
		switch order := o.(type) {
		case Start:
			b.started = append(b.started, order)
			b.running[order.Worker][order.Run] = RunReport{Run: order.Run}
			b.d.StartAnswered(order.Worker, 1, order.Run, OutcomeAccepted, b.next())
		case Stop:
			b.stopped = append(b.stopped, order)
		case Pace:
			b.paced = append(b.paced, order)
		}
	}
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.d.SetTime(b.now, b.now)
}

// end ends a run on its worker.
func (b *bench) end(number int, s Start, how EndReason) {
	delete(b.running[s.Worker], s.Run)
	b.look(s.Worker, EndReport{Number: number, Run: s.Run, Reason: how})
}

func (b *bench) look(id aqtype.WorkerID, ends ...EndReport) {
	l := WorkerReport{Incarnation: 1, Complete: true, Sent: b.next(), Ended: ends}
	for _, report := range b.running[id] {
		l.Running = append(l.Running, report)
	}
	b.d.WorkerReported(id, l)
}

func (b *bench) where() map[aqtype.WorkerID]int {
	count := map[aqtype.WorkerID]int{}
	for _, s := range b.started {
		count[s.Worker]++
	}
	return count
}

func TestPlacement(t *testing.T) {
	racks := []Worker{poolWorker("w1", "r1-1", 4000), poolWorker("w2", "r1-2", 4000)}
	for _, test := range []struct {
		name   string
		change func(*aqjob.Group)
		want   map[aqtype.WorkerID]int
	}{
		{name: "affinity", change: func(g *aqjob.Group) { g.Affinity = "r1-2" }, want: map[aqtype.WorkerID]int{"w2": 2}},
		{name: "constraint", change: func(g *aqjob.Group) { g.Constraint = "r1-1" }, want: map[aqtype.WorkerID]int{"w1": 2}},
		{name: "constraint nobody meets", change: func(g *aqjob.Group) { g.Constraint = "b" }, want: map[aqtype.WorkerID]int{}},
		{name: "anti-affinity", change: func(g *aqjob.Group) { g.AntiAffinity = 1 }, want: map[aqtype.WorkerID]int{"w1": 1, "w2": 1}},
		{name: "capacity", change: func(g *aqjob.Group) { g.Size.MilliCPU = 3000 }, want: map[aqtype.WorkerID]int{"w1": 1, "w2": 1}},
		{name: "too large", change: func(g *aqjob.Group) { g.Size.MilliCPU = 5000 }, want: map[aqtype.WorkerID]int{}},
		{
			name:   "gang without room for all",
			change: func(g *aqjob.Group) { g.Gang, g.Count, g.Size.MilliCPU = true, 3, 3000 },
			want:   map[aqtype.WorkerID]int{},
		},
		{
			name:   "gang on one rack",
			change: func(g *aqjob.Group) { g.Gang, g.SameRack, g.Count, g.Size.MilliCPU = true, true, 4, 1000 },
			want:   map[aqtype.WorkerID]int{"w1": 4},
		},
	} {
		b := newBench(t, racks...)
		g := tasks(2, 1000)
		test.change(&g)
		b.d.AddJob(benchJob(1, g), nil, 0, false)
		b.tick()
		if got := b.where(); fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: started %v, want %v", test.name, got, test.want)
		}
	}
}

func TestGroupWaitsForItsPredecessors(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000))
	second := tasks(1, 1000)
	second.After = []int{0}
	b.d.AddJob(benchJob(1, tasks(2, 1000), second), nil, 0, false)
	b.tick()
	if len(b.started) != 2 {
		t.Fatalf("started %d tasks, want the first group's 2", len(b.started))
	}
	b.end(1, b.started[0], EndDone)
	b.tick()
	if len(b.started) != 2 {
		t.Fatal("the second group started before the first was done")
	}
	b.end(2, b.started[1], EndDone)
	b.tick()
	if len(b.started) != 3 || b.started[2].Run.Task.Group != 1 {
		t.Fatalf("started %v", b.started)
	}
}

// A final state is shown only once it is stored.
func TestCompletionIsShownWhenStored(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000))
	job := benchJob(1, tasks(1, 1000))
	b.d.AddJob(job, nil, 0, false)
	b.tick()
	b.end(1, b.started[0], EndDone)
	if state, _ := b.d.State(job.ID); state != aqjob.StateRunning {
		t.Fatalf("shown as %s before it is stored", state)
	}
	if number, _ := b.d.AckedEnds("w1"); number != 0 {
		t.Fatal("the end may be forgotten before it is stored")
	}
	batch := b.d.TakeBatch()
	for _, r := range batch.Records {
		b.d.RecordStored(r, 7)
	}
	b.d.BatchStored(batch)
	if state, _ := b.d.State(job.ID); state != aqjob.StateCompleted {
		t.Fatalf("shown as %s", state)
	}
	if number, _ := b.d.AckedEnds("w1"); number != 1 {
		t.Fatal("the end is not acknowledged")
	}
}

func TestFailedAttemptsAreBounded(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	job := benchJob(1, tasks(1, 1000))
	b.d.AddJob(job, nil, 0, false)
	b.tick()
	b.end(1, b.started[0], EndFailed)
	b.tick()
	if len(b.started) != 2 || b.started[1].Worker == b.started[0].Worker {
		t.Fatalf("the second try is not on another worker: %v", b.started)
	}
	// The same end listed again counts once.
	b.look(b.started[0].Worker, EndReport{Number: 1, Run: b.started[0].Run, Reason: EndFailed})
	b.end(1, b.started[1], EndFailed)
	b.pass(time.Minute)
	b.tick()
	if len(b.started) != 2 {
		t.Fatal("a third try was started")
	}
}

// A cancellation may reach the decider before its job.
func TestEarlyCancellation(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000))
	job := benchJob(1, tasks(1, 1000))
	b.d.Cancel(job.ID)
	b.d.AddJob(job, nil, 0, false)
	b.tick()
	if len(b.started) != 0 {
		t.Fatal("a cancelled job was started")
	}
}

func TestDrainingWorkerIsEmptiedInTime(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000))
	standing := tasks(1, 1000)
	standing.Perpetual = true
	b.d.AddJob(benchJob(1, tasks(1, 1000)), nil, 0, false)
	b.d.AddJob(benchJob(2, standing), nil, 0, false)
	b.tick()
	leaving := poolWorker("w1", "r1-1", 8000)
	leaving.Draining = true
	leaving.Remaining = 2 * time.Second
	b.d.UpdateWorker(leaving)
	b.d.UpdateWorker(poolWorker("w2", "r1-1", 8000))
	b.tick()
	if len(b.stopped) != 1 || b.stopped[0].Run.Task.Job != benchJob(2).ID {
		t.Fatalf("stopped at once: %v, want the perpetual task", b.stopped)
	}
	b.pass(2*time.Second + time.Millisecond)
	b.tick()
	if len(b.stopped) != 2 {
		t.Fatal("the other task was not stopped before the worker leaves")
	}
}

// Perpetual tasks leave room for the short tasks that come regularly, but not
// once there has been ample room for a while.
func TestPerpetualTasksLeaveHeadroom(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 10000))
	b.d.AddJob(benchJob(1, tasks(4, 1000)), nil, 0, false)
	for range 40 {
		b.tick()
		b.pass(250 * time.Millisecond)
	}
	short := len(b.started)
	standing := tasks(6, 1000)
	standing.Perpetual = true
	b.d.AddJob(benchJob(2, standing), nil, 0, false)
	b.tick()
	if got := len(b.started) - short; got == 0 || got == 6 {
		t.Fatalf("%d of 6 perpetual tasks started beside short ones", got)
	}
	for range 10 {
		b.pass(250 * time.Millisecond)
		b.tick()
	}
	if got := len(b.started) - short; got != 6 {
		t.Fatalf("%d of 6 perpetual tasks started after a while", got)
	}
}

// The model finds out which of two fillers slows a serving image down.
func TestModelFindsTheHarmfulFiller(t *testing.T) {
	m := newInterference()
	for range 20 {
		m.observe("serving", 0.45, nil)
		m.observe("serving", 0.45, map[string]float64{"harmless": 0.2})
		m.observe("serving", 1.2, map[string]float64{"harmful": 0.15, "harmless": 0.1})
	}
	if f := m.factor("serving", "harmless"); f > harmfulFactor {
		t.Errorf("harmless filler has factor %.1f", f)
	}
	if f := m.factor("serving", "harmful"); f < harmfulFactor {
		t.Errorf("harmful filler has factor %.1f", f)
	}
}

// Fillers beside a tail over its target are slowed down, halted, and let go.
func TestFillersArePaced(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 10000))
	serving := tasks(1, 2000)
	serving.Perpetual, serving.Image, serving.TailTarget = true, "serving", 10*time.Millisecond
	filler := tasks(1, 1000)
	filler.Filler, filler.Image = true, "filler"
	b.d.AddJob(benchJob(1, serving), nil, 0, false)
	b.tick()
	b.d.AddJob(benchJob(2, filler), nil, 0, false)
	b.tick()
	if len(b.started) != 2 {
		t.Fatalf("started %v", b.started)
	}
	report := func(tail time.Duration, used aqtype.MilliCPU) {
		for id := range b.running["w1"] {
			r := RunReport{Run: id, Percent: 100, Tail: tail}
			if id.Task.Job == benchJob(2).ID {
				r = RunReport{Run: id, Percent: 10, Usage: used}
			}
			b.running["w1"][id] = r
		}
		b.look("w1")
		b.tick()
		b.pass(700 * time.Millisecond)
	}
	for range 4 {
		report(20*time.Millisecond, 1000)
	}
	if len(b.paced) < 2 || b.paced[0].Percent != lowPace || b.paced[1].Percent != 0 {
		t.Fatalf("paced %v", b.paced)
	}
	for range 8 {
		report(3*time.Millisecond, 0)
	}
	if last := b.paced[len(b.paced)-1]; last.Percent == 0 {
		t.Fatal("the filler was never let go again")
	}
}

// A group of an advised queue starts only on workers with a valid ticket.
func TestAdvisedGroupsNeedTickets(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	job := benchJob(1, tasks(1, 1000), tasks(1, 1000))
	job.Groups[1].After = []int{0}
	job.Queue.Advised = true
	b.d.AddJob(job, nil, 0, false)
	b.tick()
	questions := b.d.AdviceRequests()
	if len(b.started) != 0 || len(questions) != 1 || len(questions[0].Workers) != 2 {
		t.Fatalf("started %v, asked %v", b.started, questions)
	}
	if again := b.d.AdviceRequests(); len(again) != 0 {
		t.Fatalf("asked again: %v", again)
	}
	b.d.AdviceReceived(questions[0], Advice{Tickets: map[aqtype.WorkerID]string{"w2": "t"}, Valid: time.Second})
	b.tick()
	if len(b.started) != 1 || b.started[0].Worker != "w2" || b.started[0].Ticket != "t" {
		t.Fatalf("started %v", b.started)
	}
	b.end(1, b.started[0], EndDone)
	b.tick()
	if len(b.started) != 1 || len(b.d.AdviceRequests()) != 1 {
		t.Fatal("the second group used the first one's ticket")
	}
}

// Occurrences begin when they are due, and each is done for itself.
func TestOccurrences(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000))
	job := benchJob(1, tasks(1, 1000))
	job.Repeats = 2
	job.FirstAt = b.now.Add(time.Second).UnixMilli()
	job.Period = 2 * time.Second
	b.d.AddJob(job, nil, 0, false)
	b.tick()
	if len(b.started) != 0 {
		t.Fatal("started before the first occurrence is due")
	}
	b.pass(time.Second)
	b.tick()
	if len(b.started) != 1 {
		t.Fatal("the first occurrence did not start")
	}
	b.end(1, b.started[0], EndDone)
	b.pass(2 * time.Second)
	b.tick()
	if len(b.started) != 2 || b.started[1].Run.Task.Occurrence != 1 {
		t.Fatalf("started %v", b.started)
	}
	b.end(2, b.started[1], EndDone)
	for _, r := range b.d.TakeBatch().Records {
		if r.Progress.State != aqjob.StateCompleted {
			t.Fatalf("state %s", r.Progress.State)
		}
	}
}

// The members of a gang start with one attempt, and start anew together when one
// of them ends without success.
func TestGangStartsAnewTogether(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	g := tasks(2, 1000)
	g.Gang = true
	b.d.AddJob(benchJob(1, g), nil, 0, false)
	b.tick()
	if len(b.started) != 2 {
		t.Fatalf("started %v", b.started)
	}
	b.end(1, b.started[0], EndFailed)
	b.tick()
	if len(b.started) != 2 || len(b.stopped) != 1 {
		t.Fatalf("started %v, stopped %v", b.started, b.stopped)
	}
	other := b.started[1]
	number := 1
	if other.Worker == b.started[0].Worker {
		number = 2
	}
	b.end(number, other, EndStopped)
	b.tick()
	if len(b.started) != 4 || b.started[2].Run.Attempt != 2 || b.started[3].Run.Attempt != 2 {
		t.Fatalf("started %v", b.started)
	}
}

// Tasks that last are moved only while no more of their group are away than it
// bears.
func TestMovesKeepTheDisruptionBudget(t *testing.T) {
	for _, test := range []struct {
		name   string
		budget int
		away   int
		ends   bool
		want   bool
	}{
		{name: "all at work", budget: 1, want: true},
		{name: "one away", budget: 1, away: 1, want: false},
		{name: "one of two away", budget: 2, away: 1, want: true},
		{name: "no budget is one at a time", budget: 0, away: 1, want: false},
		{name: "tasks that end", budget: 0, away: 3, ends: true, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := tasks(3, 100)
			spec.Perpetual, spec.DisruptionBudget = !test.ends, test.budget
			g := &group{spec: &spec}
			for n := range spec.Count {
				placed := &task{group: g}
				if n >= test.away {
					placed.run = &run{state: runRunning, report: RunReport{Percent: readyPercent}}
				}
				g.tasks = append(g.tasks, placed)
			}
			if got := g.mayDisturb(); got != test.want {
				t.Errorf("a task may be moved: %v", got)
			}
		})
	}
}

// Orders of which nothing is heard are not waited for without end.
func TestLostOrdersAreRepeated(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 4000))
	b.d.AddJob(benchJob(1, tasks(1, 1000)), nil, 0, false)
	orders := b.d.Tick()
	if len(orders) != 1 {
		t.Fatalf("ordered %v", orders)
	}
	stop := Stop{Worker: "w1", Run: orders[0].(Start).Run}
	for _, patience := range []time.Duration{startPatience, stopOrderPatience, stopOrderPatience} {
		b.pass(patience)
		if orders := b.d.Tick(); len(orders) > 0 {
			t.Fatalf("ordered %v before %s are over", orders, patience)
		}
		b.pass(reviewPeriod)
		if orders := b.d.Tick(); len(orders) != 1 || orders[0] != Order(stop) {
			t.Fatalf("ordered %v after %s", orders, patience)
		}
	}
}

// A failed attempt that the store accounts for counts once when its worker lists
// it again to the next leader.
func TestRepeatedFailureCountsOnce(t *testing.T) {
	b := newBench(t, poolWorker("w1", "r1-1", 4000))
	job := benchJob(1, tasks(1, 1000))
	progress := &aqjob.Progress{
		State: aqjob.StateRunning,
		Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{
			0: {Done: []byte{0}, Failed: map[int][]int{0: {5}}},
		},
	}
	b.d.AddJob(job, progress, 1, true)
	run := RunID{Task: aqjob.TaskID{Job: job.ID}, Attempt: 5}
	b.look("w1", EndReport{Number: 1, Run: run, Reason: EndFailed})
	b.tick()
	if len(b.started) != 1 {
		t.Fatalf("one of two attempts has failed, started %v", b.started)
	}
}
