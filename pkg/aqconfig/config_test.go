package aqconfig

import (
	"context"
	"flag"
	"os"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqplatform"
	"acaciaquay/pkg/aqstandin"
	"acaciaquay/pkg/aqtype"
)

// TestMain sets the seed of the property tests; the command line can override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestValidate(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Configuration)
		valid  bool
	}{
		{name: "default", change: func(*Configuration) {}, valid: true},
		{name: "floors above 100", change: func(c *Configuration) { c.Shares[0].FloorPercent = 90 }},
		{name: "weight zero", change: func(c *Configuration) { c.Shares[0].Weight = 0 }},
		{name: "urgency twice", change: func(c *Configuration) { c.Shares[0].Urgency = c.Shares[1].Urgency }},
		{name: "urgency missing", change: func(c *Configuration) { c.Shares = c.Shares[1:] }},
		{name: "share above 100", change: func(c *Configuration) { c.WorkerSharePercent = 101 }},
		{name: "quota without team", change: func(c *Configuration) { c.Quotas = []TeamQuota{{}} }},
		{
			name: "quota twice",
			change: func(c *Configuration) {
				c.Quotas = []TeamQuota{{Team: aqtype.TeamID("a")}, {Team: aqtype.TeamID("a")}}
			},
		},
	} {
		c := Default()
		test.change(&c)
		if err := c.Validate(); (err == nil) != test.valid {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// site is a store and the processes that hold its configuration.
type site struct {
	store     *aqstandin.Store
	network   *aqstandin.Network
	processes []*process
	delivery  aqstandin.Delivery
}

// process records the revisions that its holder applied.
type process struct {
	holder  *Holder
	history []Revision
}

func newSite(processes int) *site {
	s := &site{store: aqstandin.NewStore(aqclock.NewFake())}
	s.network = &aqstandin.Network{Next: func() aqstandin.Delivery { return s.delivery }}
	for range processes {
		s.processes = append(s.processes, newProcess())
	}
	return s
}

func newProcess() *process {
	p := &process{holder: NewHolder(aqlog.Discard())}
	p.holder.OnChange(func(c Configuration) { p.history = append(p.history, c.Revision) })
	return p
}

func (s *site) changer(p *process) Changer {
	return Changer{
		Store:  aqstandin.StoreNetwork{Network: s.network, Store: s.store},
		Holder: p.holder,
	}
}

// Two operators change the same revision: one change is accepted, and the other
// operator gets ErrConflict with the accepted configuration.
func TestLoserOfARaceIsTold(t *testing.T) {
	s := newSite(2)
	first, second := Default(), Default()
	first.EvictionsPerMinute = 1
	second.EvictionsPerMinute = 2
	if _, err := s.changer(s.processes[0]).Change(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	winner, err := s.changer(s.processes[1]).Change(t.Context(), second)
	if !errors.Is(err, ErrConflict) || winner.EvictionsPerMinute != 1 || winner.Revision != 1 {
		t.Fatalf("second change got %v, %+v", err, winner)
	}
}

// When calls to the store are lost during a change, its error distinguishes accepted,
// not accepted and outcome unknown.
func TestLostAnswerIsToldFromLostChange(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults aqstandin.Faults
		err    error
	}{
		{name: "answer lost", faults: aqstandin.Faults{LoseAnswers: 1}},
		{name: "write lost", faults: aqstandin.Faults{DropWrites: 1}, err: ErrInDoubt},
		{name: "outage", faults: aqstandin.Faults{Outage: true}, err: ErrNotAccepted},
	} {
		s := newSite(1)
		if _, err := s.changer(s.processes[0]).Change(t.Context(), Default()); err != nil {
			t.Fatal(err)
		}
		wanted := s.processes[0].holder.Current()
		wanted.EvictionsPerMinute++
		s.store.SetFaults(test.faults)
		_, err := s.changer(s.processes[0]).Change(t.Context(), wanted)
		if !errors.Is(err, test.err) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.err)
		}
	}
}

// TestNeverReverts makes concurrent changes over a network that loses and delays calls,
// while processes read the store and exchange configurations. The revision that a
// process applies never decreases, and an accepted revision keeps the value with which
// it was accepted.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(3)
		accepted := map[Revision]int{}
		pick := func(label string) *process {
			return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, label)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				p := pick("process")
				wanted := p.holder.Current()
				wanted.EvictionsPerMinute = rapid.IntRange(0, 1000).Draw(t, "value")
				got, err := s.changer(p).Change(context.Background(), wanted)
				if err == nil {
					accepted[got.Revision] = got.EvictionsPerMinute
				}
			},
			"fate": func(t *rapid.T) {
				s.delivery = aqstandin.Delivery(rapid.IntRange(0, 3).Draw(t, "fate"))
			},
			"release": func(t *rapid.T) {
				s.network.DeliverDelayed(func(left int) int { return rapid.IntRange(0, left-1).Draw(t, "call") })
			},
			"read": func(*rapid.T) {
				p := pick("reader")
				if e, err := s.store.Get(context.Background(), Key); err == nil {
					p.holder.ApplyEncoded(e.Value)
				}
			},
			"gossip": func(*rapid.T) { pick("to").holder.Apply(pick("from").holder.Current()) },
			"": func(*rapid.T) {
				for _, p := range s.processes {
					for i := 1; i < len(p.history); i++ {
						if p.history[i] <= p.history[i-1] {
							t.Fatalf("revision decreased: %v", p.history)
						}
					}
					c := p.holder.Current()
					if value, known := accepted[c.Revision]; known && value != c.EvictionsPerMinute {
						t.Fatalf("revision %d was accepted with value %d and is active with %d",
							c.Revision, value, c.EvictionsPerMinute)
					}
				}
			},
		})
	})
}

var _ aqplatform.Store = aqstandin.StoreNetwork{}
