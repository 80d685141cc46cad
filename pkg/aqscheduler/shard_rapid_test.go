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

// machine drives one shard through owners, faults and time.
type machine struct {
	*world
	t        *rapid.T
	jobs     int
	watchers int
	holders  int
	// fates are drawn while faulty, and every call is delivered otherwise.
	faulty bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{world: newWorld(3), t: t}
	m.fate = m.nextFate
	m.takeOver()
	return m
}

func (m *machine) nextFate() aqstandin.Delivery {
	if !m.faulty {
		return aqstandin.Delivered
	}
	return rapid.SampledFrom([]aqstandin.Delivery{
		aqstandin.Delivered, aqstandin.Delivered, aqstandin.Delivered,
		aqstandin.AnswerLost, aqstandin.CallDropped, aqstandin.CallDelayed,
	}).Draw(m.t, "fate")
}

// some returns an owner that believes it owns the shard; those that are not
// chosen are frozen meanwhile.
func (m *machine) some(t *rapid.T) *owner { return aliveOf(t, m.world) }

func (m *machine) worker(t *rapid.T) *aqstandin.Worker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
}

func (m *machine) Submit(t *rapid.T) {
	o := m.some(t)
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

// SubmitWatcher submits a task that never finishes, whose worker is given up when
// its session has lapsed.
func (m *machine) SubmitWatcher(t *rapid.T) {
	o := m.some(t)
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
	o := m.some(t)
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
	o := m.some(t)
	o.cancel(aqtype.WorkloadKey(fmt.Sprintf("job%d", rapid.IntRange(1, m.jobs).Draw(t, "job"))))
}

// ReserveKey asks for one of a few keys as a new holder.
func (m *machine) ReserveKey(t *rapid.T) {
	o := m.some(t)
	key := aqshard.RequestKey(fmt.Sprintf("order%d", rapid.IntRange(1, 3).Draw(t, "key")))
	m.holders++
	o.reserve(key, fmt.Sprintf("holder%d", m.holders))
}

func (m *machine) Plan(t *rapid.T)     { m.some(t).shard.Plan() }
func (m *machine) Commit(t *rapid.T)   { m.some(t).commit() }
func (m *machine) Sessions(t *rapid.T) { m.some(t).sessions() }
func (m *machine) Turn(t *rapid.T)     { m.some(t).turn() }

func (m *machine) Prove(t *rapid.T) {
	o := m.some(t)
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

// Release delivers calls that an owner sent long ago.
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
	m.worker(t).Restart()
}

// Foreign lets the older scheduler take a part of a worker, which then refuses
// starts that do not fit beside it.
func (m *machine) Foreign(t *rapid.T) {
	held := aqtype.Resources{MilliCPU: aqtype.MilliCPU(rapid.IntRange(0, 4).Draw(t, "cores") * 1000)}
	m.worker(t).SetExternalUsage(held)
}

// Share changes the part of each worker that is this scheduler's.
func (m *machine) Share(t *rapid.T) {
	c := m.config.Current()
	c.Revision++
	c.WorkerSharePercent = rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "percent")
	m.config.Apply(c)
}

// DropWorker ends a host for good, and the platform says so.
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
	m.worker(t).SetUnreachable(rapid.Bool().Draw(t, "cut"))
}

func (m *machine) FailWorker(t *rapid.T) {
	m.worker(t).SetFailAll(rapid.Bool().Draw(t, "fail"))
}

func (m *machine) Check(t *rapid.T) {
	if found := m.problem(); found != "" {
		t.Fatal(found)
	}
}

// heal ends every fault and lets one new owner work until all is done.
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
				o.turn()
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

// TestShardUnderFaults checks that no task ever runs twice or beyond a worker's
// capacity, and that every acknowledged task ends, whatever happens in between.
func TestShardUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.heal(t)
	})
}
