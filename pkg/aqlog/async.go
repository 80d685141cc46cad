package aqlog

import (
	"io"
	"log/slog"
	"sync"

	"acaciaquay/pkg/aqmetric"
)

// maxPendingLines bounds the lines that wait for a slow reader.
const maxPendingLines = 4096

// Async passes lines to a writer that may block. Lines that find the queue full
// are dropped and counted; the next line that is written says how many.
type Async struct {
	out     io.Writer
	metrics *aqmetric.Set

	mu      sync.Mutex
	lines   [][]byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer that passes lines on to out.
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
	if len(a.lines) >= maxPendingLines || a.closed {
		a.dropped++
		a.mu.Unlock()
		a.metrics.Inc(aqmetric.LogLinesDropped)
		return len(line), nil
	}
	a.lines = append(a.lines, append([]byte(nil), line...))
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
		lines, dropped, closed := a.take()
		if dropped > 0 {
			lines = append(lines, droppedLine(dropped))
		}
		for len(lines) > 0 {
			piece, count := nextChunk(lines)
			lines = lines[count:]
			if _, err := a.out.Write(piece); err != nil {
				a.metrics.Add(aqmetric.LogLinesDropped, count)
			}
		}
		if closed {
			return
		}
	}
}

// maxWriteBytes is what a pipe takes whole or not at all. Readers of larger writes
// may get only a part.
const maxWriteBytes = 4096

// nextChunk joins the lines that fit into one write, one line at least.
func nextChunk(lines [][]byte) (piece []byte, count int) {
	for _, line := range lines {
		if count > 0 && len(piece)+len(line) > maxWriteBytes {
			break
		}
		piece = append(piece, line...)
		count++
	}
	return piece, count
}

func (a *Async) take() (lines [][]byte, dropped int, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines, dropped = a.lines, a.dropped
	a.lines, a.dropped = nil, 0
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

// Close writes the lines that wait, unless the writer blocks.
func (a *Async) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
}

// Done is closed when Close has written everything.
func (a *Async) Done() <-chan struct{} { return a.done }
