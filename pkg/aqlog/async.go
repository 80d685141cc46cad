package aqlog

import (
	"io"
	"log/slog"
	"sync"

	"acaciaquay/pkg/aqmetric"
)

// maxPendingLines limits the lines that are queued while out.Write blocks.
const maxPendingLines = 4096

// maxPendingBytes limits their size.
const maxPendingBytes = 4 << 20

// Async queues lines for a writer that may block. Lines that arrive while the queue is
// full are dropped and counted; a later LinesDropped event reports how many.
type Async struct {
	out     io.Writer
	metrics *aqmetric.Set

	mu    sync.Mutex
	lines [][]byte
	// size is the sum of the lengths of lines.
	size    int
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer that writes lines to out in the background.
func NewAsync(out io.Writer, metrics *aqmetric.Set) *Async {
	a := &Async{
		out:     out,
		metrics: metrics,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	go a.run()
	return a
}

// Write implements io.Writer. It never blocks.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.lines) >= maxPendingLines || a.size+len(line) > maxPendingBytes || a.closed {
		a.dropped++
		a.mu.Unlock()
		a.metrics.Inc(aqmetric.LogLinesDropped)
		return len(line), nil
	}
	a.lines = append(a.lines, append([]byte(nil), line...))
	a.size += len(line)
	a.mu.Unlock()
	a.signal()
	return len(line), nil
}

func (a *Async) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		<-a.wake
		lines, dropped, closed := a.drain()
		if dropped > 0 {
			lines = append(lines, droppedLine(dropped))
		}
		for len(lines) > 0 {
			chunk, count := nextChunk(lines)
			lines = lines[count:]
			if _, err := a.out.Write(chunk); err != nil {
				a.metrics.Add(aqmetric.LogLinesDropped, count)
			}
		}
		if closed {
			return
		}
	}
}

// maxWriteBytes limits one write. A pipe accepts a write of up to this size (PIPE_BUF on
// Linux) whole or not at all. It may split a larger write, so that a reader gets only
// part of it.
const maxWriteBytes = 4096

// nextChunk joins the lines that fit into one write, one line at least.
func nextChunk(lines [][]byte) (chunk []byte, count int) {
	for _, line := range lines {
		if count > 0 && len(chunk)+len(line) > maxWriteBytes {
			break
		}
		chunk = append(chunk, line...)
		count++
	}
	return chunk, count
}

func (a *Async) drain() (lines [][]byte, dropped int, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines, dropped = a.lines, a.dropped
	a.lines, a.size, a.dropped = nil, 0, 0
	return lines, dropped, a.closed
}

func droppedLine(count int) []byte {
	var line lineBuffer
	logger := &Logger{out: slog.New(slog.NewTextHandler(&line, nil))}
	logger.Write(LinesDropped, slog.Int("Count", count))
	return line
}

type lineBuffer []byte

func (b *lineBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// Close makes the writer drop later lines and stop once it has written the queued ones.
// It does not wait for that; receive from Done to wait.
func (a *Async) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
}

// Done returns a channel that is closed once all lines queued before Close are written.
func (a *Async) Done() <-chan struct{} { return a.done }
