// Package aqsignal wakes goroutines that wait on a channel with room for one signal.
package aqsignal

// Send leaves a signal in wake unless one is waiting there already. It never blocks.
func Send(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
