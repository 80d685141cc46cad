// Package aqconfigcheck checks a site's configuration before an operator sends it: errors, entries that
// never match, settings that contradict each other, and what differs from the version in force.
package aqconfigcheck

import (
	"time"

	"acaciaquay/pkg/aqjob"
)

// RouteName names a route of a configuration.
type RouteName string

// Config is a configuration as its operator wrote it. Numbers may be out of range.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route sends the submissions of a host and path prefix to a queue.
type Route struct {
	Name    RouteName
	Host    string
	Prefix  string
	Service aqjob.ServiceID
	// Timeout is how long submitters wait for an answer.
	Timeout time.Duration
	// Target and Stretch set the latency objective: Stretch times the job's run time, plus Target.
	Target  time.Duration
	Stretch float64
	// Priority zero is the most urgent.
	Priority    int
	MaxAttempts int
	// Advice is nil for a queue without an advice service.
	Advice *Advice
}

// Advice describes the calls of the advice service for a queue.
type Advice struct {
	// Base and PerWorker are how long a call takes: a fixed part, and a part for each worker.
	Base      time.Duration
	PerWorker time.Duration
	// TicketLife is how long a ticket is valid.
	TicketLife time.Duration
}

// Service is a pool of workers.
type Service struct {
	ID aqjob.ServiceID
	// Standby pools have no worker that is up.
	Standby bool
}

// Limits bound the requests of submitters. Zero means that the configuration sets none.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
