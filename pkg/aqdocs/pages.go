// Package aqdocs renders the pages that are generated from the code.
package aqdocs

import (
	"fmt"
	"strings"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqsettings"
)

const generated = "This page is generated from the code by `make generate`.\n\n"

// Pages returns the text of each generated page by its file name below docs.
func Pages(usage string) map[string]string {
	return map[string]string{
		"EVENTS.md":         events(),
		"METRICS.md":        metrics(),
		"SETTINGS.md":       settings(),
		"cli/acaciaquay.md": "# Command line\n\n" + generated + "```\n" + usage + "```\n\n" + exitStatuses,
	}
}

const exitStatuses = `## Exit statuses

| status | meaning |
|---|---|
| 0 | success |
| 1 | the command was understood and failed |
| 2 | the command line or a settings file is wrong |
| 3 | a change may or may not have taken effect |
| 4 | another change was accepted first |
`

func events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generated)
	b.WriteString("| event | layer | level | message | meaning |\n|---|---|---|---|---|\n")
	for _, e := range aqlog.Events {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Layer, e.Level, e.Message, e.Meaning)
	}
	return b.String()
}

func metrics() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" + generated)
	b.WriteString("Every process serves them under `/metrics`: on its operator address, or on its metrics address in a site.\n\n")
	b.WriteString("## Refusals: `aq_refused_total{reason=...}`\n\nA refused call or request did not run.\n\n")
	for _, r := range aqmetric.RefusalReasons {
		fmt.Fprintf(&b, "- `%s`\n", r)
	}
	b.WriteString("\n## Retries: `aq_retries_total{reason=...}`\n\n")
	for _, r := range aqmetric.RetryReasons {
		fmt.Fprintf(&b, "- `%s`\n", r)
	}
	b.WriteString("\n## Copies left out: `aq_copies_declined_total{reason=...}`\n\n")
	b.WriteString("Second runs of late tasks that were not started. Each run counts once, until its reason changes.\n\n")
	for _, r := range aqmetric.CopyDeclineReasons {
		fmt.Fprintf(&b, "- `%s`\n", r)
	}
	b.WriteString("\n## Counters\n\n")
	for _, c := range aqmetric.Counters {
		fmt.Fprintf(&b, "- `%s`\n", c)
	}
	b.WriteString("\n## Gauges\n\n")
	for _, g := range aqmetric.Gauges {
		fmt.Fprintf(&b, "- `%s`\n", g)
	}
	b.WriteString("\n## Latency histograms, in seconds\n\n")
	for _, t := range aqmetric.Timings {
		fmt.Fprintf(&b, "- `%s`\n", t)
	}
	return b.String()
}

func settings() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" + generated)
	b.WriteString("The gateway and the scheduler of a host read the same INI file. An unknown key, a wrong unit, a missing\n")
	b.WriteString("address or a value out of range is an error that names file, section, key and reason, with exit status 2.\n")
	writeFields(&b, aqsettings.Fields)
	b.WriteString("\n# Settings of a site's process\n\n")
	b.WriteString("`acaciaquay site` reads this file. The platform fills in the template `deploy/site.ini`.\n")
	writeFields(&b, aqsettings.SiteFields)
	return b.String()
}

func writeFields(b *strings.Builder, fields []aqsettings.Field) {
	section := ""
	for _, f := range fields {
		if f.Section != section {
			section = f.Section
			fmt.Fprintf(b, "\n## [%s]\n\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n", section)
		}
		fallback := f.Default
		if f.Required {
			fallback = "required"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", f.Key, f.Unit, fallback, f.Range, f.Doc)
	}
}
