package aqdecider

import (
	"time"

	"acaciaquay/pkg/aqtype"
)

// advice is what the advice service has said of a group.
type advice struct {
	asked   map[aqtype.WorkerID]bool
	tickets map[aqtype.WorkerID]ticket
}

// ticket is a permission to run a group's tasks on a worker.
type ticket struct {
	text  string
	life  Life
	until time.Time
}

// ticket returns the permission to run a group on a worker, empty when there is
// none.
func (d *Decider) ticket(g *group, w *worker) string {
	a := d.advice[g.key()]
	if a == nil {
		return ""
	}
	t := a.tickets[w.listed.ID]
	if t.life != w.listed.Life || !d.now.Before(t.until) {
		return ""
	}
	return t.text
}

// dropTicket forgets a permission that a worker did not take.
func (d *Decider) dropTicket(g *group, id aqtype.WorkerID) {
	if a := d.advice[g.key()]; a != nil {
		delete(a.tickets, id)
		delete(a.asked, id)
	}
}
