package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqquorum"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// lead makes a node the leader without running its loops.
func lead(t *testing.T, n *Node, store *fakeStore) *leader {
	t.Helper()
	revision, err := store.Commit(context.Background(), aqstore.Txn{
		Puts: []aqstore.Put{{Key: leadKey, Value: []byte("n1")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return n.newLeader(revision, aqagent.LeadRecord{Node: "n1"}, n.clock.Elapsed())
}

func addCancelledJob(l *leader) {
	l.decide(func(d *aqdecider.Decider) {
		d.AddJob(testJob(), nil, 0, false)
		d.Cancel(testJob().ID)
	})
}

// After a lost answer the leader finds out from the store whether the write took
// effect, and writes the record once.
func TestProgressIsStoredThroughLostAnswers(t *testing.T) {
	for _, applied := range []bool{true, false} {
		store := newFakeStore()
		n, _ := testNode(t, store)
		l := lead(t, n, store)
		addCancelledJob(l)
		commits := 0
		store.fault = func(aqstore.Txn) (error, bool) {
			commits++
			if commits == 1 {
				return aqstore.ErrUnknown, applied
			}
			return nil, false
		}
		l.recovered = true
		l.storeRound(context.Background())
		if l.lost != nil {
			t.Fatalf("leadership lost: %v", l.lost)
		}
		if state, known, _ := l.state(testJob().ID); !known || state != aqjob.StateCancelled {
			t.Fatalf("job state is %s, want cancelled", state)
		}
	}
}

// A deposed leader stores nothing more and ends its term.
func TestDeposedLeaderStoresNothing(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	l := lead(t, n, store)
	addCancelledJob(l)
	lead(t, n, store)
	l.recovered = true
	l.storeRound(context.Background())
	if l.lost == nil {
		t.Fatal("a deposed leader still leads")
	}
	if _, err := store.Get(context.Background(), progressKey(testJob().ID)); !errors.Is(err, aqstore.ErrNotFound) {
		t.Fatalf("progress was written: %v", err)
	}
}

// A job that another process reports is added only after a proof of the leadership:
// it may have been stored under a later leader.
func TestToldJobNeedsProof(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	value, err := aqjob.Encode(testJob())
	if err != nil {
		t.Fatal(err)
	}
	lead(t, n, store)
	l.handleNotify(notifyCall{Job: testJob().ID, Value: value, Created: 99})
	clock.Advance(time.Second)
	if len(l.overdueJobs()) != 1 {
		t.Fatal("the reported job is not overdue")
	}
	l.notifiedJobsLoop(untilLost(l))
	if _, known := l.decider.State(testJob().ID); known || l.lost == nil {
		t.Fatal("a deposed leader has added the job")
	}
}

// While the watch is stalled, a reported job waits for the proof only, and not for the
// watch as well.
func TestStalledWatchDelaysNoJob(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	value, err := aqjob.Encode(testJob())
	if err != nil {
		t.Fatal(err)
	}
	l.handleNotify(notifyCall{Job: testJob().ID, Value: value, Created: 99})
	if len(l.overdueJobs()) != 0 {
		t.Fatal("the job does not wait for a watch that works")
	}
	l.probe.written(5, clock.Now())
	l.probe.overdue(clock.Now().Add(2 * probeTimeout))
	if len(l.overdueJobs()) != 1 {
		t.Fatal("the job waits for a watch that is stalled")
	}
}

// untilLost returns a context that ends with the leadership.
func untilLost(l *leader) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-l.ended
		cancel()
	}()
	return ctx
}

// A leader without a proof within proofLimit gives no orders, also when its host was
// suspended meanwhile.
func TestLeaderNeedsProof(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	if !l.mayOrder() {
		t.Fatal("a new leader may not give orders")
	}
	clock.Advance(proofLimit)
	if l.mayOrder() {
		t.Fatal("a leader gives orders without proof")
	}
	if _, err := l.prove(context.Background(), nil); err != nil || !l.mayOrder() {
		t.Fatalf("no permission to give orders after a proof: %v", err)
	}
	clock.Suspend(proofLimit)
	if l.mayOrder() {
		t.Fatal("a leader gives orders after its host was suspended")
	}
}

// A leader that the store does not answer continues up to proofLimit, but only while a majority of
// the processes follows it: otherwise the others may have the next leader.
func TestLeaderWithoutProofNeedsAMajority(t *testing.T) {
	for _, test := range []struct {
		name   string
		follow []string
		want   time.Duration
	}{
		{name: "nobody", want: aqquorum.UnaidedLimit},
		{name: "half", follow: []string{"n1", "n2"}, want: aqquorum.UnaidedLimit},
		{name: "a majority", follow: []string{"n1", "n2", "n3"}, want: proofLimit},
		{name: "no voter", follow: []string{"n1", "n2", "n5"}, want: aqquorum.UnaidedLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore()
			n, clock := testNode(t, store)
			l := lead(t, n, store)
			var voters []aqquorum.Voter
			for _, name := range []string{"n1", "n2", "n3", "n4"} {
				voters = append(voters, agentRecord(name).voter())
			}
			l.support.Settle(voters)
			const step = 100 * time.Millisecond
			for passed := time.Duration(0); passed < 2*proofLimit; passed += step {
				for _, name := range test.follow {
					l.followed(&member{record: agentRecord(name)}, n.clock.Elapsed())
				}
				if may := l.mayOrder(); may != (passed < test.want) {
					t.Fatalf("after %s may order: %v", passed, may)
				}
				clock.Advance(step)
			}
			if _, err := l.prove(context.Background(), nil); err != nil || !l.mayOrder() {
				t.Fatalf("no permission to give orders after a proof: %v", err)
			}
		})
	}
}

// A leader that a majority no longer follows stops soon, and finds out when it follows again.
func TestLeaderWithoutProofLosesItsMajority(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	l := lead(t, n, store)
	l.support.Settle([]aqquorum.Voter{agentRecord("n1").voter()})
	clock.Advance(2 * time.Second)
	l.followed(&member{record: agentRecord("n1")}, n.clock.Elapsed())
	if !l.mayOrder() {
		t.Fatal("a leader with a majority may not give orders")
	}
	clock.Advance(aqquorum.MajorityLimit)
	if l.mayOrder() || !l.mayPoll() {
		t.Fatalf("without a majority: may order %v, may poll %v", l.mayOrder(), l.mayPoll())
	}
	l.followed(&member{record: agentRecord("n1"), joinedAt: n.clock.Elapsed()}, n.clock.Elapsed())
	if l.mayOrder() {
		t.Fatal("a process counts that has joined since the last proof")
	}
	l.followed(&member{record: agentRecord("n1")}, n.clock.Elapsed())
	if !l.mayOrder() {
		t.Fatal("a leader that has its majority again may not give orders")
	}
	clock.Advance(proofLimit)
	if l.mayPoll() {
		t.Fatal("a leader without proof still polls")
	}
}

// A leader that has not read the stored jobs yet answers nothing about them.
func TestNoAnswersBeforeRecovery(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	n.routes.apply(&Config{Version: 1})
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	// The loops that recovery starts must not advance the clock.
	n.clock = clock.Fake
	n.agent = aqagent.New(n.agentOptions())
	l := lead(t, n, store)
	if _, current := l.pending(testJob().Queue.ID); current {
		t.Fatal("leader counts jobs before they are read")
	}
	if _, _, current := l.state(testJob().ID); current {
		t.Fatal("leader answers job states before they are read")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, _, err := l.recover(ctx); err != nil {
		t.Fatal(err)
	}
	defer l.lose(errors.New("end of the test"))
	if count, current := l.pending(testJob().Queue.ID); !current || count != 1 {
		t.Fatalf("%d jobs pending, current %v, want 1, true", count, current)
	}
}
