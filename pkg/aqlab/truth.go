// Package aqlab runs the placement code of pkg/aqplacement on seeded workloads with a
// simulated clock and measures the effect of its decisions. It simulates neither
// network nor processes.
package aqlab

import (
	"math/rand/v2"
	"time"

	"acaciaquay/pkg/aqplacement"
	"acaciaquay/pkg/aqtype"
)

// Site is the fleet of one site.
type Site struct {
	Name    string
	Workers int
	PerRack int
}

// Sites are the users' fleets at their current sizes.
var Sites = []Site{
	{
		Name:    "swan",
		Workers: 50,
		PerRack: 6,
	},
	{
		Name:    "ireti",
		Workers: 70,
		PerRack: 11,
	},
}

// workerSize is the capacity of every worker.
var workerSize = aqtype.Resources{
	MilliCPU:     64_000,
	Memory:       250 * 1024,
	Accelerators: 2,
}

// taskType is one kind of task, including properties that the placement code is not
// given.
type taskType struct {
	kind            aqtype.TaskKind
	latencyCritical bool
	urgency         aqtype.Urgency
	declared        aqtype.Resources
	// used is the actual peak use of a task.
	used    aqtype.Resources
	runTime time.Duration
}

// hiddenInterference is the actual interference between kinds, which the learned arm
// has to estimate.
type hiddenInterference struct {
	pairs map[aqplacement.Pair]float64
}

// Slowdown implements aqplacement.InterferenceModel for the oracle.
func (h hiddenInterference) Slowdown(victim, neighbour aqtype.TaskKind) float64 {
	return h.pairs[aqplacement.Pair{Victim: victim, Neighbour: neighbour}]
}

// Parameters of the random kinds.
const (
	serviceKinds        = 4
	batchKinds          = 6
	maxDeclarationError = 8.0
	// noisyShare is the probability that a batch kind slows a given kind down by 5 to
	// 40 % rather than by at most 2 %.
	noisyShare = 0.25
)

// newTypes returns random kinds for one run and the interference between them. Declared
// sizes are wrong by a factor of up to maxDeclarationError in either direction.
func newTypes(r *rand.Rand) ([]taskType, hiddenInterference) {
	var types []taskType
	for i := range serviceKinds {
		types = append(types, newType(r, i, true))
	}
	for i := range batchKinds {
		types = append(types, newType(r, i, false))
	}
	interference := hiddenInterference{pairs: map[aqplacement.Pair]float64{}}
	for _, victim := range types {
		for _, neighbour := range types {
			slowdown := r.Float64() * 0.02
			if !neighbour.latencyCritical && r.Float64() < noisyShare {
				slowdown = 0.05 + r.Float64()*0.35
			}
			interference.pairs[aqplacement.Pair{Victim: victim.kind, Neighbour: neighbour.kind}] = slowdown
		}
	}
	return types, interference
}

func newType(r *rand.Rand, number int, latencyCritical bool) taskType {
	cores := 2 + r.Float64()*6
	used := aqtype.Resources{
		MilliCPU: aqtype.MilliCPU(cores * 1000),
		Memory:   aqtype.MebiBytes(cores * (1 + r.Float64()*3) * 1024),
	}
	errorFactor := 1 + r.Float64()*(maxDeclarationError-1)
	if r.Float64() < 0.3 {
		errorFactor = 1 / errorFactor
	}
	t := taskType{
		latencyCritical: latencyCritical,
		used:            used,
		declared: aqtype.Resources{
			MilliCPU: min(workerSize.MilliCPU, aqtype.MilliCPU(float64(used.MilliCPU)*errorFactor)),
			Memory:   min(workerSize.Memory, aqtype.MebiBytes(float64(used.Memory)*errorFactor)),
		},
		runTime: time.Duration(2+r.IntN(18)) * time.Minute,
		urgency: aqtype.UrgencyBackground,
	}
	t.kind = aqtype.TaskKind("batch" + string(rune('a'+number)))
	if latencyCritical {
		t.kind = aqtype.TaskKind("service" + string(rune('a'+number)))
		t.urgency = aqtype.UrgencyUrgent
	} else if number%3 == 0 {
		t.urgency = aqtype.UrgencyNormal
	}
	return t
}
