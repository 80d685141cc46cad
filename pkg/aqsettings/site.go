package aqsettings

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// Site holds the settings of one of the processes that schedule a site. Any of them
// can lead; an election decides which one does.
type Site struct {
	Name string
	Zone aqtype.Zone
	// FrontAddress is the address on which submitters are served.
	FrontAddress string
	// ReadyAddress is the address of the readiness probe of the load balancer.
	ReadyAddress string
	PeerAddress  string
	// MetricsAddress is the address on which metrics, health and the operators' view
	// are served.
	MetricsAddress string
	Store          string
	// Advice is the address of the advice service, empty if there is none.
	Advice string
	// Processors is the number of cores that this process may use, possibly a
	// fraction.
	Processors float64
	// StoreValueMax is the maximum size in bytes of a value in the store.
	StoreValueMax int
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// StopGrace is how long a worker takes to stop a run.
	StopGrace time.Duration
	// PaceDelay is how long a change of a run's pace takes to have an effect.
	PaceDelay time.Duration
	// OffRackFactor is how many times as long a task takes away from its data's rack or its gang, zero if that is
	// not known.
	OffRackFactor float64
	// StopLimit is the time between a stop signal and the kill of this process.
	StopLimit time.Duration
	// EvacuateWithin is the time after an operator's evacuation of a zone from which nothing may be started
	// there, zero if nobody evacuates zones.
	EvacuateWithin time.Duration
	// CancelWithin is the time after an acknowledged cancellation from which no task of the job may be started,
	// zero if it is not limited.
	CancelWithin time.Duration
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// LogLayers selects the log events that are written, in the form that aqlog.New
	// reads.
	LogLayers string
	// Intake limits what clients may make this process hold.
	Intake Intake
	// Tasks limits the tasks that the leader holds at the same time.
	Tasks int
	// JobBytes limits the memory of unfinished jobs that the leader holds, without their tasks.
	JobBytes int
}

// jobShare divides Intake.Memory to the default of JobBytes.
const jobShare = 4

// tasksPerMiB is the default of Tasks for each MiB that the process may use: tasks that wait
// take a quarter of it.
const tasksPerMiB = 512

// minStoreValueMax holds what the site stores of the largest job besides its checkpoints.
const minStoreValueMax = 64 << 10

// maxOffRackFactor limits OffRackFactor.
const maxOffRackFactor = 100

// SiteFields lists the settings of a site's process in the order of the docs.
var SiteFields = append(siteFields, intakeFields...)

var siteFields = []Field{
	required("Site", "Name", "name", "Name of this process, unique among the processes of the site.",
		name(func(s *Settings, v string) { s.Site.Name = v })),
	required("Site", "Zone", "name", "Availability zone of this process.",
		name(func(s *Settings, v string) { s.Site.Zone = aqtype.Zone(v) })),
	required("Site", "FrontAddress", "IP:port", "Address on which submitters are served.",
		address(func(s *Settings) *string { return &s.Site.FrontAddress })),
	required("Site", "ReadyAddress", "IP:port", "Address of the readiness probe, with which the load balancer checks whether this process accepts connections.",
		address(func(s *Settings) *string { return &s.Site.ReadyAddress })),
	required("Site", "PeerAddress", "IP:port", "Address on which the other processes of the site are served.",
		address(func(s *Settings) *string { return &s.Site.PeerAddress })),
	required("Site", "MetricsAddress", "IP:port", "Address on which metrics, health and the operators' view are served.",
		address(func(s *Settings) *string { return &s.Site.MetricsAddress })),
	required("Site", "Store", "IP:port", "Address of the platform's key-value store.",
		address(func(s *Settings) *string { return &s.Site.Store })),
	optional("Site", "Advice", "IP:port", "", "Address of the advice service. Empty if there is none.",
		func(s *Settings, value string) error {
			if value == "" {
				return nil
			}
			return address(func(s *Settings) *string { return &s.Site.Advice })(s, value)
		}),
	optional("Site", "Processors", "cores", "1",
		"Number of cores that this process may use, possibly a fraction. With few cores, a process claims the leadership later than others and manages fewer workers.",
		func(s *Settings, value string) error {
			cores, err := strconv.ParseFloat(value, 64)
			if err != nil || cores <= 0 {
				return errors.Errorf("%q is not a number of cores above zero", value)
			}
			s.Site.Processors = cores
			return nil
		}),
	count("Site", "Tasks", "tasks", "0", 0, 1<<30,
		"Tasks of unfinished jobs that this process holds as the leader. The tasks of further jobs, and of further occurrences of a recurring job, are created as these end, small jobs first. 0 means 512 for each MiB of Intake.Memory.",
		func(s *Settings) *int { return &s.Site.Tasks }),
	count("Site", "JobBytes", "bytes", "0", 0, 1<<40,
		"Memory for the unfinished jobs that this process holds as the leader, without their tasks. While they take it, submissions are refused and may come back within seconds; the last quarter is for jobs of at most 8 KiB. 0 means a quarter of Intake.Memory.",
		func(s *Settings) *int { return &s.Site.JobBytes }),
	optional("Site", "LogLayers", "names, comma-separated", "all",
		"Layers whose events below warning level are written: all, or some of decider, site, intake, peer, process.",
		func(s *Settings, value string) error {
			if _, err := aqlog.New(io.Discard, "", value); err != nil {
				return err
			}
			s.Site.LogLayers = value
			return nil
		}),

	optional("Bounds", "StoreValueMax", "bytes", "1048576",
		"Maximum size of a value in the store, at least 65536. A job's progress that is larger is stored without some of its tasks' checkpoints.",
		func(s *Settings, value string) error {
			bytes, err := strconv.Atoi(value)
			if err != nil || bytes < minStoreValueMax {
				return errors.Errorf("%q is not a number of bytes of at least %d", value, minStoreValueMax)
			}
			s.Site.StoreValueMax = bytes
			return nil
		}),
	duration("Bounds", "LeaseMax", "10s", time.Second, time.Hour,
		"Longest lease that a worker grants.",
		func(s *Settings) *time.Duration { return &s.Site.LeaseMax }),
	duration("Bounds", "StopGrace", "1s", 0, time.Minute,
		"How long a worker takes to stop a run.",
		func(s *Settings) *time.Duration { return &s.Site.StopGrace }),
	duration("Bounds", "PaceDelay", "100ms", 0, time.Minute,
		"How long a change of a run's pace takes to have an effect.",
		func(s *Settings) *time.Duration { return &s.Site.PaceDelay }),
	optional("Bounds", "OffRackFactor", "factor", "",
		"How many times as long a task takes on another rack than its data, or a gang on several racks. Tasks wait for a place on the rack as long as that pays. Empty, or 1: they never wait.",
		func(s *Settings, value string) error {
			if value == "" {
				return nil
			}
			factor, err := strconv.ParseFloat(value, 64)
			if err != nil || !(factor >= 1 && factor <= maxOffRackFactor) {
				return errors.Errorf("%q is not a factor from 1 to %d", value, maxOffRackFactor)
			}
			s.Site.OffRackFactor = factor
			return nil
		}),
	duration("Bounds", "StopLimit", "6s", time.Second, 10*time.Minute,
		"Time between a stop signal and the kill of this process.",
		func(s *Settings) *time.Duration { return &s.Site.StopLimit }),
	duration("Bounds", "EvacuateWithin", "0s", 0, 10*time.Minute,
		"Time after an operator's evacuation of a zone from which nothing may be started there. Starts also stop while the store cannot be asked for nearly that long. Zero if nobody evacuates zones.",
		func(s *Settings) *time.Duration { return &s.Site.EvacuateWithin }),
	duration("Bounds", "CancelWithin", "3s", 0, 10*time.Minute,
		"Time after an acknowledged cancellation from which no task of the job may be started. Starts also stop while cancellations may have been stored for nearly that long that the leader does not know of. Zero if it is not limited. The flag --cancel-within of the process goes first.",
		func(s *Settings) *time.Duration { return &s.Site.CancelWithin }),
	duration("Bounds", "Retention", "2m", time.Second, 30*24*time.Hour,
		"How long the state of an ended job can be queried.",
		func(s *Settings) *time.Duration { return &s.Site.Retention }),
}

func (s Site) check(file string) error {
	if s.StopGrace >= s.LeaseMax {
		return &SettingError{
			File:    file,
			Section: "Bounds",
			Key:     "StopGrace",
			Reason:  fmt.Sprintf("must be below Bounds.LeaseMax (%s)", s.LeaseMax),
		}
	}
	return nil
}

// setIntake sets the intake and the limits that are derived from its memory.
func (s *Site) setIntake(i Intake) {
	s.Intake = i
	if s.Tasks == 0 {
		s.Tasks = i.Memory * tasksPerMiB
	}
	if s.JobBytes == 0 {
		s.JobBytes = i.Memory << 20 / jobShare
	}
}
