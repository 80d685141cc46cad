package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"acaciaquay/internal/site/aqconfigcheck"
	"acaciaquay/platform"
)

// configCheck is the command that checks a site's configuration before it is sent.
type configCheck struct {
	env *env
	// file and inForce are paths; inForce and store may be empty, and at most one of them is set.
	file    *string
	inForce *string
	store   *string
	json    *bool
}

// configReport is the result of a check as JSON.
type configReport struct {
	Findings []aqconfigcheck.Finding
	Changes  []aqconfigcheck.Change `json:",omitempty"`
}

// errConfigFailed makes the command fail after it has printed its findings.
var errConfigFailed = errors.New("the configuration has errors")

func addCheckConfig(app *kingpin.Application, e *env, actions map[string]action) {
	command := app.Command("check-config",
		"Check a site's configuration before it is sent: errors, entries that never match, contradictions, and changes. Errors exit with status 1.")
	c := &configCheck{
		env:     e,
		file:    command.Arg("file", "The configuration, a JSON file.").Required().String(),
		inForce: command.Flag("in-force", "File with the configuration in force, to show what changes.").String(),
		store:   command.Flag("store", "Address of the platform's store, to read the configuration in force from.").String(),
		json:    command.Flag("json", "Print JSON instead of tables.").Bool(),
	}
	actions[command.FullCommand()] = c.run
}

func (c *configCheck) run(ctx context.Context) error {
	if *c.inForce != "" && *c.store != "" {
		return usageError{errors.New("--in-force and --store exclude each other")}
	}
	value, err := os.ReadFile(*c.file)
	if err != nil {
		return usageError{err}
	}
	next, unknown, err := platform.DecodeConfigForCheck(value)
	if err != nil {
		return c.print(configReport{Findings: []aqconfigcheck.Finding{fileFinding(aqconfigcheck.Error, err)}})
	}
	var report configReport
	if unknown != nil {
		report.Findings = append(report.Findings, fileFinding(aqconfigcheck.Warning, unknown))
	}
	report.Findings = append(report.Findings, aqconfigcheck.Check(next)...)
	before, err := c.readInForce(ctx)
	if err != nil {
		return err
	}
	if before != nil {
		inForce, _, err := platform.DecodeConfigForCheck(before)
		if err != nil {
			return errors.WithMessage(err, "in force")
		}
		changes, found := aqconfigcheck.Compare(inForce, next)
		report.Changes = changes
		report.Findings = append(report.Findings, found...)
	}
	return c.print(report)
}

// fileFinding is a finding about the file as a whole.
func fileFinding(severity aqconfigcheck.Severity, err error) aqconfigcheck.Finding {
	return aqconfigcheck.Finding{
		Severity: severity,
		Kind:     aqconfigcheck.Invalid,
		Where:    "File",
		What:     err.Error(),
	}
}

// readInForce returns the configuration in force, nil if it is not asked for.
func (c *configCheck) readInForce(ctx context.Context) ([]byte, error) {
	switch {
	case *c.store != "":
		ctx, cancel := context.WithTimeout(ctx, showTimeout)
		defer cancel()
		return platform.ConfigInForce(ctx, *c.store)
	case *c.inForce != "":
		value, err := os.ReadFile(*c.inForce)
		if err != nil {
			return nil, usageError{err}
		}
		return value, nil
	}
	return nil, nil
}

func (c *configCheck) print(report configReport) error {
	if err := c.printReport(report); err != nil {
		return err
	}
	if aqconfigcheck.Failed(report.Findings) {
		return errConfigFailed
	}
	return nil
}

func (c *configCheck) printReport(report configReport) error {
	if *c.json {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.env.stdout, "%s\n", data)
		return err
	}
	if len(report.Findings) == 0 {
		if _, err := fmt.Fprintf(c.env.stdout, "%s: ok\n", *c.file); err != nil {
			return err
		}
	} else {
		rows := [][]string{{"SEVERITY", "KIND", "WHERE", "WHAT"}}
		for _, f := range report.Findings {
			rows = append(rows, []string{string(f.Severity), string(f.Kind), f.Where, f.What})
		}
		if err := c.env.table(rows); err != nil {
			return err
		}
	}
	if len(report.Changes) == 0 {
		return nil
	}
	rows := [][]string{{"CHANGE", "BEFORE", "AFTER", "EFFECT"}}
	for _, change := range report.Changes {
		rows = append(rows, []string{change.Where, change.Before, change.After, change.Effect})
	}
	return c.env.table(rows)
}
