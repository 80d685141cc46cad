package aqpeer

import "github.com/pkg/errors"

// Code is an error's name on the wire.
type Code string

// The codes. Each says whether the call ran.
const (
	// CodeNotOwner means that the peer does not own the shard; it did not run.
	CodeNotOwner Code = "NotOwner"
	// CodeNotFound means that there is no such workload.
	CodeNotFound Code = "NotFound"
	// CodeConflict means that the key stands for another workload.
	CodeConflict Code = "Conflict"
	// CodeInvalid means that the call was refused as malformed.
	CodeInvalid Code = "Invalid"
	// CodeExhausted means that the shard or a quota has no room.
	CodeExhausted Code = "Exhausted"
	// CodeUnknown means that the call may have taken effect.
	CodeUnknown Code = "Unknown"
	// CodeInternal is a fault of the peer.
	CodeInternal Code = "Internal"
)

// Error is a peer's answer that is not success.
type Error struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return "peer: " + string(e.Code) + ": " + e.Detail }

// Errorf returns an error that travels with its code.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: errors.Errorf(format, args...).Error()}
}

// The transport's errors.
var (
	// ErrNotSent means that no byte of the call left.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrNoAnswer means that the call was sent and no answer came.
	ErrNoAnswer = errors.New("peer: no answer")
)

// CodeOf returns the code that an error carries, CodeInternal when it has none.
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
