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

// harness is a decider with workers that accept every start. It only records stops and
// paces.
type harness struct {
	t           *testing.T
	d           *Decider
	now         time.Time
	logicalTime LogicalTime
	running     map[aqtype.WorkerID]map[RunID]RunReport
	started     []Start
	stopped     []Stop
	paced       []Pace
}

func newHarness(t *testing.T, workers ...Worker) *harness {
	h := &harness{
		t: t,
		d: New(Options{
			Limits:  Limits{Retention: time.Hour, StopGrace: 100 * time.Millisecond},
			Log:     aqlog.Discard(),
			Metrics: aqmetric.New(),
		}),
		now:     time.Unix(1_800_000_000, 0),
		running: map[aqtype.WorkerID]map[RunID]RunReport{},
	}
	h.d.SetTime(h.now, h.now)
	for _, w := range workers {
		h.running[w.ID] = map[RunID]RunReport{}
		h.d.UpdateWorker(w)
		h.d.MarkPersisted([]aqtype.WorkerID{w.ID})
		h.d.WorkerReported(w.ID, WorkerReport{Incarnation: w.Incarnation, Complete: true, Sent: h.nextTime()})
	}
	return h
}

func (h *harness) nextTime() LogicalTime {
	h.logicalTime++
	return h.logicalTime
}

func poolWorker(id, rack string, cpu aqtype.MilliCPU) Worker {
	return Worker{
		ID:          aqtype.WorkerID(id),
		Service:     testService,
		Labels:      []string{"a", rack},
		Capacity:    aqtype.Resources{MilliCPU: cpu, Memory: 100000},
		Incarnation: 1,
	}
}

func testJob(n int, groups ...aqjob.Group) *aqjob.Job {
	return &aqjob.Job{
		ID:     aqjob.ID(fmt.Sprintf("%016x", n)),
		Queue:  aqjob.Queue{ID: testQueue, Service: testService, MaxAttempts: 2, Stretch: 2, Target: time.Second},
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

// tick stores the restarts, runs one round and starts its tasks on the workers.
func (h *harness) tick() {
	h.d.MarkRestartsStored(h.d.RestartedIDs())
	for _, o := range h.d.Tick() {
		switch order := o.(type) {
		case Start:
			h.started = append(h.started, order)
			h.running[order.Worker][order.Run] = RunReport{Run: order.Run}
			h.d.StartAnswered(order.Worker, 1, order.Run, OutcomeAccepted, h.nextTime())
		case Stop:
			h.stopped = append(h.stopped, order)
		case Pace:
			h.paced = append(h.paced, order)
		}
	}
}

func (h *harness) advance(elapsed time.Duration) {
	h.now = h.now.Add(elapsed)
	h.d.SetTime(h.now, h.now)
}

// end ends a run on its worker.
func (h *harness) end(number int, s Start, reason EndReason) {
	delete(h.running[s.Worker], s.Run)
	h.report(s.Worker, EndReport{Number: number, Run: s.Run, Reason: reason})
}

func (h *harness) report(id aqtype.WorkerID, ends ...EndReport) {
	answer := WorkerReport{Incarnation: 1, Complete: true, Sent: h.nextTime(), Ended: ends, Clock: time.Duration(h.now.UnixNano())}
	for _, report := range h.running[id] {
		answer.Running = append(answer.Running, report)
	}
	h.d.WorkerReported(id, answer)
}

func (h *harness) startsByWorker() map[aqtype.WorkerID]int {
	count := map[aqtype.WorkerID]int{}
	for _, s := range h.started {
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
		h := newHarness(t, racks...)
		g := tasks(2, 1000)
		test.change(&g)
		h.d.AddJob(testJob(1, g), nil, 0, false)
		h.tick()
		if got := h.startsByWorker(); fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: started %v, want %v", test.name, got, test.want)
		}
	}
}

func TestGroupWaitsForItsPredecessors(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	second := tasks(1, 1000)
	second.After = []int{0}
	h.d.AddJob(testJob(1, tasks(2, 1000), second), nil, 0, false)
	h.tick()
	if len(h.started) != 2 {
		t.Fatalf("started %d tasks, want the first group's 2", len(h.started))
	}
	h.end(1, h.started[0], EndDone)
	h.tick()
	if len(h.started) != 2 {
		t.Fatal("the second group started before the first was done")
	}
	h.end(2, h.started[1], EndDone)
	h.tick()
	if len(h.started) != 3 || h.started[2].Run.Task.Group != 1 {
		t.Fatalf("started %v", h.started)
	}
}

// A final state must not be reported, nor the end acknowledged, before it is stored.
func TestCompletionIsShownWhenStored(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	job := testJob(1, tasks(1, 1000))
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	h.end(1, h.started[0], EndDone)
	if state, _ := h.d.State(job.ID); state != aqjob.StateRunning {
		t.Fatalf("state is %s before it is stored", state)
	}
	if number, _ := h.d.AckedEnds("w1"); number != 0 {
		t.Fatal("the end is acknowledged before it is stored")
	}
	batch := h.d.TakeBatch()
	for _, r := range batch.Records {
		h.d.RecordStored(r, 7)
	}
	h.d.BatchStored(batch)
	if state, _ := h.d.State(job.ID); state != aqjob.StateCompleted {
		t.Fatalf("state is %s after it was stored", state)
	}
	if number, _ := h.d.AckedEnds("w1"); number != 1 {
		t.Fatal("the end is not acknowledged")
	}
}

func TestFailedAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	job := testJob(1, tasks(1, 1000))
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	h.end(1, h.started[0], EndFailed)
	h.tick()
	if len(h.started) != 2 || h.started[1].Worker == h.started[0].Worker {
		t.Fatalf("the second attempt is not on another worker: %v", h.started)
	}
	// A repeated report of the same end counts once.
	h.report(h.started[0].Worker, EndReport{Number: 1, Run: h.started[0].Run, Reason: EndFailed})
	h.end(1, h.started[1], EndFailed)
	h.advance(time.Minute)
	h.tick()
	if len(h.started) != 2 {
		t.Fatal("a third attempt was started")
	}
}

// A cancellation that reaches the decider before its job must still cancel the job.
func TestEarlyCancellation(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	job := testJob(1, tasks(1, 1000))
	h.d.Cancel(job.ID)
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	if len(h.started) != 0 {
		t.Fatal("a cancelled job was started")
	}
}

// The cancellation of a job that is still stored is kept: the job would be read without it by the next leader.
func TestCancellationIsKeptAsLongAsItsJob(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	job := testJob(1, tasks(1, 1000))
	h.d.Cancel(job.ID)
	h.advance(time.Hour)
	h.tick()
	h.d.AddJob(job, nil, 0, false)
	h.advance(time.Minute)
	h.tick()
	if batch := h.d.TakeBatch(); len(batch.ExpiredCancels) != 0 {
		t.Fatal("the cancellation of a stored job is deleted")
	}
	h.advance(time.Hour)
	h.tick()
	batch := h.d.TakeBatch()
	if len(batch.Records) != 1 || !batch.Records[0].Delete {
		t.Fatalf("records %+v, want the deletion of the job", batch.Records)
	}
	h.d.RecordStored(batch.Records[0], 2)
	h.tick()
	if batch := h.d.TakeBatch(); len(batch.ExpiredCancels) != 1 || len(h.started) != 0 {
		t.Fatalf("%d cancellations are deleted after the job, want 1; %d starts", len(batch.ExpiredCancels), len(h.started))
	}
}

func TestDrainingWorkerIsEmptiedInTime(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	perpetual := tasks(1, 1000)
	perpetual.Perpetual = true
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.d.AddJob(testJob(2, perpetual), nil, 0, false)
	h.tick()
	leaving := poolWorker("w1", "r1-1", 8000)
	leaving.Draining = true
	leaving.Remaining = 2 * time.Second
	h.d.UpdateWorker(leaving)
	h.d.UpdateWorker(poolWorker("w2", "r1-1", 8000))
	h.tick()
	if len(h.stopped) != 1 || h.stopped[0].Run.Task.Job != testJob(2).ID {
		t.Fatalf("stopped at once: %v, want the perpetual task", h.stopped)
	}
	h.advance(2*time.Second + time.Millisecond)
	h.tick()
	if len(h.stopped) != 2 {
		t.Fatal("the other task was not stopped before the worker leaves")
	}
}

// Perpetual tasks must leave room for short tasks that arrive regularly. Once there has
// been ample room for a while, all of them start.
func TestPerpetualTasksLeaveHeadroom(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000))
	h.d.AddJob(testJob(1, tasks(4, 1000)), nil, 0, false)
	for range 40 {
		h.tick()
		h.advance(250 * time.Millisecond)
	}
	short := len(h.started)
	perpetual := tasks(6, 1000)
	perpetual.Perpetual = true
	h.d.AddJob(testJob(2, perpetual), nil, 0, false)
	h.tick()
	if got := len(h.started) - short; got == 0 || got == 6 {
		t.Fatalf("%d of 6 perpetual tasks started next to short ones", got)
	}
	for range 10 {
		h.advance(250 * time.Millisecond)
		h.tick()
	}
	if got := len(h.started) - short; got != 6 {
		t.Fatalf("%d of 6 perpetual tasks started after a while", got)
	}
}

// A filler next to a serving task over its tail latency target is slowed down, then
// suspended, and sped up once the tail latency is low again.
func TestFillersArePaced(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 10000))
	serving := tasks(1, 2000)
	serving.Perpetual, serving.Image, serving.TailTarget = true, "serving", 10*time.Millisecond
	filler := tasks(1, 1000)
	filler.Filler, filler.Image = true, "filler"
	h.d.AddJob(testJob(1, serving), nil, 0, false)
	h.tick()
	h.d.AddJob(testJob(2, filler), nil, 0, false)
	h.tick()
	if len(h.started) != 2 {
		t.Fatalf("started %v", h.started)
	}
	report := func(tail time.Duration, used aqtype.MilliCPU) {
		for id := range h.running["w1"] {
			r := RunReport{Run: id, Percent: 100, Tail: tail}
			if id.Task.Job == testJob(2).ID {
				r = RunReport{Run: id, Percent: 10, Usage: used}
			}
			h.running["w1"][id] = r
		}
		h.report("w1")
		h.tick()
		h.advance(700 * time.Millisecond)
	}
	for range 4 {
		report(20*time.Millisecond, 1000)
	}
	if len(h.paced) < 2 || h.paced[0].Percent != reducedPace || h.paced[1].Percent != 0 {
		t.Fatalf("paced %v", h.paced)
	}
	for range 8 {
		report(3*time.Millisecond, 0)
	}
	if last := h.paced[len(h.paced)-1]; last.Percent == 0 {
		t.Fatal("the filler was never sped up again")
	}
}

// A group of an advised queue starts only on workers with a valid ticket for that group.
func TestAdvisedGroupsNeedTickets(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	job := testJob(1, tasks(1, 1000), tasks(1, 1000))
	job.Groups[1].After = []int{0}
	job.Queue.Advised = true
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	requests := h.d.AdviceRequests()
	if len(h.started) != 0 || len(requests) != 1 || len(requests[0].Workers) != 2 {
		t.Fatalf("started %v, asked %v", h.started, requests)
	}
	if again := h.d.AdviceRequests(); len(again) != 0 {
		t.Fatalf("asked again: %v", again)
	}
	h.d.AdviceReceived(requests[0], Advice{Tickets: map[aqtype.WorkerID]string{"w2": "t"}, Valid: time.Second})
	h.tick()
	if len(h.started) != 1 || h.started[0].Worker != "w2" || h.started[0].Ticket != "t" {
		t.Fatalf("started %v", h.started)
	}
	h.end(1, h.started[0], EndDone)
	h.tick()
	if len(h.started) != 1 || len(h.d.AdviceRequests()) != 1 {
		t.Fatal("the second group used the first one's ticket")
	}
}

// Each occurrence starts when it is due and completes separately.
func TestOccurrences(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	job := testJob(1, tasks(1, 1000))
	job.Repeats = 2
	job.FirstAt = h.now.Add(time.Second).UnixMilli()
	job.Period = 2 * time.Second
	h.d.AddJob(job, nil, 0, false)
	h.tick()
	if len(h.started) != 0 {
		t.Fatal("started before the first occurrence is due")
	}
	h.advance(time.Second)
	h.tick()
	if len(h.started) != 1 {
		t.Fatal("the first occurrence did not start")
	}
	h.end(1, h.started[0], EndDone)
	h.advance(2 * time.Second)
	h.tick()
	if len(h.started) != 2 || h.started[1].Run.Task.Occurrence != 1 {
		t.Fatalf("started %v", h.started)
	}
	h.end(2, h.started[1], EndDone)
	for _, r := range h.d.TakeBatch().Records {
		if r.Progress.State != aqjob.StateCompleted {
			t.Fatalf("state %s", r.Progress.State)
		}
	}
}

// The members of a gang start with the same attempt number. When one of them ends
// without success, the others are stopped and all start again.
func TestGangStartsAnewTogether(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	g := tasks(2, 1000)
	g.Gang = true
	h.d.AddJob(testJob(1, g), nil, 0, false)
	h.tick()
	if len(h.started) != 2 {
		t.Fatalf("started %v", h.started)
	}
	h.end(1, h.started[0], EndFailed)
	h.tick()
	if len(h.started) != 2 || len(h.stopped) != 1 {
		t.Fatalf("started %v, stopped %v", h.started, h.stopped)
	}
	other := h.started[1]
	number := 1
	if other.Worker == h.started[0].Worker {
		number = 2
	}
	h.end(number, other, EndStopped)
	h.tick()
	if len(h.started) != 4 || h.started[2].Run.Attempt != 2 || h.started[3].Run.Attempt != 2 {
		t.Fatalf("started %v", h.started)
	}
}

// A perpetual task may be moved only while the unavailable tasks of its group are within
// the disruption budget.
func TestMovesKeepTheDisruptionBudget(t *testing.T) {
	for _, test := range []struct {
		name        string
		budget      int
		unavailable int
		ends        bool
		want        bool
	}{
		{name: "all ready", budget: 1, want: true},
		{name: "one unavailable", budget: 1, unavailable: 1, want: false},
		{name: "one of two unavailable", budget: 2, unavailable: 1, want: true},
		{name: "no budget is one at a time", budget: 0, unavailable: 1, want: false},
		{name: "tasks that end", budget: 0, unavailable: 3, ends: true, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := tasks(3, 100)
			spec.Perpetual, spec.DisruptionBudget = !test.ends, test.budget
			g := &group{spec: &spec}
			for n := range spec.Count {
				placed := &task{group: g}
				if n >= test.unavailable {
					placed.run = &run{state: runRunning, report: RunReport{Percent: readyPercent}}
				}
				g.tasks = append(g.tasks, placed)
			}
			if got := g.canDisrupt(); got != test.want {
				t.Errorf("a task may be moved: %v", got)
			}
		})
	}
}

// A start without an answer is stopped after a time-out, and a stop without an answer is
// sent again after each time-out. Otherwise a lost order would block its task.
func TestLostOrdersAreRepeated(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 4000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	orders := h.d.Tick()
	if len(orders) != 1 {
		t.Fatalf("ordered %v", orders)
	}
	stop := Stop{Worker: "w1", Run: orders[0].(Start).Run}
	for _, timeout := range []time.Duration{startTimeout, stopOrderTimeout, stopOrderTimeout} {
		h.advance(timeout)
		if orders := h.d.Tick(); len(orders) > 0 {
			t.Fatalf("ordered %v before %s have passed", orders, timeout)
		}
		h.advance(reviewPeriod)
		if orders := h.d.Tick(); len(orders) != 1 || orders[0] != Order(stop) {
			t.Fatalf("ordered %v after %s", orders, timeout)
		}
	}
}

// A failed attempt whose end is stored must count once when its worker reports it again
// to the next leader.
func TestRepeatedFailureCountsOnce(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 4000))
	job := testJob(1, tasks(1, 1000))
	progress := &aqjob.Progress{
		State: aqjob.StateRunning,
		Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{
			0: {Done: []byte{0}, Failed: map[int][]int{0: {5}}},
		},
	}
	h.d.AddJob(job, progress, 1, true)
	run := RunID{Task: aqjob.TaskID{Job: job.ID}, Attempt: 5}
	h.report("w1", EndReport{Number: 1, Run: run, Reason: EndFailed})
	h.tick()
	if len(h.started) != 1 {
		t.Fatalf("one of two attempts has failed, started %v", h.started)
	}
}
