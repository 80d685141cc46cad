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

// Arm is one of the variants that are compared. It sets the placement policy, the sizes
// that tasks reserve, and whether it throttles running tasks first and evicts only if
// that frees too little.
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

// Timing and noise of a simulated run.
const (
	stepTime = 10 * time.Second
	// warmUp is the length of the initial period, in every arm. All results except
	// Overloaded and OverCommitted exclude it.
	warmUp         = 2 * time.Hour
	simulatedTime  = 8 * time.Hour
	reportLag      = 30 * time.Second
	reportInterval = time.Minute
	// usageNoise is the maximum relative error of a report.
	usageNoise  = 0.1
	baseLatency = 20 * time.Millisecond
	// Every surgeInterval, additional service tasks arrive at once and end
	// surgeDuration later. They preempt batch tasks where no capacity is free.
	surgeInterval = time.Hour
	surgeDuration = 20 * time.Minute
)

// Result holds the measurements of one run.
type Result struct {
	Site string
	Arm  Arm
	Seed uint64
	// P50, P99 and P999 are percentiles of the service tasks' request latency.
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
	// BatchPerHour is the number of batch tasks that finished per hour. It depends on
	// which kinds finish, because the work of tasks differs by a factor of more than
	// 30.
	BatchPerHour float64
	// CoreHoursPerHour is the number of core-hours that these tasks used. It does not
	// depend on the mix of kinds.
	CoreHoursPerHour float64
	Evictions        int
	// LostWork is Evictions times the fixed evictionCost.
	LostWork time.Duration
	// OverCommitted is the number of workers whose reservations exceed their capacity,
	// summed over all steps. It must be zero.
	OverCommitted int
	// Overloaded is the fraction of worker time, warm-up included, in which actual
	// processor use exceeded capacity.
	Overloaded float64
	// ServiceWaitP99 is the 99th percentile of the time a service task waits for its
	// placement.
	ServiceWaitP99 time.Duration
}

type task struct {
	id       aqtype.TaskID
	taskType *taskType
	reserved aqtype.Resources
	// unthrottled is the reservation without throttling.
	unthrottled aqtype.Resources
	worker      int
	queuedAt    time.Time
	started     time.Time
	remaining   time.Duration
	evictions   int
	// ends is when a service task of a surge ends, zero for all other tasks.
	ends time.Time
}

// simulation is the state of one run.
type simulation struct {
	site         Site
	arm          Arm
	random       *rand.Rand
	types        []taskType
	interference hiddenInterference
	now          time.Time
	start        time.Time
	running      map[int][]*task
	waiting      []*task
	slowdowns    *aqplacement.SlowdownModel
	usage        *aqplacement.UsageModel
	history      *aqplacement.History
	lastIndex    int
	// requeued holds the tasks evicted in the current step.
	requeued []*task
	latency  *hdrhistogram.Histogram
	waits    *hdrhistogram.Histogram
	result   Result
	// done and coreHours count the batch tasks that finished after the warm-up and
	// their core-hours.
	done      int
	coreHours float64
	// overloaded is the number of samples with more processor use than capacity.
	overloaded int
	// samples is the number of samples; each step takes one of every worker.
	samples int
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Run runs one arm on one site with one seed.
func Run(site Site, arm Arm, seed uint64) Result {
	s := newSimulation(site, arm, seed)
	for s.now.Sub(s.start) < simulatedTime {
		s.step()
	}
	return s.finish()
}

func newSimulation(site Site, arm Arm, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 7))
	types, interference := newTypes(random)
	s := &simulation{
		site:         site,
		arm:          arm,
		random:       rand.New(rand.NewPCG(seed, 11)),
		types:        types,
		interference: interference,
		start:        time.Unix(1_700_000_000, 0),
		running:      map[int][]*task{},
		slowdowns:    aqplacement.NewSlowdownModel(),
		usage:        aqplacement.NewUsageModel(),
		history:      aqplacement.NewHistory(),
		latency:      hdrhistogram.New(1, histogramMax, histogramDigits),
		waits:        hdrhistogram.New(1, histogramMax, histogramDigits),
		result: Result{
			Site: site.Name,
			Arm:  arm,
			Seed: seed,
		},
	}
	s.now = s.start
	return s
}

func (s *simulation) finish() Result {
	hours := (simulatedTime - warmUp).Hours()
	s.result.BatchPerHour = float64(s.done) / hours
	s.result.CoreHoursPerHour = s.coreHours / hours
	s.result.P50 = time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond
	s.result.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
	s.result.P999 = time.Duration(s.latency.ValueAtQuantile(99.9)) * time.Microsecond
	s.result.ServiceWaitP99 = time.Duration(s.waits.ValueAtQuantile(99)) * time.Microsecond
	s.result.Overloaded = float64(s.overloaded) / float64(max(s.samples, 1))
	return s.result
}

const milliPerCore = 1000

func (s *simulation) pastWarmUp() bool { return s.now.Sub(s.start) >= warmUp }

func (s *simulation) step() {
	s.now = s.now.Add(stepTime)
	s.slowdowns.SetNow(s.now)
	s.advanceRuns()
	s.arrive()
	s.place()
	if s.now.Sub(s.start)%reportInterval < stepTime {
		s.reportUsage()
	}
}

// advanceRuns advances every batch task by one step, slowed down by its co-located
// tasks, records the latency of every service task, and removes the tasks that are
// done.
func (s *simulation) advanceRuns() {
	for w := range s.site.Workers {
		kept := s.running[w][:0]
		overload := s.sampleOverload(w)
		for _, t := range s.running[w] {
			slowdown := s.slowdown(w, t) * overload
			if t.taskType.latencyCritical {
				s.recordLatency(slowdown)
				if !t.ends.IsZero() && s.now.After(t.ends) {
					continue
				}
				kept = append(kept, t)
				continue
			}
			t.remaining -= time.Duration(float64(stepTime) / slowdown * t.speed())
			if t.remaining > 0 {
				kept = append(kept, t)
				continue
			}
			s.usage.ObserveRunTime(t.taskType.kind, s.now.Sub(t.started))
			if s.pastWarmUp() {
				s.done++
				s.coreHours += float64(t.taskType.used.MilliCPU) / milliPerCore * t.taskType.runTime.Hours()
			}
		}
		changed := len(kept) != len(s.running[w])
		s.running[w] = kept
		if changed {
			s.recordColocated(w)
		}
	}
}

// speed is the fraction of its full processor reservation that a task has; it is below
// 1 for a throttled task.
func (t *task) speed() float64 {
	return float64(t.reserved.MilliCPU) / float64(t.unthrottled.MilliCPU)
}

// sampleOverload returns the processor overload of a worker and counts the sample for
// Result.Overloaded.
func (s *simulation) sampleOverload(w int) float64 {
	overload := s.cpuOverload(w)
	s.samples++
	if overload > 1 {
		s.overloaded++
	}
	return overload
}

func (s *simulation) slowdown(w int, slowed *task) float64 {
	slowdown := 1.0
	for _, other := range s.running[w] {
		if other != slowed {
			slowdown += s.interference.Slowdown(slowed.taskType.kind, other.taskType.kind)
		}
	}
	return slowdown
}

// recordLatency records the latency of one request: baseLatency and an exponentially
// distributed part, both multiplied by the slowdown.
func (s *simulation) recordLatency(slowdown float64) {
	if !s.pastWarmUp() {
		return
	}
	took := float64(baseLatency) * (1 + s.random.ExpFloat64()*0.5) * slowdown
	_ = s.latency.RecordValue(min(histogramMax, int64(took)/int64(time.Microsecond)))
}

// reportUsage feeds noisy usage and slowdowns to the models. A slowdown is
// matched with the tasks that were co-located reportLag ago.
func (s *simulation) reportUsage() {
	at := s.now.Add(-reportLag)
	for w := range s.site.Workers {
		overload := s.cpuOverload(w)
		for _, t := range s.running[w] {
			noise := 1 + (s.random.Float64()*2-1)*usageNoise
			s.usage.ObserveUsage(t.taskType.kind, aqtype.Resources{
				MilliCPU: aqtype.MilliCPU(float64(t.taskType.used.MilliCPU) * noise),
				Memory:   aqtype.MebiBytes(float64(t.taskType.used.Memory) * noise),
			})
			if t.started.After(at) {
				continue
			}
			id := s.workerID(w)
			if neighbours, ok := s.history.Neighbours(id, at, t.taskType.kind); ok {
				s.slowdowns.Observe(t.taskType.kind, neighbours, s.slowdown(w, t)*overload*noise-1)
			}
		}
	}
}

// cpuOverload returns the ratio of actual processor use on a worker to its processors,
// at least 1.
func (s *simulation) cpuOverload(w int) float64 {
	var used aqtype.MilliCPU
	for _, t := range s.running[w] {
		used += t.taskType.used.MilliCPU
	}
	return max(1, float64(used)/float64(workerSize.MilliCPU))
}

func (s *simulation) workerID(w int) aqtype.WorkerID { return aqtype.WorkerID(fmt.Sprintf("w%03d", w)) }

func (s *simulation) recordColocated(w int) {
	kinds := make([]aqtype.TaskKind, 0, len(s.running[w]))
	for _, t := range s.running[w] {
		kinds = append(kinds, t.taskType.kind)
	}
	s.history.Record(s.workerID(w), s.now, kinds)
}

// Load of a run. Service tasks occupy part of the fleet during the whole run, and a
// larger part during a surge. There is always a backlog of batch tasks.
const (
	servicePerWorker = 1
	surgePerWorker   = 0.8
	batchBacklog     = 60
)

func (s *simulation) arrive() {
	elapsed := s.now.Sub(s.start)
	if elapsed == stepTime {
		for range s.site.Workers * servicePerWorker {
			s.enqueue(s.randomType(true), time.Time{})
		}
	}
	if elapsed%surgeInterval < stepTime && elapsed > stepTime {
		for range int(float64(s.site.Workers) * surgePerWorker) {
			s.enqueue(s.randomType(true), s.now.Add(surgeDuration))
		}
	}
	for s.batchWaiting() < batchBacklog {
		s.enqueue(s.randomType(false), time.Time{})
	}
}

func (s *simulation) randomType(latencyCritical bool) *taskType {
	if latencyCritical {
		return &s.types[s.random.IntN(serviceKinds)]
	}
	return &s.types[serviceKinds+s.random.IntN(batchKinds)]
}

func (s *simulation) batchWaiting() int {
	n := 0
	for _, t := range s.waiting {
		if !t.taskType.latencyCritical {
			n++
		}
	}
	return n
}

func (s *simulation) enqueue(typ *taskType, ends time.Time) {
	s.lastIndex++
	s.waiting = append(s.waiting, &task{
		id:        aqtype.TaskID{Workload: aqtype.WorkloadKey(typ.kind), Index: s.lastIndex},
		taskType:  typ,
		queuedAt:  s.now,
		remaining: typ.runTime,
		ends:      ends,
	})
}

// place tries to place every waiting task, most urgent first. Once a task of a kind
// does not fit, the others of that kind are not tried in this step.
func (s *simulation) place() {
	sort.SliceStable(s.waiting, func(i, j int) bool {
		return s.waiting[i].taskType.urgency > s.waiting[j].taskType.urgency
	})
	candidates := s.candidates()
	s.rightsize(candidates)
	s.unthrottle(candidates)
	blocked := map[aqtype.TaskKind]bool{}
	left := s.waiting[:0:0]
	for _, t := range s.waiting {
		if blocked[t.taskType.kind] || !s.placeOne(t, candidates) {
			blocked[t.taskType.kind] = true
			left = append(left, t)
		}
	}
	s.waiting = left
	s.waiting = append(s.waiting, s.takeRequeued()...)
}
