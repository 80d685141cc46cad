package aqsite

import (
	"strings"

	"acaciaquay/pkg/aqjob"
)

// Keys of the store. What the leader watches lies under one prefix, so that it
// sees a change of leadership before any job that is younger.
const (
	inPrefix     = "acaciaquay/in/"
	cancelPrefix = inPrefix + "cancel/"
	jobPrefix    = inPrefix + "job/"
	// leadKey sorts after the jobs: a reading of the whole prefix sees it last.
	leadKey = inPrefix + "lead"
	// probeKey is written by the leader, whose watch must tell of it.
	probeKey = inPrefix + "beat"
	// termKey counts the leaders' terms.
	termKey = "acaciaquay/term"
	// fleetKey lists the workers that the leader may have started tasks on.
	fleetKey       = "acaciaquay/fleet"
	progressPrefix = "acaciaquay/run/"
	// nodePrefix holds the registered processes.
	nodePrefix = "acaciaquay/node/"
)

func jobKey(id aqjob.ID) string      { return jobPrefix + string(id) }
func cancelKey(id aqjob.ID) string   { return cancelPrefix + string(id) }
func progressKey(id aqjob.ID) string { return progressPrefix + string(id) }

func nodeKey(name string) string { return nodePrefix + name }

func jobIDFromKey(prefix, key string) (aqjob.ID, bool) {
	name, ok := strings.CutPrefix(key, prefix)
	return aqjob.ID(name), ok
}
