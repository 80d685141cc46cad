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
	// proof is when ownership was last proved.
	proof   time.Time
	serial  aqsession.Serial
	changed []aqplatform.TaskRun
}

func (o *owner) Proof() time.Time { return o.proof }

func (o *owner) Opened(_ aqtype.WorkerID, serial aqsession.Serial, _ []aqplatform.TaskRun) {
	o.serial = serial
}

func (o *owner) Changed(_ aqtype.WorkerID, runs []aqplatform.TaskRun) {
	o.changed = append(o.changed, runs...)
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
	f := &fixture{clock: aqclock.NewFake(), truth: aqstandin.NewTruth()}
	host := aqstandin.NewWorkerHost("w0", size)
	f.worker = aqstandin.NewWorker(f.clock, host, f.truth, nil)
	f.network = &aqstandin.Network{Next: func() aqstandin.Delivery { return f.delivery }}
	f.owner = &owner{proof: f.clock.Now()}
	f.client = aqsession.NewClient(aqsession.Options{
		Workers: aqstandin.WorkerNetwork{Network: f.network, Workers: aqstandin.NewFleet(f.worker)},
		Clock:   f.clock,
		Owner:   f.owner,
		Limits:  aqsession.Limits{TTL: 4 * time.Second, ProofLimit: 10 * time.Second},
		Worker:  host.ID,
		Epoch:   1,
	})
	return f
}

func (f *fixture) step(t *testing.T) {
	t.Helper()
	if err := f.client.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// The client resends a start whose answer was lost. Once the owner has acknowledged the
// end of the run, the client must not resend it: the worker no longer knows the run and
// would start it again. TestShardUnderFaults found this fault after 2460 runs.
func TestForgottenStartIsNotSentAgain(t *testing.T) {
	f := newFixture()
	f.step(t)
	run := aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1}
	f.client.Send(aqsession.Orders{
		Serial: f.owner.serial,
		Starts: []aqplatform.StartOrder{{Run: run, Size: size}},
	})
	f.delivery = aqstandin.AnswerLost
	if !f.client.Flush(context.Background()) {
		t.Fatal("Flush returned false after a lost answer, want true (outcome unknown)")
	}
	f.delivery = aqstandin.Delivered
	f.clock.Advance(time.Second)
	f.step(t)
	if len(f.owner.changed) != 1 || f.owner.changed[0].State != aqplatform.RunFinished {
		t.Fatalf("changes reported to the owner: %v, want one finished run", f.owner.changed)
	}
	f.client.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	f.client.Flush(context.Background())
	if r := f.truth.Report(); r.Starts != 1 || r.Doubled != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// A delayed command starts nothing if it arrives after the client has sent it again
// and the owner has acknowledged the end of its run.
func TestDelayedCommandStartsNothing(t *testing.T) {
	f := newFixture()
	f.step(t)
	run := aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1}
	f.client.Send(aqsession.Orders{
		Serial: f.owner.serial,
		Starts: []aqplatform.StartOrder{{Run: run, Size: size}},
	})
	f.delivery = aqstandin.CallDelayed
	f.client.Flush(context.Background())
	f.delivery = aqstandin.Delivered
	f.client.Flush(context.Background())
	f.clock.Advance(time.Second)
	f.step(t)
	f.client.Send(aqsession.Orders{AckedEnds: []aqplatform.RunID{run}})
	f.client.Flush(context.Background())
	f.network.DeliverDelayed(func(int) int { return 0 })
	if r := f.truth.Report(); r.Starts != 1 || r.Finishes != 1 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}

// Without a new proof of ownership, renewals stop at the proof limit.
func TestRenewalsEndWithTheProof(t *testing.T) {
	f := newFixture()
	f.step(t)
	for range 9 {
		f.clock.Advance(time.Second)
		f.step(t)
	}
	f.clock.Advance(time.Second)
	if err := f.client.Step(context.Background()); !errors.Is(err, aqsession.ErrNoProof) {
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

// Opening a session again does not extend the time for which the worker runs the
// tasks of the previous session. ReassignAfter relies on this: it allows for a renewal
// in flight, but not for repeated opens.
func TestOpensAloneKeepNothingAlive(t *testing.T) {
	f := newFixture()
	f.step(t)
	f.client.Send(aqsession.Orders{
		Serial: f.owner.serial,
		Starts: []aqplatform.StartOrder{
			{
				Run:     aqplatform.RunID{Task: aqtype.TaskID{Workload: "watcher"}, Attempt: 1},
				Size:    size,
				Endless: true,
			},
		},
	})
	f.client.Flush(context.Background())
	f.delivery = aqstandin.AnswerLost
	for range 5 {
		f.client.CloseSession(aqplatform.ErrWorkerOutcomeUnknown)
		if err := f.client.Step(context.Background()); err == nil {
			t.Fatal("Step succeeded although the answer was lost")
		}
		f.clock.Advance(time.Second)
		f.worker.Tick()
	}
	if n := f.truth.RunningTasks(); n != 0 {
		t.Fatalf("%d tasks still run after the TTL without a renewal", n)
	}
}

// A start decided under an earlier session is never sent, because the owner has
// learned from Opened that it will not run.
func TestStartOfAnEarlierSessionIsNotSent(t *testing.T) {
	f := newFixture()
	f.step(t)
	earlier := f.owner.serial
	f.client.CloseSession(aqplatform.ErrWorkerOutcomeUnknown)
	f.step(t)
	f.client.Send(aqsession.Orders{
		Serial: earlier,
		Starts: []aqplatform.StartOrder{
			{
				Run:  aqplatform.RunID{Task: aqtype.TaskID{Workload: "job"}, Attempt: 1},
				Size: size,
			},
		},
	})
	f.client.Flush(context.Background())
	if r := f.truth.Report(); r.Starts != 0 {
		t.Fatalf("unexpected runs on the worker: %+v", r)
	}
}
