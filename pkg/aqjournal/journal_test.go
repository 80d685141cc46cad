package aqjournal_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjournal"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

type nopObserver struct{}

func (nopObserver) InDoubt(uint64) {}
func (nopObserver) StoreRefused()  {}

var nonce uint64

func options(store *aqstandin.Store, writer string) aqjournal.Options {
	return aqjournal.Options{
		Store:  store,
		Clock:  aqclock.System{},
		Writer: aqtype.ProcessID(writer),
		NextNonce: func() uint64 {
			nonce++
			return nonce
		},
		RetryWait: time.Millisecond,
		Observer:  nopObserver{},
	}
}

func open(t testing.TB, store *aqstandin.Store, writer string) (*aqjournal.Log, aqjournal.Recovered) {
	t.Helper()
	log, recovered, err := aqjournal.Read(context.Background(), options(store, writer))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Claim(context.Background()); err != nil {
		t.Fatal(err)
	}
	return log, recovered
}

func record(n int) [][]byte { return [][]byte{fmt.Appendf(nil, "record %d", n)} }

// After the ring has wrapped several times, with snapshots in between, a new owner
// recovers every record.
func TestRecoveryAfterTheRingHasWrapped(t *testing.T) {
	store := aqstandin.NewStore(aqclock.System{})
	log, _ := open(t, store, "first")
	written, inSnapshot := 0, 0
	for range 5 * aqjournal.RingSlots {
		written++
		if err := log.Append(t.Context(), record(written)); err != nil {
			t.Fatal(err)
		}
		if log.SnapshotDue() {
			if err := log.WriteSnapshot(t.Context(), fmt.Appendf(nil, "%d", written)); err != nil {
				t.Fatal(err)
			}
			inSnapshot = written
		}
	}
	_, recovered := open(t, store, "second")
	if string(recovered.State) != fmt.Sprint(inSnapshot) {
		t.Fatalf("snapshot holds %s, want %d", recovered.State, inSnapshot)
	}
	for i, s := range recovered.Segments {
		if want := string(record(inSnapshot + 1 + i)[0]); string(s.Records[0]) != want {
			t.Fatalf("segment %d holds %q, want %q", i, s.Records[0], want)
		}
	}
	if got := inSnapshot + len(recovered.Segments); got != written {
		t.Fatalf("recovered %d of %d records", got, written)
	}
}

// A paused owner fails at its next write and at its next proof of ownership, even if its
// successor has meanwhile wrapped the ring several times and written snapshots.
func TestPausedOwnerFailsHoweverLong(t *testing.T) {
	store := aqstandin.NewStore(aqclock.System{})
	paused, _ := open(t, store, "paused")
	log, _ := open(t, store, "successor")
	for i := range 3 * aqjournal.RingSlots {
		if err := log.Append(t.Context(), record(i)); err != nil {
			t.Fatal(err)
		}
		if log.SnapshotDue() {
			if err := log.WriteSnapshot(t.Context(), []byte("state")); err != nil {
				t.Fatal(err)
			}
		}
	}
	err := paused.Append(t.Context(), record(0))
	if !errors.Is(err, aqjournal.ErrDeposed) && !errors.Is(err, aqjournal.ErrDeposedInDoubt) {
		t.Fatalf("write of the paused owner: %v, want ErrDeposed or ErrDeposedInDoubt", err)
	}
	if err := paused.Prove(t.Context()); !errors.Is(err, aqjournal.ErrDeposed) {
		t.Fatalf("proof of the paused owner: %v, want ErrDeposed", err)
	}
}

// Some writes are lost and some lose only their answers. Each append still commits
// its record exactly once.
func TestLostAnswersAreSettled(t *testing.T) {
	store := aqstandin.NewStore(aqclock.System{})
	log, _ := open(t, store, "owner")
	for i := range 20 {
		store.SetFaults(aqstandin.Faults{LoseAnswers: i % 3, DropWrites: i % 2})
		if err := log.Append(t.Context(), record(i)); err != nil {
			t.Fatal(err)
		}
	}
	store.SetFaults(aqstandin.Faults{})
	_, recovered := open(t, store, "next")
	count := 0
	for _, s := range recovered.Segments {
		for _, r := range s.Records {
			if string(r) != string(record(count)[0]) {
				t.Fatalf("record %d is %q", count, r)
			}
			count++
		}
	}
	if count != 20 {
		t.Fatalf("recovered %d records, want 20", count)
	}
}

func Example() {
	store := aqstandin.NewStore(aqclock.System{})
	ctx := context.Background()
	log, _, _ := aqjournal.Read(ctx, options(store, "host1"))
	// Claim writes segment 1, Append segment 2.
	epoch, _ := log.Claim(ctx)
	err := log.Append(ctx, [][]byte{[]byte("a decision")})
	fmt.Println(epoch, log.LastSegment(), err)
	// Output: 1 2 <nil>
}

func BenchmarkAppend(b *testing.B) {
	for _, records := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			store := aqstandin.NewStore(aqclock.System{})
			log, _ := open(b, store, "owner")
			batch := make([][]byte, records)
			for i := range batch {
				batch[i] = fmt.Appendf(nil, "record %d of a task that starts on a worker", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := log.Append(context.Background(), batch); err != nil {
					b.Fatal(err)
				}
				if log.SnapshotDue() {
					if err := log.WriteSnapshot(context.Background(), nil); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
