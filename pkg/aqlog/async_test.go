package aqlog

import (
	"strings"
	"sync"
	"testing"

	"acaciaquay/pkg/aqmetric"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}

	mu      sync.Mutex
	text    strings.Builder
	largest int
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	w.largest = max(w.largest, len(p))
	return w.text.Write(p)
}

// While nothing reads the log, writers must not block: surplus lines are dropped,
// counted and reported.
func TestStuckReaderCostsLinesOnly(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	metrics := aqmetric.New()
	lines := NewAsync(out, metrics)
	log, err := New(lines, "n1", "all")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 * maxPendingLines {
		log.Write(ProcessStarted)
	}
	if dropped := metrics.Value(aqmetric.LogLinesDropped); dropped < maxPendingLines {
		t.Fatalf("%d lines were dropped", dropped)
	}
	close(out.release)
	lines.Close()
	<-lines.Done()
	if out.largest > maxWriteBytes {
		t.Errorf("%d bytes were written at once", out.largest)
	}
	if text := out.text.String(); !strings.Contains(text, LinesDropped.Message) {
		t.Fatal("no event reports the dropped lines")
	}
}
