package aqshard_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqtype"
)

// populatedState returns a state with this many tasks, half of them running.
func populatedState(t testing.TB, tasks int) *aqshard.State {
	t.Helper()
	const perJob = 100
	s := aqshard.NewState()
	apply := func(r aqshard.Record) {
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	for job := range tasks / perJob {
		key := aqtype.WorkloadKey(fmt.Sprintf("imposition-%05d", job))
		apply(aqshard.Accepted{
			Spec: aqtype.Job{
				Common: aqtype.Common{
					Key:     key,
					Team:    "press",
					Kind:    "imposition",
					Urgency: aqtype.UrgencyNormal,
					Size:    aqtype.Resources{MilliCPU: 4000, Memory: 8192},
				},
				Tasks:       perJob,
				RunTime:     time.Hour,
				MaxFailures: 3,
			},
		})
		for i := range perJob / 2 {
			apply(aqshard.Started{
				Task:    aqtype.TaskID{Workload: key, Index: i},
				Attempt: 1,
				Worker:  aqtype.WorkerID(fmt.Sprintf("w%04d", (job*perJob+i)%2800)),
				Size:    aqtype.Resources{MilliCPU: 4000, Memory: 8192},
			})
		}
	}
	return s
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := populatedState(t, 1000)
	for _, r := range []aqshard.Record{
		aqshard.Stopping{Task: aqtype.TaskID{Workload: "imposition-00001", Index: 3}, Attempt: 1, Why: aqshard.StopEvict},
		aqshard.Ended{Task: aqtype.TaskID{Workload: "imposition-00001", Index: 3}, Attempt: 1, Outcome: aqshard.OutcomeStopped, Checkpoint: "c"},
		aqshard.Offered{Task: aqtype.TaskID{Workload: "imposition-00001", Index: 99}, To: 4, Sequence: 1},
		aqshard.KeyReserved{Key: "folio/1", Holder: "h", AtMillis: 1},
		aqshard.Cancelled{Workload: "imposition-00002"},
	} {
		data, err := aqshard.EncodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := aqshard.DecodeRecord(data)
		if err != nil || decoded != r {
			t.Fatalf("%T decodes to %+v, %v", r, decoded, err)
		}
		if err := s.Apply(decoded); err != nil {
			t.Fatal(err)
		}
	}
	first, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := aqshard.Decode(first)
	if err != nil {
		t.Fatal(err)
	}
	second, err := restored.Encode()
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("the decoded state encodes differently: %v", err)
	}
	if s.QueuedCount() != restored.QueuedCount() || s.PlacedCount() != restored.PlacedCount() ||
		s.NextOfferSequence(4) != restored.NextOfferSequence(4) || restored.KeyHolder("folio/1") != "h" {
		t.Fatal("the decoded state differs in its indexes, cursors or keys")
	}
}

func BenchmarkRecover(b *testing.B) {
	for _, tasks := range []int{1000, 10000, 35000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			data, err := populatedState(b, tasks).Encode()
			if err != nil {
				b.Fatal(err)
			}
			var packed bytes.Buffer
			w, _ := flate.NewWriter(&packed, flate.BestSpeed)
			_, _ = w.Write(data)
			_ = w.Close()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := aqshard.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "state-bytes")
			b.ReportMetric(float64(packed.Len()), "store-bytes")
		})
	}
}
