// Package aqmember maintains a process's view of the other processes: which of them
// are live, which shards they own and which configuration revision they have.
// A lease in the platform's store makes a process a member. Heartbeats between
// peers carry the claims and keep members known during an outage of the store.
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
	ID          aqtype.ProcessID
	Role        Role
	Zone        aqtype.Zone
	PeerAddress string
}

// Claim is a process's claim to own a shard under an epoch. It also reports the shard's
// spare capacity.
type Claim struct {
	Shard aqtype.ShardID
	Epoch aqtype.Epoch
	// Free is the shard's spare capacity for tasks of other shards.
	Free aqtype.Resources
	// MaxFreePerWorker is the componentwise maximum of what single workers have free.
	MaxFreePerWorker aqtype.Resources
}

// report is the content of a member's last heartbeat.
type report struct {
	receivedAt time.Time
	revision   aqconfig.Revision
	claims     []Claim
	// timeSinceStoreAnswer is the time since the store last answered the member, at the
	// time of the heartbeat.
	timeSinceStoreAnswer time.Duration
}

// Limits are the timing parameters of membership and the fan-out of heartbeats.
type Limits struct {
	// TTL is the lease's time to live.
	TTL time.Duration
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the maximum age of a peer's last heartbeat. The claims
	// of a peer with an older one are ignored. It is also the timeout of one round
	// of heartbeats.
	HeartbeatTimeout time.Duration
	// StoreTimeout is the maximum time since the store last answered a peer. The
	// claims of a peer that exceeds it are ignored.
	StoreTimeout time.Duration
	// FanOut is the maximum number of peers in one round of heartbeats.
	FanOut int
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
}

// Directory is a process's view of the other processes.
type Directory struct {
	self   Member
	limits Limits
	clock  aqclock.Clock

	mu sync.Mutex
	// leased holds the members with a lease, as last read from the store.
	leased  map[aqtype.ProcessID]Member
	reports map[aqtype.ProcessID]report
	// fromHeartbeats holds every member that sent or answered a heartbeat. After
	// an outage of the store that outlasted the leases, it is the only source of
	// members.
	fromHeartbeats map[aqtype.ProcessID]Member
	// lastStoreAnswer is when the store last answered this process, or when the
	// directory was created.
	lastStoreAnswer time.Time
	changed         chan struct{}
}

// NewDirectory returns a directory that knows only the process itself.
func NewDirectory(self Member, limits Limits, clock aqclock.Clock) *Directory {
	return &Directory{
		self:            self,
		limits:          limits,
		clock:           clock,
		leased:          map[aqtype.ProcessID]Member{},
		reports:         map[aqtype.ProcessID]report{},
		fromHeartbeats:  map[aqtype.ProcessID]Member{},
		lastStoreAnswer: clock.Now(),
		changed:         make(chan struct{}),
	}
}

// Self returns the member that is this process.
func (d *Directory) Self() Member { return d.self }

// Changed returns a channel that is closed at the next change of the leases or of a
// peer's claims, or when a peer leaves. Heartbeats that become too old do not close
// it.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setLeased replaces the members with a lease and returns the differences.
func (d *Directory) setLeased(members []Member) (joined, left []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[aqtype.ProcessID]Member, len(members))
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
	d.lastStoreAnswer = d.clock.Now()
}

// TimeSinceStoreAnswer returns the time since the store last answered this process.
func (d *Directory) TimeSinceStoreAnswer() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.Now().Sub(d.lastStoreAnswer)
}

func (d *Directory) recordHeartbeat(m Member, r report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.receivedAt = d.clock.Now()
	old := d.reports[m.ID]
	d.reports[m.ID] = r
	d.fromHeartbeats[m.ID] = m
	if !sameClaims(old.claims, r.claims) {
		d.notify()
	}
}

// remove deletes a member that has announced that it is about to stop.
func (d *Directory) remove(id aqtype.ProcessID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reports, id)
	delete(d.fromHeartbeats, id)
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

// responsive reports whether a member's last heartbeat is recent and reported a
// recent answer of the store. The caller holds the lock.
func (d *Directory) responsive(id aqtype.ProcessID) bool {
	r, ok := d.reports[id]
	if !ok {
		return false
	}
	return d.clock.Now().Sub(r.receivedAt) < d.limits.HeartbeatTimeout && r.timeSinceStoreAnswer < d.limits.StoreTimeout
}

// live lists the members with this role that have a lease or are responsive,
// including this process. The caller holds the lock.
func (d *Directory) live(role Role) []Member {
	found := map[aqtype.ProcessID]Member{}
	for id, m := range d.leased {
		found[id] = m
	}
	for id, m := range d.fromHeartbeats {
		if d.responsive(id) {
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

// Live lists the members with this role that have a lease or are responsive,
// including this process.
func (d *Directory) Live(role Role) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live(role)
}

// Preferred returns the scheduler that should own a shard. It uses rendezvous
// hashing, so that a change of membership moves only the shards of the member
// concerned.
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

func rendezvousScore(id aqtype.ProcessID, shard aqtype.ShardID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.Write([]byte{byte(shard), byte(shard >> 8), byte(shard >> 16)})
	return digest.Sum64()
}

// Owner returns the responsive peer that claims a shard under the highest epoch, and
// that epoch. The epoch is zero if no peer claims the shard.
func (d *Directory) Owner(shard aqtype.ShardID) (Member, aqtype.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var owner Member
	var epoch aqtype.Epoch
	for id, r := range d.reports {
		if !d.responsive(id) {
			continue
		}
		for _, c := range r.claims {
			if c.Shard == shard && c.Epoch > epoch {
				owner, epoch = d.fromHeartbeats[id], c.Epoch
			}
		}
	}
	return owner, epoch
}

// Claims lists, for each shard, the claim with the highest epoch among those of
// responsive peers.
func (d *Directory) Claims() []Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := map[aqtype.ShardID]Claim{}
	for id, r := range d.reports {
		if !d.responsive(id) {
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

// ProcessRevision is a member with the configuration revision that it last reported.
type ProcessRevision struct {
	Member   Member
	Revision aqconfig.Revision
}

// Revisions lists the other live members with their configuration revisions.
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

// peers lists the other live members of both roles.
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
