package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/internal/site/aqspeculation"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// A late task gets no copy while no other worker may take it, for whatever reason, and gets one once one may.
func TestCopyNeedsAnotherWorker(t *testing.T) {
	for _, test := range []struct {
		name    string
		hinder  func(*Worker)
		verdict aqspeculation.Verdict
	}{
		{name: "others drain", hinder: func(w *Worker) { w.Draining = true }, verdict: aqspeculation.NoRoom},
		{name: "others are full", hinder: func(w *Worker) { w.Capacity.MilliCPU = 500 }, verdict: aqspeculation.NoRoom},
		{name: "others lack the label", hinder: func(w *Worker) { w.Labels = nil }, verdict: aqspeculation.NoWorker},
	} {
		h, late := newLateHarness(t, func(j *aqjob.Job) {
			j.Queue.Target = 20 * time.Second
			j.Groups[0].Constraint = "r1-1"
		})
		change := func(hinder func(*Worker)) {
			for _, id := range copyWorkers {
				if id == late.Worker {
					continue
				}
				w := poolWorker(string(id), "r1-1", 1000)
				hinder(&w)
				h.d.UpdateWorker(w)
			}
		}
		change(test.hinder)
		h.advance(5 * time.Second)
		h.running[late.Worker][late.Run] = RunReport{Run: late.Run, Percent: 20}
		h.reportAll()
		if starts := h.startsAfter(2 * time.Second); starts != 4 {
			t.Errorf("%s: %d copies", test.name, starts-4)
		}
		if verdict := h.d.workers[late.Worker].runs[late.Run].copyVerdict; verdict != test.verdict {
			t.Errorf("%s: no copy for %q, want %s", test.name, verdict, test.verdict)
		}
		change(func(*Worker) {})
		if starts := h.startsAfter(time.Second); starts != 5 {
			t.Errorf("%s: %d copies once others may take the task, want 1", test.name, starts-4)
		}
	}
}

// A look at late tasks that no worker suits, though others have room, searches once a group and for a limited number
// of workers. Groups behind them get their copies.
func TestSearchesForCopiesAreLimited(t *testing.T) {
	h := newHarness(t)
	const workers = 700
	var ids []aqtype.WorkerID
	for i := range workers {
		rack := "r1-1"
		if i >= workers/2 {
			rack = "r1-2"
		}
		w := poolWorker(fmt.Sprintf("w%03d", i), rack, 4000)
		ids = append(ids, w.ID)
		h.running[w.ID] = map[RunID]RunReport{}
		h.d.UpdateWorker(w)
	}
	h.d.MarkPersisted(ids)
	h.reportWorkers(ids)
	const groups = 14
	for n := range groups + 1 {
		group := tasks(100, 1000)
		group.Speculative = true
		group.Constraint = "r1-1"
		job := testJob(n+1, group)
		job.AcceptedAt = h.now.UnixMilli()
		if n == groups {
			job.Groups[0].Constraint = "r1-2"
			job.Queue.Priority = -1
		}
		h.d.AddJob(job, nil, 0, false)
	}
	h.tick()
	h.advance(500 * time.Millisecond)
	ends := map[aqtype.WorkerID]int{}
	for i, s := range h.started {
		if i%100 < 5 {
			ends[s.Worker]++
			h.end(ends[s.Worker], s, EndDone)
		}
	}
	filler := tasks(5*groups, 1000)
	filler.Constraint = "r1-1"
	filler.Estimate = time.Hour
	h.d.AddJob(testJob(99, filler), nil, 0, false)
	h.tick()
	h.advance(time.Second)
	for _, reports := range h.running {
		for run := range reports {
			reports[run] = RunReport{Run: run, Percent: 5}
		}
	}
	h.reportWorkers(ids)
	before := len(h.started)
	const searches = (maxWorkersSearched + workers - 1) / workers
	h.advance(copyReviewInterval)
	h.tick()
	if searched := h.groupsWithoutCopyWorker(); searched != searches {
		t.Errorf("searches for %d groups in one look, want one for each of %d", searched, searches)
	}
	h.advance(copyReviewInterval)
	h.tick()
	if searched := h.groupsWithoutCopyWorker(); searched != groups {
		t.Errorf("searches for %d groups in two looks, want one for each of %d", searched, groups)
	}
	if len(h.started) == before {
		t.Error("no copy for the group behind those that no worker suits")
	}
}

// groupsWithoutCopyWorker counts the groups for which a search for a copy found no worker.
func (h *harness) groupsWithoutCopyWorker() int {
	count := 0
	for g := range h.d.speculative {
		if !g.noCopyWorkerAt.IsZero() {
			count++
		}
	}
	return count
}
