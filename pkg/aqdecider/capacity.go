package aqdecider

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// overCapacityDelay is how long a worker stays over its capacity before perpetual tasks
// leave it. A capacity may grow again within seconds, and each move costs a task's users.
const overCapacityDelay = 2 * time.Second

// capacityChanged handles a worker's new capacity. Starts that would bring the worker over
// it, and are not known to have been carried out, are taken back.
func (d *Decider) capacityChanged(w *worker, before aqtype.Resources) {
	d.options.Log.Write(aqlog.CapacityChanged, workerAttr(w.info.ID),
		slog.String("From", before.String()), slog.String("To", w.info.Capacity.String()),
		slog.String("Reserved", w.used.String()), slog.Int("Runs", len(w.runs)))
	d.resumeSearches()
	if w.used.Fits(w.info.Capacity) {
		return
	}
	for _, r := range w.startsLastFirst() {
		if w.usedAfterStops().Fits(w.info.Capacity) {
			return
		}
		d.stop(r, "worker's capacity shrank")
	}
}

// startsLastFirst returns the runs whose start is not confirmed, the last ordered first.
func (w *worker) startsLastFirst() []*run {
	var starts []*run
	for _, r := range w.runs {
		if r.state == runStarting {
			starts = append(starts, r)
		}
	}
	slices.SortFunc(starts, func(a, b *run) int {
		if order := b.orderedAt.Compare(a.orderedAt); order != 0 {
			return order
		}
		return strings.Compare(b.id.Task.String(), a.id.Task.String())
	})
	return starts
}

// usedAfterStops returns what the runs reserve without those that are being stopped.
func (w *worker) usedAfterStops() aqtype.Resources {
	used := w.used
	for _, r := range w.runs {
		if r.state == runStopping {
			used = used.Sub(r.size)
		}
	}
	return used
}

// overCapacity reports whether more must leave the worker until its runs fit.
func (d *Decider) overCapacity(w *worker) bool {
	if w.used.Fits(w.info.Capacity) {
		w.overSince = time.Time{}
		return false
	}
	if w.overSince.IsZero() {
		w.overSince = d.now
	}
	if d.now.Sub(w.overSince) < overCapacityDelay {
		return false
	}
	return !w.usedAfterStops().Fits(w.info.Capacity)
}
