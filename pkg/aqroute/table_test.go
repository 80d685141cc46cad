package aqroute

import (
	"math/rand/v2"
	"testing"

	"acaciaquay/pkg/aqplatform"
)

// Guards against an endpoint that closes one connection, for example after an error, and gets no
// request any more though the host list shows it as live.
func TestEndpointThatClosedOneConnectionIsUsedAgain(t *testing.T) {
	hosts := []aqplatform.EndpointHost{
		{
			ID:      "a",
			Address: "a:1",
			Slots:   1,
			State:   aqplatform.HostLive,
		},
	}
	table := NewTable(rand.New(rand.NewPCG(1, 1)))
	table.Update(hosts)
	for _, closing := range []bool{false, true} {
		e := table.Pick()
		if e == nil {
			t.Fatal("no endpoint before the first close")
		}
		e.RecordAnswer(closing)
		e.RecordSuccess()
	}
	for range 5 {
		table.Update(hosts)
		if table.Pick() != nil {
			t.Fatal("an endpoint that shuts down gets a request before the host list may show it as draining")
		}
	}
	for range 60 {
		table.Update(hosts)
	}
	if table.Len() != 1 || table.Pick() == nil {
		t.Fatal("the endpoint is listed as live for 65 snapshots and gets no request")
	}
}

// An endpoint that the host list shows as draining once stays draining.
func TestDrainingEndpointIsNotUsedAgain(t *testing.T) {
	host := aqplatform.EndpointHost{
		ID:      "a",
		Address: "a:1",
		Slots:   1,
		State:   aqplatform.HostDraining,
	}
	table := NewTable(rand.New(rand.NewPCG(1, 1)))
	table.Update([]aqplatform.EndpointHost{host})
	host.State = aqplatform.HostLive
	for range 65 {
		table.Update([]aqplatform.EndpointHost{host})
	}
	if table.Pick() != nil {
		t.Fatal("a stale list brings a draining endpoint back")
	}
}
