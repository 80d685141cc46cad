package aqsettings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
)

const valid = `[Process]
Id = host1
Zone = perth
[Platform]
Store = 10.0.0.1:7000
HostList = 10.0.0.1:7000
[Shards]
Count = 4
Zones = perth, fremantle
[Scheduler]
PeerAddress = 10.0.0.2:7100
OperatorAddress = 10.0.0.2:7101
[Gateway]
CallerAddress = 10.0.0.2:7102
PeerAddress = 10.0.0.2:7103
OperatorAddress = 10.0.0.2:7104
`

func TestDefaultsAreValid(t *testing.T) {
	s, err := Parse("host1.ini", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Session.TTL == 0 || s.Gateway.MaxQueue == 0 || len(s.Shards.Zones) != 2 {
		t.Fatalf("defaults were not applied: %+v", s)
	}
}

// Each invalid file is refused with an error that names file, section, key and reason.
func TestWrongSettingsAreRefused(t *testing.T) {
	var out strings.Builder
	for _, test := range []struct {
		name string
		from string
		to   string
	}{
		{name: "unknown key", from: "Zone = perth\n", to: "Zone = perth\nColour = red\n"},
		{name: "unknown section", from: "[Shards]", to: "[Extra]\nA = 1\n[Shards]"},
		{name: "lower case key", from: "Count = 4", to: "Count = 4\ncount = 4"},
		{name: "missing address", from: "Store = 10.0.0.1:7000\n", to: ""},
		{name: "host name for an address", from: "Store = 10.0.0.1:7000", to: "Store = store.local:7000"},
		{name: "address without port", from: "Store = 10.0.0.1:7000", to: "Store = 10.0.0.1"},
		{name: "duration without a unit", from: "HostList", to: "CallTimeout = 5\nHostList"},
		{name: "duration out of range", from: "HostList", to: "CallTimeout = 2h\nHostList"},
		{name: "count with a unit", from: "Count = 4", to: "Count = 4 shards"},
		{name: "count out of range", from: "Count = 4", to: "Count = 0"},
		{name: "zone of another site", from: "Zone = perth", to: "Zone = lekki"},
		{name: "zone twice", from: "perth, fremantle", to: "perth, perth"},
		{name: "key twice", from: "Count = 4", to: "Count = 4\nCount = 5"},
		{name: "renewal slower than its session", from: "[Gateway]", to: "[Session]\nTTL = 10s\nWait = 8s\n[Gateway]"},
		{name: "unknown log layer", from: "[Gateway]", to: "[Log]\nLayers = disk\n[Gateway]"},
		{name: "budget over half of the memory", from: "[Gateway]", to: "[Intake]\nMemory = 100\nBudget = 60000000\n[Gateway]"},
		{name: "budget below the largest head", from: "[Gateway]", to: "[Intake]\nBudget = 100000\n[Gateway]"},
		{name: "more connections than descriptors", from: "[Gateway]", to: "[Intake]\nConnections = 5000\n[Gateway]"},
		{name: "more connections of an address than in all", from: "[Gateway]", to: "[Intake]\nConnections = 10\nConnectionsPerAddress = 20\n[Gateway]"},
		{name: "pace window longer than a body", from: "[Gateway]", to: "[Intake]\nBodyTime = 1s\n[Gateway]"},
		{name: "space in a name", from: "Id = host1", to: "Id = host 1"},
	} {
		text := strings.Replace(valid, test.from, test.to, 1)
		_, err := Parse("host1.ini", []byte(text))
		var setting *SettingError
		if !errors.As(err, &setting) {
			t.Errorf("%s: got %v", test.name, err)
			continue
		}
		fmt.Fprintf(&out, "%s: %v\n", test.name, err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("_fixtures"))
	golden.Assert(t, "refusals", []byte(out.String()))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[Process]\nId"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err == nil && (s.Process.ID == "" || s.Shards.Count == 0) {
			t.Fatal("settings without an id or shards were accepted")
		}
	})
}

func TestOffRackFactor(t *testing.T) {
	const site = `[Site]
Name = host1
Zone = perth
FrontAddress = 10.0.0.2:7102
ReadyAddress = 10.0.0.2:7103
PeerAddress = 10.0.0.2:7104
MetricsAddress = 10.0.0.2:7105
Store = 10.0.0.1:7000
[Bounds]
OffRackFactor = `
	for value, want := range map[string]float64{"": 0, "1": 1, "1.5": 1.5, "100": 100, "0.9": -1, "101": -1, "NaN": -1, "twice": -1} {
		s, err := ParseSite("host1.ini", []byte(site+value+"\n"))
		var setting *SettingError
		switch {
		case want < 0 && (!errors.As(err, &setting) || setting.Key != "OffRackFactor"):
			t.Errorf("%q: got %v", value, err)
		case want >= 0 && (err != nil || s.OffRackFactor != want):
			t.Errorf("%q: got %v, error %v", value, s, err)
		}
	}
}
