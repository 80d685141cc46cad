package aqagent

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

// PayloadSource fetches payloads.
type PayloadSource interface {
	// Payload returns the payload of a job. from is the address of the process that
	// accepted the job, empty if it is not known.
	Payload(ctx context.Context, job aqjob.ID, from string) (string, error)
}

// How long a payload is kept that starts nothing, and how often such payloads are dropped.
const (
	payloadIdleTime    = 20 * time.Second
	payloadSweepPeriod = 5 * time.Second
)

// Limits of the fetches. After a takeover an agent needs the payloads of all open jobs at
// once; fetched all at the same time over a slow link, each would run into its timeout.
const (
	// payloadTimeout limits one try.
	payloadTimeout = 2 * time.Second
	// payloadTries and payloadRetryPause limit the tries before the starts that wait for
	// the payload are given up.
	payloadTries      = 3
	payloadRetryPause = 200 * time.Millisecond
	// maxPayloadFetches limits the concurrent fetches; others wait for their turn.
	maxPayloadFetches = 4
)

// payloadCache holds what the tasks of jobs are started with. The leader's orders name
// only the job, so that a payload does not cross the leader's link once for each task or
// agent. Concurrent starts of one job fetch its payload once.
type payloadCache struct {
	source PayloadSource
	clock  aqclock.Clock
	log    *aqlog.Logger
	guard  aqguard.Guard
	// turns holds one entry for each fetch under way.
	turns chan struct{}

	mu      sync.Mutex
	entries map[aqjob.ID]*payloadEntry
	sweptAt time.Time
}

type payloadEntry struct {
	// fetching is set during a fetch. Otherwise payload and err are its outcome.
	fetching bool
	payload  string
	err      error
	usedAt   time.Time
	// waiting holds functions to call after a fetch, by session.
	waiting map[aqtype.WorkerID]func()
}

func newPayloadCache(source PayloadSource, clock aqclock.Clock, log *aqlog.Logger, guard aqguard.Guard) *payloadCache {
	return &payloadCache{
		source:  source,
		clock:   clock,
		log:     log,
		guard:   guard,
		turns:   make(chan struct{}, maxPayloadFetches),
		entries: map[aqjob.ID]*payloadEntry{},
	}
}

// prepare makes the payload of a job available in the background, and calls ready
// afterwards. It returns true when the payload is available already. A failed fetch is
// tried again.
func (c *payloadCache) prepare(worker aqtype.WorkerID, job aqjob.ID, from string, ready func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.sweep(now)
	entry := c.entries[job]
	if entry == nil {
		entry = &payloadEntry{err: errPayloadNotFetched}
		c.entries[job] = entry
	}
	entry.usedAt = now
	if !entry.fetching && entry.err == nil {
		return true
	}
	if entry.waiting == nil {
		entry.waiting = map[aqtype.WorkerID]func(){}
	}
	entry.waiting[worker] = ready
	if !entry.fetching {
		entry.fetching = true
		go c.fetch(job, from, entry)
	}
	return false
}

// errPayloadNotFetched is the state of an entry before its first fetch, and after one that
// panicked.
var errPayloadNotFetched = errors.New("agent: payload not fetched")

func (c *payloadCache) fetch(job aqjob.ID, from string, entry *payloadEntry) {
	c.turns <- struct{}{}
	payload, err := c.fetchOnce(job, from)
	for try := 1; err != nil && try < payloadTries; try++ {
		aqclock.Sleep(context.Background(), c.clock, payloadRetryPause)
		payload, err = c.fetchOnce(job, from)
	}
	<-c.turns
	if err != nil {
		c.log.Write(aqlog.PayloadMissing, slog.String("Job", string(job)), slog.String("From", from), aqlog.Err(err))
	}
	c.mu.Lock()
	entry.fetching = false
	entry.payload, entry.err = payload, err
	waiting := slices.Collect(maps.Values(entry.waiting))
	if err == nil {
		entry.waiting = nil
	}
	c.mu.Unlock()
	for _, ready := range waiting {
		ready()
	}
}

func (c *payloadCache) fetchOnce(job aqjob.ID, from string) (payload string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), payloadTimeout)
	defer cancel()
	err = errPayloadNotFetched
	_ = c.guard.Run("payload fetch", func() { payload, err = c.source.Payload(ctx, job, from) })
	return payload, err
}

// get returns the payload of a job, or the error of the last fetch. It returns false while
// a fetch is under way.
func (c *payloadCache) get(job aqjob.ID) (payload string, fetched bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.entries[job]
	if entry == nil {
		return "", true, errPayloadNotFetched
	}
	entry.usedAt = c.clock.Now()
	return entry.payload, !entry.fetching, entry.err
}

// sweep drops the payloads that have not been used for long. The caller holds the lock.
func (c *payloadCache) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < payloadSweepPeriod {
		return
	}
	c.sweptAt = now
	for job, entry := range c.entries {
		if !entry.fetching && now.Sub(entry.usedAt) > payloadIdleTime {
			delete(c.entries, job)
		}
	}
}
