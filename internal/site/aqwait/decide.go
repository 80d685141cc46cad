package aqwait

import "time"

// MaxWait limits every wait, since users do not accept idle work for long while there is room
// elsewhere.
const MaxWait = 1500 * time.Millisecond

// Choice is what tasks do that find no place on their rack.
type Choice int

// The choices. All but Wait take places elsewhere at once.
const (
	// Wait waits for a place on the rack.
	Wait Choice = iota + 1
	// NoGain means that the places are not expected before the wait has lost what they save.
	NoGain
	// NoPlace means that no place is expected at all.
	NoPlace
	// Bound means that the tasks have waited for as long as any may.
	Bound
	// InTime means that the objective is met elsewhere.
	InTime
)

var choiceNames = map[Choice]string{
	Wait:    "Wait",
	NoGain:  "NoGain",
	NoPlace: "NoPlace",
	Bound:   "Bound",
	InTime:  "InTime",
}

// String returns the name that logs and metrics use.
func (c Choice) String() string { return choiceNames[c] }

// Task stands for tasks of one step that find no place on the rack where they run fastest.
type Task struct {
	// Near is the expected run time on the rack. It is a rough estimate.
	Near time.Duration
	// Factor is how many times as long it takes elsewhere. Up to 1 nothing waits.
	Factor float64
	// Waited is for how long they have waited for the rack.
	Waited time.Duration
	// Left is the time left until they must have ended for their job to meet the objective. It is
	// negative once that is missed.
	Left time.Duration
	// Expected is the time until places are expected for all of them, if Known is set.
	Expected time.Duration
	Known    bool
}

// doubt is how much longer than expected a run may take, or the time until a place: estimates are
// rough, and a step ends with its slowest task.
const doubt = 1.5

// Decide chooses for tasks. A wait never takes longer than what the places save: tasks that wait in
// vain lose at most that once more.
func Decide(t Task) Choice {
	saved := time.Duration(float64(t.Near) * (t.Factor - 1))
	place := time.Duration(doubt * float64(t.Expected))
	switch {
	case saved <= 0:
		return NoGain
	case t.Waited >= min(MaxWait, saved):
		return Bound
	case !t.Known:
		return NoPlace
	case time.Duration(doubt*float64(t.Near+saved)) <= t.Left:
		return InTime
	case t.Waited+place > min(MaxWait, saved):
		return NoGain
	}
	return Wait
}
