package aqplacement

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// Constants of the usage model.
const (
	// peakDecay is the fraction of the peak that remains after a lower report.
	peakDecay = 0.98
	// usageHeadroom is the factor from the learned peak to the reservation.
	usageHeadroom = 1.05
	// minUsageReports is how many reports are needed before the learned size
	// replaces the declared one.
	minUsageReports = 8
	// runTimeLearningRate is the fraction of the error that one finished run
	// corrects.
	runTimeLearningRate = 0.2
)

type usageEstimate struct {
	milliCPU float64
	memory   float64
	reports  int
}

// UsageModel learns how much tasks of a kind use and how long they run. It is not
// safe for concurrent use.
type UsageModel struct {
	sizes    map[aqtype.TaskKind]usageEstimate
	runTimes map[aqtype.TaskKind]time.Duration
}

// NewUsageModel returns a model without observations, which uses the declared
// values.
func NewUsageModel() *UsageModel {
	return &UsageModel{
		sizes:    map[aqtype.TaskKind]usageEstimate{},
		runTimes: map[aqtype.TaskKind]time.Duration{},
	}
}

// ObserveUsage records one report of a task's usage. The estimate follows an
// increase at once and a decrease slowly.
func (m *UsageModel) ObserveUsage(kind aqtype.TaskKind, usage aqtype.Resources) {
	e := m.sizes[kind]
	e.milliCPU = max(float64(usage.MilliCPU), e.milliCPU*peakDecay)
	e.memory = max(float64(usage.Memory), e.memory*peakDecay)
	e.reports++
	m.sizes[kind] = e
}

// Reservation returns what to reserve for a task that declares this size: the
// learned peak with headroom, or the declared size until there are enough reports.
// Accelerators are reserved as declared, because tasks do not share them.
func (m *UsageModel) Reservation(kind aqtype.TaskKind, declared aqtype.Resources) aqtype.Resources {
	e, ok := m.sizes[kind]
	if !ok || e.reports < minUsageReports {
		return declared
	}
	return aqtype.Resources{
		MilliCPU:     max(1, aqtype.MilliCPU(e.milliCPU*usageHeadroom)),
		Memory:       max(1, aqtype.MebiBytes(e.memory*usageHeadroom)),
		Accelerators: declared.Accelerators,
	}
}

// ObserveRunTime records the run time of a finished task.
func (m *UsageModel) ObserveRunTime(kind aqtype.TaskKind, ran time.Duration) {
	old, ok := m.runTimes[kind]
	if !ok {
		m.runTimes[kind] = ran
		return
	}
	m.runTimes[kind] = old + time.Duration(runTimeLearningRate*float64(ran-old))
}

// RunTime returns how long tasks of this kind are expected to run.
func (m *UsageModel) RunTime(kind aqtype.TaskKind, declared time.Duration) time.Duration {
	if learned, ok := m.runTimes[kind]; ok {
		return learned
	}
	return declared
}
