// Package aqgateway forwards callers' requests to endpoints. A request passes through
// four stages, one file each: request.go identifies it, admit.go waits for a slot,
// forward.go sends it, answer.go copies the answer to the caller.
package aqgateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqtype"
)

// The headers of requests and answers.
const (
	// HeaderUrgency is urgent, normal or background; normal when absent.
	HeaderUrgency = "Aq-Urgency"
	// HeaderCaller names the caller for fair queueing; the remote host when absent.
	HeaderCaller = "Aq-Caller"
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Aq-Timeout-Millis"
	// HeaderIdempotent set to true lets the gateway retry a request whatever its
	// method.
	HeaderIdempotent = "Aq-Idempotent"
	// HeaderProbe marks a gateway's own probe of an endpoint: HEAD /, to which any
	// answer counts as a success.
	HeaderProbe = "Aq-Probe"
	// HeaderOutcome is the outcome of a request that no endpoint answered.
	HeaderOutcome = "Aq-Outcome"
	// HeaderReason is the machine-readable reason of a refusal.
	HeaderReason = "Aq-Reason"
)

// request is what identify reads from a caller's request.
type request struct {
	service string
	path    string
	caller  string
	urgency aqtype.Urgency
	timeout time.Duration
	// deadline is set when the body, or the beginning of a long one, has been read.
	deadline   time.Time
	idempotent bool
}

// errBadRequest means that the request's headers or path are invalid.
var errBadRequest = errors.New("gateway: bad request")

// identify reads the service from the first segment of the path, and urgency, caller
// and timeout from the headers.
func identify(r *http.Request, timeout time.Duration) (request, error) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if service == "" {
		return request{}, errors.Wrap(errBadRequest, "the path names no service")
	}
	identified := request{
		service:    service,
		path:       "/" + rest,
		caller:     callerOf(r),
		urgency:    aqtype.UrgencyNormal,
		idempotent: isIdempotent(r),
	}
	if name := r.Header.Get(HeaderUrgency); name != "" {
		urgency, err := aqtype.ParseUrgency(name)
		if err != nil {
			return request{}, errors.Wrap(errBadRequest, err.Error())
		}
		identified.urgency = urgency
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return request{}, errors.Wrapf(errBadRequest, "%s: want milliseconds above zero", HeaderTimeout)
		}
		timeout = min(timeout, time.Duration(millis)*time.Millisecond)
	}
	identified.timeout = timeout
	return identified, nil
}

func callerOf(r *http.Request) string {
	if caller := r.Header.Get(HeaderCaller); caller != "" {
		return caller
	}
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return host
}

// isIdempotent reports whether a request may be sent again: its method only reads, or
// the caller says so.
func isIdempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Header.Get(HeaderIdempotent) == "true"
}
