package aqsite

import (
	"strings"

	"acaciaquay/pkg/aqjob"
)

// Keys of the store. Jobs, cancellations and the lead key lie under one prefix, which the
// leader watches, so that it observes a change of leadership before any later job.
const (
	inPrefix     = "acaciaquay/in/"
	cancelPrefix = inPrefix + "cancel/"
	jobPrefix    = inPrefix + "job/"
	// leadKey sorts after the jobs, so that a full read of the prefix reads it last.
	leadKey = inPrefix + "lead"
	// probeKey is the watch probe: the leader writes it to check that its watch delivers
	// the change.
	probeKey = inPrefix + "beat"
	// termKey counts the leaders' terms.
	termKey = "acaciaquay/term"
	// fleetKey lists the workers on which the leader may have started tasks, and the
	// agents that may manage workers for it.
	fleetKey = "acaciaquay/fleet"
	// entriesKey holds the entries of these workers in service discovery.
	entriesKey = "acaciaquay/entries"
	// learnedKey holds what the leader has learned, which the next one can do without.
	learnedKey = "acaciaquay/learned"
	// progressPrefix holds the stored progress of jobs.
	progressPrefix = "acaciaquay/run/"
	// nodePrefix holds the registered processes.
	nodePrefix = "acaciaquay/node/"
)

func jobKey(id aqjob.ID) string      { return jobPrefix + string(id) }
func cancelKey(id aqjob.ID) string   { return cancelPrefix + string(id) }
func progressKey(id aqjob.ID) string { return progressPrefix + string(id) }

func nodeKey(name string) string { return nodePrefix + name }

// jobIDFromKey returns the job of a key under prefix, false for any other key.
func jobIDFromKey(prefix, key string) (aqjob.ID, bool) {
	name, ok := strings.CutPrefix(key, prefix)
	return aqjob.ID(name), ok
}
