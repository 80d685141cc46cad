package aqsite

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqstore"
)

// Timing of the checks.
const (
	// checkPeriod is how often a process asks whether the configuration and the
	// leader are those that it knows. Watches may hear nothing for seconds.
	checkPeriod = 900 * time.Millisecond
	// leaderCheckPeriod is the same for the leader, which tells its agents.
	leaderCheckPeriod = 450 * time.Millisecond
	// probeTimeout is how long a watch may take to tell of the leader's beat.
	probeTimeout = 400 * time.Millisecond
)

// checkLoop finds changes that the watches did not tell.
func (n *Node) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.awaitCheck(ctx)
		if ctx.Err() == nil && n.configRevision.get() > 0 {
			n.check(ctx)
		}
	}
}

// awaitCheck returns when the next check is due: a period after the last one,
// this process's or one that a leader has told of.
func (n *Node) awaitCheck(ctx context.Context) {
	begun := n.clock.Now()
	for {
		period := checkPeriod
		if n.leading() != nil {
			period = leaderCheckPeriod
		}
		due := later(begun, n.checkedAt.get()).Add(period)
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

// checkReport is what a leader tells of its last check.
type checkReport struct {
	// Config is the revision of the configuration that was found in force.
	Config aqstore.Revision
	// Age is the time since the check.
	Age time.Duration
}

// lastCheck returns what a leader tells its agents of its last check.
func (n *Node) lastCheck() checkReport {
	return checkReport{Config: n.configRevision.get(), Age: n.clock.Now().Sub(n.checkedAt.get())}
}

// applyCheckReport takes a leader's word for a check, or looks for the configuration
// that it knows and this process does not.
func (n *Node) applyCheckReport(word checkReport) {
	switch seen := n.configRevision.get(); {
	case word.Config == seen:
		n.checkedAt.set(n.clock.Now().Add(-word.Age))
	case word.Config > seen:
		signal(n.checkNow)
	}
}

// check asks for both keys in one call, whose conditions hold while nothing has
// changed. A leader's check leaves a beat, by which it finds out whether its
// watches hear anything.
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
	if l != nil {
		l.probe.check(l)
		txn.Puts = []aqstore.Put{{Key: probeKey, Value: []byte{}}}
	}
	changed, err := n.store.Commit(ctx, txn)
	var conflict *aqstore.ConflictError
	if !errors.As(err, &conflict) {
		n.recordStoreResult(err)
		if err != nil {
			return
		}
		n.checkedAt.set(sent)
		if l != nil && l.leadKeyRevision == lead {
			l.recordProof(elapsed)
			l.probe.written(changed, n.clock.Now())
		}
		return
	}
	n.recordStoreResult(nil)
	for _, item := range conflict.Current {
		if item.Key == n.catalog.ConfigKey && item.ModRevision > 0 {
			n.applyConfig(item)
		}
	}
	now := currentRevision(conflict, leadKey)
	if l := n.leading(); l != nil && now != l.leadKeyRevision {
		l.lose(errors.Errorf("lead key changed at revision %d", now))
	}
	if now != lead {
		signal(n.leadKeyChanged)
	}
}
