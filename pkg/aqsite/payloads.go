package aqsite

import (
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// How long an agent keeps the payload of a job that starts nothing, and how often the
// leader looks for such payloads.
const (
	payloadIdleTime    = 20 * time.Second
	payloadSweepPeriod = 5 * time.Second
)

// payloadLedger records which payloads one agent has, so that each crosses the network
// once for a job and not once for each of its tasks.
type payloadLedger struct {
	usedAt  map[aqjob.ID]time.Time
	sweptAt time.Time
}

// add adds to a call what a start needs besides the order itself.
func (p *payloadLedger) add(call *aqagent.OrdersCall, start aqdecider.Start, now time.Time) {
	id := start.Run.Task.Job
	if p.usedAt == nil {
		p.usedAt = map[aqjob.ID]time.Time{}
	}
	if _, sent := p.usedAt[id]; !sent {
		call.Payloads = append(call.Payloads, aqagent.JobPayload{Job: id, Payload: start.Payload})
	}
	p.usedAt[id] = now
	p.sweep(call, now)
}

// sweep makes the agent forget the payloads that have not been used for long.
func (p *payloadLedger) sweep(call *aqagent.OrdersCall, now time.Time) {
	if now.Sub(p.sweptAt) < payloadSweepPeriod {
		return
	}
	p.sweptAt = now
	for id, used := range p.usedAt {
		if now.Sub(used) > payloadIdleTime {
			delete(p.usedAt, id)
			call.Forget = append(call.Forget, id)
		}
	}
}

// missing records that the agent may not have a payload, so that the next start brings it.
func (p *payloadLedger) missing(id aqjob.ID) { delete(p.usedAt, id) }

// reset records that nothing is known of the agent's payloads.
func (p *payloadLedger) reset() { p.usedAt = nil }
