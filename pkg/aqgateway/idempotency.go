package aqgateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqmetric"
)

// HeaderKey carries the caller's idempotency key: requests with the same key run at
// most once over all gateways.
const HeaderKey = "Idempotency-Key"

// maxKeyBytes is the maximum length of a caller's key.
const maxKeyBytes = 200

// KeyReserver reserves idempotency keys. Reserve reports whether the holder has the key.
// After an error the outcome is unknown, and the request must not be sent.
type KeyReserver interface {
	Reserve(ctx context.Context, service, key, holder string) (bool, error)
	Release(ctx context.Context, service, key, holder string) error
}

// Reasons why the gateway does not forward a request with a key.
var (
	errKeyUsed        = errors.New("gateway: a request with this key was received before; its outcome is not known here")
	errKeyNotReserved = errors.New("gateway: the key could not be reserved; nothing was sent")
)

// releaseTimeout is the timeout of releasing a key after a refusal.
const releaseTimeout = 2 * time.Second

// keyReservation is the reserved key of a request that is being forwarded.
type keyReservation struct {
	gateway *Gateway
	service string
	key     string
	holder  string
}

// reserve reserves the key of a request that is not idempotent. It returns nil when
// the request needs no reservation, and false when it has answered the request itself.
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

// release frees the key after a refusal, so that the caller can retry. When it fails,
// the key stays reserved and a retry is answered with an unknown outcome, which is
// safe.
func (k *keyReservation) release() {
	if k == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = k.gateway.options.Keys.Release(ctx, k.service, k.key, k.holder)
}
