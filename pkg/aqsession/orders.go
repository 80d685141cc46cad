package aqsession

import "acaciaquay/pkg/aqplatform"

// Orders are the owner's orders for the worker.
type Orders struct {
	// Serial is the session under which the starts were decided.
	Serial  Serial
	Resizes []aqplatform.ResizeOrder
	Starts  []aqplatform.StartOrder
	Stops   []aqplatform.StopOrder
	// AckedEnds are ended runs whose end is committed. The worker may discard its
	// records of them.
	AckedEnds []aqplatform.RunID
}

func (o Orders) empty() bool {
	return len(o.Resizes) == 0 && len(o.Starts) == 0 && len(o.Stops) == 0 && len(o.AckedEnds) == 0
}

// acknowledge adds ended runs that the worker may discard. A queued start of such a
// run, whose answer was lost, must not be sent again: the worker has no record of
// the run any more and would start it anew.
func (o *Orders) acknowledge(runs []aqplatform.RunID) {
	ended := make([]aqplatform.StartOrder, 0, len(runs))
	for _, run := range runs {
		ended = append(ended, aqplatform.StartOrder{Run: run})
	}
	o.Starts = without(o.Starts, ended, startRun)
	o.AckedEnds = append(o.AckedEnds, runs...)
}

// addResizes adds resizes. Each replaces an earlier resize of the same run.
func (o *Orders) addResizes(orders []aqplatform.ResizeOrder) {
	o.Resizes = append(without(o.Resizes, orders, resizeRun), orders...)
}

// removeResizes removes the resizes of an answered command, but not newer ones of
// the same runs.
func (o *Orders) removeResizes(sent []aqplatform.ResizeOrder) {
	isSent := make(map[aqplatform.ResizeOrder]bool, len(sent))
	for _, r := range sent {
		isSent[r] = true
	}
	kept := make([]aqplatform.ResizeOrder, 0, len(o.Resizes))
	for _, r := range o.Resizes {
		if !isSent[r] {
			kept = append(kept, r)
		}
	}
	o.Resizes = kept
}

func resizeRun(o aqplatform.ResizeOrder) aqplatform.RunID { return o.Run }

func startRun(o aqplatform.StartOrder) aqplatform.RunID { return o.Run }

func stopRun(o aqplatform.StopOrder) aqplatform.RunID { return o.Run }

func endRun(run aqplatform.RunID) aqplatform.RunID { return run }

// without returns the orders whose runs are not among those of others.
func without[T any](orders, others []T, run func(T) aqplatform.RunID) []T {
	if len(orders) == 0 || len(others) == 0 {
		return orders
	}
	drop := make(map[aqplatform.RunID]bool, len(others))
	for _, o := range others {
		drop[run(o)] = true
	}
	kept := make([]T, 0, len(orders))
	for _, o := range orders {
		if !drop[run(o)] {
			kept = append(kept, o)
		}
	}
	return kept
}
