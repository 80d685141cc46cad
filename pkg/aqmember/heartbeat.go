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

// Heartbeat is both the request and the answer. Every process sends and answers
// heartbeats.
type Heartbeat struct {
	From                 Member
	Revision             aqconfig.Revision
	Claims               []Claim
	TimeSinceStoreAnswer time.Duration
	// Config is the encoded configuration, set in an answer to a process with a
	// lower revision.
	Config []byte
	// Leaving is set by a process that has handed over its shards and is about to
	// stop.
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
	// Seeds are peer addresses from the settings, for a start-up during an outage
	// of the store.
	Seeds []string
	// Random selects the peers of a round if there are more than the fan-out.
	Random *rand.Rand

	leaving atomic.Bool
}

// Leave notifies the peers that this process is about to stop, so that they take
// over its shards without waiting for the heartbeat timeout.
func (h *Heartbeater) Leave(ctx context.Context) {
	h.leaving.Store(true)
	h.SendRound(ctx)
}

// Run sends a round of heartbeats every heartbeat interval until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.SendRound(ctx)
		aqclock.Sleep(ctx, h.Directory.clock, h.Directory.limits.HeartbeatInterval)
	}
}

// SendRound sends one round of heartbeats and waits for the answers.
func (h *Heartbeater) SendRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.Directory.limits.HeartbeatTimeout)
	defer cancel()
	var round sync.WaitGroup
	for _, peer := range h.targets() {
		round.Add(1)
		go func() {
			defer round.Done()
			h.sendTo(ctx, peer)
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

func (h *Heartbeater) sendTo(ctx context.Context, peer Member) {
	var answer Heartbeat
	if err := h.Peers.Call(ctx, peer.PeerAddress, MethodHeartbeat, h.newHeartbeat(), &answer); err != nil {
		return
	}
	h.apply(answer)
}

func (h *Heartbeater) newHeartbeat() Heartbeat {
	return Heartbeat{
		From:                 h.Directory.self,
		Revision:             h.Config.Current().Revision,
		Claims:               h.Claims(),
		TimeSinceStoreAnswer: h.Directory.TimeSinceStoreAnswer(),
		Leaving:              h.leaving.Load(),
	}
}

func (h *Heartbeater) apply(hb Heartbeat) {
	if hb.Leaving {
		h.Directory.remove(hb.From.ID)
		return
	}
	h.Directory.recordHeartbeat(hb.From, report{
		revision:             hb.Revision,
		claims:               hb.Claims,
		timeSinceStoreAnswer: hb.TimeSinceStoreAnswer,
	})
	if len(hb.Config) > 0 {
		h.Config.ApplyEncoded(hb.Config)
	}
}

// HandleHeartbeat applies a peer's heartbeat and answers it.
func (h *Heartbeater) HandleHeartbeat(_ context.Context, hb Heartbeat) (Heartbeat, error) {
	h.apply(hb)
	answer := h.newHeartbeat()
	if current := h.Config.Current(); current.Revision > hb.Revision {
		data, err := current.Encode()
		if err != nil {
			return answer, err
		}
		answer.Config = data
	}
	return answer, nil
}
