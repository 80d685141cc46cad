// Package aqinbound limits what the connections of a peer port make a process hold: their
// number, unfinished frames, calls in progress, and answers that are not read. It answers
// clients that reach the port and are no processes of the system, and processes that are
// stuck. It decides only; the server of the port reports to it.
package aqinbound

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqclock"
)

// Bytes is an amount of memory.
type Bytes = aqintake.Bytes

// Memory that is held for a frame, as a multiple of its bytes: the buffer of an unfinished
// one grows by doubling; the body of a whole one is decoded.
const (
	partialCost = 2
	frameCost   = 3
	// callCost is held for each call and answer besides, for the goroutine.
	callCost = 8 * aqintake.KiB
)

// smallHold is what a connection may hold from the last quarter of the budget, so that
// large frames leave room for the others.
const smallHold = 64 * aqintake.KiB

// Limits are the limits of one peer port.
type Limits struct {
	// Connections limits the connections.
	Connections int
	// Budget limits the memory of unfinished frames, calls in progress and unread answers.
	Budget Bytes
}

// Derivation of the defaults.
const (
	budgetShare    = 8
	socketShare    = 4
	minConnections = 32
)

// DefaultConnections returns the default of Limits.Connections. Each process of a site may be
// connected to the one that leads it.
func DefaultConnections(descriptors int) int {
	return max(minConnections, aqintake.Sockets(descriptors)/socketShare)
}

// DefaultBudget returns the default of Limits.Budget.
func DefaultBudget(memory Bytes, largestFrame int) Bytes {
	return max(memory/budgetShare, MinBudget(largestFrame))
}

// MinBudget returns the least budget with which the largest frame is still served.
func MinBudget(largestFrame int) Bytes { return Bytes(largestFrame) * (frameCost + partialCost) }

// Cause is why a connection is closed.
type Cause int

// The causes.
const (
	// CauseConnections means that a new connection needs the place.
	CauseConnections Cause = iota + 1
	// CauseBudget means that the connection holds too much memory.
	CauseBudget
)

// Ledger holds what the connections of a port hold.
type Ledger struct {
	limits Limits
	clock  aqclock.Clock

	mu sync.Mutex
	// held is the sum over all connections and over the calls of closed ones.
	held Bytes
	// leaving is the part of held that connections which are being closed will release.
	leaving Bytes
	conns   map[*Conn]struct{}
	// closing counts the connections in conns that are being closed.
	closing int
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits, clock aqclock.Clock) *Ledger {
	return &Ledger{
		limits: limits,
		clock:  clock,
		conns:  map[*Conn]struct{}{},
	}
}

// Conn is what the ledger knows of a connection. Its ledger's lock guards it.
type Conn struct {
	ledger *Ledger
	// close ends the connection. It must not block.
	close func(Cause)
	// partial is held for an unfinished frame, unsent for answers that are not written.
	partial Bytes
	unsent  Bytes
	// calls is the number of calls in progress.
	calls int
	// proven is set by the first call: the peer speaks the protocol.
	proven bool
	// usedAt is when the connection was opened or last began a call, progressAt when it was
	// opened or last received more of a frame.
	usedAt     time.Time
	progressAt time.Time
	// evicted is set when the connection is being closed. It is never reset.
	evicted bool
}

// Open adds a connection, closing another one if need be. It returns false if there is no
// room: the caller closes the connection.
func (l *Ledger) Open(closeConn func(Cause)) (*Conn, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	var victim *Conn
	if len(l.conns)-l.closing >= l.limits.Connections {
		if victim = l.leastUsed(); victim == nil {
			l.mu.Unlock()
			return nil, false
		}
		l.evict(victim)
	}
	c := &Conn{
		ledger: l,
		close:  closeConn,
		usedAt: now,

		progressAt: now,
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		victim.close(CauseConnections)
	}
	return c, true
}

// leastUsed returns the connection to close in favour of a new one, nil if all have calls in
// progress: first those that have made no call, then the longest unused.
func (l *Ledger) leastUsed() *Conn {
	var worst *Conn
	for c := range l.conns {
		if c.evicted || c.calls > 0 {
			continue
		}
		if worst == nil || (!c.proven && worst.proven) || (c.proven == worst.proven && c.usedAt.Before(worst.usedAt)) {
			worst = c
		}
	}
	return worst
}

func (l *Ledger) evict(c *Conn) {
	c.evicted = true
	l.closing++
	l.leaving += c.partial + c.unsent
}

// Closed forgets a connection. Its calls in progress hold their memory until they end.
func (c *Conn) Closed() {
	l := c.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; !open {
		return
	}
	if c.evicted {
		l.closing--
		l.leaving -= c.partial + c.unsent
	}
	l.held -= c.partial + c.unsent
	c.partial, c.unsent = 0, 0
	delete(l.conns, c)
}

// Announced reports whether there is room for a frame of that size, by closing others if need
// be. It reserves nothing. Without room the connection has to be closed.
func (c *Conn) Announced(size int) bool {
	hold := Bytes(size) * partialCost
	if hold <= smallHold {
		return true
	}
	l := c.ledger
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	need := l.held - l.leaving + hold - l.limitFor(hold)
	for o := range l.conns {
		if need > 0 && !o.evicted && c.outranks(o, now) {
			need -= o.partial + o.unsent
		}
	}
	return need <= 0
}

// Received records the size of the buffer of an unfinished frame, zero for none. It returns
// false if the connection has to be closed.
func (c *Conn) Received(size int) bool {
	l := c.ledger
	now := l.clock.Now()
	l.mu.Lock()
	c.progressAt = now
	victims, ok := c.setLocked(&c.partial, Bytes(size)*partialCost)
	l.mu.Unlock()
	closeAll(victims, c)
	return ok
}

// Answered replaces the reservation of a call by one for its answer, which is held until End.
// It returns false if the connection has to be closed instead.
func (c *Conn) Answered(size, answer int) bool {
	l := c.ledger
	l.mu.Lock()
	l.held -= callHold(size)
	victims, ok := c.setLocked(&c.unsent, c.unsent+answerHold(answer))
	l.mu.Unlock()
	closeAll(victims, c)
	return ok
}

// End releases the reservation of an answer that has been sent or dropped.
func (c *Conn) End(answer int) {
	l := c.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	c.calls--
	if _, open := l.conns[c]; open {
		l.held -= answerHold(answer)
		c.unsent -= answerHold(answer)
		if c.evicted {
			l.leaving -= answerHold(answer)
		}
	}
}

// Abandon releases the reservation of a call that is not carried out.
func (c *Conn) Abandon(size int) {
	l := c.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held -= callHold(size)
	c.calls--
}

func callHold(size int) Bytes { return callCost + Bytes(size)*frameCost }

func answerHold(size int) Bytes { return callCost + Bytes(size) }

// setLocked changes what the connection holds and makes room for it. It returns the other
// connections to close, and false if this one has to be closed.
func (c *Conn) setLocked(field *Bytes, size Bytes) (victims []*Conn, ok bool) {
	l := c.ledger
	if _, open := l.conns[c]; !open {
		return nil, false
	}
	change := size - *field
	l.held += change
	*field = size
	if c.evicted {
		l.leaving += change
		return nil, false
	}
	victims, fits := l.makeRoom(l.limitFor(c.partial+c.unsent), c)
	if !fits {
		l.evict(c)
	}
	return victims, !c.evicted
}

// Begin reserves memory for a call whose frame has that size. It returns false if the call
// must be refused.
func (c *Conn) Begin(size int) bool {
	l := c.ledger
	now := l.clock.Now()
	hold := callHold(size)
	l.mu.Lock()
	c.proven = true
	c.usedAt = now
	l.held += hold
	victims, fits := l.makeRoom(l.limitFor(hold), c)
	if fits {
		c.calls++
	} else {
		l.held -= hold
	}
	l.mu.Unlock()
	closeAll(victims, nil)
	return fits
}

// Held returns the memory that is held, without that of connections which are being closed.
func (l *Ledger) Held() Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held - l.leaving
}

func (l *Ledger) limitFor(hold Bytes) Bytes {
	if hold <= smallHold {
		return l.limits.Budget
	}
	return l.limits.Budget / 4 * 3
}

// makeRoom evicts connections in favour of one until what is held is within the limit: first
// those that have made no call, then those that hold most. It evicts none and returns false if
// they do not suffice.
func (l *Ledger) makeRoom(limit Bytes, favoured *Conn) (victims []*Conn, ok bool) {
	need := l.held - l.leaving - limit
	if need <= 0 {
		return nil, true
	}
	now := l.clock.Now()
	var holders []*Conn
	for c := range l.conns {
		if !c.evicted && c.partial+c.unsent > 0 && favoured.outranks(c, now) {
			holders = append(holders, c)
		}
	}
	slices.SortFunc(holders, func(a, b *Conn) int {
		if a.proven != b.proven {
			if b.proven {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.partial+b.unsent, a.partial+a.unsent)
	})
	count := 0
	for ; need > 0 && count < len(holders); count++ {
		need -= holders[count].partial + holders[count].unsent
	}
	if need > 0 {
		return nil, false
	}
	for _, c := range holders[:count] {
		l.evict(c)
	}
	return holders[:count], true
}

// stallTime is after how long without more of a frame a connection may be closed in favour of
// any other.
const stallTime = time.Second

// outranks reports whether another connection may be closed in favour of this one: one that
// stalls, holds more, or has made no call while this one has. Of two that have made no call, the
// first keeps what it holds, so that a crowd of them does not have each other's frames read and
// dropped.
func (c *Conn) outranks(o *Conn, now time.Time) bool {
	switch {
	case c == o:
		return false
	case now.Sub(o.progressAt) >= stallTime:
		return true
	case !c.proven:
		return false
	}
	return !o.proven || o.partial+o.unsent > c.partial+c.unsent
}

// closeAll closes connections but one, which its server closes.
func closeAll(victims []*Conn, except *Conn) {
	for _, c := range victims {
		if c != except {
			c.close(CauseBudget)
		}
	}
}
