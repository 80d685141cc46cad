package aqsite

import (
	"log/slog"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
)

// cancelSource is how a leader has learned of a cancellation, as it appears in the log.
type cancelSource string

const (
	byWatch        cancelSource = "Watch"
	byNotification cancelSource = "Notification"
	byProof        cancelSource = "Proof"
	byRead         cancelSource = "Read"
)

// cancel applies a stored cancellation.
func (l *leader) cancel(d *aqdecider.Decider, id aqjob.ID, by cancelSource) {
	if d.Cancel(id) {
		l.node.log.Write(aqlog.CancelLearned, slog.String("Job", string(id)), slog.String("By", string(by)))
	}
}
