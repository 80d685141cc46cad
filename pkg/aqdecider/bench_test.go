package aqdecider

import (
	"fmt"
	"testing"
)

// benchFleet returns a decider with workers that all answer.
func benchFleet(workers int) (*bench, []Worker) {
	listed := make([]Worker, 0, workers)
	for i := range workers {
		w := poolWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%d", i/20), 64000)
		listed = append(listed, w)
	}
	return newBench(nil, listed...), listed
}

// BenchmarkStartAndEnd is one decision to start and one end: a job of ten tasks
// is placed, and its ends are listed.
func BenchmarkStartAndEnd(b *testing.B) {
	for _, workers := range []int{48, 350, 2800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet, _ := benchFleet(workers)
			const width = 10
			numbers := map[string]int{}
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
					numbers[string(s.Worker)]++
					fleet.end(numbers[string(s.Worker)], s, EndDone)
				}
				batch := fleet.d.TakeBatch()
				for _, r := range batch.Records {
					fleet.d.RecordStored(r, 1)
				}
				fleet.d.BatchStored(batch)
				delete(fleet.d.jobs, job.ID)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*width), "ns/task")
		})
	}
}
