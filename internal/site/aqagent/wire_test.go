package aqagent

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// busyAnswer returns an agent's answer with reports of workers that run 12 tasks each.
func busyAnswer(workers int) PollAnswer {
	var answer PollAnswer
	for n := range workers {
		report := aqdecider.WorkerReport{Incarnation: 1_790_000_000_000, Sent: 200, Complete: true}
		for index := range 12 {
			report.Running = append(report.Running, aqdecider.RunReport{
				Run: aqdecider.RunID{
					Task: aqjob.TaskID{
						Job:   aqjob.ID(fmt.Sprintf("%016x", n)),
						Group: 1,
						Index: index,
					},
					Attempt: 4097,
				},
				Checkpoint: "00000bb87a21d94b",
				Percent:    41,
				Tail:       7 * time.Millisecond,
				Usage:      900,
			})
		}
		id := aqtype.WorkerID(fmt.Sprintf("worker-%04d", n))
		var differ aqreport.Differ
		difference, _ := differ.Difference(report, time.Unix(1_800_000_000, 0), 0, false)
		answer.Events = append(answer.Events, wrapEvent(id, 7, ReportReceived{Difference: difference}))
	}
	return answer
}

// BenchmarkListing encodes and decodes one worker's report as an agent sends it to its
// leader.
func BenchmarkListing(b *testing.B) {
	answer := busyAnswer(1)
	b.ReportAllocs()
	for range b.N {
		data, err := aqpeer.Pack(answer)
		if err != nil {
			b.Fatal(err)
		}
		var out PollAnswer
		if err := aqpeer.Unpack(data, &out); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
