package aqintake

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqthrottle"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// refusal is why a connection is closed or a request refused.
type refusal int

const (
	refusalNone refusal = iota
	refusalConnections
	refusalAddress
	refusalHeadTooLarge
	refusalHeadSlow
	refusalBodySlow
	refusalBudget
	refusalAnswerUnread
	refusalBodyStalled
	refusalWorking
	refusalCount
)

// kind is how a refusal is counted and logged.
type kind struct {
	// reason is empty if the request may have run; counter then counts it.
	reason  aqmetric.RefusalReason
	counter aqmetric.Counter
	event   aqlog.Event
}

var kinds = [refusalCount]kind{
	refusalConnections:  {reason: aqmetric.RefusedConnections, event: aqlog.IntakeConnectionsFull},
	refusalAddress:      {reason: aqmetric.RefusedAddress, event: aqlog.IntakeAddressFull},
	refusalHeadTooLarge: {reason: aqmetric.RefusedHeadTooLarge, event: aqlog.IntakeHeadTooLarge},
	refusalHeadSlow:     {reason: aqmetric.RefusedHeadSlow, event: aqlog.IntakeHeadSlow},
	refusalBodySlow:     {reason: aqmetric.RefusedBodySlow, event: aqlog.IntakeBodySlow},
	refusalBudget:       {reason: aqmetric.RefusedIntakeFull, event: aqlog.IntakeFull},
	refusalAnswerUnread: {counter: aqmetric.AnswersUnread, event: aqlog.IntakeAnswerUnread},
	refusalBodyStalled:  {counter: aqmetric.BodiesStalled, event: aqlog.IntakeBodyStalled},
	refusalWorking:      {reason: aqmetric.RefusedWorking, event: aqlog.IntakeWorkingFull},
}

// refusedError is the error of a read that the intake has ended. net/http closes the
// connection on such an error without an answer of its own.
type refusedError struct {
	refusal refusal
}

// Error implements error.
func (e *refusedError) Error() string {
	return "intake: " + kinds[e.refusal].event.Message
}

// Timeout implements net.Error.
func (*refusedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*refusedError) Temporary() bool { return false }

// IsRefusal reports whether reading a body failed because the intake refused the request.
// The request must then not be carried out.
func IsRefusal(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused)
}

// RetryAfter is the value of Retry-After in refusals, in seconds.
const RetryAfter = "1"

// WriteRefusal answers a request that the intake refused: it has not run and never will.
func WriteRefusal(w http.ResponseWriter) {
	w.Header().Set("Retry-After", RetryAfter)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refusalHeaders returns the headers that a port adds to a refusal.
func (p Port) refusalHeaders(why refusal) map[string]string {
	headers := map[string]string{}
	maps.Copy(headers, p.Refusal)
	if p.ReasonHeader != "" {
		headers[p.ReasonHeader] = string(kinds[why].reason)
	}
	return headers
}

// refusalAnswer returns the answer to a request that net/http has not read.
func (p Port) refusalAnswer(status int, why refusal) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRetry-After: %s\r\nConnection: close\r\nContent-Length: 0\r\n",
		status, http.StatusText(status), RetryAfter)
	for name, value := range p.refusalHeaders(why) {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n"
}

// answerTime limits the write of such an answer.
const answerTime = 100 * time.Millisecond

// reporter counts refusals and logs some of them.
type reporter struct {
	log      *aqlog.Logger
	metrics  *aqmetric.Set
	clock    aqclock.Clock
	throttle aqthrottle.Throttle

	mu sync.Mutex
	// unlogged counts the refusals since the last line, by kind.
	unlogged [refusalCount]int
}

// logInterval is the minimum time between two lines about one kind of refusal.
const logInterval = 10 * time.Second

func (r *reporter) report(why refusal, remote string) {
	kind := kinds[why]
	if kind.reason != "" {
		r.metrics.Refused(kind.reason)
	} else {
		r.metrics.Inc(kind.counter)
	}
	r.mu.Lock()
	r.unlogged[why]++
	count := r.unlogged[why]
	due := r.throttle.Allow(kind.event.Message, r.clock.Now())
	if due {
		r.unlogged[why] = 0
	}
	r.mu.Unlock()
	if due {
		r.log.Write(kind.event, slog.Int("Count", count), slog.String("Remote", remote))
	}
}
