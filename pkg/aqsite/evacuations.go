package aqsite

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// evacuations guards a leader's knowledge of evacuated zones, which its checks renew.
type evacuations struct {
	mu        sync.Mutex
	knowledge aqevacuation.Knowledge
}

// tellMargin is added to the time for which an agent holds a poll: the time until the agents know what the leader knows.
const tellMargin = 150 * time.Millisecond

func newEvacuations(bound time.Duration) evacuations {
	return evacuations{knowledge: aqevacuation.New(aqevacuation.Times{
		Bound: bound,
		Call:  aqagent.OrderTimeout,
		Tell:  aqagent.PollWait + tellMargin,
	})}
}

// maxCheckedZones limits the conditions of a check, which has others as well. With more zones the leader reads
// the evacuations instead.
const maxCheckedZones = aqstore.MaxTxnEntries - 8

// zoneCheck is what a check verifies of the evacuations.
type zoneCheck struct {
	states     []aqevacuation.ZoneState
	conditions []aqstore.Condition
}

// changed reports whether a check has failed because a zone has been evacuated or taken back.
func (c zoneCheck) changed(conflict *aqstore.ConflictError) bool {
	return slices.ContainsFunc(c.conditions, func(condition aqstore.Condition) bool {
		return currentRevision(conflict, condition.Key) != condition.ModRevision
	})
}

// checkZones returns what the next check verifies. It reads the evacuations if there are too many zones for a check.
func (l *leader) checkZones(ctx context.Context) zoneCheck {
	if !l.node.evacuates() {
		return zoneCheck{}
	}
	var zones []aqtype.Zone
	l.decide(func(d *aqdecider.Decider) { zones = d.ReportedZones() })
	l.evacuations.mu.Lock()
	watched := l.evacuations.knowledge.Watched(zones)
	l.evacuations.mu.Unlock()
	if len(watched) > maxCheckedZones {
		l.node.recordStoreResult(l.readEvacuations(ctx))
		return zoneCheck{}
	}
	var check zoneCheck
	for _, state := range watched {
		key := l.node.catalog.EvacuationKey(state.Zone)
		if key == "" {
			continue
		}
		check.states = append(check.states, state)
		check.conditions = append(check.conditions, aqstore.Condition{
			Key:         key,
			ModRevision: state.Revision,
		})
	}
	return check
}

// zonesVerified records a check that was sent at an elapsed time and has not failed.
func (l *leader) zonesVerified(check zoneCheck, at time.Duration) {
	l.evacuations.mu.Lock()
	defer l.evacuations.mu.Unlock()
	l.evacuations.knowledge.Verify(check.states, at)
}

// readEvacuations reads which zones are evacuated.
func (l *leader) readEvacuations(ctx context.Context) error {
	if !l.node.evacuates() {
		return nil
	}
	at := l.node.clock.Elapsed()
	prefix := l.node.catalog.EvacuationPrefix
	items, _, err := l.node.store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	evacuated := map[aqtype.Zone]aqstore.Revision{}
	names := []string{}
	for _, item := range items {
		zone := strings.TrimPrefix(item.Key, prefix)
		evacuated[aqtype.Zone(zone)] = item.ModRevision
		names = append(names, zone)
	}
	var zones []aqtype.Zone
	l.decide(func(d *aqdecider.Decider) { zones = d.Zones() })
	l.evacuations.mu.Lock()
	l.evacuations.knowledge.Read(evacuated, zones, at)
	l.evacuations.mu.Unlock()
	l.node.log.Write(aqlog.EvacuationsRead, slog.String("Zones", strings.Join(names, ",")))
	return nil
}

// evacuates reports whether operators may evacuate zones.
func (n *Node) evacuates() bool { return n.settings.EvacuateWithin > 0 }

// zoneConditions returns the present conditions of the zones for the decider.
func (l *leader) zoneConditions() map[aqtype.Zone]aqevacuation.Condition {
	l.evacuations.mu.Lock()
	defer l.evacuations.mu.Unlock()
	return l.evacuations.knowledge.Conditions(l.node.clock.Elapsed())
}

// evacuationReport returns what the agents get with a poll.
func (l *leader) evacuationReport() *aqevacuation.Report {
	l.evacuations.mu.Lock()
	defer l.evacuations.mu.Unlock()
	return l.evacuations.knowledge.Report(l.node.clock.Elapsed())
}
