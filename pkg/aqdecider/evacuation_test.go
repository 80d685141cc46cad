package aqdecider

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

const zoneStep = 100 * time.Millisecond

// zoneHarness is a harness with workers in zones a, b and c. Runs end as they are ordered to, finite ones also after their
// estimate, and the checks hold of every decision.
type zoneHarness struct {
	*harness
	zones     map[aqtype.Zone]aqevacuation.Condition
	zoneOf    map[aqtype.WorkerID]aqtype.Zone
	startedAt map[RunID]time.Time
	ends      map[aqtype.WorkerID]int
	// lost holds the workers that do not answer.
	lost map[aqtype.WorkerID]bool
	// keepsStopped is set while runs do not end that are ordered to stop.
	keepsStopped bool
	seen         int
}

func zoneWorkers(perZone int, cpu aqtype.MilliCPU) (workers []Worker) {
	for _, zone := range []string{"a", "b", "c"} {
		for i := range perZone {
			w := poolWorker(fmt.Sprintf("%s%d", zone, i), "r1-"+zone, cpu)
			w.Zone = aqtype.Zone(zone)
			workers = append(workers, w)
		}
	}
	return workers
}

func newZoneHarness(t *testing.T, perZone int, cpu aqtype.MilliCPU) *zoneHarness {
	h := &zoneHarness{
		zoneOf:    map[aqtype.WorkerID]aqtype.Zone{},
		startedAt: map[RunID]time.Time{},
		ends:      map[aqtype.WorkerID]int{},
		lost:      map[aqtype.WorkerID]bool{},
	}
	workers := zoneWorkers(perZone, cpu)
	for _, w := range workers {
		h.zoneOf[w.ID] = w.Zone
	}
	h.harness = newHarness(t, workers...)
	h.evacuate()
	return h
}

// evacuate makes the given zones the evacuated ones.
func (h *zoneHarness) evacuate(evacuated ...aqtype.Zone) {
	h.zones = map[aqtype.Zone]aqevacuation.Condition{}
	for _, zone := range []aqtype.Zone{"a", "b", "c"} {
		h.zones[zone] = aqevacuation.Open
		if slices.Contains(evacuated, zone) {
			h.zones[zone] = aqevacuation.Evacuated
		}
	}
	h.d.SetZones(h.zones)
}

func (h *zoneHarness) group(id RunID) *group {
	t := h.d.task(id.Task)
	if t == nil {
		return nil
	}
	return t.group
}

// step lets the workers run for a while. It checks that nothing is started in a closed zone and that no group is disrupted
// beyond its budget.
func (h *zoneHarness) step() {
	h.t.Helper()
	stops := len(h.stopped)
	h.tick()
	for _, s := range h.started[h.seen:] {
		h.startedAt[s.Run] = h.now
		if condition := h.zones[h.zoneOf[s.Worker]]; condition != aqevacuation.Open {
			h.t.Fatalf("%s is started on %s, whose zone is %s", s.Run.Task, s.Worker, condition)
		}
	}
	h.seen = len(h.started)
	h.advance(zoneStep)
	for _, s := range h.stopped[stops:] {
		if g := h.group(s.Run); g != nil && g.spec.Perpetual && !g.spec.Gang {
			if _, away := h.away(g); away > max(1, g.spec.DisruptionBudget) {
				h.t.Fatalf("%d tasks of %s are away, its budget is %d", away, g.key(), g.spec.DisruptionBudget)
			}
		}
		if !h.keepsStopped {
			h.endRun(s.Worker, s.Run, EndStopped)
		}
	}
	for id := range h.running {
		if h.lost[id] {
			continue
		}
		for run, report := range h.running[id] {
			report.Percent = min(100, report.Percent+25)
			h.running[id][run] = report
			g := h.group(run)
			if g != nil && !g.spec.Perpetual && h.now.Sub(h.startedAt[run]) >= g.spec.Estimate {
				h.endRun(id, run, EndDone)
			}
		}
		h.report(id)
	}
}

func (h *zoneHarness) endRun(worker aqtype.WorkerID, run RunID, reason EndReason) {
	if _, running := h.running[worker][run]; !running || h.lost[worker] {
		return
	}
	h.ends[worker]++
	h.end(h.ends[worker], Start{Worker: worker, Run: run}, reason)
}

// away counts the tasks of a group that are at work, and the others.
func (h *zoneHarness) away(g *group) (working, away int) {
	for _, t := range g.tasks {
		if t.run != nil && t.run.state == runRunning && t.run.report.Percent >= readyPercent {
			working++
		} else {
			away++
		}
	}
	return working, away
}

func (h *zoneHarness) run(steps int) {
	h.t.Helper()
	for range steps {
		h.step()
	}
}

// left counts the runs on the workers of zone a.
func (h *zoneHarness) left() (runs int) {
	for id, running := range h.running {
		if h.zoneOf[id] == "a" {
			runs += len(running)
		}
	}
	return runs
}

// lose takes the power of a zone's workers.
func (h *zoneHarness) lose(zone aqtype.Zone) {
	for id, of := range h.zoneOf {
		if of != zone {
			continue
		}
		h.lost[id] = true
		clear(h.running[id])
		h.d.WorkerUnresponsive(id)
		h.d.DelistWorker(id)
		h.d.LeaseExpired(id)
	}
}

func perpetual(count, budget int) aqjob.Group {
	g := tasks(count, 1000)
	g.Perpetual = true
	g.DisruptionBudget = budget
	return g
}

// The load: watchers that last in all zones, while short tasks keep arriving. One zone is emptied, and taken back.
func TestZoneIsEmptiedUnderLoad(t *testing.T) {
	h := newZoneHarness(t, 8, 16000)
	for i := range 6 {
		h.d.AddJob(testJob(i+1, perpetual(14, 2)), nil, 0, false)
	}
	h.run(60)
	if h.left() == 0 {
		t.Fatal("nothing runs in the zone")
	}
	h.evacuate("a")
	submitted := 100
	for range 60 {
		submitted++
		h.d.AddJob(testJob(submitted, tasks(5, 1800)), nil, 0, false)
		h.step()
	}
	if left := h.left(); left != 0 {
		t.Errorf("%d runs are left in the zone after 6 s: %+v", left, h.d.ViewEvacuations())
	}
	h.evacuate()
	for range 20 {
		submitted++
		h.d.AddJob(testJob(submitted, tasks(20, 1800)), nil, 0, false)
		h.step()
	}
	if h.left() == 0 {
		t.Error("nothing is started in the zone after it has been taken back")
	}
}

// Each case begins with perpetual tasks in all zones, and the checks of zoneHarness.step hold throughout.
func TestEvacuations(t *testing.T) {
	for _, test := range []struct {
		name string
		// perZone and count set how much room there is: each worker has eight places.
		perZone, count int
		change         func(*aqjob.Group)
		do             func(*zoneHarness)
		// left is how much is to run in zone a at the end, negative for some.
		left    int
		working int
	}{
		{name: "one zone", perZone: 3, count: 12, do: func(h *zoneHarness) { h.evacuate("a") }, working: 12},
		{
			name: "the same zone twice", perZone: 3, count: 12, working: 12,
			do: func(h *zoneHarness) {
				h.evacuate("a")
				h.run(50)
				h.evacuate()
				h.run(20)
				h.evacuate("a")
			},
		},
		{name: "two zones", perZone: 3, count: 12, do: func(h *zoneHarness) { h.evacuate("a", "b") }, working: 12},
		{name: "all zones", perZone: 3, count: 12, do: func(h *zoneHarness) { h.evacuate("a", "b", "c") }, left: -1, working: 12},
		{
			name: "another zone is lost", perZone: 3, count: 12, working: 12,
			do: func(h *zoneHarness) {
				h.evacuate("a")
				h.run(5)
				h.lose("b")
			},
		},
		{
			name: "taken back during the move", perZone: 3, count: 12, left: -1, working: 12,
			do: func(h *zoneHarness) {
				h.evacuate("a")
				h.run(3)
				h.evacuate()
			},
		},
		{name: "no room elsewhere", perZone: 1, count: 24, do: func(h *zoneHarness) { h.evacuate("a") }, left: 8, working: 24},
		{
			name: "a gang", perZone: 3, count: 6, working: 6,
			change: func(g *aqjob.Group) { g.Gang = true },
			do:     func(h *zoneHarness) { h.evacuate("a") },
		},
		{
			name: "a gang without room for all", perZone: 1, count: 20, left: -1, working: 20,
			change: func(g *aqjob.Group) { g.Gang = true },
			do:     func(h *zoneHarness) { h.evacuate("a") },
		},
		{
			name: "not verified", perZone: 3, count: 12, left: -1, working: 12,
			do: func(h *zoneHarness) {
				h.zones = map[aqtype.Zone]aqevacuation.Condition{"a": aqevacuation.Unverified}
				h.d.SetZones(h.zones)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newZoneHarness(t, test.perZone, 8000)
			g := perpetual(test.count, 2)
			if test.change != nil {
				test.change(&g)
			}
			job := testJob(1, g)
			h.d.AddJob(job, nil, 0, false)
			h.run(80)
			if h.left() == 0 {
				t.Fatal("nothing runs in the zone")
			}
			test.do(h)
			h.run(120)
			if left := h.left(); left != test.left && (test.left >= 0 || left == 0) {
				t.Errorf("%d runs are left, want %d; %+v", left, test.left, h.d.ViewEvacuations())
			}
			if working, _ := h.away(h.d.jobs[job.ID].occurrences[0].groups[0]); working != test.working {
				t.Errorf("%d tasks are at work, want %d", working, test.working)
			}
		})
	}
}

// The moves on their way count: no more leave than the places elsewhere, also while their runs take long to stop.
func TestMovesDoNotExceedTheRoom(t *testing.T) {
	h := newZoneHarness(t, 1, 8000)
	for i := range 5 {
		h.d.AddJob(testJob(i+1, perpetual(4, 4)), nil, 0, false)
	}
	h.run(60)
	h.keepsStopped = true
	h.evacuate("a")
	h.run(150)
	if got := len(h.stopped); got != 4 || h.left() != 8 {
		t.Errorf("%d of %d runs are stopped, want 4 for the 4 places elsewhere", got, h.left())
	}
}

// Tasks that have no place elsewhere do not keep the others waiting, though one look cannot search for all.
func TestTasksWithoutAPlaceDelayNoOthers(t *testing.T) {
	h := newZoneHarness(t, 40, 8000)
	bound := perpetual(90, 90)
	bound.Constraint = "r1-a"
	h.d.AddJob(testJob(1, bound), nil, 0, false)
	h.run(60)
	h.d.AddJob(testJob(2, perpetual(1, 1)), nil, 0, false)
	h.run(60)
	if h.left() != 91 {
		t.Fatalf("%d runs in the zone, want 91", h.left())
	}
	h.evacuate("a")
	h.run(30)
	if h.left() != 90 {
		t.Errorf("%d runs are left in the zone, want the 90 that have no place elsewhere", h.left())
	}
}

// Tasks that end run to their end; a filler that is suspended is interrupted and resumes from its checkpoint elsewhere.
func TestFinishingAndSlowedTasksInAnEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name       string
		checkpoint bool
		pace       int
		stopped    int
	}{
		{name: "at full pace", checkpoint: true, pace: fullPace},
		{name: "suspended", checkpoint: true, pace: 0, stopped: 1},
		{name: "slowed", checkpoint: true, pace: reducedPace, stopped: 1},
		{name: "suspended, without checkpoints", pace: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newZoneHarness(t, 2, 8000)
			filler := tasks(1, 1000)
			filler.Filler, filler.Checkpointing, filler.Estimate = true, test.checkpoint, time.Minute
			finite := tasks(30, 1000)
			finite.Estimate = time.Minute
			h.d.AddJob(testJob(1, filler), nil, 0, false)
			h.d.AddJob(testJob(2, finite), nil, 0, false)
			h.run(15)
			r := h.d.jobs[testJob(1).ID].occurrences[0].groups[0].tasks[0].run
			r.pace, r.slowSince, r.paceAt = test.pace, h.now.Add(-2*relocateDelay), h.now
			zone := r.worker.info.Zone
			h.evacuate(zone)
			h.run(3)
			if len(h.stopped) != test.stopped {
				t.Fatalf("%d runs are stopped, want %d: %+v", len(h.stopped), test.stopped, h.d.ViewEvacuations())
			}
			if next := h.started[len(h.started)-1]; test.stopped > 0 && (next.Run.Task != r.id.Task || h.zoneOf[next.Worker] == zone) {
				t.Errorf("the last start is %+v", next)
			}
		})
	}
}

// A new leader takes the moves over: what waits is placed in open zones, and what still runs in the zone leaves.
func TestNextLeaderGoesOnWithAnEvacuation(t *testing.T) {
	h := newZoneHarness(t, 3, 8000)
	job := testJob(1, perpetual(12, 2))
	h.d.AddJob(job, nil, 0, false)
	h.run(80)
	h.evacuate("a")
	h.run(1)
	running := h.running
	next := newZoneHarness(t, 3, 8000)
	next.running, next.startedAt, next.ends, next.now = running, h.startedAt, h.ends, h.now
	next.evacuate("a")
	next.d.options.FirstAttempt = 4096
	next.d.SetTime(next.now, next.now)
	var ids []aqtype.WorkerID
	for id := range running {
		ids = append(ids, id)
	}
	next.d.AwaitReports(ids, next.now.Add(leasesEnd))
	next.d.AddJob(job, nil, 0, true)
	for id := range running {
		next.report(id)
	}
	next.run(100)
	if left := next.left(); left != 0 {
		t.Errorf("%d runs are left in the zone", left)
	}
	if working, _ := next.away(next.d.jobs[job.ID].occurrences[0].groups[0]); working != 12 {
		t.Errorf("%d tasks are at work, want 12", working)
	}
}

// What an operator sees of an evacuation.
func TestViewEvacuations(t *testing.T) {
	h := newZoneHarness(t, 1, 8000)
	lasting := tasks(6, 1000)
	lasting.Estimate = time.Minute
	h.d.AddJob(testJob(1, perpetual(18, 2)), nil, 0, false)
	h.d.AddJob(testJob(2, lasting), nil, 0, false)
	h.run(80)
	var out strings.Builder
	show := func(name string) {
		fmt.Fprintf(&out, "%s\n", name)
		for _, v := range h.d.ViewEvacuations() {
			fmt.Fprintf(&out, "  %s %s %q %d: %s\n", v.Zone, v.Since, v.Group, v.Runs, v.Why)
		}
	}
	show("none")
	h.evacuate("a")
	h.run(10)
	show("no room elsewhere")
	h.evacuate("a", "b", "c")
	h.run(10)
	show("all zones")
	h.evacuate("a")
	h.lose("a")
	h.run(1)
	show("lost")
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "evacuations", []byte(out.String()))
}

// A worker that is still slow after its start gets tasks only where no warm one has room.
func TestWarmWorkersArePreferred(t *testing.T) {
	cold, warm := poolWorker("w1", "r1-1", 4000), poolWorker("w2", "r1-1", 4000)
	cold.Cold = 3 * time.Second
	h := newHarness(t, cold, warm)
	h.d.AddJob(testJob(1, tasks(6, 1000)), nil, 0, false)
	h.tick()
	if got := h.startsByWorker(); got["w2"] != 4 || got["w1"] != 2 {
		t.Errorf("starts by worker: %v, want w2 filled first", got)
	}
	h.advance(4 * time.Second)
	if score := h.d.score(h.d.jobs[testJob(1).ID].occurrences[0].groups[0], h.d.workers["w1"], aqtype.Resources{}); score >= weightCold {
		t.Errorf("the worker still counts as cold, score %v", score)
	}
}
