package aqsession

import "acaciaquay/pkg/aqplatform"

// Orders are what the owner wants done on the worker.
type Orders struct {
	// Serial is the session under which the starts were decided.
	Serial    Serial
	Resizes   []aqplatform.ResizeOrder
	Starts    []aqplatform.StartOrder
	Stops     []aqplatform.StopOrder
	AckedEnds []aqplatform.RunID
}

func (o Orders) empty() bool {
	return len(o.Resizes) == 0 && len(o.Starts) == 0 && len(o.Stops) == 0 && len(o.AckedEnds) == 0
}

// forget adds runs to be forgotten. A start of such a run whose answer was lost
// must not be sent again: the worker would take it for a new one.
func (o *Orders) forget(runs []aqplatform.RunID) {
	ended := make([]aqplatform.StartOrder, 0, len(runs))
	for _, run := range runs {
		ended = append(ended, aqplatform.StartOrder{Run: run})
	}
	o.Starts = without(o.Starts, ended, startRun)
	o.AckedEnds = append(o.AckedEnds, runs...)
}

// resize adds resizes. A later one replaces an earlier one of its run.
func (o *Orders) resize(orders []aqplatform.ResizeOrder) {
	o.Resizes = append(without(o.Resizes, orders, resizeRun), orders...)
}

// resized removes resizes that were carried out, but not newer ones of the
// same runs.
func (o *Orders) resized(done []aqplatform.ResizeOrder) {
	carried := make(map[aqplatform.ResizeOrder]bool, len(done))
	for _, d := range done {
		carried[d] = true
	}
	kept := make([]aqplatform.ResizeOrder, 0, len(o.Resizes))
	for _, t := range o.Resizes {
		if !carried[t] {
			kept = append(kept, t)
		}
	}
	o.Resizes = kept
}

func resizeRun(o aqplatform.ResizeOrder) aqplatform.RunID { return o.Run }

func startRun(o aqplatform.StartOrder) aqplatform.RunID { return o.Run }

func stopRun(o aqplatform.StopOrder) aqplatform.RunID { return o.Run }

func sameRun(run aqplatform.RunID) aqplatform.RunID { return run }

// without returns the orders whose runs are not among the others' runs.
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
