package aqsite

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqquorum"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// takeover is a leader that has taken over an accepted job and the stored workers "sound", which
// reports, and "gone", which never does. The agents "n2" and "n3" of the earlier leader do not
// answer.
type takeover struct {
	t     *testing.T
	l     *leader
	clock *aqclock.Fake
}

// agentRecord returns the record of an agent that does not answer.
func agentRecord(name string) nodeRecord {
	return nodeRecord{
		Name:    name,
		Address: "127.0.0.1:1",
	}
}

// newTakeover recovers a leader. whileReading is called while it reads the list of workers.
func newTakeover(t *testing.T, whileReading func(*aqclock.Fake), voters ...string) *takeover {
	t.Helper()
	store := newFakeStore()
	n, clock := testNode(t, store)
	record := fleetRecord{Workers: []aqtype.WorkerID{"sound", "gone"}}
	for _, name := range voters {
		record.Voters = append(record.Voters, agentRecord(name).voter())
	}
	return takeOver(t, n, store, clock, record, whileReading)
}

// takeOver is newTakeover with the stored list of an earlier leader.
func takeOver(
	t *testing.T, n *Node, store *fakeStore, clock aqclock.Instant, record fleetRecord, whileReading func(*aqclock.Fake),
) *takeover {
	t.Helper()
	n.routes.apply(&Config{Version: 1})
	listWorkers(t, n, store, "sound")
	if err := n.Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	record.Agents = []nodeRecord{agentRecord("n2"), agentRecord("n3")}
	value, err := aqjob.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(context.Background(), aqstore.Txn{
		Puts: []aqstore.Put{{Key: fleetKey, Value: value}},
	}); err != nil {
		t.Fatal(err)
	}
	// The sessions and loops must not advance the clock.
	options := n.agentOptions()
	options.Clock = aqclock.NewFake()
	n.agent = aqagent.New(options)
	n.clock = clock.Fake
	store.rangeFault = func(prefix string) error {
		if prefix == n.catalog.WorkerPrefix {
			whileReading(clock.Fake)
		}
		return nil
	}
	l := lead(t, n, store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if _, _, err := l.recover(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.lose(errors.New("end of the test")) })
	return &takeover{
		t:     t,
		l:     l,
		clock: clock.Fake,
	}
}

// wantStart checks that the job is started at a time after the beginning of the term, not sooner
// and not later.
func (k *takeover) wantStart(want time.Duration) {
	k.t.Helper()
	const step = 10 * time.Millisecond
	for {
		started := false
		k.l.decide(func(d *aqdecider.Decider) {
			d.WorkerReported("sound", aqdecider.WorkerReport{Incarnation: 1, Complete: true, Sent: 1})
			for _, o := range d.Tick() {
				_, isStart := o.(aqdecider.Start)
				started = started || isStart
			}
		})
		after := k.clock.Elapsed() - k.l.beganAt
		if started && after <= want {
			k.t.Fatalf("started after %s, want more than %s", after, want)
		}
		if started {
			return
		}
		if after > want+step {
			k.t.Fatalf("not started after %s, want %s", after, want)
		}
		k.clock.Advance(step)
	}
}

// The earlier leader has given no orders since proofLimit after the beginning of the term, its
// agents have renewed no lease since their permits ended, and then the leases end.
func TestTakeoverWithoutItsAgentsWaitsForTheLeases(t *testing.T) {
	for _, test := range []struct {
		name         string
		whileReading func(*aqclock.Fake)
	}{
		{name: "reads at once", whileReading: func(*aqclock.Fake) {}},
		{name: "reads slowly", whileReading: func(c *aqclock.Fake) { c.Advance(8 * time.Second) }},
		{name: "suspended", whileReading: func(c *aqclock.Fake) { c.Suspend(8 * time.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newTakeover(t, test.whileReading)
			k.l.acknowledged(agentRecord("n2"))
			k.wantStart(proofLimit + aqagent.PermitTime + aqagent.MaxLeaseSpan(k.l.leaseDuration()))
		})
	}
}

func TestTakeoverWithItsAgentsWaitsForTheLeases(t *testing.T) {
	k := newTakeover(t, func(*aqclock.Fake) {})
	k.l.acknowledged(agentRecord("n2"))
	k.clock.Advance(time.Second)
	k.l.acknowledged(agentRecord("n3"))
	k.clock.Advance(time.Second)
	k.l.acknowledged(agentRecord("n2"))
	k.wantStart(time.Second + aqagent.MaxLeaseSpan(k.l.leaseDuration()))
}

// Guards against review/5: with the agent of the earlier leader gone for good, the tasks of workers
// that had crashed stood still for the whole wait, though the other agents had long answered.
func TestTakeoverWithMostAgentsWaitsForTheLeases(t *testing.T) {
	voters := []string{"n1", "n2", "n3"}
	longest := aqagent.PermitTime + aqagent.MaxLeaseSpan(5*time.Second)
	for _, test := range []struct {
		name   string
		voters []string
		answer []string
		after  time.Duration
		want   time.Duration
	}{
		{name: "at once", voters: voters, answer: []string{"n1", "n2"}, want: aqquorum.UnaidedLimit + longest},
		{
			name:   "later",
			voters: voters,
			answer: []string{"n1", "n2"},
			after:  3 * time.Second,
			want:   3*time.Second + aqquorum.MajorityLimit + longest,
		},
		{name: "none of the two", voters: voters, answer: []string{"n1"}, want: proofLimit + longest},
		{name: "not a voter", voters: voters, answer: []string{"n1", "n4"}, want: proofLimit + longest},
		{name: "stored by an earlier version", answer: []string{"n1", "n2"}, want: proofLimit + longest},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newTakeover(t, func(*aqclock.Fake) {}, test.voters...)
			k.l.acknowledged(agentRecord(test.answer[0]))
			k.clock.Advance(test.after)
			for _, name := range test.answer[1:] {
				k.l.acknowledged(agentRecord(name))
			}
			k.wantStart(test.want)
		})
	}
}

// Earlier leaders may count on the stored voters until proofLimit has passed.
func TestVotersStayAtTheBeginningOfATerm(t *testing.T) {
	k := newTakeover(t, func(*aqclock.Fake) {}, "n1", "n2", "n3")
	before := k.l.support.Stored()
	k.l.agents.leave("n3")
	agents, _ := k.l.agents.records()
	if voters := k.l.nextVoters(agents); len(voters) != 3 || !slices.Equal(voters, before) || k.l.votersDue() {
		t.Fatalf("voters %v at the beginning of the term, stored %v", voters, before)
	}
	k.clock.Advance(proofLimit + time.Millisecond)
	if voters := k.l.nextVoters(agents); len(voters) != 2 || !k.l.votersDue() {
		t.Fatalf("voters %v after %s", voters, proofLimit)
	}
	if err := k.l.storeFleet(context.Background()); err != nil {
		t.Fatal(err)
	}
	if after := k.l.support.Stored(); len(after) != 2 || k.l.votersDue() {
		t.Fatalf("stored voters %v, due %v", after, k.l.votersDue())
	}
}
