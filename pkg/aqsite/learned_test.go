package aqsite

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/internal/site/aqinterference"
	"acaciaquay/internal/site/aqspeed"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
)

func learnedInterference(t *testing.T) []byte {
	t.Helper()
	m := aqinterference.New()
	for range 20 {
		m.Observe(m.Image("serving"), 2, []aqinterference.Filler{{
			Image: m.Image("filler"),
			Usage: 0.2,
		}})
	}
	value, err := m.Record()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func learnedSpeeds(t *testing.T) []byte {
	t.Helper()
	now := time.Now()
	table := aqspeed.New()
	table.Observe("slow-worker", "queue", 3*time.Second, time.Second, now)
	value, err := table.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestNextLeaderStartsWithWhatWasLearned hands a record over two terms.
func TestNextLeaderStartsWithWhatWasLearned(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	ctx := context.Background()
	first := lead(t, n, store)
	first.decide(func(d *aqdecider.Decider) {
		if err := d.RestoreInterference(learnedInterference(t)); err != nil {
			t.Error(err)
		}
		if err := d.RestoreSpeeds(learnedSpeeds(t), 0); err != nil {
			t.Error(err)
		}
	})
	for range 2 {
		if err := first.storeLearned(ctx); err != nil {
			t.Fatal(err)
		}
	}
	written := store.items[learnedKey]
	if commits := store.commits; written.ModRevision == 0 || written.ModRevision != store.revision {
		t.Fatalf("stored at revision %d of %d after %d commits", written.ModRevision, store.revision, commits)
	}
	second := lead(t, n, store)
	if err := second.restoreLearned(ctx); err != nil {
		t.Fatal(err)
	}
	second.decide(func(d *aqdecider.Decider) {
		if got, err := d.LearnedInterference(); err != nil || string(got) != string(learnedInterference(t)) {
			t.Errorf("restored %q, error %v", got, err)
		}
		if got, err := d.EncodeSpeeds(); err != nil || !bytes.Contains(got, []byte("slow-worker")) {
			t.Errorf("restored speeds %q, error %v", got, err)
		}
	})
	if err := second.storeLearned(ctx); err != nil || store.items[learnedKey].ModRevision != written.ModRevision {
		t.Errorf("stored again though nothing was learned, error %v", err)
	}
}

// TestLeaderServesWithoutWhatWasLearned has records that are missing or cannot be used.
func TestLeaderServesWithoutWhatWasLearned(t *testing.T) {
	badPart, err := msgpack.Marshal(learnedRecord{Interference: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"missing": nil, "empty": {}, "not a record": []byte("\xff\x00"), "bad part": badPart} {
		store := newFakeStore()
		n, _ := testNode(t, store)
		if value != nil {
			if _, err := store.Commit(context.Background(), aqstore.Txn{Puts: []aqstore.Put{{Key: learnedKey, Value: value}}}); err != nil {
				t.Fatal(err)
			}
		}
		l := lead(t, n, store)
		if err := l.restoreLearned(context.Background()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := l.storeLearned(context.Background()); err != nil {
			t.Errorf("%s: not replaced: %v", name, err)
		}
	}
}
