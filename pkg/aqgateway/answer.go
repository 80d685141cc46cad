package aqgateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// copyBytes is the size of the buffer for copying a body.
const copyBytes = 32 << 10

// answer copies an endpoint's answer to the caller. The progress timeout applies to a
// caller that does not read as to an endpoint that does not send. After an error the
// caller has received a truncated answer, so its connection must be closed before the
// announced end.
func answer(w http.ResponseWriter, r *reply) error {
	defer r.close()
	response, guard := r.response, r.guard
	header := w.Header()
	dropHopHeaders(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	controller := http.NewResponseController(w)
	guard.onStall(func() { _ = controller.SetWriteDeadline(pastDeadline) })
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, copyBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.WithMessage(errCallerGone, writeErr.Error())
			}
			guard.feed()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithMessage(errConnectionLost, err.Error())
		}
	}
}

// noTime is no time.
var noTime time.Time

// pastDeadline is a write deadline that unblocks a write immediately.
var pastDeadline = time.Unix(1, 0)

// errCallerGone means that a write to the caller failed.
var errCallerGone = errors.New("gateway: the caller went away")

// The values of HeaderOutcome.
const (
	OutcomeRefused = "refused-not-run"
	OutcomeUnknown = "unknown"
)

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status int, reason string, retry time.Duration, detail string) {
	if retry > 0 {
		seconds := int64((retry + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeOutcome(w, status, OutcomeRefused, reason, detail)
}

// unknown answers that the request may or may not have run.
func unknown(w http.ResponseWriter, detail string) {
	writeOutcome(w, http.StatusGatewayTimeout, OutcomeUnknown, "NoAnswer", detail)
}

func writeOutcome(w http.ResponseWriter, status int, outcome, reason, detail string) {
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set(HeaderReason, reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Outcome string
		Reason  string
		Detail  string
	}{
		Outcome: outcome,
		Reason:  reason,
		Detail:  detail,
	})
}
