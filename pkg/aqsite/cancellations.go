package aqsite

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/internal/site/aqcancel"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

// cancelReadPeriod is the shortest pause before the leader looks again whether it should read the cancellations.
const cancelReadPeriod = 100 * time.Millisecond

// cancelReadTimeout limits one read: it may meet a connection that has fallen silent, and the next one has to end before
// starts are held.
const cancelReadTimeout = 600 * time.Millisecond

// cancelSource is how a leader has learned of a cancellation, as it appears in the log.
type cancelSource string

const (
	byWatch        cancelSource = "Watch"
	byNotification cancelSource = "Notification"
	byProof        cancelSource = "Proof"
	byRead         cancelSource = "Read"
)

// cancellations guards what a leader knows of the stored cancellations.
type cancellations struct {
	mu        sync.Mutex
	knowledge aqcancel.Knowledge
	// held is set while nothing may be started.
	held bool
}

func newCancellations(bound time.Duration) cancellations {
	return cancellations{knowledge: aqcancel.New(aqcancel.Times{
		Bound: bound,
		Call:  aqagent.OrderTimeout,
	})}
}

// update calls change with the knowledge.
func (c *cancellations) update(change func(*aqcancel.Knowledge)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.knowledge)
}

// startLimit is the elapsed time until which starts may be sent. The zero value does not limit them.
type startLimit struct {
	limited bool
	until   time.Duration
}

// startLimit returns the limit of starts that are decided now.
func (c *cancellations) startLimit() startLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, limited := c.knowledge.StartsUntil()
	return startLimit{
		limited: limited,
		until:   until,
	}
}

// limited reports whether starts are limited at all.
func (c *cancellations) limited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knowledge.Limited()
}

// cancel applies a stored cancellation.
func (l *leader) cancel(d *aqdecider.Decider, id aqjob.ID, by cancelSource) {
	if d.Cancel(id) {
		l.node.log.Write(aqlog.CancelLearned, slog.String("Job", string(id)), slog.String("By", string(by)))
	}
}

// holdStarts makes the decider start nothing while cancellations may have been stored for too long that the leader does not
// know of.
func (l *leader) holdStarts(d *aqdecider.Decider) {
	now := l.node.clock.Elapsed()
	l.cancellations.mu.Lock()
	held := !l.cancellations.knowledge.MayStart(now)
	changed := held != l.cancellations.held
	l.cancellations.held = held
	age := l.cancellations.knowledge.Age(now)
	l.cancellations.mu.Unlock()
	if changed {
		l.node.log.Write(aqlog.StartsHeld, slog.Bool("Held", held), slog.Duration("Age", age))
	}
	d.HoldStarts(held)
}

// watchDelivered records that the watch has delivered all changes up to a revision.
func (l *leader) watchDelivered(revision aqstore.Revision) {
	l.probe.observe(revision)
	l.cancellations.update(func(k *aqcancel.Knowledge) { k.Delivered(revision) })
}

// probeStored records a probe that was sent at an elapsed time.
func (l *leader) probeStored(revision aqstore.Revision, sentAt time.Duration) {
	l.probe.written(revision, l.node.clock.Now())
	l.cancellations.update(func(k *aqcancel.Knowledge) { k.ProbeStored(revision, sentAt) })
}

// cancellationsLoop reads the cancellations while the watch is behind.
func (l *leader) cancellationsLoop(ctx context.Context) {
	if !l.cancellations.limited() {
		return
	}
	for ctx.Err() == nil {
		var wait time.Duration
		l.cancellations.update(func(k *aqcancel.Knowledge) { wait = k.ReadDueIn(l.node.clock.Elapsed()) })
		if wait > 0 {
			aqclock.Sleep(ctx, l.node.clock, max(wait, cancelReadPeriod))
			continue
		}
		if err := l.readCancellations(ctx); err != nil {
			aqclock.Sleep(ctx, l.node.clock, retryPause)
		}
	}
}

// readCancellations reads all stored cancellations.
func (l *leader) readCancellations(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, cancelReadTimeout)
	defer cancel()
	sentAt := l.node.clock.Elapsed()
	items, _, err := l.node.store.Range(bounded, cancelPrefix)
	if bounded.Err() == nil {
		// A read that was given up early says nothing about the store.
		l.node.recordStoreResult(err)
	}
	if err != nil {
		return err
	}
	l.decide(func(d *aqdecider.Decider) {
		for _, item := range items {
			if id, ok := jobIDFromKey(cancelPrefix, item.Key); ok {
				l.cancel(d, id, byRead)
			}
		}
	})
	l.cancellations.update(func(k *aqcancel.Knowledge) { k.Read(sentAt) })
	return nil
}
