package aqsite

import (
	"context"
	"strings"
	"testing"

	"acaciaquay/internal/site/aqcrash"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// Guards against LOST (review/1): the checkpoints of one large job outgrew a value of the store, whose refusal the leader
// met again and again. It stored no progress of any job any more.
func TestLargeProgressHoldsUpNoOtherJob(t *testing.T) {
	large := &aqjob.OccurrenceProgress{
		Done:        []byte{1},
		Checkpoints: map[int]string{},
	}
	for position := range 100 {
		large.Checkpoints[position] = strings.Repeat("c", 50)
	}
	storeBesideASmallJob(t, large)
}

// Guards against LOST (review/12): the crashes of workers under the tasks of one large job did the same.
func TestCrashesOfALargeJobHoldUpNoOtherJob(t *testing.T) {
	large := &aqjob.OccurrenceProgress{
		Done:    []byte{1},
		Crashes: map[int]*aqcrash.History{},
	}
	for position := range 100 {
		h := &aqcrash.History{}
		h.Add(aqcrash.Crash{Instance: aqcrash.Instance{Worker: "w1", Incarnation: 1}})
		large.Crashes[position] = h
	}
	storeBesideASmallJob(t, large)
}

// storeBesideASmallJob stores the progress of a large job and of another one in a store whose values are small.
func storeBesideASmallJob(t *testing.T, large *aqjob.OccurrenceProgress) {
	t.Helper()
	const valueMax = 2000
	store := newFakeStore()
	n, _ := testNode(t, store)
	n.settings.StoreValueMax = valueMax
	l := lead(t, n, store)
	ctx, cancel := context.WithCancel(context.Background())
	refusals := 0
	store.fault = func(txn aqstore.Txn) (error, bool) {
		for _, p := range txn.Puts {
			if len(p.Value) > valueMax {
				if refusals++; refusals > 3 {
					cancel()
				}
				return aqstore.ErrRefused, false
			}
		}
		return nil, false
	}
	l.storeRecords(ctx, []aqdecider.Record{
		{
			Job: "large",
			Progress: &aqjob.Progress{
				State:       aqjob.StateRunning,
				Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{0: large},
			},
		},
		{
			Job:      "small",
			Progress: &aqjob.Progress{State: aqjob.StateRunning},
		},
	})
	for _, id := range []aqjob.ID{"large", "small"} {
		if _, err := store.Get(context.Background(), progressKey(id)); err != nil {
			t.Errorf("progress of the %s job: %v", id, err)
		}
	}
}
