package aqscheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

// pair is a home shard without workers and another shard that has them.
type pair struct {
	home  *testEnv
	other *testEnv
	link  *link
}

// link carries calls from the home shard to the other. The test decides the delivery of
// each call.
type link struct {
	other    *testEnv
	delivery func() aqstandin.Delivery
	choose   func(n int) int
	delayed  []OffloadRequest
}

func newPair() *pair {
	p := &pair{home: newTestEnv(0), other: newTestEnv(2)}
	p.home.clock, p.home.store, p.home.truth = p.other.clock, p.other.store, p.other.truth
	p.other.shard = 1
	p.link = &link{
		other:    p.other,
		delivery: func() aqstandin.Delivery { return aqstandin.Delivered },
		choose:   func(int) int { return 0 },
	}
	p.home.peers = p.link
	return p
}

// SpareCapacities implements PeerShards.
func (l *link) SpareCapacities() []SpareCapacity {
	alive := l.other.liveOwners()
	if len(alive) == 0 {
		return nil
	}
	return []SpareCapacity{alive[l.choose(len(alive))].shard.SpareCapacity()}
}

// Offload implements PeerShards.
func (l *link) Offload(_ context.Context, _ aqtype.ShardID, r OffloadRequest) (OffloadAnswer, error) {
	delivery := l.delivery()
	if delivery == aqstandin.CallDelayed {
		l.delayed = append(l.delayed, r)
	}
	if delivery == aqstandin.CallDelayed || delivery == aqstandin.CallDropped {
		return OffloadAnswer{}, aqpeer.ErrNoAnswer
	}
	answer, err := l.deliver(r)
	if delivery == aqstandin.AnswerLost {
		return OffloadAnswer{}, aqpeer.ErrNoAnswer
	}
	return answer, err
}

// deliver passes a request to an owner of the other shard, which may be deposed, and
// runs up to three commits of that owner.
func (l *link) deliver(r OffloadRequest) (OffloadAnswer, error) {
	alive := l.other.liveOwners()
	if len(alive) == 0 {
		return OffloadAnswer{}, aqpeer.ErrNotSent
	}
	o := alive[l.choose(len(alive))]
	o.shard.mu.Lock()
	o.shard.applyOffload(r)
	pending := o.shard.lastBatch()
	o.shard.mu.Unlock()
	for range 3 {
		if pending == nil || o.shard.Err() != nil {
			break
		}
		o.commit()
		select {
		case <-pending.done:
			pending = nil
		default:
		}
	}
	if pending != nil || o.shard.Err() != nil {
		return OffloadAnswer{}, aqpeer.ErrNoAnswer
	}
	return o.shard.offloadAnswer(r.From), nil
}

// pairMachine is the state machine that drives both shards through takeovers, faults
// and time. The names of its exported methods determine the order of rapid's draws.
type pairMachine struct {
	*pair
	t      *rapid.T
	jobs   int
	faulty bool
}

func newPairMachine(t *rapid.T) *pairMachine {
	m := &pairMachine{pair: newPair(), t: t}
	m.home.delivery, m.other.delivery, m.link.delivery = m.drawDelivery, m.drawDelivery, m.drawDelivery
	m.link.choose = func(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "owner") }
	m.home.takeOver()
	m.other.takeOver()
	return m
}

func (m *pairMachine) drawDelivery() aqstandin.Delivery {
	if !m.faulty {
		return aqstandin.Delivered
	}
	return aqstandin.Delivery(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3}).Draw(m.t, "delivery"))
}

func (m *pairMachine) drawSide(t *rapid.T) *testEnv {
	if rapid.Bool().Draw(t, "home") {
		return m.home
	}
	return m.other
}

func drawOwner(t *rapid.T, env *testEnv) *owner {
	alive := env.liveOwners()
	if len(alive) == 0 {
		t.Skip("nobody owns the shard")
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "owner")]
}

func (m *pairMachine) Submit(t *rapid.T) {
	if m.jobs >= 8 {
		t.Skip("enough jobs")
	}
	m.jobs++
	drawOwner(t, m.home).submit(testJob(fmt.Sprintf("job%d", m.jobs), rapid.IntRange(1, 3).Draw(t, "tasks"),
		aqtype.MilliCPU(rapid.IntRange(1, 4).Draw(t, "cores")*1000),
		time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds"))*time.Second, aqtype.UrgencyNormal))
}

func (m *pairMachine) Cancel(t *rapid.T) {
	if m.jobs == 0 {
		t.Skip("no jobs")
	}
	drawOwner(t, m.home).cancel(aqtype.WorkloadKey(fmt.Sprintf("job%d", rapid.IntRange(1, m.jobs).Draw(t, "job"))))
}

func (m *pairMachine) Turn(t *rapid.T)   { drawOwner(t, m.drawSide(t)).runRound() }
func (m *pairMachine) Commit(t *rapid.T) { drawOwner(t, m.drawSide(t)).commit() }
func (m *pairMachine) HandOn(t *rapid.T) { drawOwner(t, m.home).shard.OffloadOnce(t.Context()) }

func (m *pairMachine) TakeOver(t *rapid.T) {
	env := m.drawSide(t)
	if len(env.owners) >= 4 {
		t.Skip("enough owners")
	}
	env.takeOver()
}

// Late delivers a delayed call.
func (m *pairMachine) Late(t *rapid.T) {
	if len(m.link.delayed) == 0 {
		t.Skip("nothing delayed")
	}
	i := rapid.IntRange(0, len(m.link.delayed)-1).Draw(t, "call")
	r := m.link.delayed[i]
	m.link.delayed = append(m.link.delayed[:i:i], m.link.delayed[i+1:]...)
	_, _ = m.link.deliver(r)
}

func (m *pairMachine) Faults(t *rapid.T) { m.faulty = rapid.Bool().Draw(t, "faulty") }

func (m *pairMachine) Advance(t *rapid.T) {
	m.other.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "millis")) * time.Millisecond)
}

func (m *pairMachine) Check(t *rapid.T) {
	if found := m.other.violation(); found != "" {
		t.Fatal(found)
	}
}

func (m *pairMachine) heal(t *rapid.T) {
	m.faulty = false
	home, other := m.home.takeOver(), m.other.takeOver()
	if home == nil || other == nil {
		t.Fatal("a healthy store refused a takeover")
	}
	for range 300 {
		m.other.advance(time.Second)
		home.runRound()
		other.runRound()
		home.shard.OffloadOnce(context.Background())
		if m.home.unfinished(home.shard) == "" {
			break
		}
	}
	m.Check(t)
	if found := m.home.unfinished(home.shard); found != "" {
		t.Fatal(found)
	}
}

// TestHandOnUnderFaults checks that a task that is offloaded to another shard runs once
// and is never lost, under random faults of calls and takeovers of both shards.
func TestHandOnUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPairMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.heal(t)
	})
}

// The shard that a task was offloaded to deletes it after its home shard has committed
// and acknowledged the end.
func TestHandedOnTaskIsForgotten(t *testing.T) {
	p := newPair()
	home, other := p.home.takeOver(), p.other.takeOver()
	home.submit(testJob("job", 3, 1000, 2*time.Second, aqtype.UrgencyNormal))
	for range 30 {
		p.other.advance(time.Second)
		home.runRound()
		other.runRound()
		home.shard.OffloadOnce(context.Background())
	}
	if found := p.home.unfinished(home.shard); found != "" {
		t.Fatal(found)
	}
	if left := other.shard.committed.WorkloadCount(); left != 0 {
		t.Fatalf("%d guest workloads are retained", left)
	}
	if got := p.other.truth.Report(); got.Starts != 3 || got.Finishes != 3 {
		t.Fatalf("unexpected runs on the workers: %+v", got)
	}
}

// run runs both shards and the calls between them for n seconds.
func (p *pair) run(home, other *owner, n int) {
	for range n {
		p.other.advance(time.Second)
		home.runRound()
		other.runRound()
		home.shard.OffloadOnce(context.Background())
	}
}

// An offer that arrives again after its task has ended and was deleted must not start
// the task again.
func TestLateOfferIsNotTakenAgain(t *testing.T) {
	p := newPair()
	home, other := p.home.takeOver(), p.other.takeOver()
	home.submit(testJob("job", 1, 1000, 2*time.Second, aqtype.UrgencyNormal))
	p.link.delivery = func() aqstandin.Delivery { return aqstandin.CallDelayed }
	p.run(home, other, 2)
	p.link.delivery = func() aqstandin.Delivery { return aqstandin.Delivered }
	p.run(home, other, 30)
	if len(p.link.delayed) == 0 || other.shard.committed.WorkloadCount() != 0 {
		t.Fatalf("%d calls are delayed, %d guest workloads are retained", len(p.link.delayed), other.shard.committed.WorkloadCount())
	}
	for _, r := range p.link.delayed {
		_, _ = p.link.deliver(r)
	}
	p.run(home, other, 5)
	if got := p.other.truth.Report(); got.Starts != 1 {
		t.Fatalf("unexpected runs on the workers: %+v", got)
	}
}

// The other shard must keep an ended task until the home shard has committed the end:
// a new owner of the home shard must still learn of an end that the previous owner
// received and did not commit.
func TestEndIsAcknowledgedAfterCommitOnly(t *testing.T) {
	p := newPair()
	home, other := p.home.takeOver(), p.other.takeOver()
	home.submit(testJob("job", 1, 1000, 2*time.Second, aqtype.UrgencyNormal))
	p.run(home, other, 3)
	for range 6 {
		p.other.advance(time.Second)
		other.runRound()
		home.shard.OffloadOnce(context.Background())
	}
	next := p.home.takeOver()
	p.run(next, other, 30)
	if found := p.home.unfinished(next.shard); found != "" {
		t.Fatal(found)
	}
}
