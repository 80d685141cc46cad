package aqround

import (
	"testing"
	"time"
)

func TestOnlySlowRoundsInARowCount(t *testing.T) {
	for _, test := range []struct {
		name   string
		rounds []time.Duration
		want   bool
	}{
		{name: "fast", rounds: []time.Duration{0, SlowRound - 1, SlowRound - 1, SlowRound - 1}},
		{name: "one pause", rounds: []time.Duration{0, time.Minute, 0}},
		{name: "slow with a fast one between", rounds: []time.Duration{SlowRound, SlowRound, 0, SlowRound, SlowRound}},
		{name: "slow", rounds: []time.Duration{0, SlowRound, SlowRound, SlowRound}, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var m Meter
			slow := false
			for _, took := range test.rounds {
				slow = m.Add(took)
			}
			if slow != test.want {
				t.Errorf("slow %v, want %v", slow, test.want)
			}
		})
	}
}
