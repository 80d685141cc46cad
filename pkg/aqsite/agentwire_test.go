package aqsite

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqtype"
)

// busyAnswer is what an agent tells of workers that run a dozen tasks each.
func busyAnswer(workers int) pollAnswer {
	var answer pollAnswer
	for n := range workers {
		listing := aqdecider.WorkerReport{Incarnation: 1_790_000_000_000, Sent: 200, Complete: true}
		for index := range 12 {
			listing.Running = append(listing.Running, aqdecider.RunReport{
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
		answer.Events = append(answer.Events, wrapEvent(id, 7, reportReceived{Report: listing}))
	}
	return answer
}

// BenchmarkListing is the encoding and decoding of one worker's listing between
// an agent and its leader.
func BenchmarkListing(b *testing.B) {
	answer := busyAnswer(1)
	b.ReportAllocs()
	for range b.N {
		data, err := aqpeer.Pack(answer)
		if err != nil {
			b.Fatal(err)
		}
		var out pollAnswer
		if err := aqpeer.Unpack(data, &out); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
