// Package aqpeer implements calls between the system's own processes. A call is a
// frame with a length prefix and a msgpack body over TCP.
package aqpeer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
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
const WireVersion = 12

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

// frameFields is the number of fields of a frame, maxNameBytes the longest name in one.
const (
	frameFields  = 6
	maxNameBytes = 64
)

// decodeFrame decodes a frame. Its Body is a part of data, not a copy.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := f.decode(data); err != nil {
		return frame{}, errors.WithMessage(ErrFrameMalformed, err.Error())
	}
	if f.Version != WireVersion {
		return frame{}, ErrFrameVersion
	}
	return f, nil
}

func (f *frame) decode(data []byte) error {
	// The decoder reads no further than what it decodes, since a bytes.Reader can unread.
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count != frameFields {
		return errors.Errorf("%d fields, want %d", count, frameFields)
	}
	if f.Version, err = decoder.DecodeInt(); err != nil {
		return err
	}
	if f.CallID, err = decoder.DecodeUint64(); err != nil {
		return err
	}
	var names [2]string
	for i := range names {
		if names[i], err = decodeName(decoder, reader); err != nil {
			return err
		}
	}
	f.Method, f.Code = Method(names[0]), Code(names[1])
	if f.Detail, err = decoder.DecodeString(); err != nil {
		return err
	}
	length, err := decoder.DecodeBytesLen()
	if err != nil || length < 0 {
		return err
	}
	if length != reader.Len() {
		return errors.Errorf("the body has %d bytes, not %d", reader.Len(), length)
	}
	f.Body = data[len(data)-length:]
	return nil
}

// decodeName decodes a method or code, which are short.
func decodeName(decoder *msgpack.Decoder, reader *bytes.Reader) (string, error) {
	length, err := decoder.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if length > maxNameBytes {
		return "", errors.Errorf("a name of %d bytes", length)
	}
	name := make([]byte, max(0, length))
	if _, err := io.ReadFull(reader, name); err != nil {
		return "", err
	}
	return string(name), nil
}
