package aqgateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqmetric"
)

// HeaderKey carries the caller's key of a request that must run at most once,
// over all gateways.
const HeaderKey = "Idempotency-Key"

// maxKeyBytes bounds a caller's key.
const maxKeyBytes = 200

// Keys keeps which requests may be sent. Reserve reports whether this holder has
// the key; an error means that it is not known and that nothing may be sent.
type Keys interface {
	Reserve(ctx context.Context, service, key, holder string) (bool, error)
	Release(ctx context.Context, service, key, holder string) error
}

// The refusals of a key.
var (
	errKeyUsed        = errors.New("gateway: a request with this key was received before; its outcome is not known here")
	errKeyNotReserved = errors.New("gateway: the key could not be reserved; nothing was sent")
)

// releaseTimeout bounds the release of a key after a refusal.
const releaseTimeout = 2 * time.Second

// keyReservation is the right to send one request, held while it is carried.
type keyReservation struct {
	gateway *Gateway
	service string
	key     string
	holder  string
}

// reserve takes the key of a request that is not idempotent. It returns nil when
// the request has none, and false when it was refused.
func (g *Gateway) reserve(w http.ResponseWriter, r *http.Request, identified request) (*keyReservation, bool) {
	key := r.Header.Get(HeaderKey)
	if key == "" || identified.idempotent || g.options.Keys == nil {
		return nil, true
	}
	if len(key) > maxKeyBytes {
		g.refuse(w, http.StatusBadRequest, aqmetric.RefusedBadRequest, 0, errBadRequest)
		return nil, false
	}
	k := &keyReservation{
		gateway: g,
		service: identified.service,
		key:     key,
		holder:  g.options.Name + "-" + strconv.FormatUint(g.nonce.Add(1), 36),
	}
	ctx, cancel := context.WithTimeout(r.Context(), identified.deadline.Sub(g.options.Clock.Now()))
	defer cancel()
	held, err := g.options.Keys.Reserve(ctx, k.service, k.key, k.holder)
	switch {
	case err != nil:
		k.release()
		g.refuse(w, http.StatusServiceUnavailable, aqmetric.RefusedStoreDown, retryAfter, errKeyNotReserved)
		return nil, false
	case !held:
		g.options.Metrics.Refused(aqmetric.RefusedKeyUsed)
		writeOutcome(w, http.StatusConflict, OutcomeUnknown, string(aqmetric.RefusedKeyUsed), errKeyUsed.Error())
		return nil, false
	}
	return k, true
}

// release gives the key back after a refusal, so that the caller can try again.
// When it fails, the key stays used: a repeat is then told that the outcome is
// unknown, which is safe.
func (k *keyReservation) release() {
	if k == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = k.gateway.options.Keys.Release(ctx, k.service, k.key, k.holder)
}
