package aqdecider

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"acaciaquay/internal/site/aqbacklog"
)

// floodResult is what the submitters of a flood got.
type floodResult struct {
	inTime, late int
	// untold are those that were accepted and got nothing of use.
	untold, rejected int
}

// flood submits a number of urgent jobs a step for 10 s to four workers that can take about one, and waits 20 s
// more. rough makes the estimates of the jobs off by up to four times either way.
func flood(t *testing.T, perStep int, rough, rejects bool) floodResult {
	var workers []Worker
	for n := range 4 {
		workers = append(workers, poolWorker(fmt.Sprintf("w%d", n), "r1-1", 8000))
	}
	l := newPlayedLoad(t, workers...)
	random := rand.New(rand.NewSource(1))
	var estimate aqbacklog.Estimate
	var madeAt time.Time
	var result floodResult
	number := firstUrgent
	for step := range 300 {
		if l.now.Sub(madeAt) >= 250*time.Millisecond {
			madeAt = l.now
			estimate = l.d.Backlog()
		}
		for range perStep {
			if step >= 100 {
				break
			}
			number++
			j := l.urgentJob(number, 4, 1000)
			if rough {
				j.Groups[0].Estimate = time.Duration(math.Exp((2*random.Float64()-1)*math.Log(4)) * float64(playWork))
			}
			estimate.Age = l.now.Sub(madeAt)
			if _, rejected := aqbacklog.Decide(j, estimate).(aqbacklog.Reject); rejects && rejected {
				result.rejected++
				continue
			}
			l.submit(j)
		}
		l.step()
	}
	const allowed = 3*playWork/2 + 250*time.Millisecond
	for id, at := range l.submitted {
		switch end := l.ended[id]; {
		case end.IsZero() || end.Sub(at) > 3*allowed+playStep:
			result.untold++
		case end.Sub(at) > allowed+playStep:
			result.late++
		default:
			result.inTime++
		}
	}
	return result
}

// A flood of eight times what the workers can do, which is 125 jobs: they work for jobs that can be served in time.
func TestFloodIsServedInTime(t *testing.T) {
	for _, rough := range []bool{false, true} {
		got := flood(t, 8, rough, false)
		t.Logf("rough estimates %v: %+v", rough, got)
		if got.inTime < 75 {
			t.Errorf("rough estimates %v: %d jobs were served in time", rough, got.inTime)
		}
	}
}

// A flood of sixteen times what the workers can do: those who cannot be served are told at once, and no fewer are
// served. Below that no one is rejected.
func TestFloodIsRejectedAtOnce(t *testing.T) {
	without, with := flood(t, 16, false, false), flood(t, 16, false, true)
	t.Logf("without rejections %+v, with them %+v", without, with)
	if with.inTime+with.late < without.inTime+without.late {
		t.Errorf("rejections cost %d jobs", without.inTime+without.late-with.inTime-with.late)
	}
	if with.rejected == 0 || with.untold > without.untold/2 {
		t.Errorf("%d of %d that were not served were not told", with.untold, with.untold+with.rejected)
	}
	if burst := flood(t, 2, false, true); burst.rejected > 0 {
		t.Errorf("twice of what the workers can do: %d rejected", burst.rejected)
	}
}

// Lasting tasks and idle processors are no backlog.
func TestBacklogCountsWhatWaits(t *testing.T) {
	l := newPlayedLoad(t, poolWorker("w1", "r1-1", 4000))
	l.lasting(1, 1, 2000)
	l.step()
	if waits := l.d.Backlog().Waits; len(waits) > 0 {
		t.Errorf("an idle site has waits %v", waits)
	}
	l.submit(l.urgentJob(firstUrgent, 20, 1000))
	l.step()
	waits := l.d.Backlog().Waits
	if len(waits) != 1 || waits[0].Lane != (aqbacklog.Lane{Service: testService}) {
		t.Fatalf("waits %v", waits)
	}
	// The job of a single task of one may miss it: 4 cores, of which 2 run its tasks.
	if want := 18 * playWork / 4; waits[0].Time != want {
		t.Errorf("wait %s, want %s", waits[0].Time, want)
	}
}
