package aqjob

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"acaciaquay/internal/site/aqcrash"
)

// Omitted counts what the stored progress of a job lacks because it would be too large.
type Omitted struct {
	// Checkpoints is the number of tasks that start again from the beginning if nothing else knows their checkpoints.
	Checkpoints int
	// Crashes is the number of tasks whose crashes a later leader does not know.
	Crashes int
}

// Any reports whether anything is left out.
func (o Omitted) Any() bool { return o != Omitted{} }

// EncodeWithin encodes progress in at most limit bytes if that is possible without some of the checkpoints and of the crashes of
// workers under the tasks, and returns what it has left out. The crashes of tasks that nothing speaks against go first.
func (p *Progress) EncodeWithin(limit int) ([]byte, Omitted, error) {
	data, err := Encode(p)
	if err != nil || len(data) <= limit {
		return data, Omitted{}, err
	}
	t := trimmer{
		kept:   *p,
		excess: len(data) - limit,
	}
	t.kept.Occurrences = maps.Clone(p.Occurrences)
	t.order = slices.Backward(slices.Sorted(maps.Keys(p.Occurrences)))
	for k, before := range p.Occurrences {
		o := *before
		o.Checkpoints = maps.Clone(o.Checkpoints)
		o.Crashes = maps.Clone(o.Crashes)
		t.kept.Occurrences[k] = &o
	}
	t.omitCrashes(func(h *aqcrash.History) bool { return h.Trial == nil && !h.Suspected() })
	t.omitCheckpoints()
	t.omitCrashes(func(h *aqcrash.History) bool { return h.Trial == nil })
	t.omitCrashes(func(*aqcrash.History) bool { return true })
	data, err = Encode(&t.kept)
	return data, t.omitted, err
}

// trimmer leaves out parts of a progress until it is small enough.
type trimmer struct {
	kept Progress
	// order yields the occurrences, the last one first.
	order iter.Seq2[int, Occurrence]
	// excess is by how many bytes the progress is too large, or less.
	excess  int
	omitted Omitted
}

func (t *trimmer) omitCheckpoints() {
	for _, k := range t.order {
		o := t.kept.Occurrences[k]
		for _, position := range slices.Backward(slices.Sorted(maps.Keys(o.Checkpoints))) {
			if t.excess <= 0 {
				return
			}
			t.excess -= len(o.Checkpoints[position])
			delete(o.Checkpoints, position)
			t.omitted.Checkpoints++
		}
	}
}

// omitCrashes leaves out the histories that may be left out, those with the fewest crashes first.
func (t *trimmer) omitCrashes(mayOmit func(*aqcrash.History) bool) {
	for _, k := range t.order {
		o := t.kept.Occurrences[k]
		positions := slices.SortedFunc(maps.Keys(o.Crashes), func(a, b int) int {
			return cmp.Or(cmp.Compare(len(o.Crashes[a].Crashes), len(o.Crashes[b].Crashes)), cmp.Compare(b, a))
		})
		for _, position := range positions {
			if t.excess <= 0 {
				return
			}
			if h := o.Crashes[position]; mayOmit(h) {
				t.excess -= encodedBytes(h)
				delete(o.Crashes, position)
				t.omitted.Crashes++
			}
		}
	}
}

// encodedBytes returns the size of an encoded history, zero if it cannot be encoded.
func encodedBytes(h *aqcrash.History) int {
	data, err := Encode(h)
	if err != nil {
		return 0
	}
	return len(data)
}
