package aqsettings

import (
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqtype"
)

// SettingError reports an invalid setting and what is wrong with it.
type SettingError struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Reason)
}

// Load reads and checks the settings file of a gateway and a scheduler. An error about
// a single setting is a *SettingError.
func Load(file string) (Settings, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", file)
	}
	return load(file, parsed, Fields)
}

// LoadSite reads and checks the settings file of a site's process.
func LoadSite(file string) (Site, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return Site{}, errors.Wrapf(err, "read settings %s", file)
	}
	s, err := load(file, parsed, SiteFields)
	s.Site.setIntake(s.Intake)
	return s.Site, err
}

// ParseSite is LoadSite for data that is already in memory. It uses file in errors only.
func ParseSite(file string, data []byte) (Site, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return Site{}, errors.Wrapf(err, "read settings %s", file)
	}
	s, err := load(file, parsed, SiteFields)
	s.Site.setIntake(s.Intake)
	return s.Site, err
}

// Parse is Load for data that is already in memory. It uses file in errors only.
func Parse(file string, data []byte) (Settings, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", file)
	}
	return load(file, parsed, Fields)
}

func load(file string, parsed *ini.File, fields []Field) (Settings, error) {
	var s Settings
	if err := checkKnown(file, parsed, fields); err != nil {
		return s, err
	}
	for _, f := range fields {
		value := f.Default
		if section, err := parsed.GetSection(f.Section); err == nil && section.HasKey(f.Key) {
			values := section.Key(f.Key).ValueWithShadows()
			if len(values) > 1 {
				return s, f.fail(file, "given twice")
			}
			value = section.Key(f.Key).String()
		} else if f.Required {
			return s, f.fail(file, "missing")
		}
		if err := f.set(&s, value); err != nil {
			return s, f.fail(file, err.Error())
		}
	}
	if err := s.Intake.derive(file); err != nil {
		return s, err
	}
	if s.Site.Name != "" {
		return s, s.Site.check(file)
	}
	return s, s.check(file)
}

func (f Field) fail(file, reason string) error {
	return &SettingError{
		File:    file,
		Section: f.Section,
		Key:     f.Key,
		Reason:  reason,
	}
}

func checkKnown(file string, parsed *ini.File, fields []Field) error {
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			if !known(fields, section.Name(), key.Name()) {
				return &SettingError{
					File:    file,
					Section: section.Name(),
					Key:     key.Name(),
					Reason:  "unknown setting",
				}
			}
		}
	}
	return nil
}

func known(fields []Field, section, key string) bool {
	for _, f := range fields {
		if f.Section == section && f.Key == key {
			return true
		}
	}
	return false
}

// renewalsPerTTL is how many renewals, each held for Session.Wait, must fit into a
// session's time to live.
const renewalsPerTTL = 2

// check compares settings that depend on each other.
func (s *Settings) check(file string) error {
	fail := func(section, key, format string, args ...any) error {
		return &SettingError{
			File:    file,
			Section: section,
			Key:     key,
			Reason:  fmt.Sprintf(format, args...),
		}
	}
	switch {
	case !contains(s.Shards.Zones, s.Process.Zone):
		return fail("Process", "Zone", "%q is not one of Shards.Zones", s.Process.Zone)
	case s.Peers.Silence <= s.Peers.Heartbeat:
		return fail("Peers", "Silence", "must be above Peers.Heartbeat (%s)", s.Peers.Heartbeat)
	case s.Session.Wait*renewalsPerTTL > s.Session.TTL:
		return fail("Session", "Wait", "must be at most half of Session.TTL (%s)", s.Session.TTL)
	case s.Session.ProofLimit < s.Session.TTL:
		return fail("Session", "ProofLimit", "must be at least Session.TTL (%s)", s.Session.TTL)
	case s.Peers.StoreSilence < s.Peers.LeaseTTL:
		return fail("Peers", "StoreSilence", "must be at least Peers.LeaseTTL (%s)", s.Peers.LeaseTTL)
	}
	return nil
}

func contains(zones []aqtype.Zone, zone aqtype.Zone) bool {
	for _, z := range zones {
		if z == zone {
			return true
		}
	}
	return false
}

func required(section, key, unit, doc string, set func(*Settings, string) error) Field {
	return Field{
		Section:  section,
		Key:      key,
		Unit:     unit,
		Required: true,
		Doc:      doc,
		set:      set,
	}
}

func optional(section, key, unit, fallback, doc string, set func(*Settings, string) error) Field {
	return Field{
		Section: section,
		Key:     key,
		Unit:    unit,
		Default: fallback,
		Doc:     doc,
		set:     set,
	}
}

func duration(
	section, key, fallback string, low, high time.Duration, doc string, field func(*Settings) *time.Duration,
) Field {
	return Field{
		Section: section,
		Key:     key,
		Unit:    "duration",
		Default: fallback,
		Range:   fmt.Sprintf("%s to %s", low, high),
		Doc:     doc,
		set: func(s *Settings, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit, such as 500ms or 2s", value)
			}
			if d < low || d > high {
				return errors.Errorf("%s is out of range: want %s to %s", d, low, high)
			}
			*field(s) = d
			return nil
		},
	}
}

func count(section, key, unit, fallback string, low, high int, doc string, field func(*Settings) *int) Field {
	return Field{
		Section: section,
		Key:     key,
		Unit:    unit,
		Default: fallback,
		Range:   fmt.Sprintf("%d to %d", low, high),
		Doc:     doc,
		set: func(s *Settings, value string) error {
			n, err := strconv.Atoi(value)
			if err != nil {
				return errors.Errorf("%q is not a whole number of %s", value, unit)
			}
			if n < low || n > high {
				return errors.Errorf("%d is out of range: want %d to %d", n, low, high)
			}
			*field(s) = n
			return nil
		},
	}
}

func countRequired(section, key, unit string, low, high int, doc string, field func(*Settings) *int) Field {
	f := count(section, key, unit, "", low, high, doc, field)
	f.Required = true
	return f
}

func name(set func(*Settings, string)) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if value == "" || strings.ContainsAny(value, " /,") {
			return errors.Errorf("%q is not a name: want no space, slash or comma", value)
		}
		set(s, value)
		return nil
	}
}

func address(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if err := checkAddress(value); err != nil {
			return err
		}
		*field(s) = value
		return nil
	}
}

func checkAddress(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return errors.Errorf("%q is not an IP address with a port, such as 10.0.0.1:7100", value)
	}
	return nil
}

func addresses(field func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for _, part := range splitList(value) {
			if err := checkAddress(part); err != nil {
				return err
			}
			*field(s) = append(*field(s), part)
		}
		return nil
	}
}

func zones(field func(*Settings) *[]aqtype.Zone) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for _, part := range splitList(value) {
			if contains(*field(s), aqtype.Zone(part)) {
				return errors.Errorf("zone %q is listed twice", part)
			}
			*field(s) = append(*field(s), aqtype.Zone(part))
		}
		if len(*field(s)) == 0 {
			return errors.New("no zone is listed")
		}
		return nil
	}
}

func splitList(value string) []string {
	var parts []string
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

func setLayers(s *Settings, value string) error {
	if _, err := aqlog.New(io.Discard, "", value); err != nil {
		return err
	}
	s.Log.Layers = value
	return nil
}
