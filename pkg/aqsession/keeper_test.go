package aqsession_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqsession"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

var size = aqtype.Resources{
	MilliCPU: 1000,
	Memory:   1000,
}

// owner notes what a session tells it.
type owner struct {
	proof  time.Time
	serial aqsession.Serial
	ended  []aqplatform.TaskRun
}

func (o *owner) Proof() time.Time { return o.proof }

func (o *owner) Opened(_ aqtype.WorkerID, serial aqsession.Serial, _ []aqplatform.TaskRun) {
	o.serial = serial
}

func (o *owner) Changed(_ aqtype.WorkerID, runs []aqplatform.TaskRun) {
	o.ended = append(o.ended, runs...)
}
func (*owner) Refused(aqtype.WorkerID, []aqplatform.RunID) {}
func (*owner) Closed(aqtype.WorkerID, error)               {}

type bench struct {
	clock   *aqclock.Fake
	truth   *aqstandin.Truth
	worker  *aqstandin.Worker
	fate    aqstandin.Delivery
	network *aqstandin.Network
	owner   *owner
	keeper  *aqsession.Client
}

func newBench() *bench {
	b := &bench{clock: aqclock.NewFake(), truth: aqstandin.NewTruth()}
	host := aqstandin.TestHost("w0", size)
	b.worker = aqstandin.NewWorker(b.clock, host, b.truth, nil)
	b.network = &aqstandin.Network{Next: func() aqstandin.Delivery { return b.fate }}
	b.owner = &owner{proof: b.clock.Now()}
	b.keeper = aqsession.NewClient(aqsession.Options{
		Workers: aqstandin.WorkerNetwork{Network: b.network, Workers: aqstandin.NewFleet(b.worker)},
		Clock:   b.clock,
		Owner:   b.owner,
		Limits:  aqsession.Limits{TTL: 4 * time.Second, ProofLimit: 10 * time.Second},
		Worker:  host.ID,
		Epoch:   1,
	})
	return b
}

func (b *bench) step(t *testing.T) {
	t.Helper()
	if err := b.keeper.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// A start whose answer was lost is sent again, but not once its run has ended
// and is to be forgotten: the worker would run it anew. Seen in
// TestShardUnderFaults after 2460 runs.
func TestForgottenStartIsNotSentAgain(t *testing.T) {
	b := newBench()
	b.step(t)
	run := aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1}
	b.keeper.Send(aqsession.Orders{
		Serial: b.owner.serial,
		Starts: []aqplatform.StartOrder{{Run: run, Size: size}},
	})
	b.fate = aqstandin.AnswerLost
	if !b.keeper.Flush(context.Background()) {
		t.Fatal("a lost answer was not seen as one")
	}
	b.fate = aqstandin.Delivered
	b.clock.Advance(time.Second)
	b.step(t)
	if len(b.owner.ended) != 1 || b.owner.ended[0].State != aqplatform.RunFinished {
		t.Fatalf("the owner heard of %v", b.owner.ended)
	}
	b.keeper.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	b.keeper.Flush(context.Background())
	if r := b.truth.Report(); r.Starts != 1 || r.Doubled != 0 {
		t.Fatalf("the worker saw %+v", r)
	}
}

// A command that arrives long after it was repeated, and after its run has ended
// and been forgotten, starts nothing.
func TestDelayedCommandStartsNothing(t *testing.T) {
	b := newBench()
	b.step(t)
	run := aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1}
	b.keeper.Send(aqsession.Orders{
		Serial: b.owner.serial,
		Starts: []aqplatform.StartOrder{{Run: run, Size: size}},
	})
	b.fate = aqstandin.CallDelayed
	b.keeper.Flush(context.Background())
	b.fate = aqstandin.Delivered
	b.keeper.Flush(context.Background())
	b.clock.Advance(time.Second)
	b.step(t)
	b.keeper.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	b.keeper.Flush(context.Background())
	b.network.DeliverDelayed(func(int) int { return 0 })
	if r := b.truth.Report(); r.Starts != 1 || r.Finishes != 1 {
		t.Fatalf("the worker saw %+v", r)
	}
}

// Renewals end with the proof of ownership, and the worker then stops the tasks.
func TestRenewalsEndWithTheProof(t *testing.T) {
	b := newBench()
	b.step(t)
	for range 9 {
		b.clock.Advance(time.Second)
		b.step(t)
	}
	b.clock.Advance(time.Second)
	if err := b.keeper.Step(context.Background()); !errors.Is(err, aqsession.ErrNoProof) {
		t.Fatalf("renewal without proof: %v", err)
	}
}

func ExampleLimits_ReassignAfter() {
	limits := aqsession.Limits{
		TTL:          30 * time.Second,
		ProofLimit:   10 * time.Minute,
		DriftPercent: 5,
	}
	fmt.Println(limits.ReassignAfter(), limits.ExpireAfter())
	// Output: 11m33s 1m3s
}

// Opens whose answers are lost do not keep a worker's tasks alive: the bound for
// reassignment counts renewals only.
func TestOpensAloneKeepNothingAlive(t *testing.T) {
	b := newBench()
	b.step(t)
	b.keeper.Send(aqsession.Orders{
		Serial: b.owner.serial,
		Starts: []aqplatform.StartOrder{
			{
				Run:     aqplatform.RunID{Task: aqtype.TaskID{Workload: "watcher"}, Attempt: 1},
				Size:    size,
				Endless: true,
			},
		},
	})
	b.keeper.Flush(context.Background())
	b.fate = aqstandin.AnswerLost
	for range 5 {
		b.keeper.Fail(aqplatform.ErrWorkerUnknown)
		if err := b.keeper.Step(context.Background()); err == nil {
			t.Fatal("the answer was not lost")
		}
		b.clock.Advance(time.Second)
		b.worker.Tick()
	}
	if n := b.truth.RunningTasks(); n != 0 {
		t.Fatalf("%d tasks run without a renewal", n)
	}
}

// A start that was decided under an earlier session is never sent: the owner has
// been told that it will not run.
func TestStartOfAnEarlierSessionIsNotSent(t *testing.T) {
	b := newBench()
	b.step(t)
	earlier := b.owner.serial
	b.keeper.Fail(aqplatform.ErrWorkerUnknown)
	b.step(t)
	b.keeper.Send(aqsession.Orders{
		Serial: earlier,
		Starts: []aqplatform.StartOrder{
			{
				Run:  aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1},
				Size: size,
			},
		},
	})
	b.keeper.Flush(context.Background())
	if r := b.truth.Report(); r.Starts != 0 {
		t.Fatalf("the worker saw %+v", r)
	}
}
