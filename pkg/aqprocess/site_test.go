package aqprocess_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lockedBuffer is a buffer that a process writes to while the test reads it.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// Guards against SIGHUP terminating a process that is still starting. The settings file
// is a named pipe, so the process is reading it when the signal arrives.
func TestReloadDuringStart(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "acaciaquay")
	if out, err := exec.Command("go", "build", "-o", program, "acaciaquay/cmd/acaciaquay").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	pipe := filepath.Join(dir, "site.ini")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	var output lockedBuffer
	cmd := exec.Command(program, "site", "--settings", pipe)
	cmd.Stdout, cmd.Stderr = &output, &output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe for writing blocks until the process has opened it for reading.
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		t.Fatalf("the process ended: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	if err := settings.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil || cmd.ProcessState.ExitCode() != 2 {
		t.Fatalf("empty settings: %v", err)
	}
}
