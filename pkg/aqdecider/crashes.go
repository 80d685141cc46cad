package aqdecider

import (
	"log/slog"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// runsLost logs the runs that are lost with a worker. restarted is set when the worker is
// known to have crashed.
func (d *Decider) runsLost(w *worker, restarted bool) {
	for _, r := range w.runs {
		r.task.losses++
		d.options.Metrics.Inc(aqmetric.RunsLost)
		d.options.Log.Write(aqlog.RunLost, taskAttr(r.id.Task), workerAttr(w.info.ID),
			slog.Int("Attempt", int(r.id.Attempt)), slog.Bool("Restarted", restarted),
			slog.Duration("Seen", w.reportedAt.Sub(r.orderedAt)), slog.Int("Beside", len(w.runs)-1),
			slog.Int("Losses", r.task.losses))
	}
}
