package aqquorum

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

func voters(names ...string) []Voter {
	var all []Voter
	for _, name := range names {
		all = append(all, Voter{Name: name, Address: "a"})
	}
	return all
}

func TestMajorityIsTheLatest(t *testing.T) {
	var s Support
	if _, known := s.MajorityAt(); known {
		t.Fatal("a majority of no voters")
	}
	s.Settle(voters("a", "b", "c", "d"))
	for i, v := range voters("a", "b", "c", "d") {
		s.Followed(v, time.Duration(i+1)*time.Second)
		s.Followed(v, time.Second)
		if at, known := s.MajorityAt(); known != (i >= 2) || (known && at != time.Duration(i-1)*time.Second) {
			t.Errorf("after %d answers: majority at %s, known %v", i+1, at, known)
		}
	}
}

// While it is not known which voters are stored, both lists need a majority.
func TestUnsettledVotersNeedBothMajorities(t *testing.T) {
	var s Support
	s.Settle(voters("a", "b", "c"))
	s.Propose(voters("c", "d", "e"))
	for _, v := range voters("a", "b", "c") {
		s.Followed(v, time.Second)
	}
	if _, known := s.MajorityAt(); known {
		t.Fatal("a majority of the earlier voters alone counts")
	}
	s.Followed(voters("d")[0], 2*time.Second)
	if at, known := s.MajorityAt(); !known || at != time.Second {
		t.Fatalf("majority of both at %s, known %v", at, known)
	}
	s.Propose(voters("a"))
	if _, known := s.MajorityAt(); known {
		t.Fatal("a majority counts though three lists may be stored")
	}
	s.Settle(voters("d", "e"))
	if _, known := s.MajorityAt(); known || !s.Holds(voters("d", "e")) {
		t.Fatal("an earlier majority counts for new voters")
	}
}

func TestSuccessionIsReportedOnce(t *testing.T) {
	for count := 1; count <= 6; count++ {
		var all []Voter
		for i := range count {
			all = append(all, voters(fmt.Sprint(i))...)
		}
		s := NewSuccession(all)
		if s.Take(voters("other")[0]) {
			t.Errorf("%d voters: taken by a process without a vote", count)
		}
		for i, v := range all {
			// The earlier leader needs more than half.
			want := i+1 == count-count/2
			if s.Take(v) != want || s.Take(v) {
				t.Errorf("%d voters, %d taken: want %v, once", count, i+1, want)
			}
		}
	}
}

// storeLimit is how long a leader continues without proof in the simulation.
const storeLimit = 6 * time.Second

// process is a process of the simulated site.
type process struct {
	voter    Voter
	instance int
	// follows is the fence of the leader that the process follows.
	follows     int
	storeBroken bool
	cut         map[Voter]bool
}

// term is a leader of the simulated site.
type term struct {
	of         *process
	instance   int
	fence      int
	beganAt    time.Duration
	proofAt    time.Duration
	support    Support
	succession Succession
	// instances are the processes that the leader has found registered, learnedAt when.
	instances map[Voter]int
	learnedAt map[Voter]time.Duration
	// earlierEnd is valid once known is set.
	earlierEnd time.Duration
	known      bool
}

func (l *term) alive() bool { return l.of.instance == l.instance }

func (l *term) mayOrder(now time.Duration) bool {
	if !l.alive() || now-l.proofAt >= storeLimit {
		return false
	}
	at, known := l.support.MajorityAt()
	return now-l.proofAt < UnaidedLimit || (known && now-at < MajorityLimit)
}

// site is a simulated site whose processes are cut off from the store and from each other,
// restart, and follow leaders.
type site struct {
	random    *rand.Rand
	now       time.Duration
	processes []*process
	terms     []*term
	stored    []Voter
	lead      int
	leadEnds  time.Duration
}

func (s *site) disturb() {
	for _, p := range s.processes {
		switch s.random.Intn(40) {
		case 0:
			p.storeBroken = !p.storeBroken
		case 1:
			p.cut[s.processes[s.random.Intn(len(s.processes))].voter] = true
		case 2:
			p.cut = map[Voter]bool{}
		case 3:
			if s.random.Intn(4) == 0 {
				p.instance++
				p.follows = 0
			}
		}
	}
	if s.random.Intn(200) == 0 {
		s.leadEnds = 0
	}
}

func (s *site) claim() {
	p := s.processes[s.random.Intn(len(s.processes))]
	if s.now < s.leadEnds || p.storeBroken {
		return
	}
	s.lead++
	s.leadEnds = s.now + 2*time.Second
	l := &term{
		of:         p,
		instance:   p.instance,
		fence:      s.lead,
		beganAt:    s.now,
		proofAt:    s.now,
		succession: NewSuccession(s.stored),
		instances:  map[Voter]int{},
		learnedAt:  map[Voter]time.Duration{},
	}
	l.support.Inherit(s.stored)
	s.terms = append(s.terms, l)
}

func (s *site) advance(l *term) {
	if !l.alive() {
		return
	}
	if !l.of.storeBroken && l.fence == s.lead {
		if s.random.Intn(5) == 0 {
			l.proofAt = s.now
			s.leadEnds = s.now + 2*time.Second
		}
		if s.now-l.beganAt > storeLimit && s.random.Intn(5) == 0 {
			s.changeVoters(l)
		}
	}
	if s.now-l.proofAt >= storeLimit {
		return
	}
	for _, p := range s.processes {
		if known, learned := l.instances[p.voter]; !l.of.storeBroken && (!learned || known != p.instance) {
			l.instances[p.voter] = p.instance
			l.learnedAt[p.voter] = s.now
		}
		if p.cut[l.of.voter] || l.of.cut[p.voter] || p.follows > l.fence || s.random.Intn(3) == 0 {
			continue
		}
		p.follows = l.fence
		if l.instances[p.voter] == p.instance && l.proofAt >= l.learnedAt[p.voter] {
			l.support.Followed(p.voter, s.now)
		}
		if l.succession.Take(p.voter) {
			l.known = true
			l.earlierEnd = EarlierEnd(l.beganAt, s.now)
		}
	}
}

// changeVoters stores other voters; the answer may be lost.
func (s *site) changeVoters(l *term) {
	var next []Voter
	for _, p := range s.processes {
		if s.random.Intn(4) > 0 {
			next = append(next, p.voter)
		}
	}
	l.support.Propose(next)
	outcome := s.random.Intn(3)
	if outcome > 0 {
		s.stored = next
	}
	if outcome > 1 {
		l.support.Settle(next)
	}
}

// No earlier leader acts after the time that a later one has computed.
func TestEarlierLeadersHaveEnded(t *testing.T) {
	computed, contested := 0, 0
	for seed := range 300 {
		s := &site{random: rand.New(rand.NewSource(int64(seed)))}
		for i := range 3 + seed%5 {
			p := &process{voter: voters(fmt.Sprint(i))[0], cut: map[Voter]bool{}}
			s.processes = append(s.processes, p)
			s.stored = append(s.stored, p.voter)
		}
		for ; s.now < 2*time.Minute; s.now += 50 * time.Millisecond {
			s.disturb()
			s.claim()
			for _, l := range s.terms {
				s.advance(l)
			}
			for i, l := range s.terms {
				if !l.known || s.now < l.earlierEnd {
					continue
				}
				for _, earlier := range s.terms[:i] {
					if earlier.mayOrder(s.now) {
						t.Fatalf("seed %d: at %s the leader with fence %d still orders, the one with %d had ended it by %s",
							seed, s.now, earlier.fence, l.fence, l.earlierEnd)
					}
				}
			}
			if n := len(s.terms); n > 1 && s.terms[n-1].known {
				computed++
			}
			if n := len(s.terms); n > 1 && s.terms[n-2].mayOrder(s.now) {
				contested++
			}
		}
	}
	if computed == 0 || contested == 0 {
		t.Fatalf("%d steps with a computed end, %d with an earlier leader", computed, contested)
	}
}
