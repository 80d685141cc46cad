package aqsite

import (
	"context"
	"strings"
	"testing"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// Guards against LOST (review/1): the checkpoints of one large job outgrew a value of the store, whose refusal the leader
// met again and again. It stored no progress of any job any more.
func TestLargeProgressHoldsUpNoOtherJob(t *testing.T) {
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
	large := &aqjob.OccurrenceProgress{
		Done:        []byte{1},
		Checkpoints: map[int]string{},
	}
	for position := range 100 {
		large.Checkpoints[position] = strings.Repeat("c", 50)
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
