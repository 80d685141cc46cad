package aqintake

import "bytes"

// Memory that is reserved for a request, as a multiple of what arrives. A header line
// becomes a map entry, a slice and two strings, and the map grows by doubling.
const (
	baseCost     = 2 * KiB
	headByteCost = 4
	headLineCost = 256
	bodyByteCost = 8
	// streamByteCost is that of the bytes that a handler holds of a body that it passes on.
	streamByteCost = 2
)

// headScanner counts the bytes and lines of a head, including empty lines before it, and
// finds its end. It accepts whatever net/http accepts.
type headScanner struct {
	bytes int
	lines int
	// line is the length of the current line so far, first its first byte.
	line  int
	first byte
	// begun is set by the first byte that is not of an empty line.
	begun bool
	// started is set by the first line that is not empty.
	started bool
	// ended is set by the first empty line after that.
	ended bool
}

// scan counts the next bytes and returns how many of them belong to the head. Once the
// head has ended, further bytes count as well: net/http has asked for them.
func (h *headScanner) scan(data []byte) int {
	if h.ended {
		h.bytes += len(data)
		h.lines += bytes.Count(data, []byte{'\n'})
		return len(data)
	}
	used := 0
	for used < len(data) {
		rest := data[used:]
		if h.line == 0 {
			h.first = rest[0]
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.line += len(rest)
			used = len(data)
			break
		}
		length := h.line + end
		used += end + 1
		h.line = 0
		h.lines++
		if length > 1 || (length == 1 && h.first != '\r') {
			h.started = true
			continue
		}
		if h.started {
			h.ended = true
			break
		}
	}
	h.bytes += used
	return used
}

// leading returns how many of the next bytes belong to empty lines before the head. It is
// called before scan.
func (h *headScanner) leading(data []byte) int {
	if h.begun {
		return 0
	}
	count := len(data) - len(bytes.TrimLeft(data, "\r\n"))
	h.begun = count < len(data)
	return count
}

// skip counts bytes that net/http has read past the end of the last request.
func (h *headScanner) skip(bytes, lines int) {
	h.bytes += bytes
	h.lines += lines
}

// cost returns the memory to reserve for what has been scanned.
func (h *headScanner) cost() Bytes {
	if h.bytes == 0 {
		return 0
	}
	return baseCost + Bytes(h.bytes*headByteCost+h.lines*headLineCost)
}
