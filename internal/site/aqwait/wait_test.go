package aqwait

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqtype"
)

func cores(n aqtype.MilliCPU) aqtype.Resources { return aqtype.Resources{MilliCPU: 1000 * n} }

func TestForecast(t *testing.T) {
	f := Forecast{
		NewHost(cores(0), []End{{In: 3 * time.Second, Size: cores(2)}, {In: time.Second, Size: cores(1)}}),
		NewHost(cores(1), []End{{In: 2 * time.Second, Size: cores(4)}}),
	}
	for _, test := range []struct {
		number int
		size   aqtype.MilliCPU
		want   time.Duration
		ok     bool
	}{
		{number: 1, size: 1, want: 0, ok: true},
		{number: 2, size: 1, want: time.Second, ok: true},
		{number: 3, size: 1, want: time.Second, ok: true}, // the first place is free again by then,
		{number: 1, size: 3, want: 2 * time.Second, ok: true},
		{number: 3, size: 3, want: 3 * time.Second, ok: true},
		{number: 1, size: 6, ok: false},
	} {
		got, left, ok := f.Claim(test.number, cores(test.size), time.Second)
		if got != test.want || ok != test.ok {
			t.Errorf("%d tasks of %d cores wait %s, %t; want %s, %t", test.number, test.size, got, ok, test.want, test.ok)
		}
		if next, _, _ := left.Claim(1, cores(1), time.Second); ok && test.number > 1 && next < got {
			t.Errorf("after %d tasks of %d cores the next waits %s, less than they do", test.number, test.size, next)
		}
	}
	if _, _, ok := (Forecast{}).Claim(1, cores(1), time.Second); ok {
		t.Error("a rack without workers has a place")
	}
}

// TestDecide compares the choices for a grid of tasks with _fixtures/choices.golden.
func TestDecide(t *testing.T) {
	var b strings.Builder
	for _, near := range []time.Duration{200 * time.Millisecond, time.Second, 20 * time.Second} {
		for _, left := range []time.Duration{-time.Second, 2 * time.Second, time.Minute} {
			for _, waited := range []time.Duration{0, 300 * time.Millisecond, MaxWait} {
				fmt.Fprintf(&b, "runs %-6s left %-4s waited %-6s:", near, left, waited)
				for _, expected := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second} {
					fmt.Fprintf(&b, " %s", Decide(Task{
						Near:     near,
						Factor:   1.5,
						Waited:   waited,
						Left:     left,
						Expected: expected,
						Known:    true,
					}))
				}
				fmt.Fprintln(&b)
			}
		}
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "choices", []byte(b.String()))
}

// TestNoWaitWithoutABound takes whatever a forecast may say.
func TestNoWaitWithoutABound(t *testing.T) {
	for _, factor := range []float64{0, 1, 1.5, 100} {
		task := Task{
			Near:   time.Hour,
			Factor: factor,
			Known:  true,
		}
		for task.Waited = 0; Decide(task) == Wait; task.Waited += 10 * time.Millisecond {
			if task.Waited > MaxWait {
				t.Fatalf("factor %v: waits for %s", factor, task.Waited)
			}
		}
	}
	if got := Decide(Task{Near: time.Second, Factor: 1.5}); got != NoPlace {
		t.Errorf("a task without a forecast chooses %s", got)
	}
}
