package aqsite

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqsignal"
	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqstore"
)

// Intervals of the checks.
const (
	// checkPeriod is how often a process checks that the configuration and the leader
	// that it knows are current. Watches may deliver nothing for seconds.
	checkPeriod = 900 * time.Millisecond
	// leaderCheckPeriod is the check period of the leader, which reports its checks to
	// its agents.
	leaderCheckPeriod = 450 * time.Millisecond
	// probeTimeout is how long the watch may take to deliver the leader's watch probe.
	probeTimeout = 400 * time.Millisecond
)

// checkLoop finds changes that the watches did not deliver.
func (n *Node) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.awaitCheck(ctx)
		if ctx.Err() == nil && n.configRevision.get() > 0 {
			n.check(ctx)
		}
	}
}

// awaitCheck returns when the next check is due: one period after the start of the
// wait or after the last check of this process or of a leader that reported it,
// whichever is later, or at once when checkNow is signalled.
func (n *Node) awaitCheck(ctx context.Context) {
	started := n.clock.Now()
	for {
		period := checkPeriod
		if n.leading() != nil {
			period = leaderCheckPeriod
		}
		due := later(started, n.checkedAt.get()).Add(period)
		wait := due.Sub(n.clock.Now())
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-n.checkNow:
			return
		case <-n.clock.After(wait):
		}
	}
}

// lastCheck returns the report of the last check for the agents.
func (n *Node) lastCheck() aqagent.CheckReport {
	return aqagent.CheckReport{Config: n.configRevision.get(), Age: n.clock.Now().Sub(n.checkedAt.get())}
}

// applyCheckReport counts a leader's check as this process's own when both know the
// same configuration. When the leader knows a newer configuration, it triggers a
// check at once.
func (n *Node) applyCheckReport(report aqagent.CheckReport) {
	switch seen := n.configRevision.get(); {
	case report.Config == seen:
		n.checkedAt.set(n.clock.Now().Add(-report.Age))
	case report.Config > seen:
		aqsignal.Send(n.checkNow)
	}
}

// check verifies the revisions of the configuration and the lead key in one
// transaction, whose conditions hold while neither has changed. A leader also writes
// the watch probe, by which it finds out whether its watches still deliver events.
func (n *Node) check(ctx context.Context) {
	lead := n.leadRevision.get()
	sent, elapsed := n.clock.Now(), n.clock.Elapsed()
	txn := aqstore.Txn{
		Conditions: []aqstore.Condition{
			{Key: n.catalog.ConfigKey, ModRevision: n.configRevision.get()},
			{Key: leadKey, ModRevision: lead},
		},
	}
	l := n.leading()
	var zones zoneCheck
	if l != nil {
		l.probe.check(l)
		txn.Puts = []aqstore.Put{{Key: probeKey, Value: []byte{}}}
		zones = l.checkZones(ctx)
		txn.Conditions = append(txn.Conditions, zones.conditions...)
	}
	revision, err := n.store.Commit(ctx, txn)
	var conflict *aqstore.ConflictError
	if !errors.As(err, &conflict) {
		n.recordStoreResult(err)
		if err != nil {
			return
		}
		n.checkedAt.set(sent)
		if l != nil && l.leadKeyRevision == lead {
			l.recordProof(elapsed)
			l.probeStored(revision, elapsed)
			l.zonesVerified(zones, elapsed)
		}
		return
	}
	n.recordStoreResult(nil)
	for _, item := range conflict.Current {
		if item.Key == n.catalog.ConfigKey && item.ModRevision > 0 {
			n.applyConfig(item)
		}
	}
	currentLead := currentRevision(conflict, leadKey)
	if l := n.leading(); l != nil && currentLead != l.leadKeyRevision {
		l.lose(errors.Errorf("lead key changed at revision %d", currentLead))
	}
	if currentLead != lead {
		aqsignal.Send(n.leadKeyChanged)
	}
	if zones.changed(conflict) {
		n.recordStoreResult(l.readEvacuations(ctx))
		aqsignal.Send(n.checkNow)
	}
}
