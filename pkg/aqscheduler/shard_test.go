package aqscheduler

import (
	"flag"
	"os"
	"testing"
	"time"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// TestMain fixes the seed of the property tests, so that their result is reproducible.
// The command line can set another seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// runRounds runs n rounds of one owner, one second apart.
func runRounds(env *testEnv, o *owner, n int) {
	for range n {
		env.advance(time.Second)
		o.runRound()
	}
}

func TestJobRunsToItsEnd(t *testing.T) {
	env := newTestEnv(1)
	o := env.takeOver()
	o.submit(testJob("job", 1, 4000, 6*time.Second, aqtype.UrgencyUrgent))
	o.commit()
	last := env.takeOver()
	runRounds(env, last, 12)
	if found := env.unfinished(last.shard); found != "" {
		t.Fatal(found)
	}
}

// A size learned from large tasks of a kind, with headroom, must not prevent the
// placement of a task whose declared size fits. Found by TestShardUnderFaults.
func TestLearnedSizeNeverMakesTaskImpossible(t *testing.T) {
	env := newTestEnv(1)
	o := env.takeOver()
	o.submit(testJob("large", 12, 4000, time.Second, aqtype.UrgencyNormal))
	runRounds(env, o, 40)
	o.submit(testJob("small", 1, 1000, time.Second, aqtype.UrgencyNormal))
	runRounds(env, o, 10)
	if found := env.unfinished(o.shard); found != "" {
		t.Fatal(found)
	}
}

// A deposed owner that has not noticed must not affect the worker's tasks: it does not
// know those started since, and would stop them.
func TestDeposedOwnerCannotStopTasks(t *testing.T) {
	env := newTestEnv(1)
	deposed := env.takeOver()
	deposed.runRound()
	owner := env.takeOver()
	owner.runRound()
	owner.submit(testJob("job", 1, 1000, 20*time.Second, aqtype.UrgencyNormal))
	runRounds(env, owner, 3)
	for range 3 {
		deposed.stepSessions()
	}
	runRounds(env, owner, 30)
	if found := env.unfinished(owner.shard); found != "" {
		t.Fatal(found)
	}
	if r := env.truth.Report(); r.Starts != 1 || r.Interrupted != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// An owner that has nothing to commit must still notice a higher epoch: the worker's
// refusal makes it prove its ownership. In the first demo, an idle deposed owner
// prevented the takeover of two shards.
func TestIdleDeposedOwnerNotices(t *testing.T) {
	env := newTestEnv(1)
	idle := env.takeOver()
	idle.runRound()
	env.takeOver().runRound()
	idle.stepSessions()
	select {
	case <-idle.shard.wakeProve:
	default:
		t.Fatal("the worker's refusal requested no proof of ownership")
	}
	if idle.shard.ProveOnce(t.Context()) || idle.alive() {
		t.Fatal("a deposed owner proved its ownership")
	}
}

// A task is throttled before its start has reached the worker. The worker must not
// start it at its full size next to the task for which it was throttled. Found by
// TestShardUnderFaults after 2758 runs.
func TestThrottleReachesTheWorkerWithTheStart(t *testing.T) {
	env := newTestEnv(1)
	o := env.takeOver()
	o.submit(testJob("background", 1, 4000, time.Minute, aqtype.UrgencyBackground))
	o.readHosts()
	o.stepSessions()
	o.shard.Plan()
	o.submit(testJob("urgent", 1, 1000, time.Minute, aqtype.UrgencyUrgent))
	o.shard.Plan()
	o.commit()
	o.stepSessions()
	if r := env.truth.Report(); r.Starts != 2 || r.OverCommitted != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// A resize order is lost with its session. The capacity that it frees is already
// counted as free, so the order must be sent again before a task is started in that
// capacity.
func TestResizeIsRepeatedUnderANewSession(t *testing.T) {
	env := newTestEnv(1)
	o := env.takeOver()
	o.submit(testJob("background", 1, 4000, time.Minute, aqtype.UrgencyBackground))
	runRounds(env, o, 2)
	o.submit(testJob("urgent", 1, 1000, time.Minute, aqtype.UrgencyUrgent))
	o.shard.Plan()
	o.commit()
	for _, c := range o.sortedClients() {
		c.CloseSession(aqplatform.ErrWorkerOutcomeUnknown)
	}
	runRounds(env, o, 5)
	if r := env.truth.Report(); r.Starts != 2 || r.OverCommitted != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// A restarted worker does not know the newest epoch. A deposed owner that opens a
// session there must not acknowledge the end of a run that it does not know, because
// the worker would delete what may be the only record of a finish. Found by
// TestShardUnderFaults after 8058 runs of seed 99.
func TestDeposedOwnerLeavesUnknownRunsAlone(t *testing.T) {
	env := newTestEnv(1)
	deposed := env.takeOver()
	owner := env.takeOver()
	owner.submit(testJob("job", 1, 1000, time.Second, aqtype.UrgencyNormal))
	owner.runRound()
	env.advance(2 * time.Second)
	env.workers[0].Restart()
	for range 3 {
		deposed.readHosts()
		deposed.stepSessions()
		deposed.shard.Plan()
		deposed.stepSessions()
	}
	runRounds(env, owner, 20)
	if found := env.unfinished(owner.shard); found != "" {
		t.Fatal(found)
	}
	if r := env.truth.Report(); r.Starts != 1 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}
