package aqconfigcheck

import "fmt"

// Severity says whether a finding keeps a configuration from being sent.
type Severity string

// The severities of findings.
const (
	// Error is a configuration that processes ignore, or that cannot work as written.
	Error Severity = "Error"
	// Warning is likely a mistake.
	Warning Severity = "Warning"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Invalid is a missing or malformed value.
	Invalid Kind = "Invalid"
	// NeverMatches is an entry that no submission reaches.
	NeverMatches Kind = "NeverMatches"
	// Contradiction is a pair of settings that cannot both hold.
	Contradiction Kind = "Contradiction"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Kind     Kind
	// Where names the entry and its field.
	Where string
	What  string
}

// findings collects results.
type findings []Finding

func (f *findings) add(severity Severity, kind Kind, where, format string, args ...any) {
	*f = append(*f, Finding{
		Severity: severity,
		Kind:     kind,
		Where:    where,
		What:     fmt.Sprintf(format, args...),
	})
}

// Failed reports whether a finding is an error.
func Failed(found []Finding) bool {
	for _, f := range found {
		if f.Severity == Error {
			return true
		}
	}
	return false
}
