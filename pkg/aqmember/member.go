// Package aqmember tells a process which others live, which shards they hold
// and which configuration they have. Leases in the platform's store say who
// exists; heartbeats between peers say who answers.
package aqmember

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqtype"
)

// Role is what a process does.
type Role string

// The roles.
const (
	RoleGateway   Role = "gateway"
	RoleScheduler Role = "scheduler"
)

// Member is one process.
type Member struct {
	ID          aqtype.HostID
	Role        Role
	Zone        aqtype.Zone
	PeerAddress string
}

// Claim says that a process owns a shard under an epoch.
type Claim struct {
	Shard aqtype.ShardID
	Epoch aqtype.Epoch
	// Free is the room that the shard has for tasks of others, Largest the most
	// of it on one worker.
	Free    aqtype.Resources
	Largest aqtype.Resources
}

// report is what is known of a member from its heartbeats.
type report struct {
	heard    time.Time
	revision aqconfig.Revision
	claims   []Claim
	// storeAge is how long ago the member last reached the store, as it said.
	storeAge time.Duration
}

// Limits of membership.
type Limits struct {
	// TTL is the lease's time to live.
	TTL time.Duration
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// HeartbeatTimeout is how long a peer may be silent before its claims do not count.
	HeartbeatTimeout time.Duration
	// MaxStoreAge is how long a peer may be cut off from the store before its
	// claims do not count.
	MaxStoreAge time.Duration
	// FanOut bounds the peers that one round of heartbeats goes to.
	FanOut int
	// WatchWait is how long one watch waits.
	WatchWait time.Duration
}

// Directory is a process's view of the others.
type Directory struct {
	self   Member
	limits Limits
	clock  aqclock.Clock

	mu sync.Mutex
	// leased holds the members whose leases live, as last read.
	leased  map[aqtype.HostID]Member
	reports map[aqtype.HostID]report
	// heardOf holds members known from heartbeats only, such as after an
	// outage of the store that outlasted every lease.
	heardOf map[aqtype.HostID]Member
	// storeSeen is when the store last answered this process.
	storeSeen time.Time
	changed   chan struct{}
}

// NewDirectory returns a view that knows only the process itself.
func NewDirectory(self Member, limits Limits, clock aqclock.Clock) *Directory {
	return &Directory{
		self:      self,
		limits:    limits,
		clock:     clock,
		leased:    map[aqtype.HostID]Member{},
		reports:   map[aqtype.HostID]report{},
		heardOf:   map[aqtype.HostID]Member{},
		storeSeen: clock.Now(),
		changed:   make(chan struct{}),
	}
}

// Self returns this process.
func (d *Directory) Self() Member { return d.self }

// Changed returns a channel that is closed at the next change of the view.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setLeased replaces the members known from leases and returns who came and
// went.
func (d *Directory) setLeased(members []Member) (joined, left []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[aqtype.HostID]Member, len(members))
	for _, m := range members {
		next[m.ID] = m
		if _, known := d.leased[m.ID]; !known {
			joined = append(joined, m)
		}
	}
	for id, m := range d.leased {
		if _, still := next[id]; !still {
			left = append(left, m)
		}
	}
	d.leased = next
	if len(joined)+len(left) > 0 {
		d.notify()
	}
	return joined, left
}

func (d *Directory) storeAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeSeen = d.clock.Now()
}

// StoreAge returns how long ago the store last answered this process.
func (d *Directory) StoreAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.Now().Sub(d.storeSeen)
}

// heard takes note of a heartbeat.
func (d *Directory) heard(m Member, r report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.heard = d.clock.Now()
	old := d.reports[m.ID]
	d.reports[m.ID] = r
	d.heardOf[m.ID] = m
	if !sameClaims(old.claims, r.claims) {
		d.notify()
	}
}

// departed forgets a member that said that it stops.
func (d *Directory) departed(id aqtype.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reports, id)
	delete(d.heardOf, id)
	delete(d.leased, id)
	d.notify()
}

func sameClaims(a, b []Claim) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Shard != b[i].Shard || a[i].Epoch != b[i].Epoch {
			return false
		}
	}
	return true
}

// counts reports whether a member's heartbeats are fresh and it reaches the
// store. The lock is held.
func (d *Directory) counts(id aqtype.HostID) bool {
	r, ok := d.reports[id]
	if !ok {
		return false
	}
	return d.clock.Now().Sub(r.heard) < d.limits.HeartbeatTimeout && r.storeAge < d.limits.MaxStoreAge
}

// live lists the members with this role, by lease or by fresh heartbeats. The
// lock is held.
func (d *Directory) live(role Role) []Member {
	found := map[aqtype.HostID]Member{}
	for id, m := range d.leased {
		found[id] = m
	}
	for id, m := range d.heardOf {
		if d.counts(id) {
			found[id] = m
		}
	}
	found[d.self.ID] = d.self
	var members []Member
	for _, m := range found {
		if m.Role == role {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Live lists the members with this role.
func (d *Directory) Live(role Role) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live(role)
}

// Preferred returns the scheduler that should own a shard: the one with the
// highest hash of itself and the shard, so that a change of membership moves
// only the shards of the member concerned.
func (d *Directory) Preferred(shard aqtype.ShardID) (Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rendezvous(d.live(RoleScheduler), shard)
}

func rendezvous(members []Member, shard aqtype.ShardID) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range members {
		if score := rendezvousScore(m.ID, shard); !found || score > bestScore {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

func rendezvousScore(id aqtype.HostID, shard aqtype.ShardID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.Write([]byte{byte(shard), byte(shard >> 8), byte(shard >> 16)})
	return digest.Sum64()
}

// Owner returns the other member with the best claim to a shard, which is the
// one with the highest epoch, and that epoch. It is zero when nobody claims it.
func (d *Directory) Owner(shard aqtype.ShardID) (Member, aqtype.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var owner Member
	var epoch aqtype.Epoch
	for id, r := range d.reports {
		if !d.counts(id) {
			continue
		}
		for _, c := range r.claims {
			if c.Shard == shard && c.Epoch > epoch {
				owner, epoch = d.heardOf[id], c.Epoch
			}
		}
	}
	return owner, epoch
}

// Claims lists the best claim to each shard that other members make.
func (d *Directory) Claims() []Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := map[aqtype.ShardID]Claim{}
	for id, r := range d.reports {
		if !d.counts(id) {
			continue
		}
		for _, c := range r.claims {
			if c.Epoch > best[c.Shard].Epoch {
				best[c.Shard] = c
			}
		}
	}
	claims := make([]Claim, 0, len(best))
	for _, c := range best {
		claims = append(claims, c)
	}
	return claims
}

// ProcessRevision is a member with the configuration revision it last reported.
type ProcessRevision struct {
	Member   Member
	Revision aqconfig.Revision
}

// Revisions lists the other members with their configuration revisions.
func (d *Directory) Revisions() []ProcessRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []ProcessRevision
	for _, role := range []Role{RoleGateway, RoleScheduler} {
		for _, m := range d.live(role) {
			if m.ID == d.self.ID {
				continue
			}
			all = append(all, ProcessRevision{Member: m, Revision: d.reports[m.ID].revision})
		}
	}
	return all
}

// peers lists every other live member.
func (d *Directory) peers() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []Member
	for _, role := range []Role{RoleGateway, RoleScheduler} {
		for _, m := range d.live(role) {
			if m.ID != d.self.ID {
				others = append(others, m)
			}
		}
	}
	return others
}
