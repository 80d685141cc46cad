package aqdecider

import (
	"slices"

	"acaciaquay/pkg/aqtype"
)

// placeGang starts all members of a gang or none.
func (d *Decider) placeGang(g *group, pending []*task) {
	if len(pending) < len(g.tasks) {
		return
	}
	if !d.trialsReady(pending) || g.occurrence.job.state.Final() {
		return
	}
	chosen := d.gangWorkers(g, pending)
	if chosen == nil || (g.spec.SameRack && spread(chosen) && d.gangWaits(g)) {
		return
	}
	var attempt Attempt
	checkpoint := ""
	for _, t := range pending {
		attempt = max(attempt, t.attempt)
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range pending {
		t.checkpoint = checkpoint
		d.start(t, chosen[i], attempt+1)
	}
}

// gangWorkers finds room for all members: on one rack if the gang asks for it and a
// rack has room, otherwise on any workers.
func (d *Decider) gangWorkers(g *group, pending []*task) []*worker {
	if g.spec.SameRack {
		for _, rack := range d.racks() {
			if chosen := d.fitGang(g, pending, rack); chosen != nil {
				return chosen
			}
		}
	}
	return d.fitGang(g, pending, "")
}

// spread reports whether the workers are on more than one rack.
func spread(workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool { return w.rack != workers[0].rack })
}

// fitGang chooses a worker for each member, on the given rack if it is not empty. It
// returns nil if a member finds no room. To exclude the workers of other racks, it
// counts their whole capacity as reserved.
func (d *Decider) fitGang(g *group, pending []*task, rack aqtype.Rack) []*worker {
	tentative := map[*worker]aqtype.Resources{}
	if rack != "" {
		for _, w := range d.fleet {
			if w.rack != rack {
				tentative[w] = w.info.Capacity
			}
		}
	}
	var chosen []*worker
	for _, t := range pending {
		w := t.trialWorker
		if w == nil {
			w = d.choose(t, tentative)
		}
		if w == nil {
			return nil
		}
		tentative[w] = tentative[w].Add(g.spec.Reserved())
		chosen = append(chosen, w)
	}
	return chosen
}

// racks lists the racks in order of their names.
func (d *Decider) racks() []aqtype.Rack {
	var racks []aqtype.Rack
	for _, w := range d.fleet {
		if w.rack != "" && !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	slices.Sort(racks)
	return racks
}
