package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// benchFleet returns a decider with workers that all answer.
func benchFleet(workers int) *bench {
	listed := make([]Worker, 0, workers)
	for i := range workers {
		listed = append(listed, poolWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/20), 64000))
	}
	return newBench(nil, listed...)
}

// store stores everything that is decided.
func (b *bench) store() {
	batch := b.d.TakeBatch()
	for _, r := range batch.Records {
		b.d.RecordStored(r, 1)
	}
	b.d.BatchStored(batch)
}

// BenchmarkStartAndEnd is one decision to start and one end: a job of ten tasks
// is placed, and its ends are listed.
func BenchmarkStartAndEnd(b *testing.B) {
	for _, workers := range []int{48, 350, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet := benchFleet(workers)
			const width = 10
			numbers := map[aqtype.WorkerID]int{}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				job := benchJob(n+1, tasks(width, 4000))
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

// Figures of BenchmarkBusySite: an hour of the letter's day at its peak, in
// rounds of 20 ms.
const (
	busyRound      = 20 * time.Millisecond
	busyStarts     = 30
	busyWidth      = 6
	busyRunTime    = 60
	busyPerWorker  = 8
	busyRetained   = 5000
	busyListedPart = 40
)

// BenchmarkBusySite is one round of decisions at 1,500 starts and ends a second
// among tasks that serve, fillers and ended jobs that are still shown. The
// metric is the share of a core.
func BenchmarkBusySite(b *testing.B) {
	for _, workers := range []int{350, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet := benchFleet(workers)
			load := &busyLoad{bench: fleet, numbers: map[aqtype.WorkerID]int{}}
			load.settle(workers)
			b.ResetTimer()
			for range b.N {
				load.round()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(busyRound)*100, "%core")
		})
	}
}

type busyLoad struct {
	*bench
	jobs    int
	numbers map[aqtype.WorkerID]int
	// under holds the starts of the last rounds, oldest first.
	under [][]Start
	next  int
}

// settle fills the workers with tasks that last and the memory with ended jobs.
func (l *busyLoad) settle(workers int) {
	serving := tasks(workers*busyPerWorker/2, 1000)
	serving.Perpetual, serving.TailTarget, serving.Image = true, 50*time.Millisecond, "serving"
	filler := tasks(workers*busyPerWorker/2, 1000)
	filler.Perpetual, filler.Filler, filler.Image = true, true, "filler"
	for _, group := range []aqjob.Group{serving, filler} {
		l.submit(group)
		for len(l.started) < group.Count {
			l.pass(time.Second)
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
	for range busyRunTime {
		l.under = append(l.under, nil)
	}
	l.store()
}

func (l *busyLoad) submit(group aqjob.Group) {
	l.jobs++
	l.d.AddJob(benchJob(l.jobs, group), nil, 0, false)
}

func (l *busyLoad) endAll(starts []Start) {
	for _, s := range starts {
		l.numbers[s.Worker]++
		l.end(l.numbers[s.Worker], s, EndDone)
	}
}

// round is what comes in one round: submissions, ends of older tasks, listings
// without news, and decisions.
func (l *busyLoad) round() {
	l.pass(busyRound)
	for range busyStarts / busyWidth {
		l.submit(tasks(busyWidth, 2000))
	}
	l.endAll(l.under[0])
	ids := l.d.WorkerIDs()
	for range len(ids) / busyListedPart {
		l.next = (l.next + 1) % len(ids)
		l.look(ids[l.next])
	}
	l.started = nil
	l.tick()
	l.under = append(l.under[1:], l.started)
	l.store()
	for _, done := range l.d.ended[:max(0, len(l.d.ended)-busyRetained)] {
		delete(l.d.jobs, done.id)
	}
	l.d.ended = l.d.ended[max(0, len(l.d.ended)-busyRetained):]
}
