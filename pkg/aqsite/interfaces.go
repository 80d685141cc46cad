// Package aqsite runs a site's scheduler: it elects the leader, keeps jobs in
// the store, delivers the decider's orders to the workers, and answers
// submitters.
package aqsite

import (
	"context"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// Advisor asks the advice service which workers may run a group.
type Advisor interface {
	Advise(ctx context.Context, q aqdecider.AdviceRequest) (aqdecider.Advice, error)
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes is the maximum size of a submission's body.
	MaxBodyBytes int
}

// Route maps submissions to a queue by host and path prefix.
type Route struct {
	Host   string
	Prefix string
	Queue  aqjob.Queue
}

// Catalog decodes the store entries that other programs write.
type Catalog struct {
	// WorkerPrefix is where service discovery lists workers.
	WorkerPrefix string
	// ConfigKey holds the operators' configuration.
	ConfigKey    string
	DecodeWorker func(item aqstore.Item) (aqdecider.Worker, error)
	// WorkerIDOf returns the id of the worker that a key under WorkerPrefix lists.
	WorkerIDOf   func(key string) string
	DecodeConfig func(value []byte) (*Config, error)
	// EvacuationPrefix is where operators evacuate zones, and EvacuationKey returns the key of a zone below it, empty if
	// there can be none.
	EvacuationPrefix string
	EvacuationKey    func(aqtype.Zone) string
}
