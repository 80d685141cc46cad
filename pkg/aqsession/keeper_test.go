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

// owner records the events of a session.
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

type fixture struct {
	clock    *aqclock.Fake
	truth    *aqstandin.Truth
	worker   *aqstandin.Worker
	delivery aqstandin.Delivery
	network  *aqstandin.Network
	owner    *owner
	client   *aqsession.Client
}

func newFixture() *fixture {
	b := &fixture{clock: aqclock.NewFake(), truth: aqstandin.NewTruth()}
	host := aqstandin.TestHost("w0", size)
	b.worker = aqstandin.NewWorker(b.clock, host, b.truth, nil)
	b.network = &aqstandin.Network{Next: func() aqstandin.Delivery { return b.delivery }}
	b.owner = &owner{proof: b.clock.Now()}
	b.client = aqsession.NewClient(aqsession.Options{
		Workers: aqstandin.WorkerNetwork{Network: b.network, Workers: aqstandin.NewFleet(b.worker)},
		Clock:   b.clock,
		Owner:   b.owner,
		Limits:  aqsession.Limits{TTL: 4 * time.Second, ProofLimit: 10 * time.Second},
		Worker:  host.ID,
		Epoch:   1,
	})
	return b
}

func (b *fixture) step(t *testing.T) {
	t.Helper()
	if err := b.client.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// A start whose answer was lost is sent again, but not after its run's end has been
// acknowledged: the worker would then run it again. TestShardUnderFaults found this
// after 2460 runs.
func TestForgottenStartIsNotSentAgain(t *testing.T) {
	b := newFixture()
	b.step(t)
	run := aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1}
	b.client.Send(aqsession.Orders{
		Serial: b.owner.serial,
		Starts: []aqplatform.StartOrder{{Run: run, Size: size}},
	})
	b.delivery = aqstandin.AnswerLost
	if !b.client.Flush(context.Background()) {
		t.Fatal("Flush reported a known outcome after a lost answer")
	}
	b.delivery = aqstandin.Delivered
	b.clock.Advance(time.Second)
	b.step(t)
	if len(b.owner.ended) != 1 || b.owner.ended[0].State != aqplatform.RunFinished {
		t.Fatalf("changes reported to the owner: %v, want one finished run", b.owner.ended)
	}
	b.client.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	b.client.Flush(context.Background())
	if r := b.truth.Report(); r.Starts != 1 || r.Doubled != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// A delayed command that arrives after it was sent again, and after its run's end
// was acknowledged, starts nothing.
func TestDelayedCommandStartsNothing(t *testing.T) {
	b := newFixture()
	b.step(t)
	run := aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1}
	b.client.Send(aqsession.Orders{
		Serial: b.owner.serial,
		Starts: []aqplatform.StartOrder{{Run: run, Size: size}},
	})
	b.delivery = aqstandin.CallDelayed
	b.client.Flush(context.Background())
	b.delivery = aqstandin.Delivered
	b.client.Flush(context.Background())
	b.clock.Advance(time.Second)
	b.step(t)
	b.client.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	b.client.Flush(context.Background())
	b.network.DeliverDelayed(func(int) int { return 0 })
	if r := b.truth.Report(); r.Starts != 1 || r.Finishes != 1 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// Without a new proof of ownership, renewals stop at the proof limit.
func TestRenewalsEndWithTheProof(t *testing.T) {
	b := newFixture()
	b.step(t)
	for range 9 {
		b.clock.Advance(time.Second)
		b.step(t)
	}
	b.clock.Advance(time.Second)
	if err := b.client.Step(context.Background()); !errors.Is(err, aqsession.ErrNoProof) {
		t.Fatalf("renewal after the proof limit: %v, want ErrNoProof", err)
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

// Opens whose answers are lost do not keep a worker's tasks running: the time until
// reassignment takes only renewals into account.
func TestOpensAloneKeepNothingAlive(t *testing.T) {
	b := newFixture()
	b.step(t)
	b.client.Send(aqsession.Orders{
		Serial: b.owner.serial,
		Starts: []aqplatform.StartOrder{
			{
				Run:     aqplatform.RunID{Task: aqtype.TaskID{Workload: "watcher"}, Attempt: 1},
				Size:    size,
				Endless: true,
			},
		},
	})
	b.client.Flush(context.Background())
	b.delivery = aqstandin.AnswerLost
	for range 5 {
		b.client.Fail(aqplatform.ErrWorkerOutcomeUnknown)
		if err := b.client.Step(context.Background()); err == nil {
			t.Fatal("Step succeeded although the answer was lost")
		}
		b.clock.Advance(time.Second)
		b.worker.Tick()
	}
	if n := b.truth.RunningTasks(); n != 0 {
		t.Fatalf("%d tasks still run after the TTL without a renewal", n)
	}
}

// A start decided under an earlier session is never sent: Opened has told the owner
// that it will not run.
func TestStartOfAnEarlierSessionIsNotSent(t *testing.T) {
	b := newFixture()
	b.step(t)
	earlier := b.owner.serial
	b.client.Fail(aqplatform.ErrWorkerOutcomeUnknown)
	b.step(t)
	b.client.Send(aqsession.Orders{
		Serial: earlier,
		Starts: []aqplatform.StartOrder{
			{
				Run:  aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1},
				Size: size,
			},
		},
	})
	b.client.Flush(context.Background())
	if r := b.truth.Report(); r.Starts != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}
