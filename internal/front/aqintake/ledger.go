package aqintake

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"acaciaquay/pkg/aqclock"
)

// phase is what a connection does.
type phase int

const (
	// phaseIdle is before the first byte of a head.
	phaseIdle phase = iota
	// phaseReading is from then until the request is complete.
	phaseReading
	// phaseWorking is from then until the answer is written. Connections at work are
	// never closed to make room. A request that is passed on while it arrives is at work
	// whenever nobody waits for its client.
	phaseWorking
)

const (
	// smallHold is the memory up to which a request may use the last quarter of the
	// budget.
	smallHold = 64 * KiB
	// slownessStep is the resolution at which the slowness of clients is compared.
	slownessStep = 250 * time.Millisecond
	// minSlowness is how slow a connection must be to be closed in favour of a new one.
	minSlowness = 4 * slownessStep
	// evictionWait limits the wait for memory of evicted connections.
	evictionWait = time.Second
)

// entry is what the ledger knows of a connection. Its ledger's lock guards it.
type entry struct {
	port    *portEntry
	address netip.Addr
	phase   phase
	// held is the memory reserved for the connection. It is zero in phaseIdle.
	held Bytes
	// since is when the connection or its current request began, advanced when it last
	// made progress.
	since    time.Time
	advanced time.Time
	// served is whether the connection has had a request.
	served bool
	// evicted is why the connection has to close, refusalNone if it has not. It is never
	// reset, and never set in phaseWorking.
	evicted refusal
	// closed is set when the connection has been removed. It then holds nothing for good.
	closed bool
	// interrupt ends a read that is in progress. It must not block.
	interrupt func()
}

// portEntry describes a port and counts its connections.
type portEntry struct {
	limit      int
	perAddress int
	open       int
	// leaving counts the evicted ones among open.
	leaving int
	from    map[netip.Addr]int
	// full and tooLarge are the answers to requests that net/http has not read.
	full     string
	tooLarge string
}

// ledger holds the reservations and connections of a process.
type ledger struct {
	clock aqclock.Clock

	mu     sync.Mutex
	budget Bytes
	// used is the sum of held over all entries. It is at most budget.
	used Bytes
	// leaving is the part of used that evicted entries hold.
	leaving Bytes
	entries map[*entry]struct{}
	// changed is closed and replaced when memory is released or a connection is evicted while
	// somebody waits for memory.
	changed chan struct{}
	waiters int
}

func newLedger(budget Bytes, clock aqclock.Clock) *ledger {
	return &ledger{
		clock:   clock,
		budget:  budget,
		entries: map[*entry]struct{}{},
		changed: make(chan struct{}),
	}
}

// admit adds a connection, or returns why it has to be closed. It also returns the
// connections that have to be interrupted to make room.
func (l *ledger) admit(e *entry) (reason refusal, victims []*entry) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := e.port
	e.since, e.advanced = now, now
	if p.from[e.address] >= nearLimit(p.perAddress) {
		sameAddress := func(o *entry) bool { return o.port == p && o.address == e.address }
		victims = l.evictSlowest(sameAddress, refusalAddress, now)
		if p.from[e.address] >= p.perAddress {
			return refusalAddress, victims
		}
	}
	if p.open-p.leaving >= nearLimit(p.limit) {
		samePort := func(o *entry) bool { return o.port == p }
		victims = append(victims, l.evictSlowest(samePort, refusalConnections, now)...)
	}
	if p.open >= p.limit {
		return refusalConnections, victims
	}
	l.entries[e] = struct{}{}
	p.open++
	p.from[e.address]++
	return refusalNone, victims
}

// nearLimit is the number of connections from which on slow ones are closed.
func nearLimit(limit int) int { return limit - limit/16 }

// evictSlowest evicts one connection that is slow or idle, the slowest first. Those between
// two requests go last.
func (l *ledger) evictSlowest(match func(*entry) bool, why refusal, now time.Time) []*entry {
	var worst *entry
	for e := range l.entries {
		if e.evicted != refusalNone || e.phase == phaseWorking || now.Sub(e.advanced) < minSlowness || !match(e) {
			continue
		}
		if worst == nil || compareSlowness(e, worst, now) > 0 {
			worst = e
		}
	}
	if worst == nil {
		return nil
	}
	l.evict(worst, why)
	return []*entry{worst}
}

// compareSlowness is above zero if a is to be closed before b.
func compareSlowness(a, b *entry, now time.Time) int {
	if waiting := a.phase == phaseIdle && a.served; waiting != (b.phase == phaseIdle && b.served) {
		if waiting {
			return -1
		}
		return 1
	}
	if slowness := cmp.Compare(now.Sub(a.advanced)/slownessStep, now.Sub(b.advanced)/slownessStep); slowness != 0 {
		return slowness
	}
	return a.since.Compare(b.since)
}

func (l *ledger) evict(e *entry, why refusal) {
	e.evicted = why
	e.port.leaving++
	l.leaving += e.held
	l.notify()
}

// remove forgets a connection that has been closed.
func (l *ledger) remove(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.entries[e]; !ok {
		return
	}
	l.release(e)
	e.closed = true
	delete(l.entries, e)
	e.port.open--
	if e.evicted != refusalNone {
		e.port.leaving--
	}
	if e.port.from[e.address]--; e.port.from[e.address] == 0 {
		delete(e.port.from, e.address)
	}
}

func (l *ledger) release(e *entry) {
	if e.held == 0 {
		return
	}
	l.used -= e.held
	if e.evicted != refusalNone {
		l.leaving -= e.held
	}
	e.held = 0
	l.notify()
}

func (l *ledger) notify() {
	if l.waiters == 0 {
		return
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// advance marks progress of a body.
func (l *ledger) advance(e *entry) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e.advanced = now
}

// work marks that a request is complete. It returns false if the connection has been
// evicted: the request must not be carried out.
func (l *ledger) work(e *entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.evicted != refusalNone {
		return false
	}
	e.phase = phaseWorking
	e.served = true
	return true
}

// awaitClient marks that a request is incomplete and waits for its client, who is not to blame for
// the pause before.
func (l *ledger) awaitClient(e *entry, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.phase = phaseReading
	e.advanced = e.advanced.Add(pause)
}

// idle marks the end of a request and releases its memory.
func (l *ledger) idle(e *entry) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(e)
	e.phase = phaseIdle
	e.advanced = now
}

// reserveHead raises the reservation of a request to a total. first marks the first byte
// of a request. It returns false if the request must be refused.
func (l *ledger) reserveHead(e *entry, total Bytes, first bool) bool {
	l.mu.Lock()
	if first {
		now := l.clock.Now()
		e.phase = phaseReading
		e.since, e.advanced = now, now
	}
	return l.reserveLocked(e, total-e.held)
}

// reserveBody reserves memory for more of a body.
func (l *ledger) reserveBody(e *entry, size Bytes) bool {
	l.mu.Lock()
	return l.reserveLocked(e, size)
}

// reserveLocked reserves memory until the request ends. It evicts slower connections if
// none is left, and returns false if the connection itself is the slowest. The lock is
// held and released.
func (l *ledger) reserveLocked(e *entry, size Bytes) bool {
	var expired <-chan time.Time
	for {
		if e.evicted != refusalNone || e.closed {
			l.mu.Unlock()
			return false
		}
		limit := l.limitFor(e.held + size)
		if size <= 0 || l.used+size <= limit {
			l.used += max(0, size)
			e.held += max(0, size)
			l.mu.Unlock()
			return true
		}
		victims, ok := l.makeRoom(e, l.used-l.leaving+size-limit, limit)
		if !ok {
			l.mu.Unlock()
			return false
		}
		if expired == nil {
			expired = l.clock.After(evictionWait)
		}
		if !l.await(victims, expired) {
			return false
		}
	}
}

// await interrupts connections and waits until memory is released. The lock is held, and
// released while it waits and if it returns false.
func (l *ledger) await(victims []*entry, expired <-chan time.Time) bool {
	changed := l.changed
	l.waiters++
	l.mu.Unlock()
	interrupt(victims)
	released := false
	select {
	case <-changed:
		released = true
	case <-expired:
	}
	l.mu.Lock()
	l.waiters--
	if !released {
		l.mu.Unlock()
	}
	return released
}

// whyEvicted returns why a connection has been evicted, refusalNone if it has not.
func (l *ledger) whyEvicted(e *entry) refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.evicted
}

// limitFor returns the part of the budget that a request of that size may use.
func (l *ledger) limitFor(hold Bytes) Bytes {
	if hold <= smallHold {
		return l.budget
	}
	return l.budget / 4 * 3
}

// makeRoom evicts connections that are slower than e until need bytes are about to be
// released, and some more, so that it need not be called for each request of a crowd. It
// evicts none and returns false if they do not suffice.
func (l *ledger) makeRoom(e *entry, need, limit Bytes) ([]*entry, bool) {
	now := l.clock.Now()
	if need <= 0 {
		return nil, true
	}
	var slower []*entry
	for o := range l.entries {
		if o != e && o.evicted == refusalNone && o.phase == phaseReading && o.held > 0 && compareSlowness(o, e, now) > 0 {
			slower = append(slower, o)
		}
	}
	slices.SortFunc(slower, func(a, b *entry) int { return compareSlowness(b, a, now) })
	freed, count := Bytes(0), 0
	for count < len(slower) && freed < need+limit/budgetShare {
		freed += slower[count].held
		count++
	}
	if freed < need {
		return nil, false
	}
	for _, o := range slower[:count] {
		l.evict(o, refusalBudget)
	}
	return slower[:count], true
}

func interrupt(victims []*entry) {
	for _, e := range victims {
		e.interrupt()
	}
}

// totals returns the reserved memory and the number of connections.
func (l *ledger) totals() (used Bytes, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, len(l.entries)
}
