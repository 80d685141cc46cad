package aqprocess_test

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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

// defaultHangup gives SIGHUP its default action in programs that the test starts, also
// when the test itself was started with the signal ignored.
func defaultHangup(t *testing.T) {
	t.Helper()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "acaciaquay")
	if out, err := exec.Command("go", "build", "-o", program, "acaciaquay/cmd/acaciaquay").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// Guards against SIGHUP terminating a process that is still starting. The settings file
// is a named pipe, so the process is reading it when the signal arrives.
func TestReloadDuringStart(t *testing.T) {
	defaultHangup(t)
	program := buildProgram(t)
	pipe := filepath.Join(t.TempDir(), "site.ini")
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

// pipeWithRoom returns a pipe in which a writer finds room for that many bytes and then blocks.
func pipeWithRoom(t *testing.T, room int) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = r.Close()
		_ = w.Close()
	})
	size, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(make([]byte, size-room)); err != nil {
		t.Fatal(err)
	}
	return r, w
}

func buffered(t *testing.T, r *os.File) int {
	t.Helper()
	n, err := unix.IoctlGetInt(int(r.Fd()), unix.TIOCINQ)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against SIGHUP terminating a process before main. The trace of its package initialization blocks it there.
func TestReloadBeforeMain(t *testing.T) {
	defaultHangup(t)
	const room = 100
	settings := filepath.Join(t.TempDir(), "site.ini")
	if err := os.WriteFile(settings, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	r, w := pipeWithRoom(t, room)
	before := buffered(t, r)
	cmd := exec.Command(buildProgram(t), "site", "--settings", settings)
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	cmd.Stderr = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for buffered(t, r) == before {
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	trace, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 2 {
		t.Fatalf("empty settings: %v", err)
	}
	if len(trace) <= before+room {
		t.Errorf("the trace of %d bytes did not block the process", len(trace)-before)
	}
}

// Guards against commands without a reload outliving the terminal that started them.
func TestHangupEndsOtherCommands(t *testing.T) {
	defaultHangup(t)
	pipe := filepath.Join(t.TempDir(), "host.ini")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(buildProgram(t), "check-settings", pipe)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	_ = settings.Close()
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGHUP {
		t.Fatalf("ended with %v", cmd.ProcessState)
	}
}
