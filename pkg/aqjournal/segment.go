// Package aqjournal stores a shard's journal in the platform's store, as a snapshot
// and a ring of numbered segments. Records and state are opaque to it, so that it
// can be used on its own.
package aqjournal

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqtype"
)

// RingSlots is the number of keys that hold a shard's segments. Segment n is
// stored in slot n modulo RingSlots. A slot is overwritten only by a write that
// names its last revision, and never deleted. A deposed owner's write therefore
// fails no matter how long the owner was paused; if old segments were deleted, it
// could create their keys again.
const RingSlots = 64

// maxStateBytes bounds a snapshot so that it fits one value of the store.
const maxStateBytes = aqplatform.MaxValueBytes - 4096

// Segment is a batch of records committed by one write.
type Segment struct {
	// Number is one more than that of the previous segment.
	Number uint64
	// Epoch never decreases from one segment to the next.
	Epoch aqtype.Epoch
	// Writer and Nonce together are unique to each segment written.
	Writer aqtype.ProcessID
	Nonce  uint64
	// Released marks the last segment of an owner that has handed the shard
	// over. That owner has no session renewal in flight and sends no more.
	Released bool
	Records  [][]byte
}

// sameWrite reports whether two segments come from the same write.
func (s Segment) sameWrite(o Segment) bool {
	return s.Number == o.Number && s.Writer == o.Writer && s.Nonce == o.Nonce
}

// Snapshot is the state after a committed segment.
type Snapshot struct {
	// Through is the number of the last segment that the state contains. It never
	// decreases.
	Through uint64
	Epoch   aqtype.Epoch
	State   []byte
}

func slotKey(shard aqtype.ShardID, number uint64) string {
	return fmt.Sprintf("%sseg/%02d", shardPrefix(shard), number%RingSlots)
}

func snapshotKey(shard aqtype.ShardID) string {
	return shardPrefix(shard) + "snapshot"
}

func shardPrefix(shard aqtype.ShardID) string {
	return fmt.Sprintf("aq/shard/%05d/", shard)
}

// compressors are pooled because a new one allocates over a megabyte.
var compressors = sync.Pool{
	New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err)
		}
		return w
	},
}

// encode encodes and compresses a value for the store.
func encode(v any) ([]byte, error) {
	var compressed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&compressed)
	if err := msgpack.NewEncoder(compressor).Encode(v); err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "journal: compress")
	}
	return compressed.Bytes(), nil
}

func decode(data []byte, v any) error {
	reader := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(reader)
	if err != nil {
		return errors.Wrap(err, "journal: decompress")
	}
	return errors.Wrap(msgpack.Unmarshal(plain, v), "journal: decode")
}
