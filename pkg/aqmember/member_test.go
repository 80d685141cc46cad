package aqmember

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

var testLimits = Limits{
	TTL:               3 * time.Second,
	HeartbeatInterval: time.Second,
	HeartbeatTimeout:  3 * time.Second,
	StoreTimeout:      10 * time.Second,
	FanOut:            8,
}

// site is a store and a set of processes. Calls to and from a process that is marked
// unreachable have no answer.
type site struct {
	clock       *aqclock.Fake
	store       *aqstandin.Store
	peers       map[string]*process
	unreachable map[string]bool
}

type process struct {
	directory   *Directory
	registrar   *Registrar
	heartbeater *Heartbeater
	config      *aqconfig.Holder
	claims      []Claim
}

func newSite(n int) (*site, []*process) {
	clock := aqclock.NewFake()
	s := &site{
		clock:       clock,
		store:       aqstandin.NewStore(clock),
		peers:       map[string]*process{},
		unreachable: map[string]bool{},
	}
	var all []*process
	for i := range n {
		all = append(all, s.add(fmt.Sprintf("s%d", i)))
	}
	s.round(all)
	s.round(all)
	return s, all
}

func (s *site) add(id string) *process {
	p := &process{config: aqconfig.NewHolder(aqlog.Discard())}
	p.directory = NewDirectory(Member{
		ID:          aqtype.ProcessID(id),
		Role:        RoleScheduler,
		PeerAddress: id,
	}, testLimits, s.clock)
	p.registrar = &Registrar{
		Directory: p.directory,
		Store:     s.store,
		Config:    p.config,
		Log:       aqlog.Discard(),
	}
	p.heartbeater = &Heartbeater{
		Directory: p.directory,
		Config:    p.config,
		Peers:     s,
		Claims:    func() []Claim { return p.claims },
		Random:    rand.New(rand.NewPCG(1, 1)),
	}
	s.peers[id] = p
	return p
}

// Call implements Caller.
func (s *site) Call(ctx context.Context, address string, _ aqpeer.Method, in, out any) error {
	hb := in.(Heartbeat)
	if s.unreachable[address] || s.unreachable[string(hb.From.ID)] {
		return aqpeer.ErrNoAnswer
	}
	answer, err := s.peers[address].heartbeater.HandleHeartbeat(ctx, hb)
	*out.(*Heartbeat) = answer
	return err
}

// round lets every process renew its lease, read the store and send heartbeats.
func (s *site) round(all []*process) {
	ctx := context.Background()
	for _, p := range all {
		p.registrar.recordResult(p.registrar.Renew(ctx))
	}
	for _, p := range all {
		_ = p.registrar.Refresh(ctx)
		p.heartbeater.SendRound(ctx)
	}
}

func owners(p *process, shards int) []aqtype.ProcessID {
	var ids []aqtype.ProcessID
	for shard := range aqtype.ShardID(shards) {
		m, _ := p.directory.Preferred(shard)
		ids = append(ids, m.ID)
	}
	return ids
}

// A change of membership moves the shards of the member concerned and no other.
func TestOnlyTheLostMembersShardsMove(t *testing.T) {
	s, all := newSite(5)
	before := owners(all[0], 200)
	remaining := all[:4]
	s.unreachable["s4"] = true
	for range 5 {
		s.clock.Advance(time.Second)
		s.round(remaining)
	}
	moved := 0
	for shard, id := range owners(all[0], 200) {
		switch {
		case before[shard] == "s4":
			moved++
		case id != before[shard]:
			t.Fatalf("shard %d moved from %s to %s", shard, before[shard], id)
		}
		if id == "s4" {
			t.Fatalf("the unreachable member is still preferred for shard %d", shard)
		}
	}
	if moved < 20 || moved > 60 {
		t.Fatalf("the lost member had %d of 200 shards, want 20 to 60", moved)
	}
}

// The owner is the member that claims a shard under the highest epoch, and only
// while its heartbeats arrive.
func TestClaims(t *testing.T) {
	s, all := newSite(3)
	all[1].claims = []Claim{{Shard: 7, Epoch: 3}}
	all[2].claims = []Claim{{Shard: 7, Epoch: 4}}
	s.round(all)
	if m, epoch := all[0].directory.Owner(7); m.ID != "s2" || epoch != 4 {
		t.Fatalf("owner %s, epoch %d", m.ID, epoch)
	}
	s.unreachable["s2"] = true
	for range 4 {
		s.clock.Advance(time.Second)
		s.round(all)
	}
	if m, epoch := all[0].directory.Owner(7); m.ID != "s1" || epoch != 3 {
		t.Fatalf("after the heartbeat timeout: owner %s, epoch %d", m.ID, epoch)
	}
}

// During an outage of the store that outlasts every lease, members stay known from
// their heartbeats, and no shard moves after the outage.
func TestOutageIsNoHerd(t *testing.T) {
	s, all := newSite(4)
	before := owners(all[0], 50)
	s.store.SetFaults(aqstandin.Faults{Outage: true})
	for range 8 {
		s.clock.Advance(time.Second)
		s.round(all)
	}
	s.store.SetFaults(aqstandin.Faults{})
	s.clock.Advance(time.Second)
	for _, p := range all {
		_ = p.registrar.Refresh(context.Background())
	}
	for shard, id := range owners(all[0], 50) {
		if id != before[shard] {
			t.Fatalf("shard %d moved from %s to %s after the outage", shard, before[shard], id)
		}
	}
}

// A member that announces that it is about to stop is removed at once.
func TestDepartureIsSeenAtOnce(t *testing.T) {
	_, all := newSite(3)
	if err := all[2].registrar.Deregister(t.Context()); err != nil {
		t.Fatal(err)
	}
	all[2].heartbeater.Leave(t.Context())
	for _, id := range owners(all[0], 50) {
		if id == "s2" {
			t.Fatal("a departed member is preferred")
		}
	}
}

// A process that the store does not answer receives the configuration from a peer.
func TestConfigurationSpreadsByHeartbeat(t *testing.T) {
	s, all := newSite(2)
	c := aqconfig.Default()
	c.Revision = 5
	all[0].config.Apply(c)
	s.store.SetFaults(aqstandin.Faults{Outage: true})
	all[1].heartbeater.SendRound(t.Context())
	if got := all[1].config.Current().Revision; got != 5 {
		t.Fatalf("revision %d is active, want 5", got)
	}
}
