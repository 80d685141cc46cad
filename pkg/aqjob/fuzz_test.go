package aqjob

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func mustMarshal(f *testing.F, value any) []byte {
	f.Helper()
	data, err := msgpack.Marshal(value)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// Stored jobs of any content are decoded to valid jobs or refused.
func FuzzDecodeJob(f *testing.F) {
	job := Job{ID: "5c0e7a21d94b36f8", Groups: []Group{{Count: 2}, {Count: 1, After: []int{0}}}}
	f.Add(mustMarshal(f, job))
	f.Add(mustMarshal(f, job.Remainder()))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc0})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeJob(data)
		if err != nil {
			return
		}
		if err := decoded.Validate(); err != nil {
			t.Fatalf("%+v: %v", decoded, err)
		}
		_ = decoded.CriticalPath()
		_ = decoded.Occurrences()
	})
}

// Stored progress of any content is decoded to valid progress or refused.
func FuzzDecodeProgress(f *testing.F) {
	f.Add(mustMarshal(f, Progress{State: StateRunning, Occurrences: map[Occurrence]*OccurrenceProgress{0: {Done: []byte{1}}}}))
	f.Add(mustMarshal(f, Progress{State: StateRunning, Occurrences: map[Occurrence]*OccurrenceProgress{0: nil}}))
	f.Add(mustMarshal(f, Progress{State: "elsewhere"}))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeProgress(data)
		if err != nil {
			return
		}
		for k, o := range decoded.Occurrences {
			if k < 0 || o == nil {
				t.Fatalf("occurrence %d is %v", k, o)
			}
		}
	})
}
