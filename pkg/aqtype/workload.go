package aqtype

import (
	"time"

	"github.com/pkg/errors"
)

// Urgency ranks workloads when capacity does not suffice for all of them.
type Urgency int

// The urgencies, least urgent first.
const (
	UrgencyBackground Urgency = iota + 1
	UrgencyNormal
	UrgencyUrgent
)

// Urgencies lists every urgency, most urgent first.
var Urgencies = []Urgency{UrgencyUrgent, UrgencyNormal, UrgencyBackground}

// String returns the name that settings, headers and the command line use.
func (u Urgency) String() string {
	switch u {
	case UrgencyBackground:
		return "background"
	case UrgencyNormal:
		return "normal"
	case UrgencyUrgent:
		return "urgent"
	}
	return "unknown"
}

// ParseUrgency is the inverse of String.
func ParseUrgency(name string) (Urgency, error) {
	for _, u := range Urgencies {
		if u.String() == name {
			return u, nil
		}
	}
	return 0, errors.Errorf("unknown urgency %q: want urgent, normal or background", name)
}

// Common holds the fields that every kind of workload declares.
type Common struct {
	Key  WorkloadKey
	Team TeamID
	// Kind is shared by similar tasks, so that measurements of one apply to the
	// next. It is never empty in an accepted workload.
	Kind    TaskKind
	Urgency Urgency
	// Size is what one task reserves. Submitters declare it, and it is often wrong.
	Size Resources
}

// Spec describes a workload. Only Service, Job and Watcher implement it.
type Spec interface {
	// Base returns the fields that all kinds have in common.
	Base() Common
	// TaskCount returns the maximum number of tasks that run concurrently.
	TaskCount() int
	isSpec()
}

// Service answers requests until it is cancelled.
type Service struct {
	Common
	Instances int
}

// Job is a batch workload: each of its tasks finishes once.
type Job struct {
	Common
	Tasks       int
	RunTime     time.Duration
	MaxFailures int
}

// Watcher is a single batch task that runs until it is cancelled.
type Watcher struct {
	Common
}

// Base implements Spec.
func (s Service) Base() Common { return s.Common }

// TaskCount implements Spec.
func (s Service) TaskCount() int { return s.Instances }
func (Service) isSpec()          {}

// Base implements Spec.
func (j Job) Base() Common { return j.Common }

// TaskCount implements Spec.
func (j Job) TaskCount() int { return j.Tasks }
func (Job) isSpec()          {}

// Base implements Spec.
func (w Watcher) Base() Common { return w.Common }

// TaskCount implements Spec.
func (Watcher) TaskCount() int { return 1 }
func (Watcher) isSpec()        {}

// IsLatencyCritical reports whether a client waits for the workload's answers, which
// is true of services.
func IsLatencyCritical(s Spec) bool {
	_, ok := s.(Service)
	return ok
}

// Limits on one workload, so that a single submission cannot fill a journal segment.
const (
	MaxTasksPerWorkload = 2000
	MaxKeyBytes         = 200
)

// Validate checks a workload before it is written to the journal. The error names the
// invalid field.
func Validate(s Spec) error {
	b := s.Base()
	switch {
	case b.Key == "":
		return errors.New("key is empty")
	case len(b.Key) > MaxKeyBytes:
		return errors.Errorf("key is longer than %d bytes", MaxKeyBytes)
	case b.Kind == "":
		return errors.New("kind is empty")
	case b.Team == "":
		return errors.New("team is empty")
	case b.Urgency < UrgencyBackground || b.Urgency > UrgencyUrgent:
		return errors.New("urgency is not set")
	case b.Size.MilliCPU <= 0 || b.Size.Memory <= 0 || b.Size.Accelerators < 0:
		return errors.Errorf("size %s: processor and memory must be above zero", b.Size)
	case s.TaskCount() < 1 || s.TaskCount() > MaxTasksPerWorkload:
		return errors.Errorf("number of tasks must be from 1 to %d", MaxTasksPerWorkload)
	}
	if j, ok := s.(Job); ok && (j.MaxFailures < 1 || j.RunTime < 0) {
		return errors.New("a job needs max failures of at least 1 and a run time of at least 0")
	}
	return nil
}
