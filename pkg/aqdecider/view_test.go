package aqdecider

import (
	"strings"
	"testing"

	"acaciaquay/pkg/aqjob"
)

func TestWhyATaskWaits(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers []Worker
		groups  []aqjob.Group
		change  func(*harness)
		want    string
	}{
		{
			name:    "no room",
			workers: []Worker{poolWorker("w1", "r1-1", 4000), poolWorker("w2", "r1-1", 4000)},
			groups:  []aqjob.Group{tasks(1, 5000)},
			want:    "no worker takes it; NoRoom: 2",
		},
		{
			name:    "draining",
			workers: []Worker{poolWorker("w1", "r1-1", 4000)},
			groups:  []aqjob.Group{tasks(1, 1000)},
			change: func(h *harness) {
				w := poolWorker("w1", "r1-1", 4000)
				w.Draining = true
				h.d.UpdateWorker(w)
			},
			want: "no worker takes it; Draining: 1",
		},
		{name: "no worker", groups: []aqjob.Group{tasks(1, 1000)}, want: "no worker of service " + string(testService)},
		{
			name:    "earlier groups",
			workers: []Worker{poolWorker("w1", "r1-1", 4000)},
			groups: []aqjob.Group{tasks(1, 5000), func() aqjob.Group {
				g := tasks(1, 1000)
				g.After = []int{0}
				return g
			}()},
			want: "earlier groups are not done",
		},
		{
			name:    "label",
			workers: []Worker{poolWorker("w1", "r1-1", 4000)},
			groups: []aqjob.Group{func() aqjob.Group {
				g := tasks(1, 1000)
				g.Constraint = "b"
				return g
			}()},
			want: "no worker takes it; OtherLabel: 1",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.workers...)
			if test.change != nil {
				test.change(h)
			}
			job := testJob(1, test.groups...)
			h.d.AddJob(job, nil, 0, false)
			h.tick()
			view, groups, known := h.d.ViewJob(job.ID)
			if !known || view.State != aqjob.StateQueued || view.Waiting == 0 {
				t.Fatalf("job %+v, known %v", view, known)
			}
			if got := groups[len(groups)-1].Why; got != test.want {
				t.Errorf("waits for %q, want %q", got, test.want)
			}
			if jobs := h.d.ViewJobs(10); len(jobs) != 1 || jobs[0] != view {
				t.Errorf("jobs %+v", jobs)
			}
			for _, w := range h.d.ViewWorkers() {
				if strings.Contains(test.want, "Draining") != (w.Condition == "Draining") {
					t.Errorf("worker %+v", w)
				}
			}
		})
	}
}
