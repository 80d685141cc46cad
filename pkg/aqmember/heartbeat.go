package aqmember

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqpeer"
)

// MethodHeartbeat is the peers' heartbeat call.
const MethodHeartbeat aqpeer.Method = "Heartbeat"

// Heartbeat is sent and answered by every process.
type Heartbeat struct {
	From     Member
	Revision aqconfig.Revision
	Claims   []Claim
	StoreAge time.Duration
	// Config is set in an answer to a process with a lower revision.
	Config []byte
	// Leaving is set by a process that has handed its shards over and stops.
	Leaving bool
}

// Caller makes calls to peers.
type Caller interface {
	Call(ctx context.Context, address string, method aqpeer.Method, in, out any) error
}

// Heartbeater sends and answers heartbeats.
type Heartbeater struct {
	Directory *Directory
	Config    *aqconfig.Holder
	Peers     Caller
	// Claims returns the shards that this process owns, ordered by shard.
	Claims func() []Claim
	// Seeds are peer addresses from the settings, for a start while the store
	// does not answer.
	Seeds []string
	// Random chooses the peers when there are more than the fan-out.
	Random *rand.Rand

	leaving atomic.Bool
}

// Leave tells the peers that this process stops, so that they need not wait for
// its silence before they take what it held.
func (h *Heartbeater) Leave(ctx context.Context) {
	h.leaving.Store(true)
	h.Beat(ctx)
}

// Run sends a round of heartbeats each period until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.Beat(ctx)
		aqclock.Sleep(ctx, h.Directory.clock, h.Directory.limits.Heartbeat)
	}
}

// Beat sends one round of heartbeats and waits for the answers.
func (h *Heartbeater) Beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.Directory.limits.HeartbeatTimeout)
	defer cancel()
	var round sync.WaitGroup
	for _, peer := range h.targets() {
		round.Add(1)
		go func() {
			defer round.Done()
			h.beatOne(ctx, peer)
		}()
	}
	round.Wait()
}

func (h *Heartbeater) targets() []Member {
	peers := h.Directory.peers()
	known := map[string]bool{h.Directory.self.PeerAddress: true}
	for _, p := range peers {
		known[p.PeerAddress] = true
	}
	for _, address := range h.Seeds {
		if !known[address] {
			peers = append(peers, Member{PeerAddress: address})
		}
	}
	if len(peers) <= h.Directory.limits.FanOut {
		return peers
	}
	h.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:h.Directory.limits.FanOut]
}

func (h *Heartbeater) beatOne(ctx context.Context, peer Member) {
	var answer Heartbeat
	if err := h.Peers.Call(ctx, peer.PeerAddress, MethodHeartbeat, h.own(), &answer); err != nil {
		return
	}
	h.take(answer)
}

func (h *Heartbeater) own() Heartbeat {
	return Heartbeat{
		From:     h.Directory.self,
		Revision: h.Config.Current().Revision,
		Claims:   h.Claims(),
		StoreAge: h.Directory.StoreAge(),
		Leaving:  h.leaving.Load(),
	}
}

func (h *Heartbeater) take(b Heartbeat) {
	if b.Leaving {
		h.Directory.departed(b.From.ID)
		return
	}
	h.Directory.heard(b.From, report{
		revision: b.Revision,
		claims:   b.Claims,
		storeAge: b.StoreAge,
	})
	if len(b.Config) > 0 {
		h.Config.ApplyEncoded(b.Config)
	}
}

// HandleHeartbeat is the receiving end of a heartbeat.
func (h *Heartbeater) HandleHeartbeat(_ context.Context, b Heartbeat) (Heartbeat, error) {
	h.take(b)
	answer := h.own()
	if current := h.Config.Current(); current.Revision > b.Revision {
		data, err := current.Encode()
		if err != nil {
			return answer, err
		}
		answer.Config = data
	}
	return answer, nil
}
