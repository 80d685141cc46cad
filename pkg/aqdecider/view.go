package aqdecider

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"acaciaquay/internal/site/aqwait"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

// WorkerView describes a worker to an operator.
type WorkerView struct {
	Worker  aqtype.WorkerID
	Service aqjob.ServiceID
	Zone    aqtype.Zone
	// Condition is Usable, Draining, Silent, Unlisted, Unstored, Suspected, Avoided,
	// HeldForTrial, ZoneEvacuated, ZoneUnverified or ZoneReopening.
	Condition string
	Runs      int
	Used      aqtype.Resources
	Capacity  aqtype.Resources
}

// JobView describes a job to an operator.
type JobView struct {
	Job   aqjob.ID
	Queue aqjob.QueueID
	State aqjob.State
	Age   time.Duration
	// Running and Waiting count tasks that have a run and tasks that need one.
	Running int
	Waiting int
}

// GroupView describes a group's progress and why its next task waits.
type GroupView struct {
	Group   string
	Tasks   int
	Done    int
	Running int
	// Why is empty when no task waits.
	Why string
}

// ViewWorkers returns all workers, sorted by id.
func (d *Decider) ViewWorkers() []WorkerView {
	views := make([]WorkerView, 0, len(d.fleet))
	for _, w := range d.fleet {
		condition := d.unusableReason(w)
		if condition == "" {
			condition = "Usable"
		}
		views = append(views, WorkerView{
			Worker:    w.info.ID,
			Service:   w.info.Service,
			Zone:      w.info.Zone,
			Condition: condition,
			Runs:      len(w.runs),
			Used:      w.used,
			Capacity:  w.info.Capacity,
		})
	}
	return views
}

// unusableReason returns why nothing may be started on a worker, empty if it is usable.
func (d *Decider) unusableReason(w *worker) string {
	switch {
	case !w.present:
		return "Unlisted"
	case !w.reachable:
		return "Silent"
	case !d.isStored(w):
		return "Unstored"
	case w.info.Draining:
		return "Draining"
	case !d.zoneOpen(w):
		return zoneConditionNames[d.zones[w.info.Zone]]
	case len(w.orphans) > 0 || d.now.Before(w.avoidUntil):
		return "Avoided"
	case !w.health.usable(d.now):
		return "Suspected"
	case w.heldForTrial():
		return "HeldForTrial"
	}
	return ""
}

// ViewJobs returns up to limit jobs without a stored final state, the oldest first.
func (d *Decider) ViewJobs(limit int) []JobView {
	var views []JobView
	for _, j := range d.jobs {
		if !j.storedState.Final() {
			views = append(views, d.viewJob(j))
		}
	}
	slices.SortFunc(views, func(a, b JobView) int {
		if a.Age != b.Age {
			return int(min(1, max(-1, b.Age-a.Age)))
		}
		return strings.Compare(string(a.Job), string(b.Job))
	})
	return views[:min(limit, len(views))]
}

func (d *Decider) viewJob(j *job) JobView {
	state, _ := d.State(j.spec.ID)
	view := JobView{
		Job:   j.spec.ID,
		Queue: j.queue.ID,
		State: state,
		Age:   d.now.Sub(j.acceptedAt),
	}
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			running, waiting := g.counts()
			view.Running += running
			view.Waiting += waiting
		}
	}
	return view
}

// counts returns how many tasks have a run, and how many need one.
func (g *group) counts() (running, waiting int) {
	for _, t := range g.tasks {
		switch {
		case t.run != nil:
			running++
		case !t.done:
			waiting++
		}
	}
	return running, waiting
}

// ViewJob returns a job with its groups, false if it is unknown.
func (d *Decider) ViewJob(id aqjob.ID) (JobView, []GroupView, bool) {
	j := d.jobs[id]
	if j == nil {
		return JobView{}, nil, false
	}
	numbers := make([]aqjob.Occurrence, 0, len(j.occurrences))
	for number := range j.occurrences {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	var groups []GroupView
	for _, number := range numbers {
		for _, g := range j.occurrences[number].groups {
			running, waiting := g.counts()
			view := GroupView{
				Group:   g.key().String(),
				Tasks:   len(g.tasks),
				Done:    len(g.tasks) - running - waiting,
				Running: running,
			}
			if waiting > 0 {
				view.Why = d.waitReason(g)
			}
			groups = append(groups, view)
		}
	}
	return d.viewJob(j), groups, true
}

// waitReason returns what the next task of a group waits for.
func (d *Decider) waitReason(g *group) string {
	unreported := d.hasUnreported()
	switch {
	case g.occurrence.job.state.Final():
		return "the job has ended"
	case !g.ready:
		return "earlier groups are not done"
	case d.startsHeld:
		return "the leader to learn of cancellations again"
	case unreported && len(g.pending(d.now, true)) == 0:
		return fmt.Sprintf("it may still run on %d workers that have not been heard of", len(d.unreported))
	case len(g.pending(d.now, unreported)) == 0:
		return "a pause after a refusal"
	case g.spec.Perpetual && len(d.returnDue(g.pending(d.now, unreported))) == 0:
		return "it gave way to more urgent tasks a moment ago"
	case g.suspectWaits():
		return "an isolated worker for a task that may crash workers"
	case !d.anySuitable(g):
		return d.noWorkerReason(g)
	case d.fillerShort(g):
		return "no search yet since a task of the image that is no larger found no worker"
	case !g.rackWaitSince.IsZero() && !g.rackGivenUp:
		return "places on its rack, for up to " + aqwait.MaxWait.String()
	case g.spec.Gang:
		return "room for the whole gang"
	case g.spec.Perpetual:
		return "room is kept for tasks that end"
	}
	return "the next round of decisions"
}

func (d *Decider) anySuitable(g *group) bool {
	return slices.ContainsFunc(d.fleet, func(w *worker) bool {
		_, suitable := d.suitability(g, w, aqtype.Resources{})
		return suitable
	})
}

// noWorkerReason counts the workers of the service by the reason for which they do not
// suit the group.
func (d *Decider) noWorkerReason(g *group) string {
	count := map[string]int{}
	for _, w := range d.fleet {
		if w.info.Service == g.occurrence.job.queue.Service {
			count[d.rejectReason(g, w)]++
		}
	}
	if len(count) == 0 {
		return "no worker of service " + string(g.occurrence.job.queue.Service)
	}
	reasons := make([]string, 0, len(count))
	for reason, n := range count {
		reasons = append(reasons, fmt.Sprintf("%s: %d", reason, n))
	}
	slices.Sort(reasons)
	return "no worker takes it; " + strings.Join(reasons, ", ")
}

func (d *Decider) rejectReason(g *group, w *worker) string {
	if reason := d.unusableReason(w); reason != "" {
		return reason
	}
	var none aqtype.Resources
	switch {
	case !w.used.Add(g.spec.Reserved()).Fits(w.info.Capacity):
		return "NoRoom"
	case g.spec.Constraint != "" && !slices.Contains(w.info.Labels, g.spec.Constraint):
		return "OtherLabel"
	case w.startsFull():
		return "StartsUnderWay"
	case !d.feasible(g, w, none):
		return "AntiAffinity"
	case !d.eligible(g, w, none):
		return "NoTicket"
	case g.spec.Filler:
		return d.fillerObstacle(g, w, fullPace)
	}
	return "Suitable"
}
