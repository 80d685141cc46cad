// Package aqpayload fetches and keeps the payloads with which an agent starts tasks.
package aqpayload

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqguard"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// Source fetches payloads.
type Source interface {
	// Payload returns the payload of a job. from is the address of the process that
	// accepted the job, empty if it is not known.
	Payload(ctx context.Context, job aqjob.ID, from string) (string, error)
}

// How long a payload is kept that starts nothing, and how often such payloads are dropped.
const (
	idleTime    = 20 * time.Second
	sweepPeriod = 5 * time.Second
)

// Limits of the fetches. After a takeover an agent needs the payloads of all open jobs at
// once; fetched all at the same time over a slow link, each would run into its timeout.
const (
	// timeout limits one try.
	timeout = 2 * time.Second
	// Tries and retryPause limit the tries before the starts that wait for
	// the payload are given up.
	Tries      = 3
	retryPause = 200 * time.Millisecond
	// maxFetches limits the concurrent fetches; others wait for their turn.
	maxFetches = 4
)

// Cache holds what the tasks of jobs are started with. The leader's orders name
// only the job, so that a payload does not cross the leader's link once for each task or
// agent. Concurrent starts of one job fetch its payload once.
type Cache struct {
	source Source
	clock  aqclock.Clock
	log    *aqlog.Logger
	guard  aqguard.Guard
	// turns holds one entry for each fetch under way.
	turns chan struct{}

	mu      sync.Mutex
	entries map[aqjob.ID]*entry
	sweptAt time.Time
}

type entry struct {
	// fetching is set during a fetch. Otherwise payload and err are its outcome.
	fetching bool
	payload  string
	err      error
	usedAt   time.Time
	// waiting holds functions to call after a fetch, by session.
	waiting map[aqtype.WorkerID]func()
}

// New returns an empty cache.
func New(source Source, clock aqclock.Clock, log *aqlog.Logger, guard aqguard.Guard) *Cache {
	return &Cache{
		source:  source,
		clock:   clock,
		log:     log,
		guard:   guard,
		turns:   make(chan struct{}, maxFetches),
		entries: map[aqjob.ID]*entry{},
	}
}

// Prepare makes the payload of a job available in the background, and calls ready
// afterwards. It returns true when the payload is available already. A failed fetch is
// tried again.
func (c *Cache) Prepare(worker aqtype.WorkerID, job aqjob.ID, from string, ready func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.sweep(now)
	e := c.entries[job]
	if e == nil {
		e = &entry{err: errNotFetched}
		c.entries[job] = e
	}
	e.usedAt = now
	if !e.fetching && e.err == nil {
		return true
	}
	if e.waiting == nil {
		e.waiting = map[aqtype.WorkerID]func(){}
	}
	e.waiting[worker] = ready
	if !e.fetching {
		e.fetching = true
		go c.fetch(job, from, e)
	}
	return false
}

// errNotFetched is the state of an entry before its first fetch, and after one that
// panicked.
var errNotFetched = errors.New("payload: not fetched")

func (c *Cache) fetch(job aqjob.ID, from string, e *entry) {
	c.turns <- struct{}{}
	payload, err := c.fetchOnce(job, from)
	for try := 1; err != nil && try < Tries; try++ {
		aqclock.Sleep(context.Background(), c.clock, retryPause)
		payload, err = c.fetchOnce(job, from)
	}
	<-c.turns
	if err != nil {
		c.log.Write(aqlog.PayloadMissing, slog.String("Job", string(job)), slog.String("From", from), aqlog.Err(err))
	}
	c.mu.Lock()
	e.fetching = false
	e.payload, e.err = payload, err
	waiting := slices.Collect(maps.Values(e.waiting))
	if err == nil {
		e.waiting = nil
	}
	c.mu.Unlock()
	for _, ready := range waiting {
		ready()
	}
}

func (c *Cache) fetchOnce(job aqjob.ID, from string) (payload string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = errNotFetched
	_ = c.guard.Run("payload fetch", func() { payload, err = c.source.Payload(ctx, job, from) })
	return payload, err
}

// Get returns the payload of a job, or the error of the last fetch. It returns false while
// a fetch is under way.
func (c *Cache) Get(job aqjob.ID) (payload string, fetched bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[job]
	if e == nil {
		return "", true, errNotFetched
	}
	e.usedAt = c.clock.Now()
	return e.payload, !e.fetching, e.err
}

// sweep drops the payloads that have not been used for long. The caller holds the lock.
func (c *Cache) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepPeriod {
		return
	}
	c.sweptAt = now
	for job, e := range c.entries {
		if !e.fetching && now.Sub(e.usedAt) > idleTime {
			delete(c.entries, job)
		}
	}
}
