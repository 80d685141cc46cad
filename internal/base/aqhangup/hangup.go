//go:build cgo

// Package aqhangup ignores SIGHUP from before the Go runtime starts, so that a reload
// signal does not terminate a starting program. os/signal.Notify enables the signal.
package aqhangup

/*
#include <signal.h>
#include <stddef.h>

static struct sigaction inherited;

__attribute__((constructor)) static void ignoreHangup(void) {
	struct sigaction ignore = {.sa_handler = SIG_IGN};
	sigaction(SIGHUP, &ignore, &inherited);
}

static int restoreHangup(void) {
	return sigaction(SIGHUP, &inherited, NULL);
}
*/
import "C"

import "github.com/pkg/errors"

// Restore sets SIGHUP to the action that the program inherited, for commands that do
// not reload. It must not be called while the signal is enabled by os/signal.
func Restore() error {
	_, err := C.restoreHangup()
	return errors.Wrap(err, "restore the action of SIGHUP")
}
