package aqsite

import (
	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
)

// ErrNotLeading means that this process does not lead or cannot answer yet. Overview
// names the leader.
var ErrNotLeading = errors.New("site: this process does not lead")

// Overview is the state of a process and the leader that it knows.
type Overview struct {
	Process string
	Leading bool
	// Leader is empty while none is known.
	Leader        string
	Term          int64
	Fence         aqworker.Fence
	StoreServes   bool
	ConfigVersion int64
	Ready         bool
}

// JobDetail is a job with its groups.
type JobDetail struct {
	Job    aqdecider.JobView
	Groups []aqdecider.GroupView
}

// Overview returns the state of this process.
func (n *Node) Overview() Overview {
	view := Overview{
		Process:     n.settings.Name,
		StoreServes: !n.storeDown.Load(),
		Ready:       n.Ready(),
	}
	if config := n.routes.config(); config != nil {
		view.ConfigVersion = config.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	view.Leading = n.current != nil
	view.Fence = n.seenFence
	if n.seenLeader != nil {
		view.Leader = n.seenLeader.Node
		view.Term = n.seenLeader.Term
	}
	return view
}

// view calls read with the leader's decider.
func (n *Node) view(read func(*aqdecider.Decider)) error {
	l := n.leading()
	if l == nil || !l.mayAnswer() {
		return ErrNotLeading
	}
	l.decide(read)
	return nil
}

// ViewWorkers lists the workers as the leader sees them.
func (n *Node) ViewWorkers() (workers []aqdecider.WorkerView, err error) {
	err = n.view(func(d *aqdecider.Decider) { workers = d.ViewWorkers() })
	return workers, err
}

// ViewEvacuations lists what is left in evacuated zones, and why.
func (n *Node) ViewEvacuations() (left []aqdecider.EvacuationView, err error) {
	err = n.view(func(d *aqdecider.Decider) { left = d.ViewEvacuations() })
	return left, err
}

// ViewJobs lists up to limit jobs that have not ended, the oldest first.
func (n *Node) ViewJobs(limit int) (jobs []aqdecider.JobView, err error) {
	err = n.view(func(d *aqdecider.Decider) { jobs = d.ViewJobs(limit) })
	return jobs, err
}

// ViewJob returns one job with its groups, and ErrNoJob when it is not known.
func (n *Node) ViewJob(id aqjob.ID) (detail JobDetail, err error) {
	known := false
	err = n.view(func(d *aqdecider.Decider) { detail.Job, detail.Groups, known = d.ViewJob(id) })
	if err == nil && !known {
		err = ErrNoJob
	}
	return detail, err
}
