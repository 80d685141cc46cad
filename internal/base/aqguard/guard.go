// Package aqguard contains panics, so that one malformed message or unexpected value
// costs one call or one loop and not the process.
package aqguard

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// maxStackBytes limits the stack in a log line.
const maxStackBytes = 2000

// PanicError is a panic that was contained.
type PanicError struct {
	// Where names the call or loop that panicked.
	Where string
	// Value is what it panicked with.
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Where, e.Value) }

// Guard logs and counts the panics that it contains.
type Guard struct {
	log     *aqlog.Logger
	metrics *aqmetric.Set
}

// New returns a guard.
func New(log *aqlog.Logger, metrics *aqmetric.Set) Guard {
	return Guard{log: log, metrics: metrics}
}

// Run calls f and returns a *PanicError if it panics. Locks that f holds without a
// deferred unlock stay locked.
func (g Guard) Run(where string, f func()) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		failure := &PanicError{Where: where, Value: value}
		err = failure
		stack := debug.Stack()
		g.metrics.Inc(aqmetric.PanicsContained)
		g.log.Write(aqlog.PanicContained, slog.String("Where", where), aqlog.Err(failure),
			slog.String("Stack", string(stack[:min(len(stack), maxStackBytes)])))
	}()
	f()
	return nil
}
