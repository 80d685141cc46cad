package aqdecider

import (
	"fmt"
	"log/slog"
	"sort"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// GroupID names one group of one occurrence of a job.
type GroupID struct {
	Job        aqjob.ID
	Occurrence aqjob.Occurrence
	Group      int
}

// String renders the id as job.occurrence.group.
func (g GroupID) String() string { return fmt.Sprintf("%s.%d.%d", g.Job, g.Occurrence, g.Group) }

// AdviceRequest asks the advice service which of some workers may run a group.
type AdviceRequest struct {
	Group   GroupID
	Workers []aqtype.WorkerID
	// Base and PerWorker are how long the service takes to answer.
	Base         time.Duration
	PerWorker    time.Duration
	incarnations map[aqtype.WorkerID]Incarnation
}

// Advice is the answer to a question: a ticket for each worker that may run the
// group.
type Advice struct {
	Tickets map[aqtype.WorkerID]string
	// Valid is how long the tickets hold.
	Valid time.Duration
}

// maxAdviceWorkers is the number of workers of one question. The service answers
// one question at a time and takes longer for each worker.
const maxAdviceWorkers = 30

// adviceRetryPause is the pause after a question without an answer.
const adviceRetryPause = 300 * time.Millisecond

// advice is what the advice service has said of a group.
type advice struct {
	// answers holds the workers that a question has named in their present life,
	// with the time until which the answer holds.
	answers     map[aqtype.WorkerID]workerAdvice
	inFlight    bool
	notBefore time.Time
}

type workerAdvice struct {
	incarnation   Incarnation
	until  time.Time
	ticket string
}

// ticket returns the permission to run a group on a worker, empty when there is
// none.
func (d *Decider) ticket(g *group, w *worker) string {
	a := d.advice[g.key()]
	if a == nil {
		return ""
	}
	answer := a.answers[w.info.ID]
	if answer.incarnation != w.info.Incarnation || !d.now.Before(answer.until) {
		return ""
	}
	return answer.ticket
}

// dropTicket forgets a permission that a worker did not take.
func (d *Decider) dropTicket(g *group, id aqtype.WorkerID) {
	if a := d.advice[g.key()]; a != nil {
		delete(a.answers, id)
	}
}

// AdviceRequests returns what the advice service is to be asked now: one question for
// each waiting group that has no worker with a ticket and room.
func (d *Decider) AdviceRequests() []AdviceRequest {
	var requests []AdviceRequest
	for _, g := range d.rankedGroups() {
		if !g.occurrence.job.queue.Advised || !g.ready {
			continue
		}
		a := d.advice[g.key()]
		if a == nil {
			a = &advice{answers: map[aqtype.WorkerID]workerAdvice{}}
			d.advice[g.key()] = a
		}
		if a.inFlight || d.now.Before(a.notBefore) {
			continue
		}
		if q, ok := d.adviceRequest(g, a); ok {
			a.inFlight = true
			requests = append(requests, q)
		}
	}
	return requests
}

func (d *Decider) adviceRequest(g *group, a *advice) (AdviceRequest, bool) {
	queue := g.occurrence.job.queue
	r := AdviceRequest{
		Group:        g.key(),
		Base:         queue.AdviceBase,
		PerWorker:    queue.AdvicePerWorker,
		incarnations: map[aqtype.WorkerID]Incarnation{},
	}
	type scored struct {
		worker *worker
		score  float64
	}
	var open []scored
	for _, w := range d.fleet {
		answer, asked := a.answers[w.info.ID]
		if asked && answer.incarnation == w.info.Incarnation && d.now.Before(answer.until) {
			continue
		}
		if !d.feasible(g, w, aqtype.Resources{}) {
			continue
		}
		if score := d.score(g, w, aqtype.Resources{}); score < forbiddenScore {
			open = append(open, scored{worker: w, score: score})
		}
	}
	sort.Slice(open, func(i, k int) bool {
		if open[i].score == open[k].score {
			return open[i].worker.info.ID < open[k].worker.info.ID
		}
		return open[i].score < open[k].score
	})
	for _, o := range open[:min(len(open), maxAdviceWorkers)] {
		r.Workers = append(r.Workers, o.worker.info.ID)
		r.incarnations[o.worker.info.ID] = o.worker.info.Incarnation
	}
	return r, len(r.Workers) > 0
}

// AdviceReceived takes the answer to a question.
func (d *Decider) AdviceReceived(r AdviceRequest, answer Advice) {
	a := d.advice[r.Group]
	if a == nil {
		return
	}
	a.inFlight = false
	for _, id := range r.Workers {
		a.answers[id] = workerAdvice{
			incarnation:   r.incarnations[id],
			until:  d.now.Add(answer.Valid),
			ticket: answer.Tickets[id],
		}
	}
	d.options.Log.Write(aqlog.AdviceReceived, slog.String("Group", r.Group.String()), slog.Int("Asked", len(r.Workers)),
		slog.Int("Good", len(answer.Tickets)))
}

// AdviceFailed notes that a question got no answer.
func (d *Decider) AdviceFailed(r AdviceRequest) {
	if a := d.advice[r.Group]; a != nil {
		a.inFlight = false
		a.notBefore = d.now.Add(adviceRetryPause)
	}
}

// dropAdvice forgets what was said of a job's groups.
func (d *Decider) dropAdvice(id aqjob.ID) {
	for key := range d.advice {
		if key.Job == id {
			delete(d.advice, key)
		}
	}
}
