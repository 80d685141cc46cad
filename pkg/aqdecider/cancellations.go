package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqjob"
)

// cancellation is the stored cancellation of a job.
type cancellation struct {
	job aqjob.ID
	// at is when this decider learned of it.
	at time.Time
}

// Cancel cancels a job. The cancellation may arrive before the job itself, which is then cancelled when it is
// added: its submission may still be on its way to the store. It returns false if the cancellation was known.
func (d *Decider) Cancel(id aqjob.ID) (added bool) {
	if added = !d.cancelled[id]; added {
		d.cancelled[id] = true
		d.cancellations = append(d.cancellations, cancellation{
			job: id,
			at:  d.now,
		})
	}
	if j := d.jobs[id]; j != nil && !j.state.Final() {
		d.finish(j, aqjob.StateCancelled, "submitter cancelled")
	}
	return added
}

// expireCancellations schedules stored cancellations for deletion after the retention period. That of a job
// that is still stored is kept until its records have been deleted.
func (d *Decider) expireCancellations() {
	for len(d.cancellations) > 0 {
		oldest := d.cancellations[0]
		if d.now.Sub(oldest.at) <= d.options.Limits.Retention || d.jobs[oldest.job] != nil {
			return
		}
		delete(d.cancelled, oldest.job)
		d.expiredCancels = append(d.expiredCancels, oldest.job)
		d.cancellations = d.cancellations[1:]
	}
}

// HoldStarts makes Tick decide no starts, and stop nothing to start it elsewhere or to make room, until it is called
// with false.
func (d *Decider) HoldStarts(held bool) { d.startsHeld = held }
