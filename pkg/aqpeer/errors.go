package aqpeer

import "github.com/pkg/errors"

// Code identifies an error on the wire.
type Code string

// The error codes.
const (
	// CodeNotOwner means that the peer does not own the shard; the call did not run.
	CodeNotOwner Code = "NotOwner"
	// CodeNotFound means that there is no such workload.
	CodeNotFound Code = "NotFound"
	// CodeConflict means that the key belongs to another workload.
	CodeConflict Code = "Conflict"
	// CodeInvalid means that the call was refused as malformed.
	CodeInvalid Code = "Invalid"
	// CodeExhausted means that the shard, a quota or the peer is at its limit.
	CodeExhausted Code = "Exhausted"
	// CodeUnknown means that the call may have taken effect.
	CodeUnknown Code = "Unknown"
	// CodeInternal means that the peer failed.
	CodeInternal Code = "Internal"
)

// Error is a peer's error answer.
type Error struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return "peer: " + string(e.Code) + ": " + e.Detail }

// Errorf returns an error with a code. A handler's code and text are sent to the
// calling peer.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: errors.Errorf(format, args...).Error()}
}

// The transport's errors.
var (
	// ErrNotSent means that no byte of the call was sent.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrNoAnswer means that the call was sent, at least in part, and no usable answer
	// arrived: it may have run.
	ErrNoAnswer = errors.New("peer: no answer")
)

// CodeOf returns the code of an error: that of an *Error, CodeUnknown for ErrNoAnswer,
// else CodeInternal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	if errors.Is(err, ErrNoAnswer) {
		return CodeUnknown
	}
	return CodeInternal
}
