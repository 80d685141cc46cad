//go:build !cgo

// Package aqhangup does nothing in builds without cgo: SIGHUP has its default action
// until os/signal.Notify.
package aqhangup

// Restore does nothing.
func Restore() error { return nil }
