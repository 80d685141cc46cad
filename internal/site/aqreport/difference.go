// Package aqreport reduces the reports of workers to what they change, and rebuilds the
// reports from that.
package aqreport

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqtype"
)

// Slot is a short name of one run within the differences of one session.
type Slot uint32

// Measurements are the values of a run that change while it runs.
type Measurements struct {
	// Checkpoint is empty when it has not changed.
	Checkpoint string
	Percent    int
	Tail       time.Duration
	Usage      aqtype.MilliCPU
}

// NewRun is a run that the last difference of the session did not include.
type NewRun struct {
	Slot         Slot
	Run          aqdecider.RunID
	Measurements Measurements
}

// ChangedRun holds new measurements of a run.
type ChangedRun struct {
	Slot         Slot
	Measurements Measurements
}

// Difference is what a worker's report changes against the last one of the same session.
type Difference struct {
	Incarnation aqdecider.Incarnation
	Sent        aqdecider.LogicalTime
	Complete    bool
	// Clock is the worker's clock when it answered.
	Clock time.Duration
	// ProgressOmitted is set when Changed may leave out runs of which only the progress has
	// changed.
	ProgressOmitted bool
	// Whole is set when New lists every run, whatever earlier differences said.
	Whole   bool
	New     []NewRun
	Changed []ChangedRun
	Gone    []Slot
	// Ended lists the ends that no earlier difference of the session included.
	Ended []aqdecider.EndReport
}

// wholeReportInterval is the interval between differences that list every run.
const wholeReportInterval = 10 * time.Second

// Differ reduces the reports of one session to differences. It is not safe for
// concurrent use.
type Differ struct {
	incarnation aqdecider.Incarnation
	listed      map[aqdecider.RunID]*listedRun
	lastSlot    Slot
	// lastEnd is the highest number of an end that a difference has included.
	lastEnd int
	// sent is the logical time of the last report that became a difference, zero when
	// the next one must list every run.
	sent       aqdecider.LogicalTime
	wholeAt    time.Time
	measuredAt time.Time
	// progressAt is when all changes were sent last, not only those of measurements that
	// matter for tail latency.
	progressAt time.Time
}

// progressInterval is the interval between differences with every change of a run's
// progress. More frequent ones hold only measurements that have changed by more than
// measurementShare.
const (
	progressInterval = 900 * time.Millisecond
	measurementShare = 0.1
)

type listedRun struct {
	slot   Slot
	report aqdecider.RunReport
	// seen is the logical time of the last report that included the run.
	seen aqdecider.LogicalTime
}

// Sent returns the logical time of the last report that became a difference, zero when the
// next one lists every run.
func (f *Differ) Sent() aqdecider.LogicalTime { return f.sent }

// Reset makes the next difference list every run.
func (f *Differ) Reset() { f.sent = 0 }

// Difference returns what the leader does not know of a report yet. Unless forced, it
// returns false when that is nothing, or nothing but measurements and the last ones were
// sent less than interval ago.
func (f *Differ) Difference(
	report aqdecider.WorkerReport, now time.Time, interval time.Duration, force bool,
) (Difference, bool) {
	out := Difference{
		Incarnation: report.Incarnation,
		Sent:        report.Sent,
		Complete:    report.Complete,
		Clock:       report.Clock,
	}
	if f.sent == 0 || report.Incarnation != f.incarnation || now.Sub(f.wholeAt) >= wholeReportInterval {
		out.Whole = true
		f.wholeAt = now
		f.listed = make(map[aqdecider.RunID]*listedRun, len(report.Running))
		if f.sent == 0 || report.Incarnation != f.incarnation {
			f.lastEnd = 0
		}
		f.incarnation = report.Incarnation
	}
	measure := now.Sub(f.measuredAt) >= interval
	progress := measure && now.Sub(f.progressAt) >= progressInterval
	out.ProgressOmitted = !out.Whole && !progress
	for _, r := range report.Running {
		known := f.listed[r.Run]
		switch {
		case known == nil:
			f.add(&out, r, report.Sent)
			continue
		case progress && known.report != r, measure && measurementChanged(known.report, r):
			f.change(&out, known, r)
		}
		known.seen = report.Sent
	}
	for run, known := range f.listed {
		if known.seen != report.Sent {
			out.Gone = append(out.Gone, known.slot)
			delete(f.listed, run)
		}
	}
	slices.Sort(out.Gone)
	for _, e := range report.Ended {
		if e.Number > f.lastEnd {
			out.Ended = append(out.Ended, e)
		}
	}
	for _, e := range out.Ended {
		f.lastEnd = max(f.lastEnd, e.Number)
	}
	if !force && !out.Whole && !measure && len(out.New)+len(out.Gone)+len(out.Ended) == 0 {
		return Difference{}, false
	}
	if out.Whole || measure {
		f.measuredAt = now
	}
	if out.Whole || progress {
		f.progressAt = now
	}
	f.sent = report.Sent
	return out, true
}

// measurementChanged reports whether the tail latency or usage of a run has changed by more
// than measurementShare.
func measurementChanged(before, after aqdecider.RunReport) bool {
	return differs(float64(before.Tail), float64(after.Tail)) || differs(float64(before.Usage), float64(after.Usage))
}

func differs(before, after float64) bool {
	return math.Abs(after-before) > measurementShare*math.Abs(before)
}

// add adds a run to a difference that no earlier one included.
func (f *Differ) add(out *Difference, r aqdecider.RunReport, sent aqdecider.LogicalTime) {
	f.lastSlot++
	f.listed[r.Run] = &listedRun{slot: f.lastSlot, report: r, seen: sent}
	out.New = append(out.New, NewRun{
		Slot: f.lastSlot,
		Run:  r.Run,
		Measurements: Measurements{
			Checkpoint: r.Checkpoint,
			Percent:    r.Percent,
			Tail:       r.Tail,
			Usage:      r.Usage,
		},
	})
}

// change adds the new measurements of a run to a difference.
func (f *Differ) change(out *Difference, known *listedRun, r aqdecider.RunReport) {
	changed := Measurements{
		Percent: r.Percent,
		Tail:    r.Tail,
		Usage:   r.Usage,
	}
	if r.Checkpoint != known.report.Checkpoint {
		changed.Checkpoint = r.Checkpoint
	}
	known.report = r
	out.Changed = append(out.Changed, ChangedRun{Slot: known.slot, Measurements: changed})
}

// ErrNoBase means that a difference refers to a run that no earlier one has named.
var ErrNoBase = errors.New("report: difference without its base")

// Listing rebuilds the reports of one assignment from their differences.
type Listing struct {
	// runs are ordered by slot.
	runs []slotRun
	// begun is set by the first difference that lists every run.
	begun bool
}

type slotRun struct {
	slot   Slot
	report aqdecider.RunReport
}

// Apply applies the next difference and returns the report that it stands for. After
// ErrNoBase only a new assignment brings the listing up to date.
func (l *Listing) Apply(d Difference) (aqdecider.WorkerReport, error) {
	if d.Whole {
		l.runs = l.runs[:0]
		l.begun = true
	}
	if !l.begun {
		return aqdecider.WorkerReport{}, ErrNoBase
	}
	if len(d.Gone) > 0 {
		l.runs = slices.DeleteFunc(l.runs, func(r slotRun) bool { return slices.Contains(d.Gone, r.slot) })
	}
	for _, c := range d.Changed {
		position, known := slices.BinarySearchFunc(l.runs, c.Slot, func(r slotRun, slot Slot) int { return cmp.Compare(r.slot, slot) })
		if !known {
			return aqdecider.WorkerReport{}, ErrNoBase
		}
		c.Measurements.applyTo(&l.runs[position].report)
	}
	for _, n := range d.New {
		r := slotRun{slot: n.Slot, report: aqdecider.RunReport{Run: n.Run}}
		n.Measurements.applyTo(&r.report)
		l.runs = append(l.runs, r)
	}
	report := aqdecider.WorkerReport{
		Incarnation:     d.Incarnation,
		Running:         make([]aqdecider.RunReport, 0, len(l.runs)),
		Ended:           d.Ended,
		Sent:            d.Sent,
		Complete:        d.Complete,
		Clock:           d.Clock,
		ProgressOmitted: d.ProgressOmitted,
	}
	for _, r := range l.runs {
		report.Running = append(report.Running, r.report)
	}
	return report, nil
}

func (m Measurements) applyTo(r *aqdecider.RunReport) {
	r.Percent, r.Tail, r.Usage = m.Percent, m.Tail, m.Usage
	if m.Checkpoint != "" {
		r.Checkpoint = m.Checkpoint
	}
}
