package aqdecider

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"acaciaquay/internal/site/aqwait"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// rackWorld has racks of workers whose tasks take offRack times as long away from their data.
type rackWorld struct {
	*harness
	begun  map[RunID]time.Time
	length map[aqjob.ID]time.Duration
	left   map[aqjob.ID]int
	near   map[aqjob.ID]string
	due    map[aqjob.ID]time.Time
	ends   map[aqtype.WorkerID]int
	seen   int
	inTime int
}

const (
	offRack       = 2.0
	hotRack       = "r1-1"
	rackStep      = 50 * time.Millisecond
	workersInRack = 4
)

func newRackWorld(t *testing.T, factor float64) *rackWorld {
	var workers []Worker
	for rack := range 6 {
		for n := range workersInRack {
			workers = append(workers, poolWorker(fmt.Sprintf("w%d%d", rack, n), fmt.Sprintf("r1-%d", rack), 4000))
		}
	}
	w := &rackWorld{
		harness: newHarness(t, workers...),
		begun:   map[RunID]time.Time{},
		length:  map[aqjob.ID]time.Duration{},
		left:    map[aqjob.ID]int{},
		near:    map[aqjob.ID]string{},
		due:     map[aqjob.ID]time.Time{},
		ends:    map[aqtype.WorkerID]int{},
	}
	w.d.options.Limits.OffRackFactor = factor
	return w
}

// submit adds a job that takes length on the hot rack and is to be done within objective.
func (w *rackWorld) submit(n, count int, length, objective time.Duration, affinity string) {
	g := tasks(count, 1000)
	g.Estimate, g.Affinity = length, affinity
	job := testJob(n, g)
	job.Queue.Stretch, job.Queue.Target = 0, objective
	w.length[job.ID], w.left[job.ID], w.near[job.ID] = length, count, affinity
	w.due[job.ID] = w.now.Add(objective)
	w.d.AddJob(job, nil, 0, false)
}

func (w *rackWorld) step() {
	w.advance(rackStep)
	w.tick()
	for ; w.seen < len(w.started); w.seen++ {
		w.begun[w.started[w.seen].Run] = w.now
	}
	for _, s := range w.started {
		if _, running := w.running[s.Worker][s.Run]; !running {
			continue
		}
		length := w.length[s.Run.Task.Job]
		if near := w.near[s.Run.Task.Job]; near != "" && string(w.d.workers[s.Worker].rack) != near {
			length = time.Duration(offRack * float64(length))
		}
		if w.now.Sub(w.begun[s.Run]) < length {
			continue
		}
		w.ends[s.Worker]++
		w.end(w.ends[s.Worker], s, EndDone)
		if w.left[s.Run.Task.Job]--; w.left[s.Run.Task.Job] == 0 && !w.now.After(w.due[s.Run.Task.Job]) {
			w.inTime++
		}
	}
}

// TestWaitForARackServesMoreJobsInTime plays jobs that come in pairs, of which the rack holds one and
// a half at a time: the second is in time if it waits for the first to end, and late elsewhere. Jobs
// without data have little time to spare.
func TestWaitForARackServesMoreJobsInTime(t *testing.T) {
	play := func(factor float64) (inTime, all int) {
		w := newRackWorld(t, factor)
		for n := range 20 {
			w.submit(10*n, 10, time.Second, 1700*time.Millisecond, hotRack)
			w.submit(10*n+1, 20, 400*time.Millisecond, 600*time.Millisecond, "")
			for range 12 {
				w.step()
			}
			w.submit(10*n+2, 10, time.Second, 1700*time.Millisecond, hotRack)
			w.submit(10*n+3, 20, 400*time.Millisecond, 600*time.Millisecond, "")
			for range 36 {
				w.step()
			}
		}
		for range 20 {
			w.step()
		}
		for id, left := range w.left {
			if left > 0 {
				t.Errorf("%s has %d tasks left", id, left)
			}
		}
		return w.inTime, len(w.left)
	}
	before, all := play(0)
	after, _ := play(offRack)
	t.Logf("of %d jobs %d are in time without waits, %d with them", all, before, after)
	if before == all || after < before+(all-before)/2 {
		t.Errorf("of %d jobs %d are in time without waits, %d with them", all, before, after)
	}
}

// TestWaitForARackEnds keeps a rack full of runs that should end at any moment and do not, or loses
// it: all tasks that wait for it are placed elsewhere.
func TestWaitForARackEnds(t *testing.T) {
	for _, test := range []struct {
		name  string
		lose  bool
		after time.Duration
	}{
		{name: "runs outlive their estimates", after: aqwait.MaxWait},
		{name: "the rack is lost", lose: true, after: 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newRackWorld(t, offRack)
			w.submit(1, 16, 700*time.Millisecond, time.Second, hotRack)
			w.step()
			w.length[testJob(1).ID] = time.Hour
			w.submit(2, 4, 10*time.Second, time.Second, hotRack)
			for range 4 {
				w.step()
			}
			g := w.d.jobs[testJob(2).ID].occurrences[0].groups[0]
			if reason := w.d.waitReason(g); w.hasStarted(2) || !strings.Contains(reason, "its rack") {
				t.Fatalf("the second job does not wait for its rack: %s", reason)
			}
			if test.lose {
				for n := range workersInRack {
					w.d.WorkerUnresponsive(aqtype.WorkerID(fmt.Sprintf("w1%d", n)))
				}
			}
			for passed := time.Duration(0); passed < test.after; passed += rackStep {
				w.step()
			}
			if got := len(w.started); got != 20 {
				t.Errorf("%d of 20 tasks have started", got)
			}
		})
	}
}

// TestGangWaitsForOneRack has room for a gang on two racks now and on one soon.
func TestGangWaitsForOneRack(t *testing.T) {
	for factor, want := range map[float64]bool{0: true, offRack: false} {
		w := newRackWorld(t, factor)
		for n := range 6 {
			w.submit(n+1, 12, time.Second, time.Second, fmt.Sprintf("r1-%d", n))
		}
		w.step()
		gang := tasks(8, 1000)
		gang.Gang, gang.SameRack, gang.Estimate = true, true, 4*time.Second
		job := testJob(9, gang)
		job.Queue.Stretch = 1
		w.length[job.ID] = time.Hour
		w.d.AddJob(job, nil, 0, false)
		w.step()
		if got := w.hasStarted(9); got != want {
			t.Errorf("factor %v: the gang has started: %t", factor, got)
		}
		for range 40 {
			w.step()
		}
		if !w.hasStarted(9) {
			t.Errorf("factor %v: the gang has not started", factor)
		}
	}
}
