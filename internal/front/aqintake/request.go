package aqintake

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// request is a request whose head net/http has read.
type request struct {
	conn *conn
	port Port
	ctx  context.Context
	// number is that of the request on its connection.
	number int
	// slot is whether the request has a place in Intake.working.
	slot atomic.Bool
}

// StreamAhead is how much of a body a handler of a port with Streams may hold. It is reserved.
const StreamAhead = 64 * KiB

// workWait limits the wait for a place among the requests at work.
const workWait = 10 * time.Second

// minWaiting is how many requests may wait for such a place on any machine.
const minWaiting = 64

// begin marks the end of the head. It returns false if the request must be refused.
func (r *request) begin(length int64) bool {
	var ok bool
	if r.number, ok = r.conn.beginBody(length, r.port.Streams); !ok {
		return false
	}
	return length != 0 || r.takeSlot()
}

// takeSlot waits for a place among the requests at work.
func (r *request) takeSlot() bool {
	if !r.port.LimitWork {
		return true
	}
	intake := r.conn.intake
	select {
	case intake.working <- struct{}{}:
		r.slot.Store(true)
		return true
	default:
	}
	defer intake.waiting.Add(-1)
	if intake.waiting.Add(1) > int64(intake.limits.waiting()) {
		r.conn.refuse(refusalWorking)
		return false
	}
	select {
	case intake.working <- struct{}{}:
		r.slot.Store(true)
		return true
	case <-r.ctx.Done():
	case <-intake.clock.After(workWait):
	}
	r.conn.refuse(refusalWorking)
	return false
}

// ReceivedAt returns when a request was complete: before it waited for a place among those at
// work. It is now for a request that is not complete or comes through no intake.
func ReceivedAt(r *http.Request) time.Time {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return c.intake.clock.Now()
	}
	return c.receivedAt
}

// end gives the place back.
func (r *request) end() {
	if r.slot.Swap(false) {
		<-r.conn.intake.working
	}
}

// body reads a request's body for a handler and accounts for it.
type body struct {
	io.ReadCloser
	request *request
	err     error
}

// Read implements io.Reader. Its error is one for which IsRefusal is true if the request
// must not be carried out.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	r := b.request
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if refused := r.conn.bodyReceived(r.number, n); refused != nil {
			n, err = 0, refused
		}
	}
	if errors.Is(err, io.EOF) {
		if refused := r.conn.bodyEnded(r.number); refused != nil {
			n, err = 0, refused
		} else if !r.takeSlot() {
			n, err = 0, &refusedError{refusal: refusalWorking}
		}
	}
	b.err = err
	return n, err
}
