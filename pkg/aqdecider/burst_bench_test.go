package aqdecider

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqtype"
)

// Load of BenchmarkFillerBurst, in rounds of busyRound: the shape of a burst of the batch
// kind on a site of 1,100 workers.
const (
	burstWorkers       = 1100
	burstServingImages = 16
	burstFillerImages  = 30
	// burstServing is the number of serving tasks of one image.
	burstServing = 320
	// burstWidth is the number of tasks in a job of fillers.
	burstWidth = 40
	// burstRunRounds is the number of rounds that a filler runs.
	burstRunRounds = 150
)

// BenchmarkFillerBurst measures one round of decisions while jobs of fillers arrive, and
// while more of them wait than the workers can take. The metric is the share of a core.
func BenchmarkFillerBurst(b *testing.B) {
	for _, test := range []struct {
		name string
		// every is the number of rounds between two jobs.
		every   int
		waiting int
	}{
		{name: "arriving", every: 2},
		{name: "overloaded", every: 1, waiting: 150},
	} {
		b.Run(test.name, func(b *testing.B) {
			load := newFillerLoad(test.waiting)
			b.ResetTimer()
			for n := range b.N {
				if n%test.every == 0 {
					load.submitFillers()
				}
				load.round()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(busyRound)*100, "%core")
		})
	}
}

type fillerLoad struct {
	*busyLoad
	// ends holds the starts of each of the last burstRunRounds rounds, oldest first.
	ends [][]Start
}

func newFillerLoad(waiting int) *fillerLoad {
	l := &fillerLoad{
		busyLoad: &busyLoad{harness: newFleet(burstWorkers), numbers: map[aqtype.WorkerID]int{}},
		ends:     make([][]Start, burstRunRounds),
	}
	for image := range burstServingImages {
		group := tasks(burstServing, 6000)
		group.Perpetual, group.TailTarget, group.Image = true, 4*time.Millisecond, fmt.Sprintf("serving-%d", image)
		l.submit(group)
		for range 4 {
			l.advance(time.Second)
			l.tick()
		}
	}
	l.started = nil
	for range waiting {
		l.submitFillers()
	}
	for range burstRunRounds {
		l.round()
	}
	return l
}

func (l *fillerLoad) submitFillers() {
	group := tasks(burstWidth, 7000)
	group.Filler, group.Checkpointing = true, true
	group.Image = fmt.Sprintf("filler-%d", l.jobs%burstFillerImages)
	l.submit(group)
}

// round ends the oldest fillers, lets a part of the workers report, and decides.
func (l *fillerLoad) round() {
	l.advance(busyRound)
	l.endAll(l.ends[0])
	ids := l.d.WorkerIDs()
	for range len(ids) / busyReportRounds {
		l.next = (l.next + 1) % len(ids)
		l.reportTails(ids[l.next])
	}
	l.started = nil
	l.tick()
	l.ends = append(l.ends[1:], l.started)
	l.store()
}

// reportTails reports every run of a worker as ready. The tail latency of its serving tasks
// is half of their target, and nearly all of it beside fillers.
func (l *fillerLoad) reportTails(id aqtype.WorkerID) {
	tail := 2 * time.Millisecond
	for _, r := range l.d.workers[id].runs {
		if r.task.group.spec.Filler {
			tail = 3800 * time.Microsecond
		}
	}
	for run, report := range l.running[id] {
		report.Percent, report.Tail, report.Usage = readyPercent, tail, 3000
		l.running[id][run] = report
	}
	l.report(id)
}
