package aqsite

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqreport"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqpeer"
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
	k.restore()
}

// restore does what the loop of the workers' entries begins with.
func (k *terms) restore() {
	k.t.Helper()
	if err := k.leader.restoreUnlisted(context.Background()); err != nil {
		k.t.Fatal(err)
	}
	k.leader.inheritLeases()
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
	w := aqdecider.Worker{ID: id, Incarnation: incarnation}
	k.leader.decide(func(d *aqdecider.Decider) { d.UpdateWorker(w) })
	k.leader.agents.addWorker(w)
	k.reportDifference(id, aqreport.Difference{
		Incarnation: incarnation,
		Sent:        1,
		Complete:    true,
		Whole:       true,
	})
}

// reportDifference makes the agent of a worker send a report.
func (k *terms) reportDifference(id aqtype.WorkerID, difference aqreport.Difference) {
	k.t.Helper()
	l := k.leader
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
		Report: &aqagent.ReportReceived{Difference: difference},
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

// A handover that cannot be used, is late or is lost leaves the wait of a leader that is killed.
func TestUnusableHandoverIsIgnored(t *testing.T) {
	const inOffice = 3 * time.Second
	anew := earlierLeases + aqagent.MaxLeaseSpan(5*time.Second)
	told := func(k *terms, h any) {
		value, err := aqjob.Encode(h)
		if err != nil {
			k.t.Fatal(err)
		}
		k.put(termKey, termRecord{Handover: value})
	}
	for _, test := range []struct {
		name string
		end  func(*terms)
		want time.Duration
	}{
		{name: "not decodable", want: anew, end: func(k *terms) {
			k.kill()
			k.put(termKey, termRecord{Handover: []byte{0xff}})
		}},
		{name: "of another form", want: anew, end: func(k *terms) {
			k.kill()
			told(k, struct{ Leases string }{Leases: "gone"})
		}},
		{name: "negative", want: anew, end: func(k *terms) {
			k.kill()
			told(k, handover{Leases: []knownLease{{Worker: "gone", EndsIn: -time.Second}}})
		}},
		{name: "longer than the wait", want: anew, end: func(k *terms) {
			k.kill()
			told(k, handover{Leases: []knownLease{{Worker: "gone", EndsIn: time.Hour}}})
		}},
		{name: "of another worker", want: anew, end: func(k *terms) {
			k.kill()
			told(k, handover{Leases: []knownLease{{Worker: "other"}}})
		}},
		{name: "of an earlier version", want: anew, end: func(k *terms) {
			k.kill()
			k.put(termKey, struct{ Term int64 }{Term: 5})
		}},
		{name: "not written", want: anew, end: func(k *terms) {
			k.store.fault = failTerm(false)
			k.stop()
			k.store.fault = nil
		}},
		{name: "answer lost", want: anew - inOffice, end: func(k *terms) {
			k.store.fault = failTerm(true)
			k.stop()
			k.store.fault = nil
		}},
		{name: "written after the next claim", want: anew, end: func(k *terms) {
			k.kill()
			deposed := k.leader
			k.claim()
			k.kill()
			var conflict *aqstore.ConflictError
			if err := deposed.handOver(context.Background()); !errors.As(err, &conflict) {
				k.t.Fatalf("a deposed leader hands over: %v", err)
			}
		}},
		{name: "taken by a leader that has read nothing", want: anew, end: func(k *terms) {
			k.stop()
			k.claim()
			k.kill()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newTerms(t)
			k.begin()
			k.clock.Advance(inOffice)
			test.end(k)
			k.begin()
			k.wantStart(test.want)
		})
	}
}

// failTerm fails the writes of the term key.
func failTerm(applied bool) func(aqstore.Txn) (error, bool) {
	return func(txn aqstore.Txn) (error, bool) {
		for _, p := range txn.Puts {
			if p.Key == termKey {
				return aqstore.ErrUnknown, applied
			}
		}
		return nil, false
	}
}

// A version that knows only the term reads a record with a handover.
func TestEarlierVersionReadsTheTermOfAHandover(t *testing.T) {
	value, err := aqjob.Encode(termRecord{
		Term:     3,
		Handover: []byte{1},
	})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct{ Term int64 }
	if err := decode(value, &earlier); err != nil || earlier.Term != 3 {
		t.Fatalf("term %d, %v", earlier.Term, err)
	}
}

// A handover costs one write, and only while it has something to tell.
func TestHandoverIsWrittenOnceIfAtAll(t *testing.T) {
	k := newTerms(t)
	stop := func() int {
		k.kill()
		before := k.store.commits
		k.node.releaseLead(k.leader, k.lease)
		return k.store.commits - before
	}
	k.begin()
	if got := stop(); got != 1 {
		t.Errorf("%d writes with an unreported worker, want 1", got)
	}
	k.begin()
	k.report("gone", 1)
	k.report("sound", 1)
	if got := stop(); got != 0 {
		t.Errorf("%d writes without unreported workers, want 0", got)
	}
}

// No chain of leaders that stop, are killed or are cut off, and to some of which the worker reports, starts the task while a
// lease on that worker may last.
func TestLeadersInTurnNeverStartEarly(t *testing.T) {
	span := aqagent.MaxLeaseSpan(5 * time.Second)
	handedOn := 0
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		k := newTerms(t)
		// leasesEnd is the elapsed time until which a lease that agents renew may last. An earlier leader of all may have no
		// proof since just before the first term.
		leasesEnd := k.clock.Elapsed() + earlierLeases + span
		for started := false; !started; {
			before := k.clock.Elapsed()
			k.begin()
			if len(k.leader.inherited.Leases) > 0 {
				handedOn++
			}
			reports := random.Intn(4) == 0
			lasts := time.Duration(random.Intn(6000)) * time.Millisecond
			if random.Intn(10) == 0 {
				lasts = 2 * (earlierLeases + span)
			}
			for passed := time.Duration(0); passed < lasts && !started && !reports; passed += 50 * time.Millisecond {
				k.clock.Advance(50 * time.Millisecond)
				k.leader.decide(func(d *aqdecider.Decider) {
					d.WorkerReported("sound", aqdecider.WorkerReport{Incarnation: 1, Complete: true, Sent: 1})
					for _, o := range d.Tick() {
						_, isStart := o.(aqdecider.Start)
						started = started || isStart
					}
				})
			}
			if now := k.clock.Elapsed(); started && now < leasesEnd {
				t.Fatalf("seed %d: started %s before the leases end", seed, leasesEnd-now)
			}
			if reports {
				k.clock.Advance(lasts)
				k.report("gone", 1)
			}
			renewing := time.Duration(0)
			switch random.Intn(3) {
			case 0:
				k.stop()
				renewing = aqagent.PermitTime
			case 1:
				k.kill()
				renewing = aqagent.PermitTime
			case 2:
				// It acts on while the next one leads.
				k.kill()
				renewing = earlierLeases
			}
			if reports {
				leasesEnd = max(leasesEnd, k.clock.Elapsed()+renewing+span)
			}
			if k.clock.Elapsed() == before {
				k.clock.Advance(time.Millisecond)
			}
		}
	}
	if handedOn == 0 {
		t.Fatal("no leader has handed anything on")
	}
}

// A worker that has reported to a leader which never read the jobs has had its lease renewed, though the decider knows of no
// report.
func TestHeldReportIsNotHandedOver(t *testing.T) {
	k := newTerms(t)
	k.claim()
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.store.rangeFault = func(prefix string) error {
		if prefix != inPrefix {
			return nil
		}
		k.report("gone", 1)
		k.clock.Advance(3 * time.Second)
		cancel()
		return aqstore.ErrUnknown
	}
	if _, _, err := k.leader.recover(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("recovery ends with %v", err)
	}
	k.store.rangeFault = nil
	k.stop()
	k.begin()
	k.wantStart(earlierLeases + aqagent.MaxLeaseSpan(5*time.Second))
}

// A leader hands on, too, that the leases have ended, though the stored list may still name the worker.
func TestEndedLeasesAreHandedOver(t *testing.T) {
	k := newTerms(t)
	k.begin()
	k.clock.Advance(earlierLeases + aqagent.MaxLeaseSpan(5*time.Second) + time.Millisecond)
	k.leader.decide(func(d *aqdecider.Decider) { d.Tick() })
	k.stop()
	k.begin()
	k.wantStart(0)
}

// A lease that this leader has renewed during its recovery outlasts what the earlier one has handed on.
func TestHandoverDoesNotCoverALeaseOfThisTerm(t *testing.T) {
	k := newTerms(t)
	k.begin()
	k.clock.Advance(8 * time.Second)
	k.stop()
	k.claim()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k.cancel = cancel
	k.store.rangeFault = func(prefix string) error {
		if prefix == inPrefix {
			k.report("gone", 1)
			k.leader.agents.mu.Lock()
			a := k.leader.agents.assignments["gone"]
			k.leader.agents.assign(a, a.member)
			k.leader.agents.mu.Unlock()
		}
		return nil
	}
	if _, _, err := k.leader.recover(ctx); err != nil {
		t.Fatal(err)
	}
	k.restore()
	k.wantStart(earlierLeases + aqagent.MaxLeaseSpan(5*time.Second))
}

// A restart that only this leader knows of may have left a longer lease than the earlier one has reckoned with.
func TestHandoverOfAWorkerThatHasRestarted(t *testing.T) {
	k := newTerms(t)
	listWorkers(t, k.node, k.store, "gone")
	entries, err := aqpeer.Pack(fleetEntries{Workers: []aqdecider.Worker{{ID: "gone", Incarnation: 0}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := k.store.Commit(context.Background(), aqstore.Txn{
		Puts: []aqstore.Put{{Key: entriesKey, Value: entries}},
	}); err != nil {
		t.Fatal(err)
	}
	k.claim()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k.cancel = cancel
	if _, _, err := k.leader.recover(ctx); err != nil {
		t.Fatal(err)
	}
	k.clock.Advance(3 * time.Second)
	k.stop()
	k.begin()
	k.wantStart(earlierLeases + aqagent.MaxLeaseSpan(testLeaseMax) - 3*time.Second)
}

// A leader hands on when the lease of a worker ends that it has lost itself, but not if another agent may renew it still.
func TestLeaseOfALostWorkerIsHandedOver(t *testing.T) {
	const endsIn = 2 * time.Second
	anew := earlierLeases + aqagent.MaxLeaseSpan(5*time.Second)
	unresponsive := func(k *terms) {
		p := k.leader.agents
		p.mu.Lock()
		a := p.assignments["gone"]
		m, serial := a.member, a.serial
		p.mu.Unlock()
		p.applyEvents(m, []aqagent.EventWire{{
			Worker:       "gone",
			Serial:       serial,
			Unresponsive: &aqagent.Unresponsive{ExpiresIn: endsIn},
		}})
	}
	expire := func(k *terms) {
		k.clock.Advance(endsIn + time.Millisecond)
		k.leader.decide(func(d *aqdecider.Decider) { k.leader.agents.expireLeases(d) })
	}
	for _, test := range []struct {
		name  string
		after func(*terms)
		want  time.Duration
	}{
		{name: "reachable", after: func(*terms) {}, want: anew},
		{name: "unresponsive", after: unresponsive, want: endsIn},
		{name: "expired", want: 0, after: func(k *terms) {
			unresponsive(k)
			expire(k)
		}},
		{name: "unresponsive again after the expiry", want: 0, after: func(k *terms) {
			unresponsive(k)
			expire(k)
			unresponsive(k)
		}},
		{name: "expired and not listed", want: 0, after: func(k *terms) {
			k.reportDifference("gone", aqreport.Difference{
				Incarnation: 1,
				Sent:        2,
				Complete:    true,
				New: []aqreport.NewRun{{
					Slot: 1,
					Run:  aqdecider.RunID{Task: aqjob.TaskID{Job: testJob().ID}, Attempt: 1},
				}},
			})
			k.leader.decide(func(d *aqdecider.Decider) { d.DelistWorker("gone") })
			unresponsive(k)
			expire(k)
			k.leader.removeUnknownWorkers()
			if k.leader.agents.assignments["gone"] != nil {
				k.t.Fatal("the worker is still known")
			}
		}},
		{name: "expired, not listed, and back", want: anew, after: func(k *terms) {
			unresponsive(k)
			expire(k)
			k.leader.decide(func(d *aqdecider.Decider) { d.DelistWorker("gone") })
			k.report("gone", 1)
		}},
		{name: "back in a report that the decider ignores", want: anew, after: func(k *terms) {
			k.leader.decide(func(d *aqdecider.Decider) { d.DelistWorker("gone") })
			unresponsive(k)
			expire(k)
			k.reportDifference("gone", aqreport.Difference{
				Incarnation: 1,
				Sent:        1,
				Complete:    true,
				Whole:       true,
			})
			k.leader.removeUnknownWorkers()
		}},
		{name: "back", want: anew, after: func(k *terms) {
			unresponsive(k)
			k.report("gone", 1)
		}},
		{name: "back after the expiry", want: anew, after: func(k *terms) {
			unresponsive(k)
			expire(k)
			k.report("gone", 1)
		}},
		{name: "back after the expiry, then unresponsive", want: endsIn, after: func(k *terms) {
			unresponsive(k)
			expire(k)
			k.report("gone", 1)
			unresponsive(k)
		}},
		{name: "a report without its base", want: anew, after: func(k *terms) {
			k.reportDifference("gone", aqreport.Difference{
				Incarnation: 1,
				Sent:        9,
				Changed:     []aqreport.ChangedRun{{Slot: 9}},
			})
		}},
		{name: "taken from an agent that does not know", want: anew, after: func(k *terms) {
			k.leader.agents.reassignWorkersOf(k.leader.agents.members["n1"])
			unresponsive(k)
		}},
		{name: "restarted", want: anew + aqagent.MaxLeaseSpan(testLeaseMax) - aqagent.MaxLeaseSpan(5*time.Second), after: func(k *terms) {
			k.report("gone", 2)
			if err := k.leader.storeFleet(context.Background()); err != nil {
				k.t.Fatal(err)
			}
			unresponsive(k)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newTerms(t)
			k.begin()
			k.report("gone", 1)
			test.after(k)
			k.stop()
			k.begin()
			k.wantStart(test.want)
		})
	}
}
