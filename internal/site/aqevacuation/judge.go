package aqevacuation

// Run is what runs in an evacuated zone. It is sealed: Perpetual, Finite and Filler.
type Run interface{ isRun() }

// Perpetual is a run of a task that lasts until its job is cancelled.
type Perpetual struct {
	// Disruptable is set while the group's disruption budget allows one more absence.
	Disruptable bool
	// Places is how many of the group's tasks have room elsewhere, beside the moves that are on their way.
	Places int
	// Members is how many tasks have to move together.
	Members int
}

// Finite is a run of a task that ends.
type Finite struct{}

// Filler is a run of a task that gets what others leave.
type Filler struct {
	// Checkpointing is set if an interruption keeps the progress.
	Checkpointing bool
	// Slowed is set while the run is slowed down or suspended.
	Slowed bool
	// Rested is unset for a while after the task has been moved.
	Rested bool
}

func (Perpetual) isRun() {}
func (Finite) isRun()    {}
func (Filler) isRun()    {}

// Verdict says whether a run leaves an evacuated zone now, and why not.
type Verdict int

// The verdicts.
const (
	// Leaves means that the run is stopped, so that its task is placed elsewhere.
	Leaves Verdict = iota + 1
	RunsToItsEnd
	BudgetUsed
	NoRoom
	NoOpenZone
	MovesOnTheirWay
	// MovedLately means that the task has been moved before and gets some time.
	MovedLately
)

var verdictNames = map[Verdict]string{
	Leaves:          "it is moving",
	RunsToItsEnd:    "it runs to its end",
	BudgetUsed:      "the disruption budget of its group is used up",
	NoRoom:          "there is no room in open zones",
	NoOpenZone:      "no zone is open",
	MovesOnTheirWay: "other moves are on their way",
	MovedLately:     "it has been moved before",
}

// String returns what the operators' view shows.
func (v Verdict) String() string { return verdictNames[v] }

// MaxMoves limits the tasks that are on their way out of evacuated zones at a time, each of which its users miss.
const MaxMoves = 32

// Judge decides whether a run leaves an evacuated zone. openZone is set if there is a worker of the service in a zone where tasks
// may be started, moving is the number of tasks on their way.
func Judge(r Run, openZone bool, moving int) Verdict {
	switch r := r.(type) {
	case Perpetual:
		switch {
		case !openZone:
			return NoOpenZone
		case !r.Disruptable:
			return BudgetUsed
		case moving > 0 && moving+r.Members > MaxMoves:
			return MovesOnTheirWay
		case r.Places < r.Members:
			return NoRoom
		}
		return Leaves
	case Filler:
		switch {
		case !r.Checkpointing || !r.Slowed:
			return RunsToItsEnd
		case !openZone:
			return NoOpenZone
		case !r.Rested:
			return MovedLately
		}
		return Leaves
	case Finite:
		return RunsToItsEnd
	}
	return RunsToItsEnd
}
