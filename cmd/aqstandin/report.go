package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqstandin"
)

// reportCommand prints the final counts and fails when one that must be zero is not.
type reportCommand struct {
	command  *kingpin.CmdClause
	platform *string
	load     *string
	tasks    *int
}

func addReport(app *kingpin.Application) reportCommand {
	c := app.Command("report", "Print the counts of workers and endpoints; exit 1 when work was doubled, lost or over-committed.")
	return reportCommand{
		command:  c,
		platform: c.Flag("platform", "IP:port of the platform stand-in.").Required().String(),
		load:     c.Flag("load", "File with the counts of the load command.").Required().String(),
		tasks:    c.Flag("tasks", "Number of accepted batch tasks.").Required().Int(),
	}
}

var errViolation = errors.New("doubled, lost, wrong or over-committed work")

func (c reportCommand) run() error {
	var truth aqstandin.TruthReport
	remote := aqstandin.NewControlClient(*c.platform)
	if err := remote.Post(aqstandin.PathTruth, struct{}{}, &truth); err != nil {
		return err
	}
	var calls aqstandin.CallCounts
	if err := remote.Post(aqstandin.PathCounts, struct{}{}, &calls); err != nil {
		return err
	}
	data, err := os.ReadFile(*c.load)
	if err != nil {
		return errors.Wrap(err, "read the load's counts")
	}
	var counts aqstandin.CallerCounts
	if err := json.Unmarshal(data, &counts); err != nil {
		return errors.Wrap(err, "decode the load's counts")
	}
	doubled := truth.Doubled + truth.RequestsDoubled
	lost := *c.tasks - truth.DistinctFinished
	for _, row := range []struct {
		name  string
		value int
	}{
		{name: "requests answered", value: counts.Answered},
		{name: "requests refused", value: counts.Refused},
		{name: "requests unknown", value: counts.Unknown},
		{name: "answers wrong", value: counts.Wrong},
		{name: "batch tasks finished", value: truth.DistinctFinished},
		{name: "attempts started", value: truth.Starts},
		{name: "store reads", value: int(calls.Reads)},
		{name: "store writes", value: int(calls.Writes)},
		{name: "doubled", value: doubled},
		{name: "lost", value: lost},
		{name: "over-commitments", value: truth.OverCommitted},
	} {
		fmt.Printf("%-22s %8d\n", row.name, row.value)
	}
	if doubled != 0 || lost != 0 || truth.OverCommitted != 0 || counts.Wrong != 0 {
		return errViolation
	}
	return nil
}
