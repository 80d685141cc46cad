package aqconfigcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

func validConfig() Config {
	return Config{
		Version: 7,
		Routes: []Route{{
			Name:        "proofs",
			Host:        "folio.example",
			Prefix:      "/proofs/",
			Service:     "folio",
			Timeout:     3 * time.Second,
			Target:      250 * time.Millisecond,
			Stretch:     1.5,
			MaxAttempts: 2,
		}},
		Services: []Service{{ID: "folio"}},
		Limits: Limits{
			HeaderBytes:   16 << 10,
			BodyBytes:     256 << 10,
			HeaderTimeout: 3 * time.Second,
			IdleTimeout:   15 * time.Second,
		},
	}
}

func TestCheck(t *testing.T) {
	var out strings.Builder
	for _, test := range []struct {
		name   string
		change func(c *Config)
	}{
		{name: "valid", change: func(*Config) {}},
		{name: "empty", change: func(c *Config) { *c = Config{} }},
		{name: "missing values", change: func(c *Config) { c.Routes[0] = Route{MaxAttempts: -1, Priority: -1, Stretch: -1} }},
		{name: "same name", change: func(c *Config) {
			c.Routes = append(c.Routes, c.Routes[0])
			c.Routes[1].Prefix = "/other/"
		}},
		{name: "same host and prefix", change: func(c *Config) {
			c.Routes = append(c.Routes, c.Routes[0])
			c.Routes[1].Name = "hidden"
		}},
		{name: "odd prefix", change: func(c *Config) { c.Routes[0].Prefix = "proofs?x" }},
		{name: "odd host", change: func(c *Config) { c.Routes[0].Host = "*.Folio.example" }},
		{name: "unknown service", change: func(c *Config) { c.Routes[0].Service = "gone" }},
		{name: "standby", change: func(c *Config) { c.Services[0].Standby = true }},
		{name: "short tickets", change: func(c *Config) {
			c.Routes[0].Advice = &Advice{Base: 200 * time.Millisecond, PerWorker: 100 * time.Millisecond, TicketLife: 300 * time.Millisecond}
		}},
		{name: "no time for the run", change: func(c *Config) { c.Routes[0].Stretch, c.Routes[0].Target = 0.5, 0 }},
		{name: "limits", change: func(c *Config) { c.Limits.BodyBytes, c.Limits.IdleTimeout = 8, time.Second }},
	} {
		c := validConfig()
		test.change(&c)
		found := Check(c)
		fmt.Fprintf(&out, "%s: failed %v\n", test.name, Failed(found))
		for _, f := range found {
			fmt.Fprintf(&out, "  %s %s %s: %s\n", f.Severity, f.Kind, f.Where, f.What)
		}
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "check", []byte(out.String()))
}

func TestCompare(t *testing.T) {
	inForce, next := validConfig(), validConfig()
	next.Routes[0].Target = time.Second
	next.Routes[0].Advice = &Advice{Base: time.Millisecond}
	next.Routes = append(next.Routes, Route{Name: "added"})
	inForce.Routes = append(inForce.Routes, Route{Name: "removed"})
	next.Services = []Service{{ID: "folio", Standby: true}, {ID: "more"}}
	inForce.Services = append(inForce.Services, Service{ID: "less"})
	next.Limits.BodyBytes = 1 << 20
	changes, found := Compare(inForce, next)
	var out strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&out, "%s: %q -> %q %s\n", c.Where, c.Before, c.After, c.Effect)
	}
	for _, f := range found {
		fmt.Fprintf(&out, "%s %s %s: %s\n", f.Severity, f.Kind, f.Where, f.What)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "compare", []byte(out.String()))
}
