package aqsite

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// Stored values that no process of this version writes do not keep a leader from
// recovering the other jobs.
func TestRecoveryPassesOverPoisonedValues(t *testing.T) {
	poisonedJob := testJob()
	poisonedJob.ID = "00000000000000ff"
	jobValue, err := aqjob.Encode(poisonedJob)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name     string
		progress any
	}{
		{name: "no occurrence", progress: aqjob.Progress{Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{0: nil}}},
		{name: "occurrence out of range", progress: aqjob.Progress{Occurrences: map[aqjob.Occurrence]*aqjob.OccurrenceProgress{-4: {}}}},
		{name: "occurrences beyond the end", progress: aqjob.Progress{DoneBelow: 1 << 40}},
		{name: "negative occurrences", progress: aqjob.Progress{DoneBelow: -1}},
		{name: "unknown state", progress: aqjob.Progress{State: "elsewhere"}},
		{name: "another type", progress: "progress"},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, clock := testNode(t, store)
			n.routes.apply(&Config{Version: 1})
			if err := n.Submit(context.Background(), testJob()); err != nil {
				t.Fatal(err)
			}
			value, err := msgpack.Marshal(test.progress)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := store.Commit(context.Background(), aqstore.Txn{Puts: []aqstore.Put{
				{Key: jobKey(poisonedJob.ID), Value: jobValue},
				{Key: progressKey(poisonedJob.ID), Value: value},
				{Key: jobKey("0000000000000001x"), Value: []byte{0xdf, 0xff}},
				{Key: fleetKey, Value: []byte{0xc1}},
			}}); err != nil {
				t.Fatal(err)
			}
			// The loops that recovery starts must not advance the clock.
			n.clock = clock.Fake
			n.agent = aqagent.New(n.agentOptions())
			l := lead(t, n, store)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if _, _, err := l.recover(ctx); err != nil {
				t.Fatal(err)
			}
			defer l.lose(errors.New("end of the test"))
			if state, known, current := l.state(testJob().ID); !known || !current || state != aqjob.StateQueued {
				t.Fatalf("the other job is %q, known %v, current %v", state, known, current)
			}
		})
	}
}
