package aqsite

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqlog"
)

// loggingNode returns a test node whose log is written to the buffer.
func loggingNode(t *testing.T) (*Node, *bytes.Buffer, func(time.Duration)) {
	t.Helper()
	n, clock := testNode(t, newFakeStore())
	var out bytes.Buffer
	log, err := aqlog.New(&out, "n1", "")
	if err != nil {
		t.Fatal(err)
	}
	n.log = log
	return n, &out, clock.Advance
}

func TestOddEntryThatIsReadAgainDoesNotFloodTheLog(t *testing.T) {
	n, out, advance := loggingNode(t)
	for i := range 1000 {
		n.ignoreEntry("workers/odd", errors.Errorf("cannot decode %d", i))
		n.ignoreEntry("workers/other", errors.New("cannot decode"))
		advance(10 * time.Millisecond)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("%d lines for two entries in ten seconds", lines)
	}
	advance(ignoredLogInterval)
	n.ignoreEntry("workers/odd", errors.New("cannot decode"))
	if lines := strings.Count(out.String(), "\n"); lines != 3 {
		t.Errorf("%d lines, want one more after an interval", lines)
	}
}

func TestManyOddEntriesFloodNeitherLogNorMemory(t *testing.T) {
	n, out, _ := loggingNode(t)
	for i := range 10 * maxIgnoredEntries {
		n.ignoreEntry(fmt.Sprintf("workers/%d", i), errors.New("cannot decode"))
	}
	if lines := strings.Count(out.String(), "\n"); lines > maxIgnoredEntries {
		t.Errorf("%d lines, want at most %d", lines, maxIgnoredEntries)
	}
}

func TestLogLineOfAnOddEntryIsShort(t *testing.T) {
	n, out, _ := loggingNode(t)
	n.ignoreEntry("workers/odd", errors.New(strings.Repeat("ü", 1<<20)))
	if out.Len() == 0 || out.Len() > 1<<10 {
		t.Errorf("a line of %d bytes", out.Len())
	}
}
