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
	// Leases are those of the workers of earlier leaders that have not reported in this term, of those whose lease has
	// expired, and of others that no agent reaches any more.
	Leases []knownLease
}

// knownLease tells when the lease of a worker ends. No agent renews it any more for this leader.
type knownLease struct {
	Worker aqtype.WorkerID
	// EndsIn is how long the lease lasted at most when this was written. It is not negative.
	EndsIn time.Duration
}

// handOver ends the term, after which no agent is told to renew a lease any more, and releases the leadership with a handover
// if there is anything to tell. The loops of the term have ended.
func (l *leader) handOver(ctx context.Context) error {
	l.lose(context.Canceled)
	leases := l.knownLeases()
	if len(leases) == 0 {
		return nil
	}
	told, err := aqjob.Encode(handover{Leases: leases})
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

// knownLeases returns the leases that the handover tells. The term has ended: later reports are ignored.
func (l *leader) knownLeases() []knownLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decider.SetTime(l.node.clock.Now(), l.node.wallTime())
	leases := l.decider.EarlierLeases()
	// It stands for other workers in each term.
	delete(leases, unlistedWorkers)
	l.agents.dropReported(leases)
	for id, endsIn := range l.agents.unreachableLeases() {
		if l.decider.EndsWithLease(id) {
			leases[id] = endsIn
		}
	}
	known := make([]knownLease, 0, len(leases))
	for _, id := range slices.Sorted(maps.Keys(leases)) {
		known = append(known, knownLease{
			Worker: id,
			EndsIn: leases[id],
		})
	}
	return known
}

// dropReported removes the workers that have reported to an agent in this term, since their leases last expired.
func (p *agentPool) dropReported(leases map[aqtype.WorkerID]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.reported {
		delete(leases, id)
	}
}

// unreachableLeases returns how long the leases of workers last at most that have reported in this term and that no agent
// reaches any more. It leaves out those that an agent may still renew since it does not know that it has lost the worker.
func (p *agentPool) unreachableLeases() map[aqtype.WorkerID]time.Duration {
	now := p.leader.node.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	leases := map[aqtype.WorkerID]time.Duration{}
	for id, a := range p.assignments {
		// An agent that has found the worker unresponsive does not renew before the leader knows of a later answer.
		foundSilent := len(a.tried) > 0 && !a.othersRenewedUntil.After(now)
		if foundSilent && p.reported[id] && !a.renew && !a.leaseExpiresAt.IsZero() {
			leases[id] = max(0, a.leaseExpiresAt.Sub(now))
		}
	}
	return leases
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
	h.Leases = slices.DeleteFunc(h.Leases, func(k knownLease) bool { return k.EndsIn < 0 })
	return h
}

// inheritLeases limits the wait for the workers that have not reported to this leader either. The earlier term ended before
// this one began.
func (l *leader) inheritLeases() {
	leases := make(map[aqtype.WorkerID]time.Duration, len(l.inherited.Leases))
	for _, k := range l.inherited.Leases {
		leases[k.Worker] = k.EndsIn
	}
	l.decide(func(d *aqdecider.Decider) {
		l.agents.dropReported(leases)
		began := l.node.clock.Now().Add(l.beganAt - l.node.clock.Elapsed())
		for id, endsIn := range leases {
			d.LimitWorkerWait(id, began.Add(endsIn))
		}
	})
	if len(leases) > 0 {
		l.node.log.Write(aqlog.EarlierLeasesInherited, slog.Int("Workers", len(leases)),
			slog.Duration("LeasesEndIn", slices.Max(slices.Collect(maps.Values(leases)))))
	}
}
