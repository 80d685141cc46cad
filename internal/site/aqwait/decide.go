package aqwait

import "time"

// MaxWait limits every wait. With a change of leader during the wait it stays below what users
// accept of idle work while there is room elsewhere.
const MaxWait = 1500 * time.Millisecond

// Choice is what a task does that finds no place on its rack.
type Choice int

// The choices. All but Wait take a place elsewhere at once.
const (
	// Wait waits for a place on the rack.
	Wait Choice = iota + 1
	// NoGain means that the place is not expected before it has lost what it saves.
	NoGain
	// NoPlace means that no place is expected at all.
	NoPlace
	// Bound means that the group has waited for as long as any may.
	Bound
	// InTime means that the objective is met elsewhere, and at risk if the task waits.
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

// Choices lists every choice.
var Choices = []Choice{Wait, NoGain, NoPlace, Bound, InTime}

// Task is a task that finds no place on the rack where it runs fastest.
type Task struct {
	// Near is its expected run time on the rack. It is a rough estimate.
	Near time.Duration
	// Factor is how many times as long it takes elsewhere. Up to 1 nothing waits.
	Factor float64
	// Waited is for how long its group has waited for the rack.
	Waited time.Duration
	// Left is the time left until the task must have ended for its job to meet the objective. It
	// is negative once that is missed.
	Left time.Duration
	// Expected is the time until a place is expected, if Known is set.
	Expected time.Duration
	Known    bool
}

// doubt is how much later than expected a place may be found: estimates are rough.
const doubt = 1.5

// Decide chooses for a task. A wait never takes longer than what the place saves: a task that
// waits in vain loses at most that once more.
func Decide(t Task) Choice {
	saved := time.Duration(float64(t.Near) * (t.Factor - 1))
	elsewhere := t.Near + saved
	late := time.Duration(doubt*float64(t.Expected)) + t.Near
	switch {
	case saved <= 0:
		return NoGain
	case t.Waited >= min(MaxWait, saved):
		return Bound
	case !t.Known:
		return NoPlace
	case t.Waited+t.Expected > MaxWait, late >= elsewhere:
		return NoGain
	case elsewhere <= t.Left && late > t.Left:
		return InTime
	}
	return Wait
}
