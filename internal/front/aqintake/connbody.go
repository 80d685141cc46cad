package aqintake

import (
	"bytes"
	"time"
)

// beginBody marks the end of a head, whose request has a body of that length. A request whose
// body is passed on is at work from then on, but while it waits for its client. It returns the request's number, and
// false if the request must be refused.
func (c *conn) beginBody(length int64, streams bool) (int, bool) {
	c.mu.Lock()
	c.number++
	c.streams, c.streamed = streams, 0
	number := c.number
	first := c.headStart.IsZero()
	c.part = partBody
	c.receivedAt = time.Time{}
	if length == 0 {
		c.part = partNone
		c.receivedAt = c.intake.clock.Now()
	}
	if c.bodyLeft = length; !c.head.ended {
		c.bodyLeft = unknownLength
	}
	cost := c.head.cost()
	if length != 0 {
		now := c.intake.clock.Now()
		c.bodyStart, c.windowStart, c.bodyRead, c.windowBytes = now, now, now, 0
	}
	c.setOwnDeadline(time.Time{})
	c.mu.Unlock()
	ledger := c.intake.ledger
	atWork := length == 0 || streams
	if ledger.reserveHead(&c.entry, cost, first) && (!atWork || ledger.work(&c.entry)) {
		return number, true
	}
	c.refuse(refusalBudget)
	return number, false
}

// bodyReceived accounts for bytes of the body that the handler gets.
func (c *conn) bodyReceived(number, n int) error {
	c.mu.Lock()
	if c.number != number || c.part != partBody {
		c.mu.Unlock()
		return nil
	}
	cost := Bytes(n * bodyByteCost)
	if c.streams {
		cost = streamByteCost * max(0, min(Bytes(n), StreamAhead-c.streamed))
		c.streamed += Bytes(n)
	}
	c.windowBytes += n
	advanced := c.windowBytes >= c.intake.limits.BodyPace
	if advanced {
		c.windowBytes = 0
		c.windowStart = c.intake.clock.Now()
	}
	c.mu.Unlock()
	if advanced {
		c.intake.ledger.advance(&c.entry)
	}
	if cost == 0 || c.intake.ledger.reserveBody(&c.entry, cost) {
		return nil
	}
	c.refuse(refusalBudget)
	return &refusedError{refusal: refusalBudget}
}

// bodyEnded marks that a request is complete.
func (c *conn) bodyEnded(number int) error {
	c.mu.Lock()
	if c.number != number || c.part != partBody {
		c.mu.Unlock()
		return nil
	}
	c.part = partNone
	c.receivedAt = c.bodyRead
	c.setOwnDeadline(time.Time{})
	c.mu.Unlock()
	if c.intake.ledger.work(&c.entry) {
		return nil
	}
	c.refuse(refusalBudget)
	return &refusedError{refusal: refusalBudget}
}

// endRequest prepares for the next head. It is called when the answer has been written and
// the rest of the body discarded.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.part = partHead
	c.head = headScanner{
		bytes: c.ahead.bytes,
		lines: c.ahead.lines,
	}
	c.ahead, c.aheadHeld = headScanner{}, 0
	c.headStart = time.Time{}
	c.setOwnDeadline(time.Time{})
	c.mu.Unlock()
	c.intake.ledger.idle(&c.entry)
}

// receivedChunks reserves memory for the trailer that may be among n bytes of a chunked
// body. net/http reads into its buffer of len(p) bytes if that is empty, or else into the
// rest of it. The lock is held and released.
func (c *conn) receivedChunks(p []byte, n int) (int, error) {
	if len(p) >= readBufferBytes {
		c.ahead = headScanner{}
	}
	c.ahead.skip(n, bytes.Count(p[:n], []byte{'\n'}))
	more := c.ahead.cost() - c.aheadHeld
	c.aheadHeld += max(0, more)
	c.mu.Unlock()
	if more <= 0 || c.intake.ledger.reserveBody(&c.entry, more) {
		return n, nil
	}
	c.refuse(refusalBudget)
	return 0, &refusedError{refusal: refusalBudget}
}

// readBufferBytes is the size of the buffer into which net/http reads.
const readBufferBytes = 4096
