package aqsite

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqstore"
)

// checkPeriod is how often a process asks whether the configuration and the
// leader are those that it knows. Watches may hear nothing for seconds.
const checkPeriod = 900 * time.Millisecond

// known is the last state of a key that this process has seen.
type known struct {
	mu       sync.Mutex
	revision aqstore.Revision
}

func (k *known) set(revision aqstore.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, revision)
}

func (k *known) get() aqstore.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// leadRevision is the last revision of the lead key that this process has seen.
// It goes back to zero when the key is removed.
type leadRevision struct {
	mu       sync.Mutex
	revision aqstore.Revision
}

func (l *leadRevision) set(revision aqstore.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
}

func (l *leadRevision) get() aqstore.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// checkLoop finds changes that the watches did not tell.
func (n *Node) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		aqclock.Sleep(ctx, n.clock, checkPeriod)
		if ctx.Err() != nil || n.configSeen.get() == 0 {
			continue
		}
		n.check(ctx)
	}
}

// check asks for both keys in one call, whose conditions hold while nothing has
// changed.
func (n *Node) check(ctx context.Context) {
	lead := n.leadSeen.get()
	sent := n.clock.Now()
	_, err := n.store.Commit(ctx, aqstore.Txn{
		If: []aqstore.Condition{
			{Key: n.catalog.ConfigKey, Changed: n.configSeen.get()},
			{Key: leadKey, Changed: lead},
		},
	})
	var conflict *aqstore.ConflictError
	if !errors.As(err, &conflict) {
		n.storeAnswered(err)
		if l := n.leading(); l != nil && err == nil && l.leadChanged == lead {
			l.proved(sent)
		}
		return
	}
	n.storeAnswered(nil)
	for _, item := range conflict.Current {
		if item.Key == n.catalog.ConfigKey && item.Changed > 0 {
			n.takeConfig(item)
		}
	}
	changed := currentOf(conflict, leadKey)
	if l := n.leading(); l != nil && changed != l.leadChanged {
		l.lose(errors.Errorf("lead key changed at revision %d", changed))
	}
	if changed != lead {
		signal(n.leadMoved)
	}
}
