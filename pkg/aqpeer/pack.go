package aqpeer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Pack encodes a struct as an array of its fields in order. It leaves out their names
// because most messages between processes hold many small structs. Unpack refuses an
// array whose length is not the number of fields, so a change of a struct's fields must
// raise WireVersion.
func Pack(value any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack decodes data that Pack has encoded into out, a pointer.
func Unpack(data []byte, out any) error { return msgpack.Unmarshal(data, out) }
