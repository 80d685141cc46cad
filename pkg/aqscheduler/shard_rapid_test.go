package aqscheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciaquay/pkg/aqshard"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

// machine is the state machine that drives one shard through takeovers, faults and
// time. The names of its exported methods determine the order of rapid's draws.
type machine struct {
	*testEnv
	t        *rapid.T
	jobs     int
	watchers int
	holders  int
	// faulty makes the test draw the delivery of each call. Otherwise every call is
	// delivered.
	faulty bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{testEnv: newTestEnv(3), t: t}
	m.delivery = m.drawDelivery
	m.takeOver()
	return m
}

func (m *machine) drawDelivery() aqstandin.Delivery {
	if !m.faulty {
		return aqstandin.Delivered
	}
	return rapid.SampledFrom([]aqstandin.Delivery{
		aqstandin.Delivered, aqstandin.Delivered, aqstandin.Delivered,
		aqstandin.AnswerLost, aqstandin.CallDropped, aqstandin.CallDelayed,
	}).Draw(m.t, "delivery")
}

// drawOwner draws one of the processes that consider themselves owners of the shard.
// The others do nothing in this step.
func (m *machine) drawOwner(t *rapid.T) *owner { return drawOwner(t, m.testEnv) }

func (m *machine) drawWorker(t *rapid.T) *aqstandin.Worker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
}

func (m *machine) Submit(t *rapid.T) {
	o := m.drawOwner(t)
	if m.jobs >= 12 {
		t.Skip("enough jobs")
	}
	m.jobs++
	o.submit(testJob(
		fmt.Sprintf("job%d", m.jobs),
		rapid.IntRange(1, 3).Draw(t, "tasks"),
		aqtype.MilliCPU(rapid.IntRange(1, 4).Draw(t, "cores")*1000),
		time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds"))*time.Second,
		rapid.SampledFrom(aqtype.Urgencies).Draw(t, "urgency"),
	))
}

// SubmitWatcher submits a task that never finishes. Its attempts end as lost when the
// sessions with their worker have expired.
func (m *machine) SubmitWatcher(t *rapid.T) {
	o := m.drawOwner(t)
	if m.watchers >= 4 {
		t.Skip("enough watchers")
	}
	m.watchers++
	o.submit(aqtype.Watcher{Common: testJob(fmt.Sprintf("watcher%d", m.watchers), 1, 1000, 0, aqtype.UrgencyNormal).Common})
}

func (m *machine) SubmitAgain(t *rapid.T) {
	if len(m.acked) == 0 {
		t.Skip("nothing acknowledged")
	}
	o := m.drawOwner(t)
	for i := 1; i <= m.jobs; i++ {
		if spec, ok := m.acked[aqtype.WorkloadKey(fmt.Sprintf("job%d", i))]; ok {
			o.submit(spec)
			return
		}
	}
}

func (m *machine) Cancel(t *rapid.T) {
	if m.jobs == 0 {
		t.Skip("no jobs")
	}
	o := m.drawOwner(t)
	o.cancel(aqtype.WorkloadKey(fmt.Sprintf("job%d", rapid.IntRange(1, m.jobs).Draw(t, "job"))))
}

// ReserveKey asks for one of a few keys as a new holder.
func (m *machine) ReserveKey(t *rapid.T) {
	o := m.drawOwner(t)
	key := aqshard.RequestKey(fmt.Sprintf("order%d", rapid.IntRange(1, 3).Draw(t, "key")))
	m.holders++
	o.reserve(key, fmt.Sprintf("holder%d", m.holders))
}

func (m *machine) Plan(t *rapid.T)     { m.drawOwner(t).shard.Plan() }
func (m *machine) Commit(t *rapid.T)   { m.drawOwner(t).commit() }
func (m *machine) Sessions(t *rapid.T) { m.drawOwner(t).stepSessions() }
func (m *machine) Turn(t *rapid.T)     { m.drawOwner(t).runRound() }

func (m *machine) Prove(t *rapid.T) {
	o := m.drawOwner(t)
	if o.shard.write == nil {
		o.shard.ProveOnce(t.Context())
	}
}

func (m *machine) Advance(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(100, 5000).Draw(t, "millis")) * time.Millisecond)
}

func (m *machine) TakeOver(t *rapid.T) {
	if len(m.owners) >= 6 {
		t.Skip("enough owners")
	}
	m.takeOver()
}

// Release delivers delayed calls of an owner.
func (m *machine) Release(t *rapid.T) {
	o := m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(t, "sender")]
	if o.network.Delayed() == 0 {
		t.Skip("nothing delayed")
	}
	o.network.DeliverDelayed(func(left int) int { return rapid.IntRange(0, left-1).Draw(t, "next") })
}

func (m *machine) Faults(t *rapid.T) { m.faulty = rapid.Bool().Draw(t, "faulty") }

func (m *machine) Outage(t *rapid.T) {
	m.store.SetFaults(aqstandin.Faults{Outage: rapid.Bool().Draw(t, "outage")})
}

func (m *machine) RestartWorker(t *rapid.T) {
	m.drawWorker(t).Restart()
}

// Foreign makes the older scheduler use a part of a worker, which then refuses starts
// that do not fit in the rest.
func (m *machine) Foreign(t *rapid.T) {
	held := aqtype.Resources{MilliCPU: aqtype.MilliCPU(rapid.IntRange(0, 4).Draw(t, "cores") * 1000)}
	m.drawWorker(t).SetExternalUsage(held)
}

// Share changes the share of each worker that this scheduler may use.
func (m *machine) Share(t *rapid.T) {
	c := m.config.Current()
	c.Revision++
	c.WorkerSharePercent = rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "percent")
	m.config.Apply(c)
}

// DropWorker stops a host for good, and the platform declares it stopped.
func (m *machine) DropWorker(t *rapid.T) {
	if len(m.dropped) > 0 {
		t.Skip("one host is gone already")
	}
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
	m.workers[i].Destroy()
	m.dropped = append(m.dropped, m.hosts[i].ID)
	m.hosts = append(m.hosts[:i:i], m.hosts[i+1:]...)
	m.workers = append(m.workers[:i:i], m.workers[i+1:]...)
}

func (m *machine) CutWorker(t *rapid.T) {
	m.drawWorker(t).SetUnreachable(rapid.Bool().Draw(t, "cut"))
}

func (m *machine) FailWorker(t *rapid.T) {
	m.drawWorker(t).SetFailAll(rapid.Bool().Draw(t, "fail"))
}

func (m *machine) Check(t *rapid.T) {
	if found := m.violation(); found != "" {
		t.Fatal(found)
	}
}

// heal ends all faults, makes a new owner take the shard over, and runs until every
// acknowledged task has ended.
func (m *machine) heal(t *rapid.T) {
	m.faulty = false
	m.store.SetFaults(aqstandin.Faults{})
	for _, w := range m.workers {
		w.SetUnreachable(false)
		w.SetFailAll(false)
		w.SetExternalUsage(aqtype.Resources{})
	}
	c := m.config.Current()
	c.Revision++
	c.WorkerSharePercent = 100
	m.config.Apply(c)
	last := m.takeOver()
	if last == nil {
		t.Fatal("a healthy store refused a takeover")
	}
	for i := 1; i <= m.watchers; i++ {
		last.cancel(aqtype.WorkloadKey(fmt.Sprintf("watcher%d", i)))
	}
	for range 400 {
		m.advance(time.Second)
		for _, o := range m.owners {
			if o.alive() {
				o.runRound()
			}
		}
		if m.unfinished(last.shard) == "" {
			break
		}
	}
	m.Check(t)
	if found := m.unfinished(last.shard); found != "" {
		t.Fatalf("%s; owner: %v", found, last.shard.Err())
	}
	for key := range m.refused {
		if _, acked := m.acked[key]; !acked && len(m.truth.FinishedTasks(key)) > 0 {
			t.Fatalf("%s was refused as not run and ran", key)
		}
	}
}

// TestShardUnderFaults checks that no task runs twice or beyond a worker's capacity,
// and that every acknowledged task ends, under random faults and takeovers.
func TestShardUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.heal(t)
	})
}
