// Package aqjournal keeps a shard's decisions in the platform's store as a
// snapshot and a ring of numbered segments. It has no knowledge of what the
// decisions mean, and can be embedded by itself.
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
// stored in slot n modulo RingSlots. A slot is only ever overwritten by a write
// that names its last revision and never deleted: a deposed owner therefore
// fails however long it was paused, which would not hold if old segments were
// deleted and their keys could be created anew.
const RingSlots = 64

// maxStateBytes bounds a snapshot so that it fits one value of the store.
const maxStateBytes = aqplatform.MaxValueBytes - 4096

// Segment is one write of the journal.
type Segment struct {
	// Number is one more than the segment before it.
	Number uint64
	// Epoch never falls from one segment to the next.
	Epoch aqtype.Epoch
	// Writer and Nonce together are different for any two segments written.
	Writer aqtype.HostID
	Nonce  uint64
	// Released marks the last segment of an owner that has handed the shard
	// over: it has no renewal under way and sends none.
	Released bool
	Records  [][]byte
}

// sameWrite reports whether two segments come from the same write.
func (s Segment) sameWrite(o Segment) bool {
	return s.Number == o.Number && s.Writer == o.Writer && s.Nonce == o.Nonce
}

// Snapshot is the state after a committed segment.
type Snapshot struct {
	// Through is the last segment that the state contains. It never falls.
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

// compressors are kept because a new one takes over a megabyte.
var compressors = sync.Pool{
	New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err)
		}
		return w
	},
}

// encode packs and compresses a value for the store.
func encode(v any) ([]byte, error) {
	var packed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&packed)
	if err := msgpack.NewEncoder(compressor).Encode(v); err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "journal: compress")
	}
	return packed.Bytes(), nil
}

func decode(data []byte, v any) error {
	reader := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(reader)
	if err != nil {
		return errors.Wrap(err, "journal: decompress")
	}
	return errors.Wrap(msgpack.Unmarshal(plain, v), "journal: decode")
}
