// Package aqspeed measures how fast workers are, by the kind of work. It answers a load on
// workers of which some are slower than others for seconds, or with some kinds of work only.
package aqspeed

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqtype"
)

// Kind is a kind of work: an image, or the id of a queue.
type Kind string

// Slowdown is how long tasks take on a worker, relative to what they usually take: 1 is usual, 2 takes
// twice as long.
type Slowdown float64

// Usual is the slowdown of a worker of which nothing is known.
const Usual Slowdown = 1

const (
	// halfLife is the time after which an observation counts half. Slowness comes and goes
	// within seconds.
	halfLife = 4 * time.Second
	// maxObserved limits one observation: a single task may take many times as long as others.
	maxObserved = 3.0
	// priorWeight is the evidence as which the usual slowdown counts for a worker, kindPriorWeight that as which the
	// worker's slowdown with all work counts for one kind: each observation is in both.
	priorWeight     = 2.0
	kindPriorWeight = 4.0
	// maxWeight limits the evidence, so that a change shows after a few observations.
	maxWeight = 6.0
	// forgottenWeight is the evidence below which an entry is dropped.
	forgottenWeight = 0.05
	// maxEntries limits the entries that are kept.
	maxEntries = 16384
)

// entry is the estimate for a worker and a kind of work.
type entry struct {
	// logSlowdown is the mean of the logarithms of the observed ones.
	logSlowdown float64
	// weight is the evidence for it at the time at, from 0 to maxWeight.
	weight float64
	at     time.Time
}

// AllWork stands for work of every kind. It is no image or queue.
const AllWork Kind = ""

// Table holds the slowdowns of the workers. It is not safe for concurrent use.
type Table struct {
	entries map[aqtype.WorkerID]map[Kind]entry
	// count is the number of entries, at most maxEntries.
	count int
	// prunedAt is when forgotten entries were dropped last.
	prunedAt time.Time
}

// New returns a table without observations.
func New() *Table { return &Table{entries: map[aqtype.WorkerID]map[Kind]entry{}} }

// Len returns the number of entries.
func (t *Table) Len() int { return t.count }

func (e entry) aged(now time.Time) entry {
	if age := now.Sub(e.at); age > 0 {
		e.weight *= math.Exp2(-float64(age) / float64(halfLife))
		e.at = now
	}
	return e
}

// Observe adds the duration of a task, or of a part of one, and what it usually takes.
func (t *Table) Observe(w aqtype.WorkerID, kind Kind, took, usual time.Duration, now time.Time) {
	if took <= 0 || usual <= 0 {
		return
	}
	observed := math.Log(float64(took) / float64(usual))
	observed = max(-math.Log(maxObserved), min(math.Log(maxObserved), observed))
	t.observe(w, AllWork, observed, now)
	if kind != AllWork {
		t.observe(w, kind, observed, now)
	}
}

func (t *Table) observe(w aqtype.WorkerID, kind Kind, observed float64, now time.Time) {
	e, known := t.entries[w][kind]
	if !known && t.count >= maxEntries {
		t.prune(now)
		if t.count >= maxEntries {
			return
		}
	}
	e = e.aged(now)
	e.logSlowdown = (e.logSlowdown*e.weight + observed) / (e.weight + 1)
	e.weight = min(maxWeight, e.weight+1)
	e.at = now
	t.set(w, kind, e)
}

func (t *Table) set(w aqtype.WorkerID, kind Kind, e entry) {
	kinds := t.entries[w]
	if kinds == nil {
		kinds = map[Kind]entry{}
		t.entries[w] = kinds
	}
	if _, known := kinds[kind]; !known {
		t.count++
	}
	kinds[kind] = e
}

// pruneInterval is the least time between two looks for forgotten entries.
const pruneInterval = time.Second

func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for w, kinds := range t.entries {
		for kind, e := range kinds {
			if e.aged(now).weight < forgottenWeight {
				delete(kinds, kind)
				t.count--
			}
		}
		if len(kinds) == 0 {
			delete(t.entries, w)
		}
	}
}

// Of returns the slowdown of a worker with a kind of work. The less is known of that kind, the nearer it is to the worker's slowdown
// with all work, and the less is known of that, the nearer this is to Usual.
func (t *Table) Of(w aqtype.WorkerID, kind Kind, now time.Time) Slowdown {
	kinds := t.entries[w]
	if len(kinds) == 0 {
		return Usual
	}
	logSlowdown := kinds[AllWork].towards(0, priorWeight, now)
	if kind != AllWork {
		logSlowdown = kinds[kind].towards(logSlowdown, kindPriorWeight, now)
	}
	return Slowdown(math.Exp(logSlowdown))
}

// towards returns the estimate, beside a prior one with a weight.
func (e entry) towards(prior, weight float64, now time.Time) float64 {
	e = e.aged(now)
	return (e.logSlowdown*e.weight + prior*weight) / (e.weight + weight)
}

// Forget drops what is known of a worker that has restarted or left.
func (t *Table) Forget(w aqtype.WorkerID) {
	t.count -= len(t.entries[w])
	delete(t.entries, w)
}

// record is an entry as it is stored.
type record struct {
	Worker      aqtype.WorkerID
	Kind        Kind
	LogSlowdown float64
	Weight      float64
}

// maxRecords limits the stored entries.
const maxRecords = 512

// Encode returns the entries with the most evidence for the next leader.
func (t *Table) Encode(now time.Time) ([]byte, error) {
	records := make([]record, 0, t.count)
	for w, kinds := range t.entries {
		for kind, e := range kinds {
			if e = e.aged(now); e.weight >= forgottenWeight {
				records = append(records, record{
					Worker:      w,
					Kind:        kind,
					LogSlowdown: e.logSlowdown,
					Weight:      e.weight,
				})
			}
		}
	}
	slices.SortFunc(records, func(a, b record) int {
		switch {
		case a.Weight != b.Weight && a.Weight > b.Weight:
			return -1
		case a.Weight != b.Weight:
			return 1
		}
		if order := strings.Compare(string(a.Worker), string(b.Worker)); order != 0 {
			return order
		}
		return strings.Compare(string(a.Kind), string(b.Kind))
	})
	stored, err := msgpack.Marshal(records[:min(len(records), maxRecords)])
	return stored, errors.WithMessage(err, "encode the slowdowns of workers")
}

// Decode returns the table that Encode has stored, aged by the time since. Entries out of bounds are
// left out.
func Decode(stored []byte, age time.Duration, now time.Time) (*Table, error) {
	var records []record
	if err := msgpack.Unmarshal(stored, &records); err != nil {
		return nil, errors.WithMessage(err, "decode the slowdowns of workers")
	}
	t := New()
	for _, r := range records[:min(len(records), maxRecords)] {
		if !(math.Abs(r.LogSlowdown) <= math.Log(maxObserved)) || !(r.Weight > 0 && r.Weight <= maxWeight) {
			continue
		}
		e := entry{
			logSlowdown: r.LogSlowdown,
			weight:      r.Weight,
			at:          now.Add(-max(0, age)),
		}
		t.set(r.Worker, r.Kind, e.aged(now))
	}
	return t, nil
}
