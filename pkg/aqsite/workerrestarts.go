package aqsite

import (
	"log/slog"
	"math"
	"time"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// workerRestarts is what a leader knows of the restarts of one worker.
type workerRestarts struct {
	// incarnation is the last one that an entry or a report has named.
	incarnation aqdecider.Incarnation
	// number counts the changes of incarnation in this term.
	number aqworker.Restarts
	// removedAt is when the worker was last removed, zero if it never was.
	removedAt time.Time
}

// restartMemory is how long a removed worker that has not restarted is remembered. It is longer than an order
// may be delayed. The others have seen a raised token and are remembered for the whole term.
const restartMemory = time.Minute

// forgetRestarts notes the removal of a worker and forgets those that were removed long ago. The caller holds the
// lock.
func (p *agentPool) forgetRestarts(removed aqtype.WorkerID) {
	now := p.leader.node.clock.Now()
	last := p.restarts[removed]
	last.removedAt = now
	p.restarts[removed] = last
	for id, r := range p.restarts {
		if p.assignments[id] == nil && r.number == 0 && now.Sub(r.removedAt) > restartMemory {
			delete(p.restarts, id)
		}
	}
}

// noteIncarnation raises the token of the calls to a worker if it has restarted, and tells its agent. The entry of another
// writer may name an incarnation that never was; the token then rises without need. It reports whether the worker has
// been known in another incarnation. The caller holds the lock.
func (p *agentPool) noteIncarnation(a *workerAssignment, incarnation aqdecider.Incarnation) (restarted bool) {
	before, known := p.restarts[a.worker.ID]
	if known && before.incarnation == incarnation {
		return false
	}
	now := workerRestarts{incarnation: incarnation, number: before.number}
	if known && before.number < math.MaxUint16 {
		now.number++
	}
	p.restarts[a.worker.ID] = now
	if now.number == before.number {
		return known
	}
	a.params.Restarts = now.number
	a.params.AckedEnd, a.params.Incarnation = 0, incarnation
	if a.member == nil {
		return known
	}
	a.params.Number++
	a.member.pending.Params = append(a.member.pending.Params, a.params)
	aqsignal.Send(a.member.wakeSend)
	p.leader.node.log.Write(aqlog.WorkerTokenRaised, slog.String("Worker", string(a.worker.ID)),
		slog.Int64("Life", int64(incarnation)), slog.Int("Restarts", int(now.number)))
	return known
}
