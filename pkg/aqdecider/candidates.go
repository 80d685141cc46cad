package aqdecider

import (
	"container/heap"
	"slices"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// candidate is a worker that may get a task of a group; the lowest score is best.
type candidate struct {
	worker *worker
	score  float64
}

func (c candidate) better(o candidate) bool {
	if c.score != o.score {
		return c.score < o.score
	}
	return c.worker.info.ID < o.worker.info.ID
}

// candidates is a heap of the workers that may get a task of a group, best first.
type candidates []candidate

// Len implements heap.Interface.
func (c candidates) Len() int { return len(c) }

// Less implements heap.Interface.
func (c candidates) Less(i, j int) bool { return c[i].better(c[j]) }

// Swap implements heap.Interface.
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface. It does nothing: candidates are never added.
func (c *candidates) Push(any) {}

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	popped := (*c)[last]
	*c = (*c)[:last]
	return popped
}

// candidates returns the workers that may get a task of the group. tentative holds
// what the current decision has already reserved on each worker. The result is
// valid until the next call.
func (d *Decider) candidates(g *group, tentative map[*worker]aqtype.Resources) candidates {
	found := d.candidateBuffer[:0]
	for _, w := range d.fleet {
		if score, ok := d.suitability(g, w, tentative[w]); ok {
			found = append(found, candidate{worker: w, score: score})
		}
	}
	d.candidateBuffer = found
	heap.Init(&found)
	return found
}

// suitability returns the score of a worker, or false if it must not get a task of
// the group.
func (d *Decider) suitability(g *group, w *worker, tentative aqtype.Resources) (float64, bool) {
	if !d.eligible(g, w, tentative) {
		return 0, false
	}
	score := d.score(g, w, tentative)
	return score, score < forbiddenScore
}

// best returns the index of the best worker for a task of the group, -1 if there is
// none.
func (c candidates) best(t *task) int {
	if len(c) == 0 {
		return -1
	}
	if len(t.avoid) == 0 {
		return 0
	}
	best := -1
	var bestCandidate candidate
	for i, each := range c {
		if slices.Contains(t.avoid, each.worker.info.ID) {
			each.score += weightAvoided
		}
		if best < 0 || each.better(bestCandidate) {
			best, bestCandidate = i, each
		}
	}
	return best
}

// rescore updates the entry of a worker that has just been given a task of the
// group.
func (d *Decider) rescore(c *candidates, position int, g *group) {
	score, ok := d.suitability(g, (*c)[position].worker, aqtype.Resources{})
	if !ok {
		heap.Remove(c, position)
		return
	}
	(*c)[position].score = score
	heap.Fix(c, position)
}

// choose returns the best worker for a task, nil if none is suitable. tentative holds
// what the current decision has already reserved on each worker.
func (d *Decider) choose(t *task, tentative map[*worker]aqtype.Resources) *worker {
	found := d.candidates(t.group, tentative)
	if position := found.best(t); position >= 0 {
		return found[position].worker
	}
	return nil
}

// candidateFor returns a worker as a candidate for a task, or false if it must not get it.
func (d *Decider) candidateFor(t *task, w *worker) (candidate, bool) {
	score, ok := d.suitability(t.group, w, aqtype.Resources{})
	if slices.Contains(t.avoid, w.info.ID) {
		score += weightAvoided
	}
	return candidate{worker: w, score: score}, ok
}

// placementClass holds what two groups must have in common so that, apart from the
// sizes of their tasks, the same workers suit both.
type placementClass struct {
	service aqjob.ServiceID
	filler  bool
	// image matters for fillers only.
	image string
}

// shortage records, for one round of decisions, the task sizes for which no worker
// was found. A larger task of the same class finds none either.
type shortage map[placementClass]aqtype.Resources

func (g *group) class() placementClass {
	k := placementClass{service: g.occurrence.job.queue.Service, filler: g.spec.Filler}
	if k.filler {
		k.image = g.spec.Image
	}
	return k
}

// record records that no worker was found for a task. It ignores groups that may lack
// a worker for other reasons than their size.
func (s shortage) record(t *task) {
	g := t.group
	if g.spec.Constraint != "" || g.spec.AntiAffinity > 0 || g.occurrence.job.queue.Advised {
		return
	}
	s[g.class()] = g.spec.Size
}

// covers reports whether no worker was found for a task of the same class that is
// no larger.
func (s shortage) covers(g *group) bool {
	size, recorded := s[g.class()]
	return recorded && size.Fits(g.spec.Size)
}

// fillerRetry is how long no worker is looked for after none suited a filler of an image.
// Whether a worker suits depends on what it serves and is costly to find out, and hundreds
// of groups may wait.
const fillerRetry = 100 * time.Millisecond

// fillerShortage is a shortage of one class of fillers.
type fillerShortage struct {
	size  aqtype.Resources
	until time.Time
}

// recentShortages returns the shortages of fillers that the next search must not repeat
// yet.
func (d *Decider) recentShortages() shortage {
	s := shortage{}
	for class, recent := range d.fillerShortages {
		if d.now.After(recent.until) {
			delete(d.fillerShortages, class)
			continue
		}
		s[class] = recent.size
	}
	return s
}

// fillerShort reports whether no worker was found of late for a filler like the group's.
func (d *Decider) fillerShort(g *group) bool {
	recent, known := d.fillerShortages[g.class()]
	return known && !d.now.After(recent.until) && recent.size.Fits(g.spec.Size)
}

// keepShortages keeps the shortages of fillers that a round has found.
func (d *Decider) keepShortages(found shortage) {
	for class, size := range found {
		if _, known := d.fillerShortages[class]; !known && class.filler {
			d.fillerShortages[class] = fillerShortage{size: size, until: d.now.Add(fillerRetry)}
		}
	}
}
