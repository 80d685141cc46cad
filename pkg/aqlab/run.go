package aqlab

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqtype"
)

// Arm is one way of deciding.
type Arm string

// The arms.
const (
	ArmFirstFit Arm = "first-fit"
	ArmSpread   Arm = "spread"
	ArmLearned  Arm = "learned"
	ArmOracle   Arm = "oracle"
)

// Arms lists every arm.
var Arms = []Arm{ArmFirstFit, ArmSpread, ArmLearned, ArmOracle}

// Time of a run.
const (
	step = 10 * time.Second
	// warmUp is left out of the measures, the same for every arm.
	warmUp  = 2 * time.Hour
	runFor  = 8 * time.Hour
	lag     = 30 * time.Second
	report  = time.Minute
	wobble  = 0.1
	baseAns = 20 * time.Millisecond
	// surgeEvery and surgeFor shape the waves of services that make room for
	// themselves by eviction.
	surgeEvery = time.Hour
	surgeFor   = 20 * time.Minute
)

// Result is what one run measured.
type Result struct {
	Site string
	Arm  Arm
	Seed uint64
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
	// BatchHour is the batch tasks that finished an hour, WorkHour their real
	// core-hours. Tasks differ by a factor of 30 in work, and a mix of kinds
	// changes the first without changing the second.
	BatchHour float64
	WorkHour  float64
	Evictions int
	// LostWork is the run time that evictions threw away beyond checkpoints.
	LostWork time.Duration
	// OverCommitted counts reservations beyond capacity; it must be zero.
	OverCommitted int
	// Overloaded is the part of worker time in which real use passed capacity.
	Overloaded float64
	// UrgentWait is the 99th percentile of the wait of a service's task.
	UrgentWait time.Duration
}

type task struct {
	id        aqtype.TaskID
	kind      *taskType
	reserved  aqtype.Resources
	full      aqtype.Resources
	worker    int
	since     time.Time
	begun     time.Time
	left      time.Duration
	evictions int
	ends      time.Time
}

// lab is one run.
type lab struct {
	site    Site
	arm     Arm
	random  *rand.Rand
	types   []taskType
	truth   hidden
	now     time.Time
	start   time.Time
	running map[int][]*task
	waiting []*task
	pairs   *aqplacement.SlowdownModel
	sizes   *aqplacement.UsageModel
	history *aqplacement.History
	next    int
	// requeued holds the tasks evicted in this step.
	requeued []*task
	latency  *hdrhistogram.Histogram
	waits    *hdrhistogram.Histogram
	result   Result
	done     int
	work     float64
	over     int
	samples  int
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Run runs one arm on one site with one seed.
func Run(site Site, arm Arm, seed uint64) Result {
	l := newLab(site, arm, seed)
	for l.now.Sub(l.start) < runFor {
		l.step()
	}
	return l.finish()
}

func newLab(site Site, arm Arm, seed uint64) *lab {
	random := rand.New(rand.NewPCG(seed, 7))
	types, truth := newTypes(random)
	l := &lab{
		site:    site,
		arm:     arm,
		random:  rand.New(rand.NewPCG(seed, 11)),
		types:   types,
		truth:   truth,
		start:   time.Unix(1_700_000_000, 0),
		running: map[int][]*task{},
		pairs:   aqplacement.NewSlowdownModel(),
		sizes:   aqplacement.NewUsageModel(),
		history: aqplacement.NewHistory(),
		latency: hdrhistogram.New(1, histogramMax, histogramDigits),
		waits:   hdrhistogram.New(1, histogramMax, histogramDigits),
		result: Result{
			Site: site.Name,
			Arm:  arm,
			Seed: seed,
		},
	}
	l.now = l.start
	return l
}

func (l *lab) finish() Result {
	hours := (runFor - warmUp).Hours()
	l.result.BatchHour = float64(l.done) / hours
	l.result.WorkHour = l.work / hours
	l.result.P50 = time.Duration(l.latency.ValueAtQuantile(50)) * time.Microsecond
	l.result.P99 = time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
	l.result.P999 = time.Duration(l.latency.ValueAtQuantile(99.9)) * time.Microsecond
	l.result.UrgentWait = time.Duration(l.waits.ValueAtQuantile(99)) * time.Microsecond
	l.result.Overloaded = float64(l.over) / float64(max(l.samples, 1))
	return l.result
}

const milliPerCore = 1000

func (l *lab) measured() bool { return l.now.Sub(l.start) >= warmUp }

func (l *lab) step() {
	l.now = l.now.Add(step)
	l.pairs.SetNow(l.now)
	l.progress()
	l.arrive()
	l.place()
	if l.now.Sub(l.start)%report < step {
		l.reports()
	}
}

// progress moves every batch task on by what its neighbours leave it.
func (l *lab) progress() {
	for w := range l.site.Workers {
		kept := l.running[w][:0]
		pressure := l.pressure(w)
		for _, t := range l.running[w] {
			slowdown := l.slowdown(w, t) * pressure
			if t.kind.latencyCritical {
				l.answer(slowdown)
				if !t.ends.IsZero() && l.now.After(t.ends) {
					continue
				}
				kept = append(kept, t)
				continue
			}
			t.left -= time.Duration(float64(step) / slowdown * t.speed())
			if t.left > 0 {
				kept = append(kept, t)
				continue
			}
			l.sizes.ObserveRunTime(t.kind.kind, l.now.Sub(t.begun))
			if l.measured() {
				l.done++
				l.work += float64(t.kind.used.MilliCPU) / milliPerCore * t.kind.runTime.Hours()
			}
		}
		changed := len(kept) != len(l.running[w])
		l.running[w] = kept
		if changed {
			l.noteNeighbours(w)
		}
	}
}

// speed is the part of its processors that a throttled task has.
func (t *task) speed() float64 {
	return float64(t.reserved.MilliCPU) / float64(t.full.MilliCPU)
}

// pressure is pressureAt, counted for the result.
func (l *lab) pressure(w int) float64 {
	pressure := l.pressureAt(w)
	l.samples++
	if pressure > 1 {
		l.over++
	}
	return pressure
}

func (l *lab) slowdown(w int, victim *task) float64 {
	slowdown := 1.0
	for _, t := range l.running[w] {
		if t != victim {
			slowdown += l.truth.Slowdown(victim.kind.kind, t.kind.kind)
		}
	}
	return slowdown
}

// answer records one request's time: an exponential part on top of the base,
// stretched by the slowdown.
func (l *lab) answer(slowdown float64) {
	if !l.measured() {
		return
	}
	took := float64(baseAns) * (1 + l.random.ExpFloat64()*0.5) * slowdown
	_ = l.latency.RecordValue(min(histogramMax, int64(took)/int64(time.Microsecond)))
}

// reports hands lagging, noisy usage to the learning code, matched with the
// neighbours of the report's time.
func (l *lab) reports() {
	at := l.now.Add(-lag)
	for w := range l.site.Workers {
		pressure := l.pressureAt(w)
		for _, t := range l.running[w] {
			noise := 1 + (l.random.Float64()*2-1)*wobble
			l.sizes.ObserveUsage(t.kind.kind, aqtype.Resources{
				MilliCPU: aqtype.MilliCPU(float64(t.kind.used.MilliCPU) * noise),
				Memory:   aqtype.MebiBytes(float64(t.kind.used.Memory) * noise),
			})
			if t.begun.After(at) {
				continue
			}
			id := l.workerID(w)
			if neighbours, ok := l.history.Neighbours(id, at, t.kind.kind); ok {
				l.pairs.Observe(t.kind.kind, neighbours, l.slowdown(w, t)*pressure*noise-1)
			}
		}
	}
}

// pressureAt is how far a worker's real use passes its processors.
func (l *lab) pressureAt(w int) float64 {
	var used aqtype.MilliCPU
	for _, t := range l.running[w] {
		used += t.kind.used.MilliCPU
	}
	return max(1, float64(used)/float64(workerSize.MilliCPU))
}

func (l *lab) workerID(w int) aqtype.WorkerID { return aqtype.WorkerID(fmt.Sprintf("w%03d", w)) }

func (l *lab) noteNeighbours(w int) {
	kinds := make([]aqtype.TaskKind, 0, len(l.running[w]))
	for _, t := range l.running[w] {
		kinds = append(kinds, t.kind.kind)
	}
	l.history.Record(l.workerID(w), l.now, kinds)
}

// Load of a run: services hold a part of the fleet for good, more in a surge;
// batch work always waits.
const (
	servicePerWorker = 1
	surgePerWorker   = 0.8
	batchBacklog     = 60
)

func (l *lab) arrive() {
	elapsed := l.now.Sub(l.start)
	if elapsed == step {
		for range l.site.Workers * servicePerWorker {
			l.enqueue(l.pick(true), time.Time{})
		}
	}
	if elapsed%surgeEvery < step && elapsed > step {
		for range int(float64(l.site.Workers) * surgePerWorker) {
			l.enqueue(l.pick(true), l.now.Add(surgeFor))
		}
	}
	for l.batchWaiting() < batchBacklog {
		l.enqueue(l.pick(false), time.Time{})
	}
}

func (l *lab) pick(latencyCritical bool) *taskType {
	if latencyCritical {
		return &l.types[l.random.IntN(services)]
	}
	return &l.types[services+l.random.IntN(batchKinds)]
}

func (l *lab) batchWaiting() int {
	n := 0
	for _, t := range l.waiting {
		if !t.kind.latencyCritical {
			n++
		}
	}
	return n
}

func (l *lab) enqueue(kind *taskType, ends time.Time) {
	l.next++
	l.waiting = append(l.waiting, &task{
		id:    aqtype.TaskID{Workload: aqtype.WorkloadKey(kind.kind), Index: l.next},
		kind:  kind,
		since: l.now,
		left:  kind.runTime,
		ends:  ends,
	})
}

// place offers every waiting task to the arm's policy, most urgent first.
func (l *lab) place() {
	sort.SliceStable(l.waiting, func(i, j int) bool {
		return l.waiting[i].kind.urgency > l.waiting[j].kind.urgency
	})
	candidates := l.candidates()
	l.rightsize(candidates)
	l.restore(candidates)
	blocked := map[aqtype.TaskKind]bool{}
	left := l.waiting[:0:0]
	for _, t := range l.waiting {
		if blocked[t.kind.kind] || !l.placeOne(t, candidates) {
			blocked[t.kind.kind] = true
			left = append(left, t)
		}
	}
	l.waiting = left
	l.waiting = append(l.waiting, l.evictedNow()...)
}
