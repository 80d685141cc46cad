package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqtype"
)

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
