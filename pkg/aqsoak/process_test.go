package aqsoak

import (
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"acaciaquay/pkg/aqstandin"
)

// defaultHangup gives SIGHUP its default action in programs that the test starts, also
// when the test itself was started with the signal ignored.
func defaultHangup(t *testing.T) {
	t.Helper()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
}

// startScript starts a shell script in place of the program, beside another program
// that accepts connections on the process's submit address.
func startScript(t *testing.T, script string) *process {
	t.Helper()
	defaultHangup(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script), 0o700); err != nil {
		t.Fatal(err)
	}
	loopback, err := aqstandin.ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = loopback.Close() })
	p, err := newProcess(program, dir, 1, loopback, "127.0.0.1:1", false)
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.Listen("tcp", p.submitAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { <-p.signal(syscall.SIGKILL, true) })
	return p
}

// Guards against SIGHUP to a process that the dynamic linker still has, which ends any program.
func TestReloadSparesProcessThatHasNotBegun(t *testing.T) {
	p := startScript(t, "exec sleep 600\n")
	if p.reload() {
		t.Fatal("SIGHUP was sent to a process for which it has the default action")
	}
}

// Guards against reload signals that reach no process, or are missed as a cause of an exit.
func TestReloadReachesProcessThatHasBegun(t *testing.T) {
	p := startScript(t, "trap 'exit 7' HUP\nwhile :; do sleep 0.01; done\n")
	for !p.reload() {
		time.Sleep(time.Millisecond)
	}
	<-p.signal(0, false)
	if len(p.unexpectedExits) != 1 {
		t.Fatalf("exits: %v", p.unexpectedExits)
	}
}
