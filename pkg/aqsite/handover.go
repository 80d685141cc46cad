package aqsite

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// handover is what a leader that ends its term as planned tells the next one. Its last write puts it into the term key and
// deletes the lead key, and the next claim of the leadership takes it away, so that it never describes an earlier term.
type handover struct {
	// Unreported are workers of which no agent has renewed a lease in this term.
	Unreported []unreportedWorker
}

// unreportedWorker is a worker of earlier leaders that has not reported in this term.
type unreportedWorker struct {
	Worker aqtype.WorkerID
	// LeasesEndIn is how long the leases of earlier leaders lasted at most when this was written. It is not negative.
	LeasesEndIn time.Duration
}

// handOver ends the term, after which no agent is told to renew a lease any more, and releases the leadership with a handover
// if there is anything to tell. The loops of the term have ended.
func (l *leader) handOver(ctx context.Context) error {
	l.lose(context.Canceled)
	unreported := l.unreportedWorkers()
	if len(unreported) == 0 {
		return nil
	}
	told, err := aqjob.Encode(handover{Unreported: unreported})
	if err != nil {
		return err
	}
	value, err := aqjob.Encode(termRecord{
		Term:     l.record.Term,
		Handover: told,
	})
	if err != nil {
		return err
	}
	_, err = l.node.store.Commit(ctx, aqstore.Txn{
		Conditions: []aqstore.Condition{{Key: leadKey, ModRevision: l.leadKeyRevision}},
		Puts:       []aqstore.Put{{Key: termKey, Value: value}},
		Deletes:    []string{leadKey},
	})
	return err
}

// unreportedWorkers returns the workers of earlier leaders that have not reported to an agent in this term. The term has ended:
// later reports are ignored.
func (l *leader) unreportedWorkers() []unreportedWorker {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decider.SetTime(l.node.clock.Now(), l.node.wallTime())
	leases := l.decider.UnreportedLeases()
	// It stands for other workers in each term.
	delete(leases, unlistedWorkers)
	l.agents.dropReported(leases)
	unreported := make([]unreportedWorker, 0, len(leases))
	for _, id := range slices.Sorted(maps.Keys(leases)) {
		unreported = append(unreported, unreportedWorker{
			Worker:      id,
			LeasesEndIn: leases[id],
		})
	}
	return unreported
}

// dropReported removes the workers that have reported to an agent in this term.
func (p *agentPool) dropReported(leases map[aqtype.WorkerID]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.reported {
		delete(leases, id)
	}
}

// decodeHandover decodes what the earlier leader has told, nothing if it cannot be decoded.
func (n *Node) decodeHandover(told []byte) handover {
	if len(told) == 0 {
		return handover{}
	}
	var h handover
	if err := decode(told, &h); err != nil {
		n.ignoreEntry(termKey, err)
		return handover{}
	}
	h.Unreported = slices.DeleteFunc(h.Unreported, func(w unreportedWorker) bool { return w.LeasesEndIn < 0 })
	return h
}

// inheritLeases limits the wait for the workers that had not reported to the earlier leader either. Its term ended before this
// one began.
func (l *leader) inheritLeases() {
	leases := make(map[aqtype.WorkerID]time.Duration, len(l.inherited.Unreported))
	for _, w := range l.inherited.Unreported {
		leases[w.Worker] = w.LeasesEndIn
	}
	l.decide(func(d *aqdecider.Decider) {
		l.agents.dropReported(leases)
		began := l.node.clock.Now().Add(l.beganAt - l.node.clock.Elapsed())
		for id, endIn := range leases {
			d.LimitWorkerWait(id, began.Add(endIn))
		}
	})
	if len(leases) > 0 {
		l.node.log.Write(aqlog.EarlierLeasesInherited, slog.Int("Workers", len(leases)),
			slog.Duration("LeasesEndIn", slices.Max(slices.Collect(maps.Values(leases)))))
	}
}
