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

// GroupID identifies one group of one occurrence of a job.
type GroupID struct {
	Job        aqjob.ID
	Occurrence aqjob.Occurrence
	Group      int
}

// String formats the id as job.occurrence.group.
func (g GroupID) String() string { return fmt.Sprintf("%s.%d.%d", g.Job, g.Occurrence, g.Group) }

// AdviceRequest asks the advice service which of the given workers may run a group.
type AdviceRequest struct {
	Group   GroupID
	Workers []aqtype.WorkerID
	// Base and PerWorker are how long the service takes to answer: a fixed part,
	// and a part for each worker.
	Base         time.Duration
	PerWorker    time.Duration
	incarnations map[aqtype.WorkerID]Incarnation
}

// Advice is the answer to a request: a ticket for each worker that may run the
// group.
type Advice struct {
	Tickets map[aqtype.WorkerID]string
	// Valid is how long the tickets are valid.
	Valid time.Duration
}

// maxAdviceWorkers limits the workers of one request. The service answers one
// request at a time and takes longer for each worker.
const maxAdviceWorkers = 30

// adviceRetryPause is the pause after a request without an answer.
const adviceRetryPause = 300 * time.Millisecond

// advice holds the answers of the advice service for a group.
type advice struct {
	// answers holds the answer for each worker that a request has named.
	answers   map[aqtype.WorkerID]workerAdvice
	inFlight  bool
	notBefore time.Time
}

// workerAdvice is the answer for one worker. It is valid until a time and for the
// incarnation that the request was made for.
type workerAdvice struct {
	incarnation Incarnation
	until       time.Time
	// ticket is empty if the group may not run on the worker.
	ticket string
}

// ticket returns the valid ticket for a group on a worker, empty if there is none.
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

// dropTicket discards a ticket that the worker rejected.
func (d *Decider) dropTicket(g *group, id aqtype.WorkerID) {
	if a := d.advice[g.key()]; a != nil {
		delete(a.answers, id)
	}
}

// AdviceRequests returns the requests to send now: one for each waiting group of an
// advised queue for which feasible workers without a valid answer exist. A group
// has one request in flight at a time and pauses after a failed one.
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
	var unanswered []scored
	for _, w := range d.fleet {
		answer, asked := a.answers[w.info.ID]
		if asked && answer.incarnation == w.info.Incarnation && d.now.Before(answer.until) {
			continue
		}
		if !d.feasible(g, w, aqtype.Resources{}) {
			continue
		}
		score := d.score(g, w, aqtype.Resources{})
		if score < forbiddenScore || (d.overdue(g) && w.currentLoad().leftover > 0) {
			unanswered = append(unanswered, scored{worker: w, score: score})
		}
	}
	sort.Slice(unanswered, func(i, k int) bool {
		if unanswered[i].score == unanswered[k].score {
			return unanswered[i].worker.info.ID < unanswered[k].worker.info.ID
		}
		return unanswered[i].score < unanswered[k].score
	})
	for _, o := range unanswered[:min(len(unanswered), maxAdviceWorkers)] {
		r.Workers = append(r.Workers, o.worker.info.ID)
		r.incarnations[o.worker.info.ID] = o.worker.info.Incarnation
	}
	return r, len(r.Workers) > 0
}

// AdviceReceived records the answer to a request.
func (d *Decider) AdviceReceived(r AdviceRequest, answer Advice) {
	a := d.advice[r.Group]
	if a == nil {
		return
	}
	a.inFlight = false
	for _, id := range r.Workers {
		a.answers[id] = workerAdvice{
			incarnation: r.incarnations[id],
			until:       d.now.Add(answer.Valid),
			ticket:      answer.Tickets[id],
		}
	}
	d.options.Log.Write(aqlog.AdviceReceived, slog.String("Group", r.Group.String()), slog.Int("Asked", len(r.Workers)),
		slog.Int("Good", len(answer.Tickets)))
}

// AdviceFailed records that a request got no answer.
func (d *Decider) AdviceFailed(r AdviceRequest) {
	if a := d.advice[r.Group]; a != nil {
		a.inFlight = false
		a.notBefore = d.now.Add(adviceRetryPause)
	}
}

// dropAdvice discards the answers for a job's groups.
func (d *Decider) dropAdvice(id aqjob.ID) {
	for key := range d.advice {
		if key.Job == id {
			delete(d.advice, key)
		}
	}
}
