// Package aqpeer carries calls between the system's own processes: frames of a
// length and a msgpack body over TCP, served by gnet.
package aqpeer

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// Sizes of a frame.
const (
	lengthBytes = 4
	// MaxFrameBytes bounds one frame without its length.
	MaxFrameBytes = 4 << 20
)

// WireVersion is raised when a frame of the version before could be
// misunderstood. A frame of another version is refused.
const WireVersion = 2

// Method names a call.
type Method string

// frame is a call or its answer.
type frame struct {
	Version int
	// Call is chosen by the caller and echoed in the answer.
	Call   uint64
	Method Method `msgpack:",omitempty"`
	// Code and Detail are set in an answer that is an error.
	Code   Code   `msgpack:",omitempty"`
	Detail string `msgpack:",omitempty"`
	Body   []byte `msgpack:",omitempty"`
}

// The frame errors. Each of them closes the connection.
var (
	ErrFrameTooLarge  = errors.New("peer: frame too large")
	ErrFrameMalformed = errors.New("peer: frame not decodable")
	ErrFrameVersion   = errors.New("peer: frame of another wire version")
)

func encodeFrame(f frame) ([]byte, error) {
	f.Version = WireVersion
	body, err := Pack(f)
	if err != nil {
		return nil, errors.Wrap(err, "peer: encode frame")
	}
	if len(body) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	out := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// frameLength reads the length prefix.
func frameLength(prefix []byte) (int, error) {
	length := binary.BigEndian.Uint32(prefix)
	if length > MaxFrameBytes {
		return 0, ErrFrameTooLarge
	}
	return int(length), nil
}

func decodeFrame(body []byte) (frame, error) {
	var f frame
	if err := Unpack(body, &f); err != nil {
		return f, errors.WithMessage(ErrFrameMalformed, err.Error())
	}
	if f.Version != WireVersion {
		return f, ErrFrameVersion
	}
	return f, nil
}
