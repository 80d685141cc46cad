package aqsite

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// terms runs leaders one after the other on one node. The stored list names the workers "sound", which is listed, and
// "gone", which reports to no leader unless a test says so. The agents "n2" and "n3" do not answer.
type terms struct {
	t     *testing.T
	node  *Node
	store *fakeStore
	clock *aqclock.Fake
	// cancel ends the present term.
	leader *leader
	lease  aqstore.LeaseID
	cancel context.CancelFunc
}

func newTerms(t *testing.T) *terms {
	t.Helper()
	store := newFakeStore()
	n, clock := testNode(t, store)
	n.settings.Decider.LeaseMax = aqagent.MaxLeaseSpan(testLeaseMax)
	n.routes.apply(&Config{Version: 1})
	listWorkers(t, n, store, "sound")
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	// The sessions and loops must not advance the clock.
	options := n.agentOptions()
	options.Clock = aqclock.NewFake()
	n.agent = aqagent.New(options)
	n.clock = clock.Fake
	k := &terms{
		t:     t,
		node:  n,
		store: store,
		clock: clock.Fake,
	}
	k.put(fleetKey, fleetRecord{
		Workers: []aqtype.WorkerID{"gone", "sound"},
		Agents:  []nodeRecord{agentRecord("n2"), agentRecord("n3")},
	})
	return k
}

func (k *terms) put(key string, record any) {
	k.t.Helper()
	value, err := aqjob.Encode(record)
	if err != nil {
		k.t.Fatal(err)
	}
	if _, err := k.store.Commit(context.Background(), aqstore.Txn{
		Puts: []aqstore.Put{{Key: key, Value: value}},
	}); err != nil {
		k.t.Fatal(err)
	}
}

// claim begins the term of the next leader, which has read nothing yet.
func (k *terms) claim() {
	k.t.Helper()
	held, err := k.store.Get(context.Background(), leadKey)
	if err != nil && !errors.Is(err, aqstore.ErrNotFound) {
		k.t.Fatal(err)
	}
	if k.leader, k.lease, err = k.node.acquireLead(context.Background(), held); err != nil {
		k.t.Fatal(err)
	}
	k.cancel = func() {}
}

// begin begins the term of the next leader.
func (k *terms) begin() {
	k.t.Helper()
	k.claim()
	var ctx context.Context
	ctx, k.cancel = context.WithCancel(context.Background())
	k.t.Cleanup(k.cancel)
	if _, _, err := k.leader.recover(ctx); err != nil {
		k.t.Fatal(err)
	}
}

// kill ends the term of the present leader without any last act.
func (k *terms) kill() {
	k.leader.lose(errors.New("end of the term"))
	k.cancel()
	k.leader.work.Wait()
}

// stop ends the term of the present leader as planned.
func (k *terms) stop() {
	k.kill()
	k.node.releaseLead(k.leader, k.lease)
}

// report makes the agent of a worker report it to the present leader.
func (k *terms) report(id aqtype.WorkerID, incarnation aqdecider.Incarnation) {
	k.t.Helper()
	l := k.leader
	w := aqdecider.Worker{ID: id, Incarnation: incarnation}
	l.decide(func(d *aqdecider.Decider) { d.UpdateWorker(w) })
	l.agents.addWorker(w)
	l.agents.mu.Lock()
	a := l.agents.assignments[id]
	m, serial := a.member, a.serial
	l.agents.mu.Unlock()
	if m == nil {
		k.t.Fatalf("no agent manages worker %s", id)
	}
	l.agents.applyEvents(m, []aqagent.EventWire{{
		Worker: id,
		Serial: serial,
		Report: &aqagent.ReportReceived{Difference: aqreport.Difference{
			Incarnation: incarnation,
			Sent:        1,
			Complete:    true,
			Whole:       true,
		}},
	}})
}

// wantStart checks when the present leader starts the task that may run on "gone", counted from the beginning of its term.
func (k *terms) wantStart(want time.Duration) {
	k.t.Helper()
	(&takeover{
		t:     k.t,
		l:     k.leader,
		clock: k.clock,
	}).wantStart(want)
	k.kill()
}

// earlierLeases is how long a leader that knows of no agent waits for the leases of earlier leaders.
const earlierLeases = proofLimit + aqagent.PermitTime

// Guards against review/9: each of several leaders in a row began the wait for the leases of earlier ones anew, though those
// between had renewed none.
func TestLeadersInTurnDoNotBeginTheWaitAnew(t *testing.T) {
	const inOffice = 3 * time.Second
	anew := earlierLeases + aqagent.MaxLeaseSpan(5*time.Second)
	for _, test := range []struct {
		name string
		// terms run before the last one, inOffice each.
		terms []func(*terms)
		want  time.Duration
	}{
		{name: "one leader", want: anew},
		{name: "stopped", terms: []func(*terms){(*terms).stop}, want: anew - inOffice},
		{
			name:  "all stopped",
			terms: []func(*terms){(*terms).stop, (*terms).stop, (*terms).stop},
			want:  anew - 3*inOffice,
		},
		{name: "killed", terms: []func(*terms){(*terms).kill}, want: anew},
		{name: "stopped, then killed", terms: []func(*terms){(*terms).stop, (*terms).kill}, want: anew},
		{name: "killed, then stopped", terms: []func(*terms){(*terms).kill, (*terms).stop}, want: anew - inOffice},
		{
			name: "the worker has reported",
			terms: []func(*terms){(*terms).stop, func(k *terms) {
				k.report("gone", 1)
				k.stop()
			}},
			want: anew,
		},
		{
			name: "the worker has reported and was removed",
			terms: []func(*terms){func(k *terms) {
				k.report("gone", 1)
				k.leader.agents.removeWorker("gone")
				k.stop()
			}},
			want: anew,
		},
		{
			name: "a restart of the worker is known",
			terms: []func(*terms){func(k *terms) {
				k.leader.decide(func(d *aqdecider.Decider) {
					d.UpdateWorker(aqdecider.Worker{ID: "gone", Incarnation: 1})
					d.UpdateWorker(aqdecider.Worker{ID: "gone", Incarnation: 2})
				})
				if err := k.leader.storeFleet(context.Background()); err != nil {
					k.t.Fatal(err)
				}
				k.stop()
			}},
			want: anew + aqagent.MaxLeaseSpan(testLeaseMax) - aqagent.MaxLeaseSpan(5*time.Second),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newTerms(t)
			for _, end := range test.terms {
				k.begin()
				k.clock.Advance(inOffice)
				end(k)
			}
			k.begin()
			k.wantStart(test.want)
		})
	}
}
