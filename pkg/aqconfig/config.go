// Package aqconfig holds the operators' configuration: one value in the platform's
// store with a revision. A process replaces its configuration only by one of a higher
// revision.
package aqconfig

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqtype"
)

// Revision is the number of accepted changes; 0 is the default configuration.
type Revision uint64

// UrgencyShare is an urgency's share of the capacity.
type UrgencyShare struct {
	Urgency aqtype.Urgency
	Weight  int
	// FloorPercent of the capacity is guaranteed to the urgency, even while other
	// urgencies demand more than their shares.
	FloorPercent int
}

// TeamQuota limits the resources that a team's batch tasks reserve in one shard.
type TeamQuota struct {
	Team aqtype.TeamID
	Size aqtype.Resources
}

// Configuration holds what operators can change while the system runs.
type Configuration struct {
	Revision Revision
	// Shares has one entry for each urgency; the floors sum to at most 100.
	Shares []UrgencyShare
	Quotas []TeamQuota
	// WorkerSharePercent of each worker may be reserved; the rest is left to the older
	// scheduler, which places its own tasks on the same workers.
	WorkerSharePercent int
	// BatchFloorPercent of the capacity is guaranteed to batch tasks even if services
	// demand more than the rest.
	BatchFloorPercent int
	// EvictionsPerMinute is the maximum rate of evictions in one shard.
	EvictionsPerMinute int
}

// Default returns the configuration before any change.
func Default() Configuration {
	return Configuration{
		Shares: []UrgencyShare{
			{
				Urgency:      aqtype.UrgencyUrgent,
				Weight:       8,
				FloorPercent: 40,
			},
			{
				Urgency:      aqtype.UrgencyNormal,
				Weight:       4,
				FloorPercent: 20,
			},
			{
				Urgency:      aqtype.UrgencyBackground,
				Weight:       1,
				FloorPercent: 10,
			},
		},
		WorkerSharePercent: 100,
		BatchFloorPercent:  20,
		EvictionsPerMinute: 30,
	}
}

// ErrInvalid means that a configuration failed validation.
var ErrInvalid = errors.New("configuration: invalid")

const (
	maxWeight    = 1000
	maxPercent   = 100
	maxEvictions = 10_000
)

// Validate returns the first fault of a configuration, nil when it has none.
func (c Configuration) Validate() error {
	if err := c.validateShares(); err != nil {
		return err
	}
	seen := map[aqtype.TeamID]bool{}
	for _, q := range c.Quotas {
		if q.Team == "" || seen[q.Team] {
			return errors.Wrapf(ErrInvalid, "quota of team %q: empty or twice", q.Team)
		}
		if q.Size.MilliCPU < 0 || q.Size.Memory < 0 || q.Size.Accelerators < 0 {
			return errors.Wrapf(ErrInvalid, "quota of team %q is below zero", q.Team)
		}
		seen[q.Team] = true
	}
	switch {
	case c.WorkerSharePercent < 0 || c.WorkerSharePercent > maxPercent:
		return errors.Wrap(ErrInvalid, "worker share must be from 0 to 100 percent")
	case c.BatchFloorPercent < 0 || c.BatchFloorPercent > maxPercent:
		return errors.Wrap(ErrInvalid, "batch floor must be from 0 to 100 percent")
	case c.EvictionsPerMinute < 0 || c.EvictionsPerMinute > maxEvictions:
		return errors.Wrapf(ErrInvalid, "evictions a minute must be from 0 to %d", maxEvictions)
	}
	return nil
}

func (c Configuration) validateShares() error {
	floors := 0
	seen := map[aqtype.Urgency]bool{}
	for _, s := range c.Shares {
		switch {
		case s.Urgency < aqtype.UrgencyBackground || s.Urgency > aqtype.UrgencyUrgent:
			return errors.Wrap(ErrInvalid, "a share has no urgency")
		case seen[s.Urgency]:
			return errors.Wrapf(ErrInvalid, "two shares for %s", s.Urgency)
		case s.Weight < 1 || s.Weight > maxWeight:
			return errors.Wrapf(ErrInvalid, "weight of %s must be from 1 to %d", s.Urgency, maxWeight)
		case s.FloorPercent < 0 || s.FloorPercent > maxPercent:
			return errors.Wrapf(ErrInvalid, "floor of %s must be from 0 to 100 percent", s.Urgency)
		}
		seen[s.Urgency] = true
		floors += s.FloorPercent
	}
	if len(seen) != len(aqtype.Urgencies) {
		return errors.Wrap(ErrInvalid, "each urgency needs a share")
	}
	if floors > maxPercent {
		return errors.Wrapf(ErrInvalid, "floors sum to %d percent, which cannot all hold", floors)
	}
	return nil
}

// Share returns the share of an urgency.
func (c Configuration) Share(u aqtype.Urgency) UrgencyShare {
	for _, s := range c.Shares {
		if s.Urgency == u {
			return s
		}
	}
	return UrgencyShare{Urgency: u, Weight: 1}
}

// Quota returns a team's quota and whether it has one.
func (c Configuration) Quota(team aqtype.TeamID) (aqtype.Resources, bool) {
	for _, q := range c.Quotas {
		if q.Team == team {
			return q.Size, true
		}
	}
	return aqtype.Resources{}, false
}

// Encode encodes a configuration for the store and for peers.
func (c Configuration) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, errors.Wrap(err, "configuration: encode")
}

// Decode is the inverse of Encode. It validates the configuration.
func Decode(data []byte) (Configuration, error) {
	var c Configuration
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return c, errors.WithMessage(ErrInvalid, err.Error())
	}
	return c, c.Validate()
}
