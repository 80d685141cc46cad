package aqconfig

import (
	"context"
	"log/slog"
	"sync"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqplatform"
)

// Key is the configuration's key in the platform's store.
const Key = "aq/live/config"

// Holder holds the active configuration of this process.
type Holder struct {
	log *aqlog.Logger
	mu  sync.RWMutex
	// current is the active configuration; its revision never decreases.
	current   Configuration
	listeners []func(Configuration)
}

// NewHolder returns a holder whose active configuration is the default one.
func NewHolder(log *aqlog.Logger) *Holder {
	return &Holder{log: log, current: Default()}
}

// OnChange registers a function that Apply calls with each new configuration.
func (h *Holder) OnChange(listener func(Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, listener)
}

// Current returns the active configuration.
func (h *Holder) Current() Configuration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Apply makes a configuration the active one if its revision is higher than that of
// the current one, and reports whether it did.
func (h *Holder) Apply(c Configuration) bool {
	h.mu.Lock()
	if c.Revision <= h.current.Revision {
		h.mu.Unlock()
		return false
	}
	h.current = c
	listeners := h.listeners
	h.mu.Unlock()
	h.log.Write(aqlog.ConfigInForce, slog.Uint64("Revision", uint64(c.Revision)))
	for _, listener := range listeners {
		listener(c)
	}
	return true
}

// ApplyEncoded is Apply for an encoded configuration. It logs and ignores an invalid
// one.
func (h *Holder) ApplyEncoded(data []byte) bool {
	c, err := Decode(data)
	if err != nil {
		h.log.Write(aqlog.ConfigRefused, aqlog.Err(err))
		return false
	}
	return h.Apply(c)
}

// The errors of a change.
var (
	// ErrConflict means that another change was accepted first.
	ErrConflict = errors.New("configuration: changed since it was read")
	// ErrNotAccepted means that the store refused the write, or that the current
	// configuration could not be read; nothing changed.
	ErrNotAccepted = errors.New("configuration: not accepted, the store refused the write")
	// ErrInDoubt means that the write was not answered: it may have been accepted, or
	// may be accepted later.
	ErrInDoubt = errors.New("configuration: outcome unknown, read it again")
)

// Changer changes the configuration in the store.
type Changer struct {
	Store  aqplatform.Store
	Holder *Holder
}

// Change stores wanted with the next revision, provided that the stored revision is
// still wanted.Revision. It returns the accepted configuration; with ErrConflict it
// returns the one that was accepted instead.
func (c Changer) Change(ctx context.Context, wanted Configuration) (Configuration, error) {
	if err := wanted.Validate(); err != nil {
		return Configuration{}, err
	}
	baseRevision := wanted.Revision
	current, storeRevision, err := c.read(ctx)
	if err != nil {
		return Configuration{}, err
	}
	if current.Revision != baseRevision {
		return current, ErrConflict
	}
	wanted.Revision = baseRevision + 1
	data, err := wanted.Encode()
	if err != nil {
		return Configuration{}, err
	}
	_, err = c.Store.Put(ctx, Key, data, storeRevision, 0)
	return c.resolve(ctx, wanted, data, err)
}

// resolve determines the outcome of a write. After an error it reads the value again
// to distinguish a lost answer from a write that failed.
func (c Changer) resolve(ctx context.Context, wanted Configuration, data []byte, err error) (Configuration, error) {
	switch {
	case err == nil:
		c.Holder.Apply(wanted)
		return wanted, nil
	case errors.Is(err, aqplatform.ErrRefused):
		return Configuration{}, ErrNotAccepted
	}
	entry, readErr := c.Store.Get(ctx, Key)
	if readErr != nil {
		return Configuration{}, ErrInDoubt
	}
	if string(entry.Value) == string(data) {
		c.Holder.Apply(wanted)
		return wanted, nil
	}
	storedConfig, decodeErr := Decode(entry.Value)
	if decodeErr != nil {
		return Configuration{}, decodeErr
	}
	c.Holder.Apply(storedConfig)
	if errors.Is(err, aqplatform.ErrConflict) || storedConfig.Revision == wanted.Revision {
		return storedConfig, ErrConflict
	}
	return storedConfig, ErrInDoubt
}

// read returns the stored configuration and the store's revision of its key; before
// any change these are the default configuration and 0.
func (c Changer) read(ctx context.Context) (Configuration, aqplatform.Revision, error) {
	entry, err := c.Store.Get(ctx, Key)
	switch {
	case errors.Is(err, aqplatform.ErrNotFound):
		return Default(), 0, nil
	case err != nil:
		return Configuration{}, 0, ErrNotAccepted
	}
	current, err := Decode(entry.Value)
	if err != nil {
		return Configuration{}, 0, err
	}
	c.Holder.Apply(current)
	return current, entry.Revision, nil
}
