package aqsite

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// listWorkers makes service discovery list workers of the pool of testJob.
func listWorkers(t *testing.T, n *Node, store *fakeStore, ids ...string) {
	t.Helper()
	n.catalog.DecodeWorker = func(item aqstore.Item) (aqdecider.Worker, error) {
		return aqdecider.Worker{
			ID:          aqtype.WorkerID(item.Value),
			Service:     testJob().Queue.Service,
			Capacity:    aqtype.Resources{MilliCPU: 8000, Memory: 8000},
			Incarnation: 1,
		}, nil
	}
	for _, id := range ids {
		if _, err := store.Commit(context.Background(), aqstore.Txn{
			Puts: []aqstore.Put{{Key: n.catalog.WorkerPrefix + id, Value: []byte(id)}},
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// A leader that cannot read the stored jobs for a while keeps its term. Its agents take
// over the workers before, and renew their leases; the runs that they report meanwhile are
// adopted once the jobs are known, and not stopped as orphans.
func TestRecoveryTakesOverWorkersFirst(t *testing.T) {
	store := newFakeStore()
	n, _ := testNode(t, store)
	n.routes.apply(&Config{Version: 1})
	listWorkers(t, n, store, "w1")
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	// The sessions must not advance the clock.
	options := n.agentOptions()
	options.Clock = aqclock.NewFake()
	n.agent = aqagent.New(options)
	l := lead(t, n, store)
	failures := 0
	store.rangeFault = func(prefix string) error {
		if prefix != inPrefix || failures >= 3 {
			return nil
		}
		failures++
		if failures > 1 {
			return aqstore.ErrUnknown
		}
		l.agents.mu.Lock()
		a := l.agents.assignments["w1"]
		m, serial := a.member, a.serial
		l.agents.mu.Unlock()
		if m == nil {
			t.Error("no agent manages the worker before the jobs are read")
			return aqstore.ErrUnknown
		}
		l.agents.applyEvents(m, []aqagent.EventWire{{
			Worker: "w1",
			Serial: serial,
			Report: &aqagent.ReportReceived{Difference: aqreport.Difference{
				Incarnation: 1,
				Sent:        1,
				Complete:    true,
				Whole:       true,
				New: []aqreport.NewRun{{
					Slot: 1,
					Run:  aqdecider.RunID{Task: aqjob.TaskID{Job: testJob().ID}, Attempt: 1},
				}},
			}},
		}})
		if params := l.agents.changedParams(m); len(params) != 1 || !params[0].Renew {
			t.Errorf("parameters %+v, want a renewal of the lease", params)
		}
		return aqstore.ErrUnknown
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, _, err := l.recover(ctx); err != nil {
		t.Fatal(err)
	}
	defer l.lose(errors.New("end of the test"))
	if failures != 3 {
		t.Fatalf("the jobs were read after %d failures", failures)
	}
	l.decide(func(d *aqdecider.Decider) {
		for _, o := range d.Tick() {
			if _, isStop := o.(aqdecider.Stop); isStop {
				t.Errorf("the run is stopped: %+v", o)
			}
		}
		view, _, _ := d.ViewJob(testJob().ID)
		if view.State != aqjob.StateRunning {
			t.Errorf("the job is %s, want the run adopted", view.State)
		}
	})
}

// What is stored of an ended job no longer holds its payload, and still keeps a repeated
// submission from running again.
func TestEndedJobIsStoredWithoutItsPayload(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	job := testJob()
	job.Payload = "a long payload"
	if err := n.Submit(context.Background(), job); err != nil {
		t.Fatal(err)
	}
	l := lead(t, n, store)
	l.recovered = true
	l.decide(func(d *aqdecider.Decider) {
		d.AddJob(job, nil, 0, false)
		d.Cancel(job.ID)
	})
	l.storeRound(context.Background())
	item, err := store.Get(context.Background(), jobKey(job.ID))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := aqjob.DecodeJob(item.Value)
	if err != nil || !stored.Closed || stored.Payload != "" || len(stored.Groups) != 0 {
		t.Fatalf("stored %+v, %v", stored, err)
	}
	if err := n.Submit(context.Background(), job); err != nil {
		t.Fatalf("repeated submission: %v", err)
	}
	// The loops that recovery starts must not advance the clock.
	n.clock = clock.Fake
	n.agent = aqagent.New(n.agentOptions())
	next := lead(t, n, store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, _, err := next.recover(ctx); err != nil {
		t.Fatal(err)
	}
	defer next.lose(errors.New("end of the test"))
	if state, known, _ := next.state(job.ID); !known || state != aqjob.StateCancelled {
		t.Fatalf("the next leader says %q, known %v", state, known)
	}
	next.decide(func(d *aqdecider.Decider) {
		if orders := d.Tick(); len(orders) > 0 {
			t.Errorf("orders %+v for an ended job", orders)
		}
	})
}
