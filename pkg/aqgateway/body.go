package aqgateway

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqmetric"
)

// callerBody is the body of a caller's request. Its beginning is read before the request takes
// a slot at an endpoint.
type callerBody struct {
	clock aqclock.Clock
	// ahead is what has been read and not been passed on.
	ahead []byte
	rest  io.Reader
	// whole is set when ahead is all that is left.
	whole  bool
	upload *upload
}

// readAhead reads the beginning of a body, or all of it.
func readAhead(clock aqclock.Clock, body io.Reader) (*callerBody, error) {
	b := &callerBody{
		clock: clock,
		rest:  body,
	}
	// One byte more tells a body of exactly that length from a longer one.
	ahead, err := io.ReadAll(io.LimitReader(body, int64(readAheadBytes)+1))
	b.ahead = ahead
	b.whole = len(ahead) <= readAheadBytes
	return b, err
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if len(b.ahead) > 0 {
		n := copy(p, b.ahead)
		b.ahead = b.ahead[n:]
		return n, nil
	}
	if b.whole {
		return 0, io.EOF
	}
	b.upload.reading(b.clock.Now())
	n, err := b.rest.Read(p)
	b.upload.reading(noTime)
	if err != nil {
		b.upload.end()
	}
	return n, err
}

// refuseBody answers a request whose body could not be read. Nothing of it has been sent.
func (g *Gateway) refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.refuse(w, http.StatusRequestEntityTooLarge, aqmetric.RefusedTooLarge, 0, errTooLarge)
	case aqintake.IsRefusal(err):
		w.Header().Set("Connection", "close")
		g.refuse(w, http.StatusServiceUnavailable, aqmetric.RefusedIntakeFull, retryAfter, err)
	default:
		g.refuse(w, http.StatusBadRequest, aqmetric.RefusedBadRequest, 0, err)
	}
}
