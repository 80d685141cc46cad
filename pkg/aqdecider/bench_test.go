package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// newFleet returns a harness with that many workers.
func newFleet(workers int) *harness {
	listed := make([]Worker, 0, workers)
	for i := range workers {
		listed = append(listed, poolWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/20), 64000))
	}
	return newHarness(nil, listed...)
}

// store acknowledges all records as stored.
func (h *harness) store() {
	batch := h.d.TakeBatch()
	for _, r := range batch.Records {
		h.d.RecordStored(r, 1)
	}
	h.d.BatchStored(batch)
}

// BenchmarkStartAndEnd measures the placement of a job of ten tasks and the processing
// of their ends.
func BenchmarkStartAndEnd(b *testing.B) {
	for _, workers := range []int{48, 350, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet := newFleet(workers)
			const width = 10
			numbers := map[aqtype.WorkerID]int{}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				job := testJob(n+1, tasks(width, 4000))
				fleet.d.AddJob(job, nil, 0, false)
				fleet.started = nil
				fleet.tick()
				if len(fleet.started) != width {
					b.Fatalf("started %d of %d tasks", len(fleet.started), width)
				}
				for _, s := range fleet.started {
					numbers[s.Worker]++
					fleet.end(numbers[s.Worker], s, EndDone)
				}
				fleet.store()
				delete(fleet.d.jobs, job.ID)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*width), "ns/task")
		})
	}
}

// Load of BenchmarkBusySite: the peak hour of the required daily load, in rounds of
// 20 ms.
const (
	busyRound = 20 * time.Millisecond
	// busyStarts is the number of tasks that are submitted in a round, in jobs of
	// busyWidth tasks.
	busyStarts = 30
	busyWidth  = 6
	// busyRunRounds is the number of rounds that a task runs.
	busyRunRounds = 60
	// busyPerWorker is the number of perpetual tasks per worker.
	busyPerWorker = 8
	// busyRetained is the number of ended jobs in the state.
	busyRetained = 5000
	// busyReportRounds is the number of rounds in which every worker reports once.
	busyReportRounds = 40
)

// BenchmarkBusySite measures one round of decisions at 1,500 starts and ends a second,
// with serving tasks, fillers and retained ended jobs in the state. The metric is the
// share of a core.
func BenchmarkBusySite(b *testing.B) {
	for _, workers := range []int{350, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet := newFleet(workers)
			load := &busyLoad{harness: fleet, numbers: map[aqtype.WorkerID]int{}}
			load.fill(workers)
			b.ResetTimer()
			for range b.N {
				load.round()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(busyRound)*100, "%core")
		})
	}
}

type busyLoad struct {
	*harness
	jobs    int
	numbers map[aqtype.WorkerID]int
	// inFlight holds the starts of the last busyRunRounds rounds, oldest first.
	inFlight [][]Start
	next     int
}

// fill fills the workers with perpetual tasks and the state with ended jobs.
func (l *busyLoad) fill(workers int) {
	serving := tasks(workers*busyPerWorker/2, 1000)
	serving.Perpetual, serving.TailTarget, serving.Image = true, 50*time.Millisecond, "serving"
	filler := tasks(workers*busyPerWorker/2, 1000)
	filler.Perpetual, filler.Filler, filler.Image = true, true, "filler"
	for _, group := range []aqjob.Group{serving, filler} {
		l.submit(group)
		for len(l.started) < group.Count {
			l.advance(time.Second)
			l.tick()
		}
		l.started = nil
	}
	for range busyRetained {
		l.submit(tasks(1, 1000))
		l.tick()
		l.endAll(l.started)
		l.started = nil
	}
	for range busyRunRounds {
		l.inFlight = append(l.inFlight, nil)
	}
	l.store()
}

func (l *busyLoad) submit(group aqjob.Group) {
	l.jobs++
	l.d.AddJob(testJob(l.jobs, group), nil, 0, false)
}

func (l *busyLoad) endAll(starts []Start) {
	for _, s := range starts {
		l.numbers[s.Worker]++
		l.end(l.numbers[s.Worker], s, EndDone)
	}
}

// round runs one round: submissions, ends of older tasks, reports without changes, and
// decisions.
func (l *busyLoad) round() {
	l.advance(busyRound)
	for range busyStarts / busyWidth {
		l.submit(tasks(busyWidth, 2000))
	}
	l.endAll(l.inFlight[0])
	ids := l.d.WorkerIDs()
	for range len(ids) / busyReportRounds {
		l.next = (l.next + 1) % len(ids)
		l.report(ids[l.next])
	}
	l.started = nil
	l.tick()
	l.inFlight = append(l.inFlight[1:], l.started)
	l.store()
	for _, done := range l.d.ended[:max(0, len(l.d.ended)-busyRetained)] {
		delete(l.d.jobs, done.id)
	}
	l.d.ended = l.d.ended[max(0, len(l.d.ended)-busyRetained):]
}

// BenchmarkReassignAll measures the assignment of all workers, with starts on their way, to other agents
// before the next round of decisions.
func BenchmarkReassignAll(b *testing.B) {
	for _, workers := range []int{350, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet := newFleet(workers)
			fleet.d.AddJob(testJob(1, tasks(2*workers, 16000)), nil, 0, false)
			fleet.d.Tick()
			b.ResetTimer()
			for range b.N {
				for _, w := range fleet.d.fleet {
					fleet.d.WorkerReassigned(w.info.ID)
				}
				b.StopTimer()
				fleet.d.Tick()
				b.StartTimer()
			}
		})
	}
}
