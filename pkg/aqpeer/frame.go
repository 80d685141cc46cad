// Package aqpeer implements calls between the system's own processes. A call is a
// frame with a length prefix and a msgpack body over TCP; gnet serves the connections.
package aqpeer

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// Sizes of a frame.
const (
	lengthBytes = 4
	// MaxFrameBytes is the maximum size of a frame without its length prefix.
	MaxFrameBytes = 4 << 20
)

// WireVersion is the version of the frames. Increase it with every change after which a
// process could misread a frame of the previous version. The receiver of a frame of
// another version closes the connection.
const WireVersion = 10

// Method is the name of a remote procedure.
type Method string

// frame is a call or its answer.
type frame struct {
	Version int
	// CallID correlates an answer with its call. The client chooses it, and it is
	// unique on the connection.
	CallID uint64
	Method Method `msgpack:",omitempty"`
	// Code and Detail are set in an answer that is an error.
	Code   Code   `msgpack:",omitempty"`
	Detail string `msgpack:",omitempty"`
	Body   []byte `msgpack:",omitempty"`
}

// The errors of decoding a frame. The receiver closes the connection on each of them.
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

// frameLength decodes the length prefix.
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
