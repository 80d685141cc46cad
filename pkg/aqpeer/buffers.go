package aqpeer

import (
	"math/bits"
	"sync"
)

// buffers holds unused buffers for frames, by the power of two of their size. Small frames
// don't use it.
var buffers [bits.UintSize]sync.Pool

// minPooledBytes is the size of the smallest buffers that are used again.
const minPooledBytes = 32 << 10

// takeBuffer returns an empty buffer with room for that many bytes.
func takeBuffer(size int) []byte {
	if size < minPooledBytes {
		return make([]byte, 0, size)
	}
	class := bits.Len(uint(size - 1))
	if unused, ok := buffers[class].Get().(*[]byte); ok {
		return (*unused)[:0]
	}
	return make([]byte, 0, 1<<class)
}

// dropBuffer gives a buffer back that nobody refers to any more.
func dropBuffer(buffer []byte) {
	if size := cap(buffer); size >= minPooledBytes {
		buffers[bits.Len(uint(size-1))].Put(&buffer)
	}
}
