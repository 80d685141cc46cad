package aqintake

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// past is a deadline that ends a read immediately.
var past = time.Unix(1, 0)

// part is the part of a request that is read next.
type part int

const (
	partHead part = iota
	partBody
	// partNone is while a request is at work: net/http reads ahead to notice a client
	// that disconnects.
	partNone
)

// unknownLength is the length of a chunked body.
const unknownLength = -1

// conn is a client's connection. It sees the bytes of heads before net/http does. Only one
// goroutine at a time reads from it.
type conn struct {
	net.Conn
	intake *Intake
	entry  entry

	mu sync.Mutex
	// outer is the read deadline that net/http sets, own that of the intake; the earlier
	// one is in force. Zero means none.
	outer time.Time
	own   time.Time
	// writeSet is whether somebody else has set a write deadline.
	writeSet bool
	// refused is set when the connection has to close; reads then fail.
	refused bool
	// number counts the requests.
	number int
	part   part
	head   headScanner
	// headStart is when the first byte of the head arrived, zero before.
	headStart time.Time
	// pending holds what was received past the end of a head.
	pending []byte
	// bodyLeft is what is left to read of the body, or unknownLength.
	bodyLeft int64
	// streams is whether the handler passes the body on instead of holding it.
	streams bool
	// streamed is how much of the body the handler has got.
	streamed Bytes
	// bodyStart and windowStart are when the body and its present pace window began, later
	// by the time for which nobody read the body. windowBytes is what has arrived in the
	// window.
	bodyStart   time.Time
	windowStart time.Time
	windowBytes int
	// bodyRead is when the last read of the body ended, or the body began.
	bodyRead time.Time
	// receivedAt is when the current request was complete, zero before.
	receivedAt time.Time
	// ahead bounds what net/http may have read past the end of the data of a chunked body:
	// a trailer, and the beginning of the next head. aheadHeld is reserved for it.
	ahead     headScanner
	aheadHeld Bytes
}

func newConn(i *Intake, raw net.Conn, port *portEntry) *conn {
	c := &conn{
		Conn:   raw,
		intake: i,
	}
	c.entry = entry{
		port:      port,
		address:   addressOf(raw),
		interrupt: c.interrupt,
	}
	return c
}

func (c *conn) remote() string { return c.RemoteAddr().String() }

// interrupt ends reads for good. The reader then finds its entry evicted.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setOwnDeadline(past)
}

// setOwnDeadline sets the intake's read deadline. It can't move one that is past. The lock
// must be held.
func (c *conn) setOwnDeadline(t time.Time) {
	if c.own.Equal(t) || c.own.Equal(past) {
		return
	}
	c.own = t
	_ = c.Conn.SetReadDeadline(earliest(c.outer, c.own))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outer = t
	return c.Conn.SetReadDeadline(earliest(c.outer, c.own))
}

// SetWriteDeadline implements net.Conn. While a deadline is set, the intake sets none.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeSet = !t.IsZero()
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite lets net/http close one direction.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.intake.ledger.remove(&c.entry)
	return err
}

// Read implements net.Conn. In a head it returns nothing past the end of the head, and in
// a body of known length nothing past the end of the body. It drops empty lines before a
// head, which net/http would refuse.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if n, err := c.readPart(p); n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// readPart reads once. It returns nothing if it has only read empty lines before a head.
func (c *conn) readPart(p []byte) (int, error) {
	c.mu.Lock()
	if c.refused {
		c.mu.Unlock()
		return 0, &refusedError{refusal: refusalBudget}
	}
	if c.part == partBody && c.bodyLeft > 0 && int64(len(p)) > c.bodyLeft {
		p = p[:c.bodyLeft]
	}
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	pause := c.skipPause()
	waits := n == 0
	if waits {
		c.setReadDeadline()
	}
	streams := c.part == partBody && c.streams
	c.mu.Unlock()
	var err error
	if waits {
		if streams {
			c.intake.ledger.awaitClient(&c.entry, pause)
		}
		n, err = c.Conn.Read(p)
		if streams && !c.intake.ledger.work(&c.entry) && err == nil {
			n, err = 0, os.ErrDeadlineExceeded
		}
	}
	return c.received(p, n, err)
}

// skipPause takes the time since the last read of a body out of the body's time, and returns
// it: it is not the client's. The lock must be held.
func (c *conn) skipPause() time.Duration {
	if c.part != partBody {
		return 0
	}
	pause := c.intake.clock.Now().Sub(c.bodyRead)
	c.bodyStart, c.windowStart = c.bodyStart.Add(pause), c.windowStart.Add(pause)
	return pause
}

// setReadDeadline sets the deadline of a read that waits for the client, none if only
// net/http's applies. The lock must be held.
func (c *conn) setReadDeadline() {
	limits := &c.intake.limits
	switch {
	case c.part == partHead && !c.headStart.IsZero():
		c.setOwnDeadline(c.headStart.Add(limits.HeadTime))
	case c.part == partBody && c.bodyLeft != 0:
		c.setOwnDeadline(earliest(c.bodyStart.Add(limits.BodyTime), c.windowStart.Add(limits.PaceWindow)))
	}
}

// received accounts for n bytes that net/http is about to get, and for the error of the
// read.
func (c *conn) received(p []byte, n int, err error) (int, error) {
	c.mu.Lock()
	current := c.part
	if current == partBody {
		c.bodyRead = c.intake.clock.Now()
	}
	if err != nil {
		why := c.slownessOf(current)
		c.mu.Unlock()
		if current == partNone {
			return n, err
		}
		return n, c.readFailed(why, err)
	}
	switch {
	case current == partHead:
		return c.receivedHead(p, n)
	case current == partBody && c.bodyLeft == unknownLength:
		return c.receivedChunks(p, n)
	case current == partBody && c.bodyLeft > 0:
		c.bodyLeft -= int64(n)
	}
	c.mu.Unlock()
	return n, nil
}

// slownessOf returns the refusal of a read that has waited too long, refusalNone between
// two requests. The lock must be held.
func (c *conn) slownessOf(current part) refusal {
	switch {
	case current == partBody && c.passedOn():
		return refusalBodyStalled
	case current == partBody:
		return refusalBodySlow
	case c.number == 0 || !c.headStart.IsZero():
		return refusalHeadSlow
	}
	return refusalNone
}

// passedOn reports whether a part of the request may have been passed on. The lock must be held.
func (c *conn) passedOn() bool { return c.streams && c.streamed > StreamAhead }

// readFailed refuses the request if a deadline has ended the read of it.
func (c *conn) readFailed(why refusal, err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if evicted := c.intake.ledger.whyEvicted(&c.entry); evicted != refusalNone && why != refusalBodyStalled {
		why = evicted
	}
	if why == refusalNone {
		return err
	}
	c.refuse(why)
	return &refusedError{refusal: why}
}

// receivedHead counts the head, keeps back what follows it and reserves memory for it.
// The lock is held and released.
func (c *conn) receivedHead(p []byte, n int) (int, error) {
	first := c.headStart.IsZero()
	ended := c.head.ended
	leading := c.head.leading(p[:n])
	used := c.head.scan(p[:n])
	if !ended && used < n {
		c.pending = append(bytes.Clone(p[used:n]), c.pending...)
	}
	if first {
		c.headStart = c.intake.clock.Now()
	}
	tooLarge := c.head.bytes > c.intake.limits.HeadBytes || c.head.lines > c.intake.limits.HeadLines
	cost := c.head.cost()
	c.mu.Unlock()
	if tooLarge {
		c.answer(c.entry.port.tooLarge)
		c.refuse(refusalHeadTooLarge)
		return 0, &refusedError{refusal: refusalHeadTooLarge}
	}
	if !c.intake.ledger.reserveHead(&c.entry, cost, first) {
		c.answer(c.entry.port.full)
		c.refuse(refusalBudget)
		return 0, &refusedError{refusal: refusalBudget}
	}
	return copy(p, p[leading:used]), nil
}

// refuse makes all later reads fail and reports why, once.
func (c *conn) refuse(why refusal) {
	c.mu.Lock()
	before := c.refused
	c.refused = true
	c.pending = nil
	c.mu.Unlock()
	if !before {
		c.intake.reporter.report(why, c.remote())
	}
	c.interrupt()
}

// answer writes an answer to a request that net/http has not read.
func (c *conn) answer(text string) {
	_ = c.Conn.SetWriteDeadline(c.intake.clock.Now().Add(answerTime))
	_, _ = io.WriteString(c.Conn, text)
}

// writePace is the least number of bytes a second that a client must read of a large write.
const writePace = 16 << 10

// Write implements net.Conn. A client must read at a least pace.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	set := c.writeSet
	c.mu.Unlock()
	if !set {
		limit := c.intake.limits.WriteTime + time.Duration(len(p)/writePace)*time.Second
		_ = c.Conn.SetWriteDeadline(c.intake.clock.Now().Add(limit))
	}
	n, err := c.Conn.Write(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.refuse(refusalAnswerUnread)
	}
	return n, err
}
