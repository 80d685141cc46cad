package aqscheduler

import (
	"flag"
	"os"
	"testing"
	"time"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// TestMain fixes the seed of the property tests, so that their verdict is the
// same every time; the command line can set another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// rounds runs whole rounds of one owner, a second each.
func rounds(w *world, o *owner, n int) {
	for range n {
		w.advance(time.Second)
		o.turn()
	}
}

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(1)
	o := w.takeOver()
	o.submit(testJob("job", 1, 4000, 6*time.Second, aqtype.UrgencyUrgent))
	o.commit()
	last := w.takeOver()
	rounds(w, last, 12)
	if found := w.unfinished(last.shard); found != "" {
		t.Fatal(found)
	}
}

// A kind that was learned from large tasks, with headroom, must not make a task
// impossible that fits as declared. Seen in TestShardUnderFaults.
func TestLearnedSizeNeverMakesTaskImpossible(t *testing.T) {
	w := newWorld(1)
	o := w.takeOver()
	o.submit(testJob("large", 12, 4000, time.Second, aqtype.UrgencyNormal))
	rounds(w, o, 40)
	o.submit(testJob("small", 1, 1000, time.Second, aqtype.UrgencyNormal))
	rounds(w, o, 10)
	if found := w.unfinished(o.shard); found != "" {
		t.Fatal(found)
	}
}

// A deposed owner that has not noticed must not reach the worker's tasks: it does
// not know those that were started since, and would stop them.
func TestDeposedOwnerCannotStopTasks(t *testing.T) {
	w := newWorld(1)
	deposed := w.takeOver()
	deposed.turn()
	owner := w.takeOver()
	owner.turn()
	owner.submit(testJob("job", 1, 1000, 20*time.Second, aqtype.UrgencyNormal))
	rounds(w, owner, 3)
	for range 3 {
		deposed.sessions()
	}
	rounds(w, owner, 30)
	if found := w.unfinished(owner.shard); found != "" {
		t.Fatal(found)
	}
	if r := w.truth.Report(); r.Starts != 1 || r.Interrupted != 0 {
		t.Fatalf("the worker saw %+v", r)
	}
}

// An owner that has nothing to commit notices a higher epoch all the same: the
// worker's refusal makes it prove its ownership. Seen in the first demo, where an
// idle deposed owner kept two shards from being taken.
func TestIdleDeposedOwnerNotices(t *testing.T) {
	w := newWorld(1)
	idle := w.takeOver()
	idle.turn()
	w.takeOver().turn()
	idle.sessions()
	select {
	case <-idle.shard.wakeProve:
	default:
		t.Fatal("the worker's refusal raised no doubt")
	}
	if idle.shard.ProveOnce(t.Context()) || idle.alive() {
		t.Fatal("a deposed owner proved its ownership")
	}
}

// A task is throttled before its start has reached the worker. The worker must
// not start it at its full size beside the task that made the room necessary.
// Seen in TestShardUnderFaults after 2758 runs.
func TestThrottleReachesTheWorkerWithTheStart(t *testing.T) {
	w := newWorld(1)
	o := w.takeOver()
	o.submit(testJob("background", 1, 4000, time.Minute, aqtype.UrgencyBackground))
	o.readHosts()
	o.sessions()
	o.shard.Plan()
	o.submit(testJob("urgent", 1, 1000, time.Minute, aqtype.UrgencyUrgent))
	o.shard.Plan()
	o.commit()
	o.sessions()
	if r := w.truth.Report(); r.Starts != 2 || r.OverCommitted != 0 {
		t.Fatalf("the worker saw %+v", r)
	}
}

// A throttle is lost with its session. The room that it makes is counted, so it
// must be ordered again before anything is started in that room.
func TestResizeIsRepeatedUnderANewSession(t *testing.T) {
	w := newWorld(1)
	o := w.takeOver()
	o.submit(testJob("background", 1, 4000, time.Minute, aqtype.UrgencyBackground))
	rounds(w, o, 2)
	o.submit(testJob("urgent", 1, 1000, time.Minute, aqtype.UrgencyUrgent))
	o.shard.Plan()
	o.commit()
	for _, k := range o.sortedKeepers() {
		k.Fail(aqplatform.ErrWorkerUnknown)
	}
	rounds(w, o, 5)
	if r := w.truth.Report(); r.Starts != 2 || r.OverCommitted != 0 {
		t.Fatalf("the worker saw %+v", r)
	}
}

// A worker that has restarted does not know the newest epoch. A deposed owner
// that opens a session there must not make it forget a run that it does not
// know: the record may be the only one of a finish. Seen in TestShardUnderFaults
// after 8058 runs of seed 99.
func TestDeposedOwnerLeavesUnknownRunsAlone(t *testing.T) {
	w := newWorld(1)
	deposed := w.takeOver()
	owner := w.takeOver()
	owner.submit(testJob("job", 1, 1000, time.Second, aqtype.UrgencyNormal))
	owner.turn()
	w.advance(2 * time.Second)
	w.workers[0].Restart()
	for range 3 {
		deposed.readHosts()
		deposed.sessions()
		deposed.shard.Plan()
		deposed.sessions()
	}
	rounds(w, owner, 20)
	if found := w.unfinished(owner.shard); found != "" {
		t.Fatal(found)
	}
	if r := w.truth.Report(); r.Starts != 1 {
		t.Fatalf("the worker saw %+v", r)
	}
}
