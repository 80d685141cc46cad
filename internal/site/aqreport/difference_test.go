package aqreport

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

func testRun(n int) aqdecider.RunID {
	return aqdecider.RunID{Task: aqjob.TaskID{Job: "00000bb87a21d94b", Index: n}, Attempt: 1}
}

// differenceModel is a worker with the last reports of its session.
type differenceModel struct {
	now     time.Time
	running map[int]aqdecider.RunReport
	ended   []aqdecider.EndReport
	// acked is the number of the last end that the worker has discarded.
	acked  int
	report aqdecider.WorkerReport
	// reported holds the numbers of the ends that the listing has returned.
	reported []int
	// rebuilt is the last report that the listing has returned.
	rebuilt    aqdecider.WorkerReport
	measuredAt time.Time
	// tailsAt is when the rebuilt tail latencies were last close to those of the worker.
	tailsAt time.Time
}

// maxReportPause is the longest time between two reports in a test: the next report is the
// first that can be sent after an interval.
const maxReportPause = 400 * time.Millisecond

func (m *differenceModel) nextReport() {
	m.report = aqdecider.WorkerReport{
		Incarnation: m.report.Incarnation,
		Sent:        m.report.Sent + 1,
		Complete:    true,
	}
	for n := range 6 {
		if r, running := m.running[n]; running {
			m.report.Running = append(m.report.Running, r)
		}
	}
	for _, e := range m.ended {
		if e.Number > m.acked {
			m.report.Ended = append(m.report.Ended, e)
		}
	}
}

// check compares the rebuilt report with the worker: the same runs at any time, the same
// progress unless it is younger than the interval, which is at least progressInterval, tail
// latencies within measurementShare unless they are younger, and every end once.
func (m *differenceModel) check(t *rapid.T, interval time.Duration) {
	ids := func(r aqdecider.WorkerReport) []string {
		var all []string
		for _, run := range r.Running {
			all = append(all, run.Run.Task.String())
		}
		slices.Sort(all)
		return all
	}
	if !slices.Equal(ids(m.report), ids(m.rebuilt)) {
		t.Fatalf("the leader sees %v, the worker runs %v", ids(m.rebuilt), ids(m.report))
	}
	if limit := max(interval, progressInterval); m.now.Sub(m.measuredAt) > limit+maxReportPause {
		t.Fatalf("the progress is %s old, more than %s", m.now.Sub(m.measuredAt), limit)
	}
	if m.now.Sub(m.tailsAt) > interval {
		t.Fatalf("the tail latencies are %s old, more than %s", m.now.Sub(m.tailsAt), interval)
	}
	for i, number := range m.reported {
		if number != i+1 {
			t.Fatalf("the leader has received the ends %v", m.reported)
		}
	}
	if len(m.reported) != len(m.ended) {
		t.Fatalf("the leader has received %d of %d ends", len(m.reported), len(m.ended))
	}
}

// A listing that applies the differences of a session knows what the worker runs after
// every report, its measurements after every interval, and each end once, also when the
// leader acknowledges ends late.
func TestDifferencesRebuildTheReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(0, 3).Draw(t, "interval")) * 300 * time.Millisecond
		m := &differenceModel{now: time.Unix(1_800_000_000, 0), running: map[int]aqdecider.RunReport{}}
		m.report.Incarnation = 1
		var differ Differ
		var listing Listing
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, int(maxReportPause/time.Millisecond)).Draw(t, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, 5).Draw(t, "run")
			r, running := m.running[n]
			switch action := rapid.SampledFrom([]string{"start", "measure", "end", "acknowledge", "nothing"}).Draw(t, "action"); {
			case action == "start" && !running:
				m.running[n] = aqdecider.RunReport{Run: testRun(n)}
			case action == "measure" && running:
				r.Percent += 7
				r.Tail += time.Millisecond
				r.Checkpoint = fmt.Sprintf("checkpoint-%d", r.Percent/14)
				m.running[n] = r
			case action == "end" && running:
				delete(m.running, n)
				m.ended = append(m.ended, aqdecider.EndReport{Number: len(m.ended) + 1, Run: testRun(n), Reason: aqdecider.EndDone})
			case action == "acknowledge":
				m.acked = len(m.reported)
			}
			m.nextReport()
			difference, news := differ.Difference(m.report, m.now, interval, false)
			if !news {
				m.check(t, interval)
				continue
			}
			data, err := aqpeer.Pack(difference)
			if err != nil {
				t.Fatal(err)
			}
			var received Difference
			if err := aqpeer.Unpack(data, &received); err != nil {
				t.Fatal(err)
			}
			if m.rebuilt, err = listing.Apply(received); err != nil {
				t.Fatal(err)
			}
			for _, e := range m.rebuilt.Ended {
				m.reported = append(m.reported, e.Number)
			}
			if slices.EqualFunc(m.rebuilt.Running, m.report.Running, func(a, b aqdecider.RunReport) bool {
				return m.running[a.Run.Task.Index] == a && m.running[b.Run.Task.Index] == b
			}) {
				m.measuredAt = m.now
			}
			if !slices.ContainsFunc(m.rebuilt.Running, func(r aqdecider.RunReport) bool {
				return differs(float64(m.running[r.Run.Task.Index].Tail), float64(r.Tail))
			}) {
				m.tailsAt = m.now
			}
			m.check(t, interval)
			for _, r := range m.rebuilt.Running {
				if want := m.running[r.Run.Task.Index].Percent; !m.rebuilt.ProgressOmitted && r.Percent != want {
					t.Fatalf("progress %d of %v stands for %d", r.Percent, r.Run, want)
				}
			}
		}
	})
}

// A worker whose ends the leader has not acknowledged repeats them in every answer; the
// leader gets them once. Without news it gets nothing before the interval is over.
func TestRepeatedEndsAreReportedOnce(t *testing.T) {
	var differ Differ
	now := time.Unix(1_800_000_000, 0)
	report := aqdecider.WorkerReport{
		Incarnation: 1,
		Ended:       []aqdecider.EndReport{{Number: 4, Run: testRun(0), Reason: aqdecider.EndDone}},
		Complete:    true,
	}
	for n := range 5 {
		report.Sent++
		difference, news := differ.Difference(report, now.Add(time.Duration(n)*50*time.Millisecond), progressInterval, false)
		if news != (n == 0) {
			t.Fatalf("report %d: difference %+v, %v", n, difference, news)
		}
	}
	report.Incarnation++
	report.Ended[0].Number = 1
	report.Sent++
	difference, _ := differ.Difference(report, now, progressInterval, false)
	if !difference.Whole || len(difference.Ended) != 1 {
		t.Fatalf("after a restart: %+v", difference)
	}
}

// A difference that names an unknown run is refused.
func TestDifferenceWithoutItsBase(t *testing.T) {
	for _, difference := range []Difference{
		{New: []NewRun{{Slot: 1, Run: testRun(0)}}},
		{Whole: true, Changed: []ChangedRun{{Slot: 3}}},
	} {
		var listing Listing
		if _, err := listing.Apply(difference); err == nil {
			t.Errorf("%+v was applied", difference)
		}
	}
}

func TestReportsThatReachTheLeaderLateDoNotStopRuns(t *testing.T) {
	const worker aqtype.WorkerID = "w1"
	start := time.Unix(1_800_000_000, 0)
	leader := aqdecider.New(aqdecider.Options{
		Log:     aqlog.Discard(),
		Metrics: aqmetric.New(),
	})
	leader.SetTime(start, start)
	leader.UpdateWorker(aqdecider.Worker{
		ID:       worker,
		Capacity: aqtype.Resources{MilliCPU: 1000},
	})
	leader.AddJob(&aqjob.Job{
		ID: testRun(0).Task.Job,
		Groups: []aqjob.Group{{
			Count:    1,
			Size:     aqtype.Resources{MilliCPU: 1000},
			Estimate: time.Second,
		}},
	}, nil, 0, false)
	// The agent receives a report every 300 ms, each with more progress. The leader is slow:
	// it handles them 1.1 s apart.
	var differ Differ
	var listing Listing
	handledAt := start
	for n := range 7 {
		measuredAt := start.Add(time.Duration(n) * 300 * time.Millisecond)
		difference, _ := differ.Difference(aqdecider.WorkerReport{
			Sent:     aqdecider.LogicalTime(n + 1),
			Complete: true,
			Clock:    measuredAt.Sub(start),
			Running: []aqdecider.RunReport{{
				Run:     testRun(0),
				Percent: 10 * (n + 1),
				Usage:   500,
			}},
		}, measuredAt, maxReportPause/2, true)
		report, err := listing.Apply(difference)
		if err != nil {
			t.Fatal(err)
		}
		handledAt = handledAt.Add(1100 * time.Millisecond)
		leader.SetTime(handledAt, handledAt)
		leader.WorkerReported(worker, report)
		for _, order := range leader.Tick() {
			if stop, isStop := order.(aqdecider.Stop); isStop {
				t.Fatalf("stopped %v at report %d, though it makes progress", stop.Run, n+1)
			}
		}
	}
}
